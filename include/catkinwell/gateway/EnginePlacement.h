#pragma once

#include <catkinwell/gateway/EndpointDirectory.h>
#include <catkinwell/gateway/FleetDemand.h>
#include <catkinwell/gateway/StoreConcurrencyEstimator.h>
#include <deque>

namespace Catkinwell {

// Permission to send orders to engines.
struct PlacementPermission {
    HostId holder;
    std::uint64_t fencingToken = 0;
    // No order is sent before this time, so that the previous owner's orders have completed.
    MonotonicTime from {};
    // No order is sent after this time unless the permission is renewed.
    MonotonicTime until {};
};

struct EnginePlacementSettings {
    // Initial assumption of how many loads the weight store serves concurrently at full speed. Measured load times
    // replace it.
    unsigned concurrentStoreLoads = 4;
    // Store loads reserved for models with waiting requests.
    unsigned reservedStoreLoads = 1;
    // Additional store loads allowed for models with many waiting requests.
    unsigned extraStoreLoads = 2;
    // Load that one replica of a busy model is meant for, as a fraction of the engine's batch size and in requests;
    // the larger of the two counts, at most half of the batch.
    double busyShare = 0.1;
    double busyRequests = 3;
    // Window over which loads from the weight store are counted against their rate limit.
    Duration storeLoadWindow = std::chrono::seconds(5);
};

// Decides which engine holds which models and adapters, and sends the orders. Active only on the host that has the
// permission; the others track demand and records so that they can take over. An engine gets one order at a time. Each
// order states the number of orders that the engine has accepted so far, so that the engine refuses a delayed order.
// Pure; not thread safe.
class EnginePlacement {
public:
    // Precondition: the directory outlives this object.
    EnginePlacement(EnginePlacementSettings, EndpointDirectory&);

    void configure(const GatewayConfiguration&);
    void setSettings(const EnginePlacementSettings& settings) { m_settings = settings; }
    // nullopt while this host is not the owner.
    void setPermission(const std::optional<PlacementPermission>&, MonotonicTime now);
    void put(const EndpointRecord&, MonotonicTime now);
    void remove(const EndpointId&);
    void handle(const HostId& from, const DemandReport&, MonotonicTime now);
    void removeHost(const HostId&);

    void handle(const EngineStatus&, MonotonicTime now, EffectList&);
    void handle(const EngineStatusFailed&, MonotonicTime now, EffectList&);
    void handle(const EngineOrderFinished&, MonotonicTime now, EffectList&);
    void tick(MonotonicTime now, EffectList&);

    // Returns the engines that changed since the last call and, once a second, also those whose own records do not
    // show their state yet. Returns nullopt if there are none.
    std::optional<PlacementUpdate> takeUpdate(MonotonicTime now);
    bool isOwner() const { return m_permission.has_value(); }

private:
    // Costs, in the unit of Candidate::cost, of unloading a replica that was just loaded for waiting requests, and one
    // that a model in steady demand needs.
    static constexpr double protectedReplicaCost = 20;
    static constexpr double hotModelCost = 50;

    // Source of the weights of a load, from fastest to slowest.
    enum class WeightSource {
        HostMemory,
        Disk,
        Store,
    };

    // What to do about an engine that is busy but has a copy of the weights.
    enum class BusyEnginePolicy {
        Skip,
        WaitForCopy,
    };

    struct PendingOrder {
        EngineOrder order;
        WeightSource source = WeightSource::Store;
        // Whether the engine has accepted the order.
        bool isAccepted = false;
        MonotonicTime sentAt {};
        MonotonicTime expectedEnd {};
        StoreConcurrencyEstimator::Start storeStart {};
    };

    struct Engine {
        EndpointRecord record;
        std::uint64_t orderCount = 0;
        // Whether orderCount and models are known to be current.
        bool isVerified = false;
        LoadedModels models;
        std::set<ModelId> inHostMemory;
        std::set<ModelId> onDisk;
        // The outstanding order for a model or for an adapter. At most one of the two is set.
        std::optional<PendingOrder> pending;
        std::optional<PendingOrder> adapterPending;
        // The model to load once the unloads that make room for it are done.
        std::optional<ModelId> nextLoad;
        // Models whose unload may still be waiting for running requests.
        std::set<ModelId> unloading;
        // Adapters whose unload waits for the requests that use them. They keep their places and their memory.
        std::set<ModelVariant> leavingAdapters;
        // Consecutive refusals because of another order or a differing order count.
        unsigned conflicts = 0;
        // Consecutive failed status calls and orders.
        unsigned failures = 0;
        std::map<ModelId, MonotonicTime> loadedAt;
        std::map<ModelVariant, MonotonicTime> adapterUse;
        MonotonicTime nextStatusAt {};
        bool isStatusPending = false;
        // Only a status requested after this time verifies the engine.
        MonotonicTime verifyAfter {};
        MonotonicTime notBefore {};
        bool isChanged = true;
        // When a change of the engine was last published.
        MonotonicTime changedAt {};
    };

