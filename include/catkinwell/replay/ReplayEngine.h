#pragma once

#include <catkinwell/gateway/EndpointRecord.h>
#include <catkinwell/replay/ReplaySettings.h>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

namespace Catkinwell {

// The properties of a request that matter to an engine.
struct EngineJob {
    AttemptId id;
    ModelVariant variant;
    // Identifies the part of the prompt that the request has in common with others.
    std::string sharedPart;
    unsigned sharedTokens = 0;
    unsigned ownTokens = 0;
    unsigned outputTokens = 0;
};

// A change in the state of a job during a step.
struct JobEvent {
    enum class Kind {
        // Some output tokens are ready.
        Output,
        Finished,
        // The model or the adapter is not loaded, or the queue is full. The job did not run.
        Rejected,
        // The engine went away.
        Lost,
    };

    AttemptId id;
    Kind kind = Kind::Output;
    MonotonicTime at {};
};

// A model-serving engine in simulated time. Running requests share the time of each step as a batch, token memory is
// limited, shared parts of prompts are cached, orders run one at a time, and weights are in memory or on disk. The
// engines share the weight store: beyond the number of concurrent loads that it serves at full speed, each load slows
// down in proportion. Not thread safe.
class ReplayEngine {
public:
    ReplayEngine(EndpointId, DataCentreId, const EngineShape&);

    // Sets the initial state: the model is in memory, or on disk.
    void hold(const ModelId&);
    void keepOnDisk(const ModelId& model) { m_onDisk.insert(model); }

    // Returns false if the engine rejects the job.
    bool add(const EngineJob&, MonotonicTime now);
    void cancel(const AttemptId&);
    EngineOrderOutcome handle(const EngineOrder&, MonotonicTime now);
    // Runs all steps until the given time. storeLoads is the number of loads from the weight store on all engines.
    std::vector<JobEvent> advance(MonotonicTime now, unsigned storeLoads);
    // Discards everything in memory and loses all jobs. The disk keeps its contents.
    std::vector<JobEvent> leave(MonotonicTime now);

    // Returns the engine's state as of a short time ago, because reports arrive with a delay.
    EngineStatus status(MonotonicTime now) const;
    EndpointRecord record() const;
    bool isLoadingFromStore() const { return m_work && m_work->isFromStore; }

    const EndpointId& id() const { return m_id; }
    unsigned preemptions() const { return m_preemptions; }
    // The number of running requests integrated over time, in seconds.
    double runningSeconds() const { return m_runningSeconds; }
    unsigned loadsFromStore() const { return m_loadsFromStore; }
    unsigned loadsFromDisk() const { return m_loadsFromDisk; }
    // The number of orders that would have exceeded the memory.
    unsigned overfills() const { return m_overfills; }

private:
    struct Running {
        EngineJob job;
        // Prompt tokens that have not been processed yet.
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
    // Cached shared parts of prompts, the most recently used last.
    std::deque<std::string> m_cachedParts;
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
