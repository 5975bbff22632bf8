#include "emulator/EmulatedKeyValueStore.h"

namespace Catkinwell {

const EmulatedKeyValueStore::Entry* EmulatedKeyValueStore::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::optional<std::uint64_t> EmulatedKeyValueStore::compareAndSwap(
    const std::string& key, std::string value, std::uint64_t expectedVersion)
{
    const Entry* current = find(key);
    if ((current ? current->version : 0) != expectedVersion)
        return std::nullopt;
    Entry& entry = m_entries[key];
    entry.value = std::move(value);
    entry.version = ++m_lastVersion;
    return entry.version;
}

std::optional<std::uint64_t> EmulatedKeyValueStore::lock(
    const std::string& key, std::string value, const std::string& session)
{
    if (!hasSession(session))
        return std::nullopt;
    const Entry* current = find(key);
    if (current && !current->session.empty() && current->session != session)
        return std::nullopt;
    m_entries[key] = Entry { std::move(value), ++m_lastVersion, session };
    return m_lastVersion;
}

bool EmulatedKeyValueStore::deleteCompared(const std::string& key, std::uint64_t expectedVersion)
{
    const Entry* current = find(key);
    if (!current || current->version != expectedVersion)
        return false;
    m_entries.erase(key);
    return true;
}

std::string EmulatedKeyValueStore::createSession(Duration ttl, MonotonicTime now)
{
    std::string session = "session-" + std::to_string(++m_lastSession);
    m_sessions[session] = Session { ttl, now + ttl };
    return session;
}

bool EmulatedKeyValueStore::renewSession(const std::string& session, MonotonicTime now)
{
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return false;
    found->second.expiresAt = now + found->second.ttl;
    return true;
}

void EmulatedKeyValueStore::destroySession(const std::string& session)
{
    m_sessions.erase(session);
    std::erase_if(m_entries, [&session](const auto& entry) { return entry.second.session == session; });
}

bool EmulatedKeyValueStore::expireSessions(MonotonicTime now)
{
    std::vector<std::string> expired;
    for (const auto& [name, session] : m_sessions) {
        if (session.expiresAt <= now)
            expired.push_back(name);
    }
    const std::size_t before = m_entries.size();
    for (const std::string& session : expired)
        destroySession(session);
    return m_entries.size() != before;
}

} // namespace Catkinwell
