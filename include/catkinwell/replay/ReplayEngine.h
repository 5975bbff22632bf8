#pragma once

#include <catkinwell/gateway/EndpointRecord.h>
#include <catkinwell/replay/ReplaySettings.h>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

namespace Catkinwell {

// A request as an engine sees it.
struct EngineJob {
    AttemptId id;
    ModelVariant variant;
    // Names the part of the prompt that other requests share.
    std::string sharedPart;
    unsigned sharedTokens = 0;
    unsigned ownTokens = 0;
    unsigned outputTokens = 0;
};

// What happened to a job in a step.
struct JobEvent {
    enum class Kind {
        // Some output tokens are ready.
        Output,
        Finished,
        // The model or the adapter is not here, or the queue is full: it did not run.
        TurnedAway,
        // The engine went away.
        Lost,
    };

    AttemptId id;
    Kind kind = Kind::Output;
    MonotonicTime at {};
};

// A model-serving engine in simulated time: batches of requests that share the time of a step, memory for tokens that
// runs out, parts of prompts that are kept, one order at a time, weights in memory and on disk. The weight store is
// shared: each load takes longer in proportion once more run than it serves at full speed. Not thread safe.
class ReplayEngine {
public:
    ReplayEngine(EndpointId, DataCentreId, const EngineShape&);

    // Before the start: it holds the model, or has it on disk.
    void hold(const ModelId&);
    void keepOnDisk(const ModelId& model) { m_onDisk.insert(model); }

    // Returns false if the job is turned away.
    bool add(const EngineJob&, MonotonicTime now);
    void cancel(const AttemptId&);
    EngineOrderOutcome handle(const EngineOrder&, MonotonicTime now);
    // Runs the steps until now. storeLoads is the number of loads that run on all engines.
    std::vector<JobEvent> advance(MonotonicTime now, unsigned storeLoads);
    // Everything in memory is lost; the disk stays. Jobs are lost.
    std::vector<JobEvent> leave(MonotonicTime now);

    // The state as it was some time ago, as reports are.
    EngineStatus status(MonotonicTime now) const;
    EndpointRecord record() const;
    bool isLoadingFromStore() const { return m_work && m_work->isFromStore; }

    const EndpointId& id() const { return m_id; }
    unsigned preemptions() const { return m_preemptions; }
    // Requests that ran, added up over time, in seconds.
    double runningSeconds() const { return m_runningSeconds; }
    unsigned loadsFromStore() const { return m_loadsFromStore; }
    unsigned loadsFromDisk() const { return m_loadsFromDisk; }
    // Orders that would have overfilled the memory.
    unsigned overfills() const { return m_overfills; }

private:
    struct Running {
        EngineJob job;
        // Prompt tokens that are still to be read.
        double unreadTokens = 0;
        unsigned produced = 0;
        unsigned unsentTokens = 0;
    };

    struct Work {
        EngineOrder order;
        bool isFromStore = false;
        double secondsLeft = 0;
    };

    void begin(const EngineJob&);
    void admitWaiting();
    void runStep(std::vector<JobEvent>&);
    void preemptIfFull();
    void advanceWork(Duration, unsigned storeLoads);
    void complete(const EngineOrder&);
    bool holds(const ModelVariant&) const;
    unsigned usedTokens() const;
    unsigned runningOf(const ModelId&) const;
    void noteState(MonotonicTime now);

    EndpointId m_id;
    DataCentreId m_dataCentre;
    EngineShape m_shape;
    LoadedModels m_models;
    std::set<ModelId> m_onDisk;
    std::list<Running> m_running;
    std::deque<EngineJob> m_waiting;
    // Shared parts that were read, the latest last.
    std::deque<std::string> m_keptParts;
    std::optional<Work> m_work;
    std::uint64_t m_orderCount = 0;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_heartbeat = 0;
    MonotonicTime m_stepAt {};
    MonotonicTime m_workAt {};
    std::deque<std::pair<MonotonicTime, EngineStatus>> m_states;
    unsigned m_preemptions = 0;
    double m_runningSeconds = 0;
    unsigned m_loadsFromStore = 0;
    unsigned m_loadsFromDisk = 0;
    unsigned m_overfills = 0;
};

} // namespace Catkinwell
