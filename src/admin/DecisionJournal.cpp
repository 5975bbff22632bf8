#include <catkinwell/admin/DecisionJournal.h>

#include <algorithm>

namespace Catkinwell {

namespace {

    std::size_t bytesOf(const LogEntry& entry)
    {
        std::size_t bytes = sizeof(JournalEntry);
        for (const auto& [name, value] : entry.fields)
            bytes += sizeof(entry.fields.front()) + name.size() + value.size();
        return bytes;
    }

    bool hasField(const LogEntry& entry, std::string_view name, std::string_view value)
    {
        return std::any_of(entry.fields.begin(), entry.fields.end(),
            [&](const auto& field) { return field.first == name && field.second == value; });
    }

} // namespace

DecisionJournal::DecisionJournal(std::size_t maximumEntries, std::size_t maximumBytes)
    : m_maximumEntries(maximumEntries)
    , m_maximumBytes(maximumBytes)
{
}

void DecisionJournal::add(const LogEntry& entry, MonotonicTime now)
{
    const std::size_t bytes = bytesOf(entry);
    if (bytes > m_maximumBytes || m_maximumEntries == 0) {
        ++m_dropped;
        return;
    }
    while (m_entries.size() >= m_maximumEntries || m_bytes + bytes > m_maximumBytes)
        dropOldest();
    m_entries.push_back({ now, entry });
    m_bytes += bytes;
}

std::vector<JournalEntry> DecisionJournal::entriesOfRequest(std::string_view requestId) const
{
    std::vector<JournalEntry> found;
    std::copy_if(m_entries.begin(), m_entries.end(), std::back_inserter(found), [&](const JournalEntry& entry) {
        return hasField(entry.entry, "request", requestId) || hasField(entry.entry, "request_id", requestId);
    });
    return found;
}

std::vector<JournalEntry> DecisionJournal::entriesOfModel(std::string_view model, std::size_t limit) const
{
    std::vector<JournalEntry> found;
    for (auto entry = m_entries.rbegin(); entry != m_entries.rend() && found.size() < limit; ++entry) {
        if (hasField(entry->entry, "model", model))
            found.push_back(*entry);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

void DecisionJournal::dropOldest()
{
    m_bytes -= bytesOf(m_entries.front().entry);
    m_entries.pop_front();
    ++m_dropped;
}

} // namespace Catkinwell
