#pragma once

#include "PlacementHistory.h"
#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/placement/PlacementCommand.h>
#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace Catkinwell {

// An engine that loads and unloads models in simulated time. It carries out every
// command that its fencing allows, without checking its own memory.
class FakeEngine {
public:
    using Answer = std::function<void(CommandOutcome)>;

    FakeEngine(EndpointSettings settings, PlacementHistory& history, std::uint64_t seed)
        : m_settings(std::move(settings))
        , m_history(history)
        , m_random(seed)
    {
    }

    // The fraction of loads that fail, in units of 1/1000, and the factor by which loads are slowed down.
    std::uint32_t failPerMille = 0;
    std::uint32_t slowFactor = 1;
    // The maximum age of the state in a report.
    Duration reportLag = std::chrono::milliseconds(800);

    const EndpointSettings& settings() const { return m_settings; }
    bool isLoaded(const ModelId& model) const
    {
        const auto found = m_replicas.find(model);
        return found != m_replicas.end() && found->second.state == ReplicaState::Loaded;
    }

    void receive(const PlacementCommand& command, Duration loadTime, MonotonicTime now, Answer answer)
    {
        const bool isOld = command.fencingToken < m_highestToken;
        if (m_settings.fencing == FencingSupport::Enforced && isOld) {
            answer(CommandOutcome::FencedOff);
            return;
        }
        m_highestToken = std::max(m_highestToken, command.fencingToken);
        add(HistoryEventKind::CommandArrived, command, now);
        const auto found = m_replicas.find(command.model);
        if (command.action == PlacementAction::Load) {
            if (found != m_replicas.end()) {
                if (found->second.state == ReplicaState::Loaded)
                    answer(CommandOutcome::Done);
                else
                    found->second.answers.push_back(std::move(answer));
                return;
            }
            startLoad(command, loadTime, now, std::move(answer), false);
        } else if (found == m_replicas.end()) {
            answer(CommandOutcome::Done);
        } else {
            found->second.state = ReplicaState::Unloading;
            found->second.doneAt = now + std::chrono::milliseconds(30);
            found->second.answers.push_back(std::move(answer));
            snapshot(now);
        }
    }

    void startLoad(const PlacementCommand& command, Duration loadTime, MonotonicTime now, Answer answer, bool isManual)
    {
        Replica& replica = m_replicas[command.model];
        replica.command = command;
        replica.doneAt = now + loadTime * slowFactor;
        replica.fails = m_random.below(1000) < failPerMille;
        replica.answers.push_back(std::move(answer));
        add(HistoryEventKind::LoadStarted, command, now, isManual);
        snapshot(now);
    }

    void tick(MonotonicTime now)
    {
        std::vector<std::pair<Answer, CommandOutcome>> answers;
        bool hasChanged = false;
        for (auto entry = m_replicas.begin(); entry != m_replicas.end();) {
            Replica& replica = entry->second;
            if (replica.state == ReplicaState::Loaded || now < replica.doneAt) {
                ++entry;
                continue;
            }
            hasChanged = true;
            const bool isRemoved = replica.state == ReplicaState::Unloading || replica.fails;
            const auto outcome = replica.fails && replica.state == ReplicaState::Loading ? CommandOutcome::NotDone
                                                                                         : CommandOutcome::Done;
            for (Answer& answer : std::exchange(replica.answers, {}))
                answers.emplace_back(std::move(answer), outcome);
            add(isRemoved ? HistoryEventKind::ModelRemoved : HistoryEventKind::LoadEnded, replica.command, now);
            replica.state = ReplicaState::Loaded;
            entry = isRemoved ? m_replicas.erase(entry) : std::next(entry);
        }
        if (hasChanged)
            snapshot(now);
        for (auto& [answer, outcome] : answers)
            answer(outcome);
    }

    // Simulates a restart of the process, which loses all models.
    void restart(MonotonicTime now)
    {
        const auto lost = std::exchange(m_replicas, {});
        for (const auto& [model, replica] : lost)
            add(HistoryEventKind::ModelRemoved, replica.command, now);
        m_reportedStates.clear();
        snapshot(now);
        for (const auto& [model, replica] : lost) {
            for (const Answer& answer : replica.answers)
                answer(CommandOutcome::Unknown);
        }
    }

    EndpointReport report(MonotonicTime requestedAt, MonotonicTime now)
    {
        const Duration lag = reportLag * static_cast<std::int64_t>(m_random.below(100)) / 100;
        EndpointReport result;
        result.endpoint = m_settings.id;
        result.requestedAt = requestedAt;
        result.receivedAt = now;
        result.capacity = m_settings.capacity;
        result.memoryBytes = m_settings.memoryBytes;
        result.highestFencingToken = m_highestToken;
        for (const auto& [at, replicas] : m_reportedStates) {
            if (at <= now - lag)
                result.replicas = replicas;
        }
        for (const ReportedReplica& replica : result.replicas)
            result.memoryUsedBytes += replica.memoryBytes;
        return result;
    }

private:
    struct Replica {
        PlacementCommand command;
        ReplicaState state = ReplicaState::Loading;
        MonotonicTime doneAt {};
        bool fails = false;
        std::vector<Answer> answers;
    };

    void add(HistoryEventKind kind, const PlacementCommand& command, MonotonicTime now, bool isManual = false)
    {
        HistoryEvent entry { now, kind };
        entry.dataCentre = m_settings.dataCentre;
        entry.endpoint = m_settings.id;
        entry.model = command.model;
        entry.token = command.fencingToken;
        entry.bytes = command.memoryBytes;
        entry.isAdapter = !command.baseModel.value.empty();
        entry.isManual = isManual;
        entry.ignoresFencing = m_settings.fencing == FencingSupport::Ignored;
        m_history.push_back(std::move(entry));
    }

    void snapshot(MonotonicTime now)
    {
        std::vector<ReportedReplica> replicas;
        for (const auto& [model, replica] : m_replicas)
            replicas.push_back({ model, replica.state, replica.command.memoryBytes, replica.command.id });
        m_reportedStates.emplace_back(now, std::move(replicas));
        while (m_reportedStates.size() > 2 && m_reportedStates[1].first + reportLag < now)
            m_reportedStates.pop_front();
    }

    EndpointSettings m_settings;
    PlacementHistory& m_history;
    RandomGenerator m_random;
    FencingToken m_highestToken = 0;
    std::map<ModelId, Replica> m_replicas;
    std::deque<std::pair<MonotonicTime, std::vector<ReportedReplica>>> m_reportedStates;
};

} // namespace Catkinwell
