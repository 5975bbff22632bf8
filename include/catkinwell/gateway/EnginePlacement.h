#pragma once

#include <catkinwell/gateway/EndpointDirectory.h>
#include <catkinwell/gateway/FleetDemand.h>
#include <catkinwell/gateway/WeightStoreSpeed.h>
#include <deque>

namespace Catkinwell {

// The permission to give orders to engines.
struct PlacementPermission {
    HostId holder;
    std::uint64_t fencingToken = 0;
    // No order is given before this time, so that the former owner's orders are over.
    MonotonicTime from {};
    // No order is given after this time unless the permission is renewed.
    MonotonicTime until {};
};

struct EnginePlacementSettings {
    // Loads from the weight store that are assumed to run together at full speed, until their times say otherwise.
    unsigned concurrentStoreLoads = 4;
    // Kept for models that requests wait for.
    unsigned reservedStoreLoads = 1;
    // Further ones that may run for models that many requests wait for.
    unsigned extraStoreLoads = 2;
    // Running requests that a replica of a busy model takes, as a part of the engine's batch.
    double busyShare = 0.1;
    // The span over which the loads from the weight store are counted against their rate.
    Duration storeLoadWindow = std::chrono::seconds(5);
};

// Decides which engine holds which models and adapters, and gives the orders. Active only on the host that has the
// permission; the others keep the demand and the records so that they can take over. An engine is given one order at
// a time, each bound to the number of orders that the engine had accepted, so that a late one cannot overtake.
// Pure; not thread safe.
class EnginePlacement {
public:
    // Precondition: the directory outlives this object.
    EnginePlacement(EnginePlacementSettings, EndpointDirectory&);

    void configure(const GatewayConfiguration&);
    void setSettings(const EnginePlacementSettings& settings) { m_settings = settings; }
    // Nothing while this host is not the owner.
    void setPermission(const std::optional<PlacementPermission>&, MonotonicTime now);
    void put(const EndpointRecord&, MonotonicTime now);
    void remove(const EndpointId&);
    void handle(const HostId& from, const DemandReport&, MonotonicTime now);
    void removeHost(const HostId&);

    void handle(const EngineStatus&, MonotonicTime now, EffectList&);
    void handle(const EngineStatusFailed&, MonotonicTime now, EffectList&);
    void handle(const EngineOrderFinished&, MonotonicTime now, EffectList&);
    void tick(MonotonicTime now, EffectList&);

    // What changed since the last call, and once a second what the engines' own records do not show yet; nothing if
    // there is nothing to say.
    std::optional<PlacementNews> takeNews(MonotonicTime now);
    bool isOwner() const { return m_permission.has_value(); }

private:
    // What it costs, in the units of Candidate::cost, to unload a replica that was just loaded for waiting requests,
    // and one that a model in steady demand needs.
    static constexpr double protectedValue = 20;
    static constexpr double hotValue = 50;

    // Where the weights of a load come from, from the fastest to the slowest.
    enum class WeightSource {
        HostMemory,
        Disk,
        Store,
    };

    // Whether a model may wait for a busy engine that has a copy.
    enum class Patience {
        None,
        WaitForCopy,
    };

    struct Pending {
        EngineOrder order;
        WeightSource source = WeightSource::Store;
        // Whether the engine has accepted it.
        bool isAccepted = false;
        MonotonicTime sentAt {};
        MonotonicTime expectedEnd {};
        WeightStoreSpeed::Start storeStart {};
    };

    struct Engine {
        EndpointRecord record;
        std::uint64_t orderCount = 0;
        // Whether the number of orders and the models are known to be current.
        bool isVerified = false;
        LoadedModels models;
        std::set<ModelId> inHostMemory;
        std::set<ModelId> onDisk;
        // The order for a model, and the one for an adapter, which may be given meanwhile.
        std::optional<Pending> pending;
        std::optional<Pending> adapterPending;
        // The model that is loaded when the pending unload is done.
        std::optional<ModelId> nextLoad;
        // Models whose unloading may still wait for running requests.
        std::set<ModelId> unloading;
        // Refusals in a row because of another order or another number of orders.
        unsigned conflicts = 0;
        // Failed status calls and orders in a row.
        unsigned failures = 0;
        std::map<ModelId, MonotonicTime> loadedAt;
        std::map<ModelVariant, MonotonicTime> adapterUse;
        MonotonicTime nextStatusAt {};
        bool isStatusPending = false;
        // Only a report that was asked for later counts for the verification.
        MonotonicTime verifyAfter {};
        MonotonicTime notBefore {};
        bool isChanged = true;
        // When it last was in the news because of a change.
        MonotonicTime changedAt {};
    };

    using ServiceModel = std::pair<std::string, ModelId>;

    // One model over all engines and hosts, with the demand for its adapters.
    struct ModelSummary {
        unsigned waiting = 0;
        // Arrivals a second, and those for adapters.
        double rate = 0;
        double adapterRate = 0;
        // Running requests, averaged over the recent past.
        double running = 0;
        std::vector<Engine*> holders;
        std::set<DataCentreId> dataCentres;
        // Reachable engines that hold it or are loading it.
        unsigned usableReplicas = 0;
        // Engines that hold it, are loading it or have it on their disks.
        unsigned copies = 0;
    };

