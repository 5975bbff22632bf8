#pragma once

#include <catkinwell/core/Clock.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Catkinwell {

enum class AuditOutcome {
    Accepted,
    Refused,
    // The store did not confirm the change; it may have taken effect.
    Unknown,
};

std::string_view nameOf(AuditOutcome);

struct AuditEntry {
    std::uint64_t sequence = 0;
    WallTime at {};
    // Name of the credential.
    std::string who;
    // For example "PUT accounts/quay-3".
    std::string action;
    std::string reason;
    AuditOutcome outcome = AuditOutcome::Accepted;
    // The configuration version that the change created; 0 if it created none.
    std::uint64_t version = 0;
    // JSON pointers of the first changed fields.
    std::vector<std::string> paths;
};

// The most recent changes that this host made. The permanent record is in the log events
// 2000 to 2002, which include refused changes. Not thread safe.
class AuditLog {
public:
    explicit AuditLog(std::size_t maximumEntries = 1000);

    // Assigns the sequence number and removes the oldest entry when the log is full.
    void add(AuditEntry);
    // Oldest first.
    const std::deque<AuditEntry>& entries() const { return m_entries; }

private:
    std::size_t m_maximumEntries;
    std::uint64_t m_lastSequence = 0;
    std::deque<AuditEntry> m_entries;
};

} // namespace Catkinwell
