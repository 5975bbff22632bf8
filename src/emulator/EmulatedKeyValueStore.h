#pragma once

#include <catkinwell/core/Clock.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Catkinwell {

// The data of the emulated store. Callers pass the current time. Not thread safe.
class EmulatedKeyValueStore {
public:
    struct Entry {
        std::string value;
        std::uint64_t version = 0;
        // Empty if no session holds the key.
        std::string session;
    };

    const std::map<std::string, Entry>& entries() const { return m_entries; }
    const Entry* find(const std::string& key) const;

    // Both return the new version, or nothing if the comparison failed.
    std::optional<std::uint64_t> compareAndSwap(
        const std::string& key, std::string value, std::uint64_t expectedVersion);
    std::optional<std::uint64_t> lock(const std::string& key, std::string value, const std::string& session);
    bool deleteCompared(const std::string& key, std::uint64_t expectedVersion);

    std::string createSession(Duration ttl, MonotonicTime now);
    bool renewSession(const std::string& session, MonotonicTime now);
    void destroySession(const std::string& session);
    bool hasSession(const std::string& session) const { return m_sessions.contains(session); }

    // Ends the sessions whose TTL has expired and deletes the keys that they held. Returns whether a key changed.
    bool expireSessions(MonotonicTime now);

private:
    struct Session {
        Duration ttl;
        MonotonicTime expiresAt;
    };

    std::map<std::string, Entry> m_entries;
    std::map<std::string, Session> m_sessions;
    std::uint64_t m_lastVersion = 0;
    std::uint64_t m_lastSession = 0;
};

} // namespace Catkinwell
