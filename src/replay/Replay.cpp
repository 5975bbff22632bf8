#include <catkinwell/replay/Replay.h>

#include "http/HeaderText.h"
#include "replay/ReplayCallers.h"
#include "replay/ReplayConfiguration.h"
#include "replay/ReplayProtocol.h"
#include <algorithm>
#include <catkinwell/gateway/GatewayRequests.h>
#include <functional>
#include <queue>

namespace Catkinwell {

namespace {

    constexpr Duration step = std::chrono::milliseconds(5);
    constexpr Duration tickInterval = std::chrono::milliseconds(20);
    constexpr Duration digestInterval = std::chrono::milliseconds(200);
    constexpr Duration recordInterval = std::chrono::milliseconds(1200);
    constexpr Duration recordLag = std::chrono::milliseconds(300);
    constexpr Duration networkDelay = std::chrono::milliseconds(1);
    constexpr Duration orderDelay = std::chrono::milliseconds(4);
    constexpr std::size_t dataCentres = 3;
    // Models that each engine has on disk at the start, in addition to those in its memory.
    constexpr unsigned diskCopiesPerEngine = 4;
    struct Host {
        Host(const HostId& id, std::uint64_t seed, const ReplayProtocol& protocol)
            : name(id)
            , directory(DataCentreId("dc" + std::to_string(seed % dataCentres)), seed)
            , quota(id)
            , relayPeers(DataCentreId(), seed)
            , requests({}, protocol, directory, quota, relayPeers, id)
        {
        }
        HostId name;
        EndpointDirectory directory;
        FleetQuota quota;
        // Hosts of a replay reach all endpoints and relay nothing.
        RelayPeers relayPeers;
        GatewayRequests requests;
        std::uint64_t sequence = 0;
    };

    // A callback scheduled for a later time.
    struct Event {
        MonotonicTime at {};
        std::uint64_t order = 0;
        std::function<void()> run;
        friend bool operator>(const Event& left, const Event& right)
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    class ReplayRun {
    public:
        ReplayRun(const ReplaySettings&, const LoadPattern&);
        ReplayReport run();

    private:
        struct EffectExecutor;

        // A host's attempt on an engine. Engines see attempt identifiers that the replay assigns, because attempts of
        // different hosts can have the same identifier.
        struct RunningJob {
            std::size_t host = 0;
            AttemptId attempt;
            EndpointId engine;
            std::string requestId;
        };

        void addEngines();
        void later(Duration, std::function<void()>);
        void runDue();
        void advanceEngines();
        void updateAvailableEngines();
        void tickHosts();
        void exchangeDigests();
        void publishRecords();
        void publish(ReplayEngine&);
        void sendPlacementUpdate();
        void send(const RequestId&);
        void execute(std::size_t host, const EffectList&);
        void startAttempt(std::size_t host, const StartAttempt&);
        void cancelAttempt(std::size_t host, const AttemptId&);
        void give(const EngineOrder&);
        void fetchStatus(const FetchEngineStatus&);
        void fetchRuns(std::size_t host, const FetchRuns&);
        void handle(const JobEvent&);
        ReplayEngine* engineOf(const EndpointId&);
        unsigned storeLoads() const;
        void finishReport();

        const ReplaySettings& m_settings;
        const LoadPattern& m_pattern;
        ReplayProtocol m_protocol;
        ReplayLoad m_load;
        MonotonicTime m_start { std::chrono::hours(1) };
        MonotonicTime m_now = m_start;
        ReplayCallers m_callers;
        std::vector<std::unique_ptr<Host>> m_hosts;
        std::vector<std::unique_ptr<ReplayEngine>> m_engines;
        std::set<std::size_t> m_awayEngines;
        std::unique_ptr<EnginePlacement> m_placement;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
        std::uint64_t m_eventOrder = 0;
        std::map<AttemptId, RunningJob> m_jobs;
        std::uint64_t m_lastJob = 0;
        ReplayReport m_report;
        std::map<std::string, unsigned> m_refusals;
        double m_storeBusySeconds = 0;
    };

