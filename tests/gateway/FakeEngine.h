#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/gateway/EnginePlacement.h>
#include <deque>

namespace Catkinwell::Testing {

// Faults that an engine simulates.
struct EngineFaults {
    // Fraction of orders whose answer is lost.
    double lostAnswers = 0;
    // Fraction of the orders with a lost answer that are carried out seconds later; the others run immediately.
    double lateOrders = 0;
};

// What an engine can hold, and what each model and each of its adapters needs.
struct EngineSizes {
    double memoryMb = 0;
    std::size_t adapterPlaces = 0;
    std::map<ModelId, GatewayModel> models;
};

// An engine with memory for two models, unless it is given other sizes, that carries out one order at a time, reports
// its state with a delay of 200 ms and lets an unload wait for running requests. It records each order that would
// exceed its capacity.
class FakeEngine {
public:
    FakeEngine(std::string id, LoadedModels, EngineFaults, std::uint64_t seed);

    // Returns the answer to the owner; nullopt if it is lost.
    std::optional<EngineOrderOutcome> handle(const EngineOrder&, MonotonicTime now);
    void advance(MonotonicTime now);
    EngineStatus status(MonotonicTime now) const;
    EndpointRecord record() const;
    // Loses all models in memory and the order count, as in a crash.
    void restart(MonotonicTime now);
    // As restart(), under another identifier.
    void restartAs(const std::string& id, MonotonicTime now);
    // An unload of the model waits until this time.
    void keepRunning(const ModelId& model, MonotonicTime until) { m_runningUntil[model] = until; }

    // Requests use the adapter until this time; its unload waits for them.
    void useAdapter(const ModelVariant& adapter, MonotonicTime until) { m_adapterUsedUntil[adapter] = until; }
    void setSizes(EngineSizes sizes) { m_sizes = std::move(sizes); }

    // The software version in its record.
    void setVersion(std::string version) { m_version = std::move(version); }
    void putOnDisk(const ModelId& model) { m_onDisk.insert(model); }

    const std::vector<std::string>& violations() const { return m_violations; }
    const LoadedModels& models() const { return m_models; }
    const std::set<ModelId>& onDisk() const { return m_onDisk; }
    unsigned storeLoads() const { return m_storeLoads; }

private:
    struct Work {
        EngineOrder order;
        MonotonicTime endsAt {};
    };

    struct Snapshot {
        MonotonicTime at {};
        EngineStatus status;
    };

    EngineOrderOutcome accept(const EngineOrder&, MonotonicTime now);
    EngineOrderOutcome unloadAdapter(const ModelVariant&, MonotonicTime now);
    std::size_t adapterCount() const;
    bool isOverfilledBy(const EngineOrder&) const;
    void complete(const EngineOrder&);
    void snapshot(MonotonicTime now);

    EndpointId m_id;
    std::string m_version;
    LoadedModels m_models;
    std::set<ModelId> m_onDisk;
    EngineFaults m_faults;
    RandomGenerator m_random;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_orderCount = 0;
    std::uint64_t m_heartbeat = 0;
    std::optional<Work> m_work;
    std::vector<std::pair<MonotonicTime, EngineOrder>> m_lateOrders;
    std::deque<Snapshot> m_snapshots;
    std::map<ModelId, MonotonicTime> m_runningUntil;
    std::map<ModelVariant, MonotonicTime> m_adapterUsedUntil;
    // Adapters that go when nothing uses them any more.
    std::set<ModelVariant> m_leavingAdapters;
    std::optional<EngineSizes> m_sizes;
    std::vector<std::string> m_violations;
    unsigned m_storeLoads = 0;
};

} // namespace Catkinwell::Testing
