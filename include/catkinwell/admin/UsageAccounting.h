#pragma once

#include <catkinwell/admin/UsageReport.h>
#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/reducer/Effect.h>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace Catkinwell {

// The budget that a host's figures are compared with.
struct BudgetScope {
    // The fleet's monthly budget in accelerator hours; 0 means no budget.
    double monthlyHours = 0;
    // The fraction of the budget for the data centres whose placement this host owns, for example
    // engineFraction(); 0 if it owns none.
    double fraction = 1;
};

// Returns the fraction of the fleet's engine memory that is in the data centre, between 0 and 1. Thread safe.
double engineFraction(const FleetConfiguration&, const DataCentreId&);

enum class ReplicaOrigin {
    // The host observed the end of the load, and counts it as a load.
    LoadedNow,
    // The replica was already loaded when the host began to count it; no load is counted.
    FoundLoaded,
};

// Counts accelerator time, loads, cold starts, tokens and refusals of this host.
// The replica functions are called only by the host that owns the placement of the
// replica's data centre, so that each replica is counted once in the fleet; the
// other functions are called by the host that served the request. Not thread safe.
class UsageAccounting {
public:
    // Models and accounts beyond the limit are counted together under "other"; further replicas are not counted.
    static constexpr std::size_t maximumModels = 4096;
    static constexpr std::size_t maximumAccounts = 256;
    static constexpr std::size_t maximumReplicas = 16384;
    static constexpr std::size_t maximumReasons = 32;
    // Maximum number of (account, model) pairs with tokens; the tokens of further pairs are counted for the model
    // "other".
    static constexpr std::size_t maximumPairs = 16384;

    UsageAccounting(HostId, MonotonicTime now, WallTime wallNow);

    // accelerators: the number of the endpoint's accelerators that the replica occupies, for example
    // its share of the memory times the number of accelerators. Repeated calls for a known replica are ignored.
    void replicaLoaded(const EndpointId&, const ModelId&, ReplicaOrigin, MonotonicTime now, double accelerators = 1);
    void replicaUnloaded(const EndpointId&, const ModelId&, MonotonicTime now);
    // Unknown replicas are ignored.
    void setReplicaBusy(const EndpointId&, const ModelId&, bool busy, MonotonicTime now);
    // Stops counting all replicas. Called when this host loses the ownership of its data centre's placement.
    void stopCountingReplicas(MonotonicTime now);

    void coldStart(const AccountId&, const ModelId&);
    // Amounts of zero or less are ignored.
    void tokensUsed(const AccountId&, const ModelId&, TokenCount);
    void requestRefused(const AccountId&, const ModelId&, const std::string& reason);

    // Logs BudgetNearlyExceeded when four fifths of this host's part of the budget are used or the
    // forecast exceeds it, and BudgetExceeded when the part is exceeded; each at most once a month.
    void tick(MonotonicTime now, WallTime wallNow, const BudgetScope&, EffectList& effects);

    // Includes the replicas that are loaded now.
    UsageReport report(MonotonicTime now, WallTime wallNow);

private:
    struct Replica {
        double accelerators = 1;
        bool busy = false;
        MonotonicTime countedUntil {};
    };
    struct Bucket {
        MonotonicTime since {};
        double hours = 0;
    };
    using ReplicaKey = std::pair<EndpointId, ModelId>;

    void settle(const ReplicaKey&, Replica&, MonotonicTime now);
    void settleAll(MonotonicTime now);
    void integrate(MonotonicTime now);
    void enterMonth(WallTime wallNow);
    double meanAccelerators(MonotonicTime now) const;
    ModelId boundedModel(const ModelId&) const;
    AccountId boundedAccount(const AccountId&) const;

    UsageReport m_report;
    std::map<ReplicaKey, Replica> m_replicas;
    std::size_t m_pairs = 0;
    double m_loadedAccelerators = 0;
    MonotonicTime m_integratedUntil;
    // One for each of the last 24 hours.
    std::deque<Bucket> m_buckets;
    int m_month = 0;
    bool m_warned = false;
    bool m_exceeded = false;
};

} // namespace Catkinwell