    struct ReplayRun::EffectExecutor {
        ReplayRun& run;
        std::size_t host;

        void operator()(const StartAttempt& effect) const { run.startAttempt(host, effect); }
        void operator()(const CancelAttempt& effect) const { run.cancelAttempt(host, effect.id); }
        void operator()(const EngineOrder& effect) const { run.give(effect); }
        void operator()(const FetchEngineStatus& effect) const { run.fetchStatus(effect); }
        void operator()(const FetchRuns& effect) const { run.fetchRuns(host, effect); }
        void operator()(const SendResponseHead&) const { }
        void operator()(const SendResponseData& effect) const { run.m_callers.noteFirstPiece(effect.id, run.m_now); }
        void operator()(const FinishResponse& effect) const { run.m_callers.end(effect.id, true, run.m_now); }
        void operator()(const AbortResponse& effect) const { run.m_callers.end(effect.id, false, run.m_now); }
        void operator()(const SendWholeResponse& effect) const
        {
            if (const auto retry = run.m_callers.answer(effect.id, effect.status, effect.headers, run.m_now))
                run.later(retry->after, [&run = run, id = retry->id] { run.send(id); });
        }
        void operator()(const LogEntry& effect) const
        {
            if (effect.event != LogEvent::GatewayRequestRefused)
                return;
            for (const auto& [name, value] : effect.fields) {
                if (name == "reason")
                    ++run.m_refusals[std::string(value)];
            }
        }
        template <typename Other> void operator()(const Other&) const { }
    };

    ReplayRun::ReplayRun(const ReplaySettings& settings, const LoadPattern& pattern)
        : m_settings(settings)
        , m_pattern(pattern)
        , m_load(settings, pattern)
        , m_callers(settings, m_load, m_start)
    {
        std::set<HostId> names;
        for (unsigned i = 0; i < settings.hosts; ++i) {
            const HostId name("host-" + std::to_string(i));
            names.insert(name);
            m_hosts.push_back(std::make_unique<Host>(name, settings.seed + i, m_protocol));
        }
        const GatewayConfiguration shared = replayConfiguration(settings, m_load);
        for (const auto& host : m_hosts) {
            host->requests.configure(shared, m_start);
            host->requests.setHostCount(m_hosts.size());
            host->quota.configure(shared.accounts, m_now);
            std::set<HostId> peers = names;
            peers.erase(host->name);
            host->quota.setPeers(peers, m_now);
        }
        m_placement = std::make_unique<EnginePlacement>(settings.placement, m_hosts.front()->directory);
        m_placement->configure(shared);
        if (settings.hasPlacement)
            m_placement->setPermission(
                PlacementPermission { m_hosts.front()->name, 1, m_now, m_now + std::chrono::hours(10) }, m_now);
        addEngines();
    }

    // Loads the busy models in turn, one on each engine, and fills the remaining memory and the disks with the other
    // models.
    void ReplayRun::addEngines()
    {
        unsigned nextRare = m_settings.busyModels;
        for (unsigned i = 0; i < m_settings.engines; ++i) {
            auto engine = std::make_unique<ReplayEngine>(EndpointId("engine-" + std::to_string(i)),
                DataCentreId("dc" + std::to_string(i % dataCentres)), m_settings.engine);
            engine->hold(replayModel(i % m_settings.busyModels));
            for (unsigned place = 1; place < m_settings.engine.residentModels; ++place)
                engine->hold(replayModel(nextRare++ % m_settings.models));
            for (unsigned copy = 0; copy < diskCopiesPerEngine; ++copy)
                engine->keepOnDisk(replayModel(nextRare++ % m_settings.models));
            engine->advance(m_now, 0);
            m_engines.push_back(std::move(engine));
        }
        for (const auto& engine : m_engines)
            publish(*engine);
    }

