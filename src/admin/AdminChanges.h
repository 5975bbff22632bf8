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

// Proposes operators' changes of the configuration, answers the requests when the
// outcome is known, and keeps the audit log. Not thread safe.
class AdminChanges {
public:
    AdminChanges(ConfigurationAccess&, std::size_t maximumPending, Duration timeout);

    using Edit = std::function<EditResult(const AdminCall&, const FleetConfiguration& accepted)>;

    // Checks the version, applies the edit and proposes the result. Returns the answer, or
    // nothing if poll() will give it.
    std::optional<AdminAnswer> submit(const AdminCall&, const Edit&, EffectList& effects);

    // Answers the changes whose outcome is known or whose deadline has passed.
    void poll(MonotonicTime now, EffectList& effects);

    // Logs the outcome of a change and, unless it was refused, adds it to the audit log.
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
    std::optional<AdminAnswer> answerRetry(const AdminCall&) const;
    void finish(const PendingChange&, const Result<ConfigurationVersion>&, EffectList& effects);

    ConfigurationAccess& m_configuration;
    std::size_t m_maximumPending;
    Duration m_timeout;
    std::uint64_t m_lastTicket = 0;
    std::map<std::uint64_t, PendingChange> m_pending;
    // The most recent changes with an identifier from the caller, used to answer retries.
    std::deque<FinishedChange> m_finished;
    AuditLog m_audit;
};

} // namespace Catkinwell
