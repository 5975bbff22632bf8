#pragma once

#include "placement/PlanRecorder.h"
#include <catkinwell/configuration/FleetConfiguration.h>
#include <map>
#include <optional>
#include <vector>

namespace Catkinwell {

// The result of a load or unload.
struct CommandResult {
    CommandId command;
    EndpointId endpoint;
    ModelId model;
    PlacementAction action = PlacementAction::Load;
    // False if the command had no effect.
    bool succeeded = false;
    // False for a failed load that still counts as occupying memory, because a duplicate of it may arrive late.
    bool isFinal = true;
    // Whether the failure was already reported by an earlier, non-final result.
    bool wasReported = false;
};

// Tracks the engines of the owner's data centre: their reports, the commands in progress and the memory
// in use. Updates the working plan to match the engines, and sends a command once the store has confirmed
// the plan that contains it. Not thread safe.
class EngineTracker {
public:
    struct Engine {
        EndpointSettings settings;
        bool leaving = false;
        bool dead = false;
        // No command is sent until a report requested at or after this time has arrived.
        MonotonicTime readyAfter {};
        bool ready = false;
        bool fetchPending = false;
        MonotonicTime fetchedAt {};
        std::optional<EndpointReport> report {};
        // Memory in use that belongs to no reported model.
        std::uint64_t unattributedBytes = 0;
        // When the engine was first known to refuse the fencing tokens of previous owners.
        std::optional<MonotonicTime> fencedAt {};
        // When each model was last known to be loaded or unloaded; older reports are ignored for it.
        std::map<ModelId, MonotonicTime> changedAt {};
    };
    struct Command {
        CommandId id;
        EndpointId endpoint;
        ModelId model;
        PlacementAction action = PlacementAction::Load;
        bool sent = false;
        MonotonicTime sendAfter {};
        // Set for a command of a previous owner, and once the adapter reports an unknown outcome or a failed load:
        // a report requested at or after this time shows whether the command took effect.
        std::optional<MonotonicTime> settleAfter {};
        bool failureReported = false;
        // Possibly sent by a previous owner with a lower fencing token.
        bool isInherited = false;
    };

    // recorder must outlive this object.
    explicit EngineTracker(PlanRecorder& recorder)
        : m_recorder(recorder)
    {
    }

    void configure(const FleetConfiguration& effective, const DataCentreId&);
    // Adopts the unfinished commands of the plan. Precondition: the store has confirmed the takeover.
    void start(MonotonicTime now);
    void stop();
    void markLeaving(const EndpointId&);
    // Removes all replicas and commands of an engine that the platform reports as terminated.
    void markDead(const EndpointId&, EffectList&);
    void markAlive(const EndpointId&, MonotonicTime now);

    void handle(const EndpointReport&, MonotonicTime now, EffectList&);
    void handle(const EndpointReportFailed&);
    // Returns true if the engine refused the fencing token.
    bool handle(const PlacementCommandFinished&, MonotonicTime now, EffectList&);

    // Record a load or unload in the working plan. It is sent once the store has confirmed the plan.
    void recordLoad(PlannedReplica&, MonotonicTime now);
    void recordUnload(PlannedReplica&, CommandId, MonotonicTime now);

    // Sends the commands of the confirmed plan and fetches the reports that are due.
    void tick(MonotonicTime now, MonotonicTime leaseValidUntil, EffectList&);
    std::vector<CommandResult> takeCommandResults() { return std::exchange(m_commandResults, {}); }
    // Loads that were sent and have no known outcome; an engine may start them at any time. Used to restart the
    // minimum hold of their slots.
    std::vector<CommandId> unresolvedLoads() const;
    std::vector<CommandId> takeStartedLoads() { return std::exchange(m_startedLoads, {}); }

    const std::map<EndpointId, Engine>& engines() const { return m_engines; }
    const std::map<CommandId, Command>& commands() const { return m_commands; }
    bool hasUnfinishedCommands() const;
    // Whether models may be loaded on the endpoint: known, reachable and neither leaving nor dead.
    bool isUsable(const EndpointId&, MonotonicTime now) const;
    // Memory in use, including the memory of recorded commands that may still take effect.
    std::uint64_t usedBytes(const EndpointId&) const;
    // The endpoint's total accelerator memory; 0 for an unknown endpoint.
    std::uint64_t memoryBytes(const EndpointId&) const;
    // Whether the replica last changed so long ago that no earlier command can still arrive.
    bool isPastArrivalDelay(const PlannedReplica&, MonotonicTime now) const;

private:
    void settle(const Command&, bool succeeded, MonotonicTime now, EffectList&);
    void settleByReport(const Engine&, const EndpointReport&, MonotonicTime now, EffectList&);
    void removeMissing(Engine&, const EndpointReport&, EffectList&);
    void adoptUnplanned(Engine&, const EndpointReport&, EffectList&);
    void send(Command&, const Engine&, const PlannedReplica&, MonotonicTime leaseValidUntil, EffectList&);
    bool isReportCurrent(const Engine&, const ModelId&, const EndpointReport&) const;
    void fetchReports(MonotonicTime now, EffectList&);
    static Duration maximumArrivalDelay(const Engine&);

    PlanRecorder& m_recorder;
    std::map<EndpointId, Engine> m_engines;
    std::map<ModelId, ModelSettings> m_models;
    std::map<CommandId, Command> m_commands;
    std::vector<CommandResult> m_commandResults;
    std::vector<CommandId> m_startedLoads;
    MonotonicTime m_startedAt {};
    bool m_active = false;
};

} // namespace Catkinwell
