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

    const std::map<std::string, Entry>& entries() const { return m_state.entries; }
    const Entry* find(const std::string& key) const;

    // Both return the new version, or nothing if the comparison failed.
    std::optional<std::uint64_t> compareAndSwap(
        const std::string& key, std::string value, std::uint64_t expectedVersion);
    std::optional<std::uint64_t> lock(const std::string& key, std::string value, const std::string& session);
    bool deleteCompared(const std::string& key, std::uint64_t expectedVersion);

    std::string createSession(Duration ttl, MonotonicTime now);
    bool renewSession(const std::string& session, MonotonicTime now);
    void destroySession(const std::string& session);
    bool hasSession(const std::string& session) const { return m_state.sessions.contains(session); }

    // Keeps a copy, to which restore() goes back: keys and sessions, whose TTL begins anew. Versions are given out
    // again; names of sessions are not.
    void saveCopy() { m_copy = m_state; }
    void restore(MonotonicTime now);

    // Ends the sessions whose TTL has expired and deletes the keys that they held. Returns whether a key changed.
    bool expireSessions(MonotonicTime now);

private:
    struct Session {
        Duration ttl;
        MonotonicTime expiresAt;
    };

    struct State {
        std::map<std::string, Entry> entries;
        std::map<std::string, Session> sessions;
        std::uint64_t lastVersion = 0;
    };

    State m_state;
    State m_copy;
    std::uint64_t m_lastSession = 0;
};

} // namespace Catkinwell