    using ServiceModel = std::pair<std::string, ModelId>;

    // State and demand of one model over all engines and hosts, including demand for its adapters.
    struct ModelSummary {
        unsigned waiting = 0;
        // Arrivals per second, in total and for adapters.
        double rate = 0;
        double adapterRate = 0;
        // Moving average of running requests.
        double running = 0;
        std::vector<Engine*> holders;
        // Engines that do not hold the model but have its weights in host memory or on disk.
        std::vector<Engine*> copyHolders;
        std::set<DataCentreId> dataCentres;
        // Reachable engines that hold the model, are loading it or load it next.
        unsigned usableReplicas = 0;
        // Engines that hold the model, are loading it, load it next or have it on disk.
        unsigned copies = 0;
    };

    using ModelSummaries = std::map<ServiceModel, ModelSummary>;

    // An engine that could load a model, and the models to unload first.
    struct Candidate {
        Engine* engine = nullptr;
        std::vector<ModelId> victims;
        WeightSource source = WeightSource::Store;
        double cost = 0;
    };

    // Counts the loads from the weight store and forgets those that no longer count against its rate.
    void updateStoreLoads(MonotonicTime now);
    void planAdapters(MonotonicTime now, EffectList&);
    void planWaitingModels(MonotonicTime now, EffectList&);
    void planVersionWaits(MonotonicTime now, EffectList&);
    // Whether streams of the engine's software version wait for the model.
    bool isAwaited(const Engine&, const ModelId&) const;
    void planVersionWait(const VersionWait&, MonotonicTime now, EffectList&);
    void planAdapter(const ModelVariant&, const ModelSummary&, MonotonicTime now, EffectList&);
    void planBusyModels(MonotonicTime now, EffectList&);
    void planCopies(MonotonicTime now, EffectList&);
    void continueLoad(Engine&, MonotonicTime now, EffectList&);
    void beginLoad(const Candidate&, const ModelId&, std::string_view reason, MonotonicTime now, EffectList&);
    // With a software version, only engines of it count.
    std::optional<Candidate> bestCandidate(const std::string& service, const ModelId&, bool mayUseStore,
        BusyEnginePolicy, MonotonicTime now, const std::optional<std::string>& softwareVersion = std::nullopt);
    Duration timeUntilFree(const Engine&, MonotonicTime now) const;
    std::optional<Candidate> candidateOn(
        Engine&, const GatewayModel&, const GatewayEngine&, bool mayUseStore, MonotonicTime now);
    // As bestCandidate(), but judges one engine; nullopt if it does not come into question.
    std::optional<Candidate> candidateFor(Engine&, const GatewayEngine&, const GatewayModel&, bool mayUseStore,
        BusyEnginePolicy, MonotonicTime now, const std::optional<std::string>& softwareVersion);
    std::optional<Candidate> bestCopyCandidate(const std::string& service, const GatewayModel&, MonotonicTime now);
    double adapterRate(const Engine&, MonotonicTime now);
    double evictionCost(const Engine&, const ModelId&, MonotonicTime now);
    void giveOrder(
        Engine&, EngineOrderKind, const ModelVariant&, std::string_view reason, MonotonicTime now, EffectList&);
    void finishPendingLoad(Engine&, MonotonicTime now);
    void noteCompletion(Engine&, const LoadedModels&, MonotonicTime now);
    void applyReportedModels(Engine&, const LoadedModels&, MonotonicTime now);
    void requireVerification(Engine&, MonotonicTime now);
    void noteFailedOrder(Engine&, MonotonicTime now);
    void fetchStatus(Engine&, MonotonicTime now, EffectList&);
    void updateRunning(MonotonicTime now);
    // Recomputes the summaries on the first call after a change.
    const ModelSummaries& summaries(MonotonicTime now);
    const ModelSummary& summaryOf(const std::string& service, const ModelId&, MonotonicTime now);
    void invalidateSummaries() { m_summaries.reset(); }
    // Counts the model that the engine will load in the current summaries, so that a plan with many loads need not
    // compute them again for each.
    void noteUpcoming(const Engine&, const ModelId&, MonotonicTime now);
    Duration planInterval() const;
    Engine* adapterEngine(const ModelSummary&, const ModelVariant&, MonotonicTime now);
    void makeRoomForAdapter(Engine&, MonotonicTime now, EffectList&);
    bool needsUpdate(const Engine&, bool isRepeat, MonotonicTime now) const;

