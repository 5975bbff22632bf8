#pragma once

#include "FakeEngine.h"
#include "FakeStore.h"
#include "PlacementHistory.h"
#include <catkinwell/placement/PlacementManager.h>
#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Catkinwell {

struct SimulationOptions {
    std::uint64_t seed = 1;
    std::uint32_t hostsPerDataCentre = 3;
    // The actual fleet, with one or more data centres. Determines the behaviour of the engines.
    FleetConfiguration fleet;
    // The configuration of the hosts. Differs from the fleet only to show that a checker can fail.
    std::optional<FleetConfiguration> hostConfiguration;
    bool faults = false;
    // In units of 1/1000: the fraction of loads that fail, and the probability per second that a host requests a model.
    std::uint32_t failPerMille = 0;
    std::uint32_t requestsPerMille = 5;
    // Protections that are switched off to show that a checker can fail.
    bool adapterChecksValidity = true;
    bool enginesCloseConnections = true;
};

// Simulates several hosts with their adapters, a store and engines. Time advances in steps of 20 ms.
class PlacementSimulation {
public:
    explicit PlacementSimulation(SimulationOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
        m_store.onStored = [this](const std::string& key, const std::string& value) { recordPlan(key, value); };
        std::set<DataCentreId> dataCentres;
        for (const auto& [id, endpoint] : m_options.fleet.endpoints) {
            dataCentres.insert(endpoint.dataCentre);
            engines.emplace(id, FakeEngine(endpoint, history, m_random.next()));
            engines.at(id).failPerMille = m_options.failPerMille;
        }
        for (const DataCentreId& dataCentre : dataCentres) {
            for (std::uint32_t index = 0; index < m_options.hostsPerDataCentre; ++index) {
                auto host = std::make_unique<Host>();
                host->id = HostId(dataCentre.value + "-host-" + std::to_string(index));
                host->dataCentre = dataCentre;
                start(*host);
                hosts.push_back(std::move(host));
            }
        }
    }

    struct PendingRequest {
        bool isServed = false;
        MonotonicTime until {};
    };
    struct Host {
        HostId id;
        DataCentreId dataCentre;
        Incarnation incarnation = 0;
        std::unique_ptr<PlacementManager> manager;
        bool alive = false;
        MonotonicTime pausedUntil {};
        MonotonicTime restartAt {};
        std::deque<std::function<void()>> inbox {};
        LeaseStatus lease {};
        MonotonicTime leaseCallAt {};
        std::map<EndpointId, MonotonicTime> connections {};
        std::map<ModelId, PendingRequest> requests {};
        double processorSeconds = 0;
        std::uint64_t messages = 0;
        std::uint64_t messageBytes = 0;
        std::uint64_t storeCalls = 0;
        std::uint64_t storeBytes = 0;
    };

    void run(Duration span)
    {
        for (const MonotonicTime end = now + span; now < end;) {
            const MonotonicTime next = now + std::chrono::milliseconds(20);
            while (!m_events.empty() && m_events.begin()->first <= next) {
                auto event = m_events.extract(m_events.begin());
                now = std::max(now, event.key());
                event.mapped()();
            }
            now = next;
            step();
        }
    }

    void stopFaults()
    {
        m_options.faults = false;
        m_storeDownUntil = now;
        m_disconnectedUntil.clear();
        for (auto& [id, engine] : engines) {
            engine.failPerMille = 0;
            engine.slowFactor = 1;
        }
    }

    // Disconnects the data centre from the store.
    void disconnectFromStore(const DataCentreId& dataCentre, Duration span)
    {
        m_disconnectedUntil[dataCentre] = now + span;
    }
    void stopRequests() { m_options.requestsPerMille = 0; }

    void request(Host& host, const ModelId& model)
    {
        if (host.requests.contains(model))
            return;
        host.requests[model] = {};
        history.push_back({ now, HistoryEventKind::ModelRequested, host.dataCentre, {}, model, host.id });
        call(host, [&](EffectList&) { host.manager->noteDemand(model, 1, 0, 1, now); });
    }

    void kill(Host& host, Duration downTime)
    {
        host.alive = false;
        host.restartAt = now + downTime;
        host.inbox.clear();
        host.requests.clear();
        host.manager.reset();
        history.push_back({ now, HistoryEventKind::HostStopped, host.dataCentre, {}, {}, host.id });
    }

    Host* ownerOf(const DataCentreId& dataCentre)
    {
        for (auto& host : hosts) {
            if (host->alive && host->dataCentre == dataCentre && host->manager->isOwner() && now >= host->pausedUntil)
                return host.get();
        }
        return nullptr;
    }

