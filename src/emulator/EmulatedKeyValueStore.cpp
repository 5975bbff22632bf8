#include "emulator/EmulatedKeyValueStore.h"

namespace Catkinwell {

const EmulatedKeyValueStore::Entry* EmulatedKeyValueStore::find(const std::string& key) const
{
    const auto found = m_state.entries.find(key);
    return found == m_state.entries.end() ? nullptr : &found->second;
}

std::optional<std::uint64_t> EmulatedKeyValueStore::compareAndSwap(
    const std::string& key, std::string value, std::uint64_t expectedVersion)
{
    const Entry* current = find(key);
    if ((current ? current->version : 0) != expectedVersion)
        return std::nullopt;
    Entry& entry = m_state.entries[key];
    entry.value = std::move(value);
    entry.version = ++m_state.lastVersion;
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
    m_state.entries[key] = Entry { std::move(value), ++m_state.lastVersion, session };
    return m_state.lastVersion;
}

bool EmulatedKeyValueStore::deleteCompared(const std::string& key, std::uint64_t expectedVersion)
{
    const Entry* current = find(key);
    if (!current || current->version != expectedVersion)
        return false;
    m_state.entries.erase(key);
    return true;
}

std::string EmulatedKeyValueStore::createSession(Duration ttl, MonotonicTime now)
{
    std::string session = "session-" + std::to_string(++m_lastSession);
    m_state.sessions[session] = Session { ttl, now + ttl };
    return session;
}

bool EmulatedKeyValueStore::renewSession(const std::string& session, MonotonicTime now)
{
    const auto found = m_state.sessions.find(session);
    if (found == m_state.sessions.end())
        return false;
    found->second.expiresAt = now + found->second.ttl;
    return true;
}

void EmulatedKeyValueStore::destroySession(const std::string& session)
{
    m_state.sessions.erase(session);
    std::erase_if(m_state.entries, [&session](const auto& entry) { return entry.second.session == session; });
}

void EmulatedKeyValueStore::restore(MonotonicTime now)
{
    m_state = m_copy;
    for (auto& [name, session] : m_state.sessions)
        session.expiresAt = now + session.ttl;
}

bool EmulatedKeyValueStore::expireSessions(MonotonicTime now)
{
    std::vector<std::string> expired;
    for (const auto& [name, session] : m_state.sessions) {
        if (session.expiresAt <= now)
            expired.push_back(name);
    }
    const std::size_t before = m_state.entries.size();
    for (const std::string& session : expired)
        destroySession(session);
    return m_state.entries.size() != before;
}

} // namespace Catkinwell