    bool mayOrder(const Engine&, MonotonicTime now) const;
    void finishAdapterLoad(Engine&, MonotonicTime now);
    void handleAdapterOrder(Engine&, const EngineOrderFinished&, MonotonicTime now);
    bool mayLoadFromStore(const std::string& service, unsigned waiting, MonotonicTime now) const;
    unsigned storeLoadBound(unsigned waiting) const;
    // Returns how many loads from the weight store may run at full speed, or may be tried to.
    unsigned storeConcurrency() const;
    bool isUnderStoreRate(const std::string& service, MonotonicTime now) const;
    unsigned storeLoadsPlanned() const;
    unsigned storeLoadsRunning() const;
    static bool isStoreLoad(const std::optional<PendingOrder>&);
    // Returns the model that the engine is loading or loads next; an engine loads one model at a time.
    static std::optional<ModelId> upcomingModel(const Engine&);
    // Returns when an adapter on the engine was last requested, as far as this host knows.
    MonotonicTime adapterUsedAt(const Engine&, const ModelVariant&) const;
    WeightSource sourceOf(const Engine&, const ModelId&) const;
    Duration loadTime(const Engine&, const ModelId&, WeightSource) const;
    const GatewayModel* settingsOf(const Engine&, const ModelId&) const;
    std::vector<ServiceModel> modelsByLoad(MonotonicTime now);
    bool isReachable(const Engine&, MonotonicTime now) const;
    // Whether the engine gets no orders and does not count, because its data centre is under evacuation.
    bool isEvacuated(const Engine&) const;
    // Gives up loads that have not been ordered yet at engines under evacuation.
    void dropEvacuatedLoads();
    unsigned wantedReplicas(const std::string& service, const ModelSummary&) const;
    // Whether an engine can hold these models and, beside them, as many adapters as it has places.
    static bool fits(const std::set<ModelId>&, const GatewayEngine&);
    // Whether the engine has a place and the memory for one more adapter of the model.
    bool hasRoomForAdapter(const Engine&, const ModelId&) const;
    // Forgets adapters as leaving that the engine no longer lists.
    static void noteUnloadedAdapters(Engine&, const LoadedModels&);
    // Returns the models without the adapters that leave the engine.
    static LoadedModels withoutLeaving(const Engine&, LoadedModels);
    EngineUpdate updateOf(const Engine&, MonotonicTime now) const;
    // Returns what hosts can expect of the weight store, for each service with engines.
    std::vector<StoreLoadForecast> forecasts(MonotonicTime now);
    StoreQueue storeQueueOf(const std::string& service, const GatewayEngine&, MonotonicTime now);

    EnginePlacementSettings m_settings;
    EndpointDirectory& m_directory;
    GatewayConfiguration m_configuration;
    std::optional<PlacementPermission> m_permission;
    std::map<EndpointId, Engine> m_engines;
    FleetDemand m_demand;
    // By host, without empty sets.
    std::map<HostId, std::set<VersionWait>> m_versionWaits;
    // Moving averages of running requests per model.
    std::map<ServiceModel, double> m_running;
    std::optional<ModelSummaries> m_summaries;
    std::deque<MonotonicTime> m_storeLoadStarts;
    // Loads from the weight store that run or are planned, as of the current plan.
    unsigned m_plannedStoreLoads = 0;
    StoreConcurrencyEstimator m_storeConcurrency;
    std::uint64_t m_lastCommand = 0;
    std::uint64_t m_updateSequence = 0;
    MonotonicTime m_nextUpdateRepeatAt {};
    MonotonicTime m_nextForecastAt {};
    MonotonicTime m_nextPlanAt {};
    MonotonicTime m_nextBusyPlanAt {};
    MonotonicTime m_runningUpdatedAt {};
    // Whether a busy model waits for a load from the weight store. Copies of idle models are held back meanwhile.
    bool m_busyModelNeedsStore = false;
};

} // namespace Catkinwell