    MonotonicTime now { std::chrono::hours(1) };
    PlacementHistory history;
    std::map<EndpointId, FakeEngine> engines;
    std::vector<std::unique_ptr<Host>> hosts;

private:
    bool chance(std::uint32_t perMille) { return m_random.below(1000) < perMille; }
    Duration between(std::int64_t low, std::int64_t high)
    {
        return std::chrono::milliseconds(
            low + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(high - low + 1))));
    }
    Duration networkDelay() { return m_options.faults && chance(20) ? between(50, 400) : between(1, 3); }
    void at(MonotonicTime time, std::function<void()> action) { m_events.emplace(time, std::move(action)); }
    bool isStoreDisconnected(const DataCentreId& dataCentre) const
    {
        const auto found = m_disconnectedUntil.find(dataCentre);
        return now < m_storeDownUntil || (found != m_disconnectedUntil.end() && now < found->second);
    }

    void start(Host& host)
    {
        host.alive = true;
        ++host.incarnation;
        host.lease = {};
        host.leaseCallAt = now;
        host.connections.clear();
        host.manager = std::make_unique<PlacementManager>(host.id, host.incarnation, host.dataCentre, m_random.next());
        host.manager->configure(m_options.hostConfiguration ? *m_options.hostConfiguration : m_options.fleet);
    }

    // Runs the action on the host: immediately, after its pause, or never if its process has ended.
    void deliver(Host& host, Incarnation incarnation, std::function<void()> action)
    {
        if (!host.alive || host.incarnation != incarnation)
            return;
        if (now < host.pausedUntil)
            host.inbox.push_back(std::move(action));
        else
            action();
    }

    void call(Host& host, const std::function<void(EffectList&)>& action)
    {
        EffectList effects;
        const auto processorTime = [] {
            timespec time {};
            clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
            return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
        };
        const double begin = processorTime();
        action(effects);
        host.processorSeconds += processorTime() - begin;
        for (Effect& effect : effects)
            execute(host, effect);
    }

    void execute(Host& host, const Effect& effect)
    {
        if (const auto* storeCall = std::get_if<StoreCall>(&effect))
            callStore(host, *storeCall);
        else if (const auto* message = std::get_if<SendToPeer>(&effect))
            sendToPeer(host, *message);
        else if (const auto* fetch = std::get_if<FetchEndpointReport>(&effect))
            fetchReport(host, *fetch, [] {});
        else if (const auto* command = std::get_if<PlacementCommand>(&effect))
            sendCommand(host, *command);
    }

    void callStore(Host& host, const StoreCall& storeCall)
    {
        ++host.storeCalls;
        if (const auto* swap = std::get_if<StoreCompareAndSwap>(&storeCall.operation))
            host.storeBytes += swap->value.size();
        const auto isAnswered = std::make_shared<bool>(false);
        const auto answer = [this, &host, incarnation = host.incarnation, isAnswered, sentAt = now](StoreReply reply) {
            if (std::exchange(*isAnswered, true))
                return;
            reply.sentAt = sentAt;
            host.storeBytes += reply.value.size();
            deliver(host, incarnation, [this, &host, reply] { takeStoreReply(host, reply); });
        };
        at(now + storeCall.timeout, [answer, id = storeCall.id] { answer({ id, StoreStatus::Unknown }); });
        if (isStoreDisconnected(host.dataCentre)) {
            if (chance(500))
                at(now + between(1, 100), [answer, id = storeCall.id] { answer({ id, StoreStatus::Unavailable }); });
            return;
        }
        if (m_options.faults && chance(10))
            return;
        const bool isReplyLost = m_options.faults && chance(20);
        // A request may take effect after its sender has given up.
        const Duration delay = m_options.faults && chance(10) ? between(1000, 4000) : networkDelay();
        at(now + delay, [this, &host, storeCall, answer, isReplyLost] {
            m_store.perform(storeCall, now, [this, &host, answer, isReplyLost](const StoreReply& reply) {
                if (!isReplyLost && !isStoreDisconnected(host.dataCentre))
                    at(now + networkDelay(), [answer, reply] { answer(reply); });
            });
        });
    }

    void takeStoreReply(Host& host, const StoreReply& reply)
    {
        if (StoreCallIds::userOf(reply.id) != StoreUser::HostLease) {
            call(host, [&](EffectList& effects) { host.manager->handle(reply, now, effects); });
            return;
        }
        if (reply.status == StoreStatus::Ok) {
            if (!reply.value.empty())
                host.lease.id = reply.value;
            host.lease.lastRenewalSentAt = reply.sentAt;
            host.lease.validUntil = reply.sentAt + std::chrono::seconds(9);
        } else if (reply.status == StoreStatus::NotFound) {
            host.lease = {};
        }
        host.manager->setLease(host.lease);
    }

    void renewLease(Host& host)
    {
        if (now < host.leaseCallAt)
            return;
        host.leaseCallAt = now + std::chrono::seconds(3);
        StoreOperation operation = LeaseCreate { std::chrono::seconds(10) };
        if (!host.lease.id.empty())
            operation = LeaseRenew { host.lease.id };
        callStore(host, { m_leaseCallIds.next(), operation });
    }

    void sendToPeer(Host& sender, const SendToPeer& message)
    {
        ++sender.messages;
        const auto* plan = std::get_if<PlanAnnounced>(&message.message);
        // Header, sender, counter and authentication code take 80 bytes.
        sender.messageBytes += 80 + (plan != nullptr ? plan->planJson.size() : 20);
        if (m_options.faults && chance(20))
            return;
        for (int copies = m_options.faults && chance(20) ? 2 : 1; copies > 0; --copies) {
            at(now + networkDelay(), [this, from = sender.id, message] {
                for (auto& host : hosts) {
                    if (host->id == message.to)
                        deliver(*host, host->incarnation,
                            [this, &receiver = *host, from, message] { takeMessage(receiver, from, message.message); });
                }
            });
        }
    }

    void takeMessage(Host& host, const HostId& from, const PeerMessage& message)
    {
        call(host, [&](EffectList& effects) {
            if (const auto* wanted = std::get_if<ModelWanted>(&message))
                host.manager->handle(from, *wanted, now);
            else if (const auto* announced = std::get_if<PlanAnnounced>(&message))
                host.manager->handle(from, *announced, now, effects);
        });
    }

    void fetchReport(Host& host, const FetchEndpointReport& fetch, const std::function<void()>& andThen)
    {
        const MonotonicTime requestedAt = now;
        at(now + networkDelay(), [this, &host, incarnation = host.incarnation, fetch, requestedAt, andThen] {
            const EndpointReport report = engines.at(fetch.endpoint).report(requestedAt, now);
            const MonotonicTime usedAt = now;
            at(now + networkDelay(), [this, &host, incarnation, report, usedAt, andThen] {
                deliver(host, incarnation, [this, &host, report, usedAt, andThen] {
                    host.connections[report.endpoint] = usedAt;
                    call(host, [&](EffectList& effects) { host.manager->handle(report, now, effects); });
                    andThen();
                });
            });
        });
    }

    // Sends the command on a connection on which a report was fetched within the receive timeout, or fetches one first.
    void sendCommand(Host& host, const PlacementCommand& command)
    {
        const auto used = host.connections.find(command.endpoint);
        const Duration timeout = engines.at(command.endpoint).settings().receiveTimeout;
        if (used != host.connections.end() && now - used->second < timeout)
            checkAndWrite(host, command);
        else
            fetchReport(host, { command.endpoint, command.address, std::chrono::seconds(1) },
                [this, &host, command] { checkAndWrite(host, command); });
    }

    void checkAndWrite(Host& host, const PlacementCommand& command)
    {
        if (m_options.adapterChecksValidity && now >= command.validUntil) {
            finish(host, host.incarnation, command.id, CommandOutcome::NotDone);
            return;
        }
        if (m_options.faults && chance(60))
            host.pausedUntil = std::max(host.pausedUntil, now + between(100, 25000));
        at(std::max(now, host.pausedUntil), [this, &host, incarnation = host.incarnation, command] {
            if (!host.alive || host.incarnation != incarnation)
                return;
            const auto isAnswered = std::make_shared<bool>(false);
            const auto answer = [this, &host, incarnation, isAnswered, id = command.id](CommandOutcome outcome) {
                if (!std::exchange(*isAnswered, true))
                    finish(host, incarnation, id, outcome);
            };
            at(now + command.timeout, [answer] { answer(CommandOutcome::Unknown); });
            for (int copies = m_options.faults && chance(30) ? 2 : 1; copies > 0; --copies)
                at(now + networkDelay(), [this, &host, command, answer] { arrive(host, command, answer); });
        });
    }

    void arrive(Host& host, const PlacementCommand& command, const FakeEngine::Answer& answer)
    {
        FakeEngine& engine = engines.at(command.endpoint);
        MonotonicTime& usedAt = host.connections[command.endpoint];
        if (m_options.enginesCloseConnections && now - usedAt >= engine.settings().receiveTimeout) {
            answer(CommandOutcome::Unknown);
            return;
        }
        usedAt = now;
        const bool isAnswerLost = m_options.faults && chance(30);
        engine.receive(command, m_options.fleet.models.at(command.model).expectedLoadTime, now,
            [this, answer, isAnswerLost](CommandOutcome outcome) {
                if (!isAnswerLost)
                    at(now + networkDelay(), [answer, outcome] { answer(outcome); });
            });
    }

    void finish(Host& host, Incarnation incarnation, CommandId id, CommandOutcome outcome)
    {
        deliver(host, incarnation, [this, &host, id, outcome] {
            call(host, [&](EffectList& effects) { host.manager->handle({ id, outcome, "" }, now, effects); });
        });
    }

    void step()
    {
        m_store.tick(now);
        for (auto& [id, engine] : engines)
            engine.tick(now);
        const bool isSecond = now.time_since_epoch() % std::chrono::seconds(1) == Duration {};
        if (m_options.faults && isSecond)
            injectFaults();
        for (auto& host : hosts) {
            if (!host->alive && now >= host->restartAt)
                start(*host);
            if (!host->alive || now < host->pausedUntil)
                continue;
            while (!host->inbox.empty() && now >= host->pausedUntil) {
                auto action = std::move(host->inbox.front());
                host->inbox.pop_front();
                action();
            }
            if (now < host->pausedUntil)
                continue;
            renewLease(*host);
            if (isSecond)
                updateHost(*host);
            serveRequests(*host);
            call(*host, [&](EffectList& effects) { host->manager->tick(now, effects); });
        }
    }

    void updateHost(Host& host)
    {
        std::set<HostId> live;
        for (const auto& other : hosts) {
            if (other->alive && other->dataCentre == host.dataCentre)
                live.insert(other->id);
        }
        host.manager->setLiveHosts(live);
        for (const auto& [model, settings] : m_options.fleet.models) {
            if (chance(m_options.requestsPerMille))
                request(host, model);
        }
    }

    void serveRequests(Host& host)
    {
        for (auto entry = host.requests.begin(); entry != host.requests.end();) {
            auto& [model, wanted] = *entry;
            if (wanted.isServed && now >= wanted.until) {
                host.manager->noteDemand(model, 0, 0, 0, now);
                entry = host.requests.erase(entry);
                continue;
            }
            for (const auto& [endpoint, row] : host.manager->plan().replicas) {
                const auto replica = row.find(model);
                if (wanted.isServed || replica == row.end() || replica->second.state != PlannedState::Loaded
                    || !engines.at(endpoint).isLoaded(model))
                    continue;
                wanted = { true, now + between(200, 2000) };
                history.push_back({ now, HistoryEventKind::ModelServed, host.dataCentre, endpoint, model, host.id });
                host.manager->noteDemand(model, 0, 1, 0, now);
            }
            ++entry;
        }
    }

    void injectFaults()
    {
        Host& host = *hosts[m_random.below(hosts.size())];
        if (chance(50) && host.alive)
            kill(host, between(1000, 15000));
        Host& paused = *hosts[m_random.below(hosts.size())];
        if (chance(60) && paused.alive)
            paused.pausedUntil = std::max(paused.pausedUntil, now + between(200, 25000));
        if (chance(15))
            m_storeDownUntil = now + between(1000, 25000);
        if (chance(15))
            m_disconnectedUntil[hosts[m_random.below(hosts.size())]->dataCentre] = now + between(5000, 30000);
        for (auto& [id, engine] : engines) {
            if (chance(3))
                engine.restart(now);
            engine.slowFactor = chance(100) ? 10 : (chance(500) ? engine.slowFactor : 1);
        }
    }

    void recordPlan(const std::string& key, const std::string& value)
    {
        if (key.ends_with("/base/0") || key.ends_with("/base/1"))
            m_planBases[key] = value;
        if (!key.ends_with("/plan"))
            return;
        const PlanChange head = takeValue(decodePlanChange(value));
        HistoryEvent entry { now, HistoryEventKind::PlanStored };
        entry.dataCentre = DataCentreId(key.substr(10, key.size() - 15));
        const auto base = m_planBases.find(planBaseKey(key, head.baseVersion));
        if (base != m_planBases.end() && head.baseVersion != 0)
            entry.plan = takeValue(decodePlan(base->second));
        if (entry.plan.version != head.baseVersion)
            entry.plan = {};
        applyPlanChange(head, entry.plan);
        history.push_back(std::move(entry));
    }

    SimulationOptions m_options;
    RandomGenerator m_random;
    FakeStore m_store;
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    StoreCallIds m_leaseCallIds { StoreUser::HostLease };
    MonotonicTime m_storeDownUntil {};
    std::map<DataCentreId, MonotonicTime> m_disconnectedUntil;
    std::map<std::string, std::string> m_planBases;
};

} // namespace Catkinwell