    void ReplayRun::later(Duration delay, std::function<void()> run)
    {
        m_events.push({ m_now + delay, ++m_eventOrder, std::move(run) });
    }

    void ReplayRun::runDue()
    {
        while (!m_events.empty() && m_events.top().at <= m_now) {
            const auto run = m_events.top().run;
            m_events.pop();
            run();
        }
    }

    ReplayEngine* ReplayRun::engineOf(const EndpointId& id)
    {
        const auto found = std::find_if(
            m_engines.begin(), m_engines.end(), [&id](const auto& engine) { return engine->id() == id; });
        return found == m_engines.end() ? nullptr : found->get();
    }

    unsigned ReplayRun::storeLoads() const
    {
        return static_cast<unsigned>(std::count_if(
            m_engines.begin(), m_engines.end(), [](const auto& engine) { return engine->isLoadingFromStore(); }));
    }

    void ReplayRun::advanceEngines()
    {
        const unsigned loads = storeLoads();
        if (loads >= m_settings.engine.storeConcurrency)
            m_storeBusySeconds += secondsOf(step);
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (m_awayEngines.contains(i))
                continue;
            // A step can end after m_now.
            for (const JobEvent& event : m_engines[i]->advance(m_now, loads))
                later(std::max(event.at, m_now) - m_now + networkDelay, [this, event] { handle(event); });
        }
    }

    void ReplayRun::updateAvailableEngines()
    {
        const auto strength = m_load.strengthOf(LoadChange::EnginesLeave, m_now - m_start);
        if (strength && m_awayEngines.empty()) {
            const auto count = static_cast<std::size_t>(*strength * static_cast<double>(m_engines.size()));
            for (std::size_t i = 0; i < count; ++i) {
                m_awayEngines.insert(i);
                for (const JobEvent& event : m_engines[i]->leave(m_now))
                    later(networkDelay, [this, event] { handle(event); });
                const EndpointId id = m_engines[i]->id();
                later(recordLag, [this, id] {
                    for (const auto& host : m_hosts) {
                        EffectList ignored;
                        host->directory.remove(id, m_now, m_now, ignored);
                    }
                    m_placement->remove(id);
                });
            }
        } else if (!strength && !m_awayEngines.empty()) {
            for (const std::size_t i : std::exchange(m_awayEngines, {}))
                publish(*m_engines[i]);
        }
    }

    void ReplayRun::publish(ReplayEngine& engine)
    {
        const EndpointRecord record = engine.record();
        later(recordLag, [this, record] {
            for (const auto& host : m_hosts) {
                EffectList ignored;
                host->directory.put(record, m_now, ignored);
            }
            m_placement->put(record, m_now);
        });
    }

    void ReplayRun::publishRecords()
    {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (!m_awayEngines.contains(i))
                publish(*m_engines[i]);
        }
    }

