#pragma once

#include <admin/AdminCall.h>
#include <admin/ConfigurationEdit.h>
#include <catkinwell/admin/AuditLog.h>
#include <catkinwell/configuration/ConfigurationAccess.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace Catkinwell {

// Proposes operators' changes of the configuration, answers them when their
// outcome is known, and keeps the audit list. Not thread safe.
class AdminChanges {
public:
    AdminChanges(ConfigurationAccess&, std::size_t maximumPending, Duration timeout);

    using Edit = std::function<EditResult(const AdminCall&, const FleetConfiguration& accepted)>;

    // Checks the version, makes the edit and proposes it. Returns the answer, or
    // nothing if the answer comes from poll().
    std::optional<AdminAnswer> submit(const AdminCall&, const Edit&, EffectList& effects);

    // Answers the changes whose outcome is known or whose time is over.
    void poll(MonotonicTime now, EffectList& effects);

    // Writes a write's outcome to the log and, unless it was refused, to the audit list.
    void record(const AdminCall&, const AdminAnswer&, EffectList& effects);

    std::size_t pending() const { return m_pending.size(); }
    const AuditLog& audit() const { return m_audit; }

private:
    struct PendingChange {
        AdminCall call;
        nlohmann::json answer;
        MonotonicTime deadline;
    };
    struct FinishedChange {
        std::string changeId;
        std::string contentDigest;
        ConfigurationVersion version = 0;
    };

    std::optional<AdminAnswer> checkBase(const AdminCall&) const;
    std::optional<AdminAnswer> answerRepeat(const AdminCall&) const;
    void finish(const PendingChange&, const Result<ConfigurationVersion>&, EffectList& effects);

    ConfigurationAccess& m_configuration;
    std::size_t m_maximumPending;
    Duration m_timeout;
    std::uint64_t m_lastTicket = 0;
    std::map<std::uint64_t, PendingChange> m_pending;
    // The most recent changes with an identifier of the caller, to answer repeats.
    std::deque<FinishedChange> m_finished;
    AuditLog m_audit;
};

} // namespace Catkinwell