    using ModelSummaries = std::map<ServiceModel, ModelSummary>;

    // An engine that could take a model, and what would make way.
    struct Candidate {
        Engine* engine = nullptr;
        std::vector<ModelId> victims;
        WeightSource source = WeightSource::Store;
        double cost = 0;
    };

    void planAdapters(MonotonicTime now, EffectList&);
    void planWaitingModels(MonotonicTime now, EffectList&);
    void planBusyModels(MonotonicTime now, EffectList&);
    void planCopies(MonotonicTime now, EffectList&);
    void continueLoad(Engine&, MonotonicTime now, EffectList&);
    void begin(const Candidate&, const ModelId&, std::string_view reason, MonotonicTime now, EffectList&);
    std::optional<Candidate> bestCandidate(
        const std::string& service, const ModelId&, bool mayUseStore, Patience, MonotonicTime now);
    Duration freeIn(const Engine&, MonotonicTime now) const;
    std::optional<Candidate> candidateOn(
        Engine&, const GatewayModel&, const GatewayEngine&, bool mayUseStore, MonotonicTime now);
    std::optional<Candidate> bestCopyCandidate(const std::string& service, const GatewayModel&, MonotonicTime now);
    double adapterRate(const Engine&, MonotonicTime now);
    double keepValue(const Engine&, const ModelId&, MonotonicTime now);
    void giveOrder(
        Engine&, EngineOrderKind, const ModelVariant&, std::string_view reason, MonotonicTime now, EffectList&);
    void finishPending(Engine&, MonotonicTime now);
    void noteCompletion(Engine&, const LoadedModels&, MonotonicTime now);
    void takeModels(Engine&, const LoadedModels&, MonotonicTime now);
    void requireVerification(Engine&, MonotonicTime now);
    void noteFailedOrder(Engine&, MonotonicTime now);
    void fetchStatus(Engine&, MonotonicTime now, EffectList&);
    void updateRunning(MonotonicTime now);
    // The summaries are made when they are first asked for after a change.
    const ModelSummaries& summaries(MonotonicTime now);
    const ModelSummary& summaryOf(const std::string& service, const ModelId&, MonotonicTime now);
    void forgetSummaries() { m_summaries.reset(); }
    Duration planInterval() const;
    Engine* adapterEngine(const ModelSummary&, const ModelVariant&, MonotonicTime now);
    void makeRoomForAdapter(Engine&, MonotonicTime now, EffectList&);
    bool isInNews(const Engine&, bool isRepeat, MonotonicTime now) const;

    bool mayOrder(const Engine&, MonotonicTime now) const;
    void finishAdapter(Engine&, MonotonicTime now);
    void handleAdapterOrder(Engine&, const EngineOrderFinished&, MonotonicTime now);
    bool mayLoadFromStore(const std::string& service, unsigned waiting, MonotonicTime now) const;
    unsigned storeLoadBound(unsigned waiting) const;
    bool isUnderStoreRate(const std::string& service, MonotonicTime now) const;
    unsigned storeLoadsPlanned() const;
    unsigned storeLoadsRunning() const;
    static bool isStoreLoad(const std::optional<Pending>&);
    // The model that the engine is loading or loads next; it does one at a time.
    static std::optional<ModelId> comingModel(const Engine&);
    // When an adapter on the engine was last asked for, as far as this host knows.
    MonotonicTime adapterUsedAt(const Engine&, const ModelVariant&) const;
    WeightSource sourceOf(const Engine&, const ModelId&) const;
    Duration loadTime(const Engine&, const ModelId&, WeightSource) const;
    const GatewayModel* settingsOf(const Engine&, const ModelId&) const;
    std::vector<ServiceModel> modelsByLoad(MonotonicTime now);
    bool isReachable(const Engine&, MonotonicTime now) const;
    unsigned wantedReplicas(const std::string& service, const ModelSummary&) const;
    double memoryUsed(const Engine&, const GatewayEngine&) const;
    EngineNews newsOf(const Engine&, MonotonicTime now) const;

    EnginePlacementSettings m_settings;
    EndpointDirectory& m_directory;
    GatewayConfiguration m_configuration;
    std::optional<PlacementPermission> m_permission;
    std::map<EndpointId, Engine> m_engines;
    FleetDemand m_demand;
    // Averages of the running requests of each model.
    std::map<ServiceModel, double> m_running;
    std::optional<ModelSummaries> m_summaries;
    std::deque<MonotonicTime> m_storeLoads;
    WeightStoreSpeed m_storeSpeed;
    std::uint64_t m_lastCommand = 0;
    std::uint64_t m_newsSequence = 0;
    MonotonicTime m_nextNewsRepeatAt {};
    MonotonicTime m_nextPlanAt {};
    MonotonicTime m_nextBusyPlanAt {};
    MonotonicTime m_runningUpdatedAt {};
    // A busy model waits for a load from the weight store, which goes before copies of idle ones.
    bool m_busyModelNeedsStore = false;
};

} // namespace Catkinwell
