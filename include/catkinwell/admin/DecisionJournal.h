#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/logging/LogEvent.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace Catkinwell {

struct JournalEntry {
    MonotonicTime at {};
    LogEntry entry;
};

// A bounded in-memory log of this host's recent events, which `catkinwell admin explain` reads.
// The oldest entries are dropped when a limit is reached. Not thread safe.
class DecisionJournal {
public:
    // Limits: the number of entries, and the bytes of their text including a fixed overhead for each entry and field.
    explicit DecisionJournal(std::size_t maximumEntries = 20000, std::size_t maximumBytes = 8U << 20);

    // An entry that exceeds the byte limit by itself is not kept.
    void add(const LogEntry&, MonotonicTime now);

    // Returns the entries with a field "request" or "request_id" of this value, oldest first. Scans the whole journal.
    std::vector<JournalEntry> entriesOfRequest(std::string_view requestId) const;
    // Returns the newest entries with a field "model" of this value, oldest first.
    std::vector<JournalEntry> entriesOfModel(std::string_view model, std::size_t limit) const;

    std::size_t entries() const { return m_entries.size(); }
    std::size_t bytes() const { return m_bytes; }
    // Returns the number of entries dropped since the start.
    std::uint64_t dropped() const { return m_dropped; }

private:
    void dropOldest();

    std::size_t m_maximumEntries;
    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    std::uint64_t m_dropped = 0;
    std::deque<JournalEntry> m_entries;
};

} // namespace Catkinwell