    void ReplayRun::tickHosts()
    {
        EffectList orders;
        m_placement->tick(m_now, orders);
        execute(0, orders);
        sendPlacementUpdate();
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            EffectList effects;
            m_hosts[i]->quota.tick(m_now);
            m_hosts[i]->directory.tick(m_now);
            m_hosts[i]->requests.dispatchWaiting(m_now, effects);
            m_hosts[i]->requests.tick(m_now, effects);
            execute(i, effects);
        }
    }

    void ReplayRun::sendPlacementUpdate()
    {
        const auto update = m_placement->takeUpdate(m_now);
        if (!update)
            return;
        later(networkDelay, [this, update = *update] {
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                EffectList effects;
                m_hosts[i]->directory.handle(update, m_now);
                m_hosts[i]->requests.dispatchWaiting(m_now, effects);
                execute(i, effects);
            }
        });
    }

    void ReplayRun::exchangeDigests()
    {
        for (std::size_t from = 0; from < m_hosts.size(); ++from) {
            Host& host = *m_hosts[from];
            HostDigest digest;
            digest.sequence = ++host.sequence;
            digest.usage = host.quota.ownUsage();
            digest.running = host.directory.running();
            m_placement->handle(host.name, host.requests.demand().report(true, m_now), m_now);
            later(networkDelay, [this, from, digest] {
                for (std::size_t to = 0; to < m_hosts.size(); ++to) {
                    if (to == from)
                        continue;
                    m_hosts[to]->quota.merge(m_hosts[from]->name, 1, digest.usage, m_now);
                    m_hosts[to]->directory.handle(m_hosts[from]->name, digest, m_now);
                }
            });
        }
    }

    void ReplayRun::send(const RequestId& id)
    {
        const std::size_t index = m_callers.hostOf(id);
        Host& host = *m_hosts[index];
        EffectList effects;
        host.requests.handle(m_callers.message(id, m_now), m_now, effects);
        if (host.requests.takeNewlyWaiting())
            m_placement->handle(host.name, host.requests.demand().report(false, m_now), m_now);
        const bool isRefusedForLimit = std::any_of(effects.begin(), effects.end(), [](const Effect& effect) {
            const auto* answer = std::get_if<SendWholeResponse>(&effect);
            return answer && answer->status == 429;
        });
        m_callers.noteLimit(id, isRefusedForLimit, m_now);
        execute(index, effects);
    }

    void ReplayRun::execute(std::size_t host, const EffectList& effects)
    {
        for (const Effect& effect : effects)
            std::visit(EffectExecutor { *this, host }, effect);
    }

    void ReplayRun::startAttempt(std::size_t host, const StartAttempt& start)
    {
        const std::string requestId = headerValue(start.headers, "id");
        EngineJob job = m_callers.job(RequestId(std::stoull(requestId)));
        job.id = AttemptId(++m_lastJob);
        m_jobs[job.id] = { host, start.id, start.endpoint, requestId };
        later(networkDelay, [this, job, endpoint = start.endpoint] {
            if (m_jobs.contains(job.id) && !engineOf(endpoint)->add(job, m_now))
                later(networkDelay, [this, id = job.id] { handle({ id, JobEvent::Kind::Rejected, m_now }); });
        });
    }

    void ReplayRun::cancelAttempt(std::size_t host, const AttemptId& attempt)
    {
        const auto found = std::find_if(m_jobs.begin(), m_jobs.end(),
            [&](const auto& item) { return item.second.host == host && item.second.attempt == attempt; });
        if (found == m_jobs.end())
            return;
        engineOf(found->second.engine)->cancel(found->first);
        m_jobs.erase(found);
    }

    void ReplayRun::handle(const JobEvent& event)
    {
        const auto found = m_jobs.find(event.id);
        if (found == m_jobs.end())
            return;
        const std::size_t index = found->second.host;
        const AttemptId own = found->second.attempt;
        GatewayRequests& requests = m_hosts[index]->requests;
        EffectList effects;
        switch (event.kind) {
        case JobEvent::Kind::Output:
            requests.handle(AttemptHead { own, 200, { { "sealed", "1" } } }, m_now, effects);
            requests.handle(AttemptData { own, "id: 1\ndata: x\n\n" }, m_now, effects);
            break;
        case JobEvent::Kind::Finished:
            requests.handle(AttemptFinished { own }, m_now, effects);
            break;
        case JobEvent::Kind::Rejected:
            requests.handle(AttemptHead { own, 503, { { "not-executed", "1" } } }, m_now, effects);
            requests.handle(AttemptFinished { own }, m_now, effects);
            break;
        case JobEvent::Kind::Lost:
            requests.handle(AttemptFailed { own, AttemptOutcome::Unknown, "the engine left", AttemptFailure::Broken },
                m_now, effects);
            break;
        }
        if (event.kind != JobEvent::Kind::Output)
            m_jobs.erase(found);
        execute(index, effects);
    }

    void ReplayRun::give(const EngineOrder& order)
    {
        ++m_report.orders;
        later(orderDelay, [this, order] {
            const auto index
                = static_cast<std::size_t>(std::find_if(m_engines.begin(), m_engines.end(), [&order](const auto& e) {
                      return e->id() == order.endpoint;
                  }) - m_engines.begin());
            const EngineOrderOutcome outcome
                = m_awayEngines.contains(index) ? EngineOrderOutcome::NotSent : m_engines[index]->handle(order, m_now);
            m_report.refusedOrders += outcome == EngineOrderOutcome::Conflict ? 1 : 0;
            EffectList effects;
            m_placement->handle(EngineOrderFinished { order, outcome }, m_now, effects);
            m_placement->tick(m_now, effects);
            execute(0, effects);
            sendPlacementUpdate();
        });
    }

    void ReplayRun::fetchStatus(const FetchEngineStatus& fetch)
    {
        later(orderDelay, [this, fetch] {
            EffectList effects;
            m_placement->handle(engineOf(fetch.endpoint)->status(m_now), m_now, effects);
            execute(0, effects);
        });
    }

    // Engines know every job that they have not ended; events arrive at once.
    void ReplayRun::fetchRuns(std::size_t host, const FetchRuns& fetch)
    {
        later(orderDelay, [this, host, fetch] {
            RunReport report { fetch.endpoint, fetch.requestedAt, std::map<std::string, std::uint64_t>() };
            for (const auto& [id, job] : m_jobs) {
                if (job.engine == fetch.endpoint)
                    report.events->emplace(job.requestId, 0);
            }
            EffectList effects;
            m_hosts[host]->requests.handle(report, m_now, effects);
            execute(host, effects);
        });
    }

    void ReplayRun::finishReport()
    {
        m_callers.fill(m_report);
        const double seconds = secondsOf(m_settings.length);
        m_report.refusals.assign(m_refusals.begin(), m_refusals.end());
        m_report.storeBusyShare = m_storeBusySeconds / seconds;
        double total = 0;
        for (const auto& engine : m_engines) {
            m_report.loadsFromStore += engine->loadsFromStore();
            m_report.loadsFromDisk += engine->loadsFromDisk();
            m_report.preemptions += engine->preemptions();
            m_report.overfills += engine->overfills();
            const double use = engine->runningSeconds() / seconds / m_settings.engine.slots;
            total += use;
            m_report.busiestSlotUse = std::max(m_report.busiestSlotUse, use);
        }
        m_report.meanSlotUse = total / static_cast<double>(m_engines.size());
    }

    ReplayReport ReplayRun::run()
    {
        m_report.pattern = m_pattern.name;
        m_report.seed = m_settings.seed;
        Duration longest {};
        for (const RequestKind& kind : m_settings.kinds)
            longest = std::max(longest, kind.timeLimit);
        const MonotonicTime loadEnd = m_start + m_settings.length;
        const MonotonicTime end = loadEnd + longest;
        const auto isDue = [this](Duration interval) { return (m_now - m_start) % interval == Duration::zero(); };
        while (m_now < end && (m_now < loadEnd || m_callers.hasOpenRequests())) {
            m_now += step;
            runDue();
            updateAvailableEngines();
            advanceEngines();
            if (m_now < loadEnd) {
                for (const LoadRequest& request : m_load.arrivals(m_now - m_start, step))
                    send(m_callers.ask(request, m_now));
            }
            if (isDue(recordInterval))
                publishRecords();
            if (isDue(digestInterval))
                exchangeDigests();
            if (isDue(tickInterval))
                tickHosts();
        }
        finishReport();
        return m_report;
    }

} // namespace

ReplayReport runReplay(const ReplaySettings& settings, const LoadPattern& pattern)
{
    return ReplayRun(settings, pattern).run();
}

} // namespace Catkinwell
