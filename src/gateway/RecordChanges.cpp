#include <catkinwell/gateway/RecordChanges.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    // Changes other than heartbeats between two batches are few; a change of more records makes hosts read once more.
    constexpr std::size_t maximumChanges = 4096;

} // namespace

RecordChanges::RecordChanges(const ForwardingProtocol& protocol)
    : m_protocol(protocol)
{
}

RecordChanges::Known RecordChanges::read(const StoreEntry& entry) const
{
    auto result = m_protocol.readEndpoint(entry.key, entry.value);
    if (isError(result))
        return { entry, {}, false };
    Known known { entry, takeValue(std::move(result)), true };
    known.record.heartbeat = 0;
    return known;
}

void RecordChanges::reset(const std::map<std::string, StoreEntry>& entries, StoreVersion version)
{
    m_known.clear();
    m_changes.clear();
    m_forgottenUntil = version;
    for (const auto& [key, entry] : entries) {
        m_known[key] = read(entry);
        // The later pages of a list may be newer than its version.
        m_forgottenUntil = std::max(m_forgottenUntil, entry.version);
    }
}

std::vector<StoreEntry> RecordChanges::note(const std::vector<StoreEntry>& changes)
{
    std::vector<StoreEntry> differing;
    for (const StoreEntry& entry : changes) {
        const auto known = m_known.find(entry.key);
        if (!entry.isDeleted) {
            Known next = read(entry);
            const bool isSame = known != m_known.end() && next.isReadable && known->second.isReadable
                && next.record == known->second.record;
            m_known[entry.key] = std::move(next);
            if (isSame)
                continue;
        } else if (known != m_known.end()) {
            differing.push_back(std::move(known->second.latest));
            m_known.erase(known);
        }
        noteChange(entry);
        differing.push_back(entry);
    }
    return differing;
}

void RecordChanges::noteChange(const StoreEntry& entry)
{
    m_changes.emplace(entry.version, entry.key);
    while (m_changes.size() > maximumChanges) {
        m_forgottenUntil = m_changes.begin()->first;
        m_changes.erase(m_changes.begin());
    }
}

std::optional<std::vector<StoreEntry>> RecordChanges::since(StoreVersion version) const
{
    if (version < m_forgottenUntil)
        return std::nullopt;
    std::map<std::string, StoreEntry> latest;
    for (auto change = m_changes.upper_bound(version); change != m_changes.end(); ++change) {
        const auto& [changedAt, key] = *change;
        const auto known = m_known.find(key);
        latest[key] = known == m_known.end() ? StoreEntry { key, "", changedAt, true } : known->second.latest;
    }
    std::vector<StoreEntry> entries;
    entries.reserve(latest.size());
    for (auto& [key, entry] : latest)
        entries.push_back(std::move(entry));
    return entries;
}

bool RecordChanges::hasOtherChangeSince(StoreVersion version, const std::vector<StoreEntry>& entries) const
{
    if (version < m_forgottenUntil)
        return true;
    return std::any_of(m_changes.upper_bound(version), m_changes.end(), [&entries](const auto& change) {
        return std::none_of(
            entries.begin(), entries.end(), [&change](const StoreEntry& entry) { return entry.key == change.second; });
    });
}

} // namespace Catkinwell
