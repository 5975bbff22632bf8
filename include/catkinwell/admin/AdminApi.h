#pragma once

#include <catkinwell/admin/AdminCredential.h>
#include <catkinwell/admin/AdminInterfaces.h>
#include <catkinwell/admin/AuditLog.h>
#include <catkinwell/admin/DecisionJournal.h>
#include <catkinwell/admin/UsageAccounting.h>
#include <catkinwell/configuration/ConfigurationAccess.h>
#include <catkinwell/metrics/MetricsRegistry.h>
#include <catkinwell/reducer/Event.h>
#include <memory>
#include <vector>

namespace Catkinwell {

// The objects must outlive the AdminApi.
struct AdminDependencies {
    ConfigurationAccess& configuration;
    const StatusSource& status;
    const ReadinessSource& readiness;
    DrainControl& drains;
    QuarantineControl& quarantine;
    SecretSource& secrets;
    const MetricsRegistry& metrics;
    const DecisionJournal& journal;
    UsageAccounting& usage;
};

struct AdminApiSettings {
    std::vector<AdminCredential> credentials;
    // Requests without a valid token that are logged and answered with 401 in each window; further ones get 429.
    // The limit never applies to requests with a valid token; otherwise an attacker could lock operators out.
    std::uint32_t maximumFailuresPerWindow = 20;
    Duration failureWindow = std::chrono::seconds(60);
    // Maximum number of changes that wait for the store. Each may hold the differences of a whole document.
    std::size_t maximumPendingChanges = 16;
    // A change that the store has not confirmed after this time is answered with the outcome unknown.
    Duration changeTimeout = std::chrono::seconds(20);
};

// Answers the requests on the administration listener: /healthz, /readyz, /metrics
// and the resources under /admin/v1 (docs/api.md). Every request is answered by
// exactly one SendWholeResponse effect. Not thread safe.
class AdminApi {
public:
    AdminApi(AdminApiSettings, AdminDependencies);
    ~AdminApi();
    AdminApi(const AdminApi&) = delete;
    AdminApi& operator=(const AdminApi&) = delete;

    // Answers at once, or, for a change of the configuration, from a later poll().
    // Uses the headers If-Match, X-Audit-Reason and X-Change-Id of the request.
    void handle(const AdminRequestArrived&, MonotonicTime now, WallTime wallNow, EffectList& effects);

    // Answers the changes whose outcome is known or whose deadline has passed. Call it
    // after each event that the configuration module has handled, and on each Tick.
    void poll(MonotonicTime now, EffectList& effects);

    // Number of changes whose outcome is pending. A graceful shutdown waits until there are none.
    std::size_t pendingChanges() const;

    const AuditLog& audit() const;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace Catkinwell
