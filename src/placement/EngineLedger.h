#pragma once

#include "placement/PlanRecorder.h"
#include <catkinwell/configuration/FleetConfiguration.h>
#include <map>
#include <optional>
#include <vector>

namespace Catkinwell {

// A load or unload whose effect is now known.
struct Settlement {
    CommandId command;
    EndpointId endpoint;
    ModelId model;
    PlacementAction action = PlacementAction::Load;
    // False if the command had no effect.
    bool succeeded = false;
    // False for a failed load that still counts as occupying, because a repeat of it may arrive late.
    bool isFinal = true;
    // Whether the failure was told before.
    bool isRepeated = false;
};

// What the owner knows of the engines of its data centre: their reports, the
// commands in force and the memory in use. It keeps the working plan true to the
// engines and sends a command once the plan that contains it is confirmed. Not thread safe.
class EngineLedger {
public:
    struct Engine {
        EndpointSettings settings;
        bool leaving = false;
        bool dead = false;
        // No command is sent before a report that was requested at or after this time.
        MonotonicTime readyAfter {};
        bool ready = false;
        bool fetchPending = false;
        MonotonicTime fetchedAt {};
        std::optional<EndpointReport> report {};
        // Memory in use that no reported model explains.
        std::uint64_t overheadBytes = 0;
        // When the engine was first known to refuse the tokens of predecessors.
        std::optional<MonotonicTime> fencedAt {};
        // When a model's presence was last settled; older reports say nothing of it.
        std::map<ModelId, MonotonicTime> changedAt {};
    };
    struct Command {
        CommandId id;
        EndpointId endpoint;
        ModelId model;
        PlacementAction action = PlacementAction::Load;
        bool sent = false;
        MonotonicTime sendAfter {};
        // Set once the adapter gave an unknown outcome, and for a predecessor's command: the report
        // that is requested at or after this time tells whether the command took effect.
        std::optional<MonotonicTime> settleAfter {};
        bool isFailureTold = false;
        // Sent, or perhaps sent, by a predecessor under a lower token.
        bool isInherited = false;
    };

    // The recorder must outlive this object.
    explicit EngineLedger(PlanRecorder& recorder)
        : m_recorder(recorder)
    {
    }

    void configure(const FleetConfiguration& effective, const DataCentreId&);
    // Inherits the plan's unsettled commands. Precondition: the takeover was confirmed by now.
    void start(MonotonicTime now);
    void stop();
    void markLeaving(const EndpointId&);
    // Removes everything that was planned there: the platform says that the engine is gone.
    void markDead(const EndpointId&, EffectList&);
    void markAlive(const EndpointId&, MonotonicTime now);

    void handle(const EndpointReport&, MonotonicTime now, EffectList&);
    void handle(const EndpointReportFailed&);
    // Returns true if the engine refused the fencing token.
    bool handle(const PlacementCommandFinished&, MonotonicTime now, EffectList&);

    // Turn a replica of the working plan into a load or unload that is sent after confirmation.
    void beginLoad(PlannedReplica&, MonotonicTime now);
    void beginUnload(PlannedReplica&, CommandId, MonotonicTime now);

    // Sends confirmed commands and fetches the reports that are due.
    void tick(MonotonicTime now, MonotonicTime leaseValidUntil, EffectList&);
    std::vector<Settlement> takeSettlements() { return std::exchange(m_settlements, {}); }
    // The loads that were sent and whose engine may only now start them, for the slots' minimum hold.
    std::vector<CommandId> loadsInForce() const;
    std::vector<CommandId> takeStartedLoads() { return std::exchange(m_startedLoads, {}); }

    const std::map<EndpointId, Engine>& engines() const { return m_engines; }
    const std::map<CommandId, Command>& commands() const { return m_commands; }
    bool hasUnfinishedCommands() const;
    // Whether loads may be decided for the endpoint: known, reachable and neither leaving nor dead.
    bool isUsable(const EndpointId&, MonotonicTime now) const;
    // Memory in use, or that a recorded command may come to use.
    std::uint64_t usedBytes(const EndpointId&) const;
    // The endpoint's whole accelerator memory; 0 for an endpoint that is not configured.
    std::uint64_t memoryBytes(const EndpointId&) const;
    // Whether the replica's last change is old enough that no earlier command can still arrive.
    bool isSteady(const PlannedReplica&, MonotonicTime now) const;

private:
    void settle(const Command&, bool succeeded, MonotonicTime now, EffectList&);
    void settleByReport(const Engine&, const EndpointReport&, MonotonicTime now, EffectList&);
    void removeMissing(Engine&, const EndpointReport&, EffectList&);
    void adoptUnplanned(Engine&, const EndpointReport&, EffectList&);
    void send(Command&, const Engine&, const PlannedReplica&, MonotonicTime leaseValidUntil, EffectList&);
    bool isReportCurrent(const Engine&, const ModelId&, const EndpointReport&) const;
    void fetchReports(MonotonicTime now, EffectList&);
    static Duration lateArrivalTime(const Engine&);

    PlanRecorder& m_recorder;
    std::map<EndpointId, Engine> m_engines;
    std::map<ModelId, ModelSettings> m_models;
    std::map<CommandId, Command> m_commands;
    std::vector<Settlement> m_settlements;
    std::vector<CommandId> m_startedLoads;
    MonotonicTime m_startedAt {};
    bool m_active = false;
};

} // namespace Catkinwell
