#include <catkinwell/admin/AuditLog.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<AuditOutcome, 3> auditOutcomeNames { {
        { AuditOutcome::Accepted, "accepted" },
        { AuditOutcome::Refused, "refused" },
        { AuditOutcome::Unknown, "unknown" },
    } };

} // namespace

std::string_view nameOf(AuditOutcome outcome) { return auditOutcomeNames.nameOf(outcome); }

AuditLog::AuditLog(std::size_t maximumEntries)
    : m_maximumEntries(maximumEntries)
{
}

void AuditLog::add(AuditEntry entry)
{
    entry.sequence = ++m_lastSequence;
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > m_maximumEntries)
        m_entries.pop_front();
}

} // namespace Catkinwell
