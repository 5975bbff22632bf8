#include <catkinwell/replay/Replay.h>

#include "replay/ReplayLoad.h"
#include "replay/ReplayProtocol.h"
#include <algorithm>
#include <catkinwell/core/Digest.h>
#include <catkinwell/gateway/GatewayRequests.h>
#include <catkinwell/replay/ReplayEngine.h>
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
    constexpr const char* service = "notes";
    constexpr std::size_t dataCentres = 3;
    // Places on the disks of the engines that hold no model at the start.
    constexpr unsigned diskCopiesPerEngine = 4;
    // A refused caller comes back so many times.
    constexpr unsigned usualRepeats = 1;

    // One request of the load and its caller's repeats.
    struct Caller {
        LoadRequest request;
        MonotonicTime askedAt {};
        unsigned repeatsLeft = 0;
        std::optional<MonotonicTime> firstPieceAt;
        std::size_t host = 0;
    };

    struct Host {
        Host(const HostId& id, std::uint64_t seed, const ReplayProtocol& protocol)
            : name(id)
            , directory(DataCentreId("dc" + std::to_string(seed % dataCentres)), seed)
            , quota(id)
            , requests({}, protocol, directory, quota)
        {
        }
        HostId name;
        EndpointDirectory directory;
        FleetQuota quota;
        GatewayRequests requests;
        std::uint64_t sequence = 0;
    };

    // Something that happens later.
    struct Event {
        MonotonicTime at {};
        std::uint64_t order = 0;
        std::function<void()> run;
        friend bool operator>(const Event& left, const Event& right)
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    struct TokenBucketLevel {
        double level = 0;
        MonotonicTime refilledAt {};
    };

    std::string keyOf(unsigned account) { return "key-" + std::to_string(account); }

    class ReplayRun {
    public:
        ReplayRun(const ReplaySettings&, const LoadPattern&);
        ReplayReport run();

    private:
        struct EffectExecutor;

        void addEngines();
        GatewayConfiguration configuration() const;
        void later(Duration, std::function<void()>);
        void runDue();
        void advanceEngines();
        void moveEngines();
        void tickHosts();
        void exchangeDigests();
        void publishRecords();
        void publish(ReplayEngine&);
        void sendNews();
        void ask(const LoadRequest&);
        void send(const RequestId&);
        void noteLimit(const Caller&, const EffectList&);
        void execute(std::size_t host, const EffectList&);
        void startAttempt(std::size_t host, const StartAttempt&);
        void cancelAttempt(std::size_t host, const AttemptId&);
        void give(const EngineOrder&);
        void fetchStatus(const FetchEngineStatus&);
        void answerCaller(const RequestId&, int status, const HeaderList&);
        void endCaller(const RequestId&, bool isServed);
        void handle(const JobEvent&);
        ReplayEngine* engineOf(const EndpointId&);
        unsigned storeLoads() const;
        void finishReport();

        const ReplaySettings& m_settings;
        const LoadPattern& m_pattern;
        ReplayProtocol m_protocol;
        ReplayLoad m_load;
        RandomGenerator m_random;
        MonotonicTime m_start { std::chrono::hours(1) };
        MonotonicTime m_now = m_start;
        std::vector<std::unique_ptr<Host>> m_hosts;
        std::vector<std::unique_ptr<ReplayEngine>> m_engines;
        std::set<std::size_t> m_awayEngines;
        std::unique_ptr<EnginePlacement> m_placement;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
        std::uint64_t m_eventOrder = 0;
        std::map<RequestId, Caller> m_callers;
        // The host and the engine of each attempt.
        std::map<AttemptId, std::pair<std::size_t, EndpointId>> m_attempts;
        std::map<AttemptId, AttemptId> m_ownAttempts;
        // What each account's bucket would hold if all hosts knew of each other at once.
        std::map<unsigned, TokenBucketLevel> m_buckets;
        std::uint64_t m_lastRequest = 0;
        std::uint64_t m_lastJob = 0;
        ReplayReport m_report;
        std::vector<std::vector<double>> m_firstPieces;
        std::vector<double> m_refusalMs;
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
        void operator()(const SendResponseHead&) const { }
        void operator()(const SendResponseData& effect) const
        {
            if (const auto caller = run.m_callers.find(effect.id);
                caller != run.m_callers.end() && !caller->second.firstPieceAt)
                caller->second.firstPieceAt = run.m_now;
        }
        void operator()(const FinishResponse& effect) const { run.endCaller(effect.id, true); }
        void operator()(const SendWholeResponse& effect) const
        {
            run.answerCaller(effect.id, effect.status, effect.headers);
        }
        void operator()(const AbortResponse& effect) const { run.endCaller(effect.id, false); }
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
        , m_random(settings.seed + 1)
        , m_firstPieces(settings.kinds.size())
        , m_refusalMs(settings.kinds.size(), 0)
    {
        std::set<HostId> names;
        for (unsigned i = 0; i < settings.hosts; ++i) {
            const HostId name("host-" + std::to_string(i));
            names.insert(name);
            m_hosts.push_back(std::make_unique<Host>(name, settings.seed + i, m_protocol));
        }
        const GatewayConfiguration shared = configuration();
        for (const auto& host : m_hosts) {
            host->requests.configure(shared);
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
        for (const RequestKind& kind : settings.kinds) {
            m_report.kinds.emplace_back();
            m_report.kinds.back().name = kind.name;
        }
    }

    GatewayConfiguration ReplayRun::configuration() const
    {
        GatewayConfiguration result;
        result.version = 1;
        for (const RequestKind& kind : m_settings.kinds) {
            Route route;
            route.name = kind.name;
            route.host = "replay";
            route.prefix = "/" + kind.name + "/";
            route.isStream = true;
            route.isResumable = kind.isResumable;
            route.timeout = kind.timeLimit;
            route.latencyGoal = kind.latencyGoal;
            route.maximumAttempts = 2;
            route.targets = { { service, 1 } };
            result.routes.push_back(route);
        }
        GatewayEngine engine;
        const EngineShape& shape = m_settings.engine;
        engine.batchSize = shape.slots;
        engine.memoryMb = 100.0 * shape.residentModels + shape.adapterSlots;
        engine.adapterSlots = shape.adapterSlots;
        engine.loadsPerSecond = shape.storeLoadsPerSecond;
        for (unsigned i = 0; i < m_settings.models; ++i) {
            GatewayModel model;
            model.id = replayModel(i);
            model.memoryMb = 100;
            model.adapterMb = 1;
            model.adapterCount = i == 0 ? m_settings.adapters : 0;
            model.loadFromStore = shape.loadFromStore;
            model.loadFromDisk = shape.loadFromDisk;
            model.loadFromMemory = shape.loadFromDisk;
            engine.models.emplace(model.id, model);
        }
        result.services[service] = { service, "/health", engine };
        for (unsigned i = 0; i < m_settings.accounts; ++i) {
            GatewayAccount account;
            account.id = AccountId("account-" + std::to_string(i));
            account.countsTokens = true;
            account.unitsPerSecond = m_load.usualRate(i) * m_settings.accountHeadroom;
            account.burst = account.unitsPerSecond;
            result.accountOfKeyDigest[sha256Hex(keyOf(i))] = account.id;
            result.accounts.emplace(account.id, account);
        }
        return result;
    }

    // The busy models are on many engines, the others on one each, as far as there is room.
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
            m_storeBusySeconds += std::chrono::duration<double>(step).count();
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            if (m_awayEngines.contains(i))
                continue;
            // A step may end after this moment.
            for (const JobEvent& event : m_engines[i]->advance(m_now, loads))
                later(std::max(event.at, m_now) - m_now + networkDelay, [this, event] { handle(event); });
        }
    }

    void ReplayRun::moveEngines()
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
        sendNews();
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            EffectList effects;
            m_hosts[i]->quota.tick(m_now);
            m_hosts[i]->directory.tick(m_now);
            m_hosts[i]->requests.advance(m_now, effects);
            m_hosts[i]->requests.tick(m_now, effects);
            execute(i, effects);
        }
    }

    void ReplayRun::sendNews()
    {
        const auto news = m_placement->takeNews(m_now);
        if (!news)
            return;
        later(networkDelay, [this, news = *news] {
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                EffectList effects;
                m_hosts[i]->directory.handle(news, m_now);
                m_hosts[i]->requests.advance(m_now, effects);
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
                    m_hosts[to]->directory.handle(m_hosts[from]->name, digest);
                }
            });
        }
    }

    void ReplayRun::ask(const LoadRequest& request)
    {
        const RequestId id(++m_lastRequest);
        Caller& caller = m_callers[id];
        caller.request = request;
        caller.askedAt = m_now;
        caller.host = m_random.below(m_hosts.size());
        const auto eager = m_load.strengthOf(LoadChange::EagerCallers, m_now - m_start);
        caller.repeatsLeft = usualRepeats + static_cast<unsigned>(eager.value_or(0));
        ++m_report.kinds[request.kind].asked;
        send(id);
    }

    void ReplayRun::send(const RequestId& id)
    {
        const Caller& caller = m_callers.at(id);
        const RequestKind& kind = m_settings.kinds[caller.request.kind];
        RequestArrived arrived;
        arrived.id = id;
        arrived.method = "POST";
        arrived.path = "/" + kind.name + "/" + std::to_string(id.value);
        arrived.target = arrived.path;
        arrived.keyDigest = sha256Hex(keyOf(caller.request.account));
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(kind.timeLimit - (m_now - caller.askedAt));
        arrived.headers = { { "host", "replay" }, { "id", std::to_string(id.value) },
            { "left", std::to_string(left.count()) }, { "model", caller.request.variant.text() },
            { "tokens", std::to_string(kind.sharedTokens + kind.ownTokens + kind.outputTokens) },
            { "part", kind.name + "-" + std::to_string(caller.request.account) } };
        Host& host = *m_hosts[caller.host];
        EffectList effects;
        host.requests.handle(arrived, m_now, effects);
        if (host.requests.takeNewlyWaiting())
            m_placement->handle(host.name, host.requests.demand().report(false, m_now), m_now);
        noteLimit(caller, effects);
        execute(caller.host, effects);
    }

    // Counts a refusal of a request whose account had the units over all hosts.
    void ReplayRun::noteLimit(const Caller& caller, const EffectList& effects)
    {
        const RequestKind& kind = m_settings.kinds[caller.request.kind];
        const double rate = m_load.usualRate(caller.request.account) * m_settings.accountHeadroom;
        const double units = kind.sharedTokens + kind.ownTokens + kind.outputTokens;
        auto [found, isNew] = m_buckets.try_emplace(caller.request.account, TokenBucketLevel { rate / 2, m_start });
        TokenBucketLevel& bucket = found->second;
        bucket.level
            = std::min(rate, bucket.level + rate * std::chrono::duration<double>(m_now - bucket.refilledAt).count());
        bucket.refilledAt = m_now;
        const bool isRefused = std::any_of(effects.begin(), effects.end(), [](const Effect& effect) {
            const auto* answer = std::get_if<SendWholeResponse>(&effect);
            return answer && answer->status == 429;
        });
        if (!isRefused)
            bucket.level -= units;
        else if (bucket.level >= units)
            ++m_report.refusedBelowLimit;
    }

    void ReplayRun::execute(std::size_t host, const EffectList& effects)
    {
        for (const Effect& effect : effects)
            std::visit(EffectExecutor { *this, host }, effect);
    }

    // Attempts of several hosts may have the same identifier; engines see one of the replay's own.
    void ReplayRun::startAttempt(std::size_t host, const StartAttempt& start)
    {
        const auto callerId = RequestId(std::stoull(start.headers.at(1).second));
        const Caller& caller = m_callers.at(callerId);
        const RequestKind& kind = m_settings.kinds[caller.request.kind];
        EngineJob job;
        job.id = AttemptId(++m_lastJob);
        job.variant = caller.request.variant;
        job.sharedPart = kind.name + "-" + std::to_string(caller.request.account);
        job.sharedTokens = kind.sharedTokens;
        job.ownTokens = kind.ownTokens;
        job.outputTokens = kind.outputTokens;
        m_attempts[job.id] = { host, start.endpoint };
        m_ownAttempts[job.id] = start.id;
        later(networkDelay, [this, job, endpoint = start.endpoint] {
            ReplayEngine* engine = engineOf(endpoint);
            if (!m_attempts.contains(job.id))
                return;
            if (!engine->add(job, m_now))
                later(networkDelay, [this, id = job.id] { handle({ id, JobEvent::Kind::TurnedAway, m_now }); });
        });
    }

    void ReplayRun::cancelAttempt(std::size_t host, const AttemptId& own)
    {
        for (const auto& [job, attempt] : m_ownAttempts) {
            if (attempt != own)
                continue;
            const auto found = m_attempts.find(job);
            if (found != m_attempts.end() && found->second.first == host)
                engineOf(found->second.second)->cancel(job);
        }
    }

    void ReplayRun::handle(const JobEvent& event)
    {
        const auto found = m_attempts.find(event.id);
        if (found == m_attempts.end())
            return;
        const std::size_t index = found->second.first;
        GatewayRequests& requests = m_hosts[index]->requests;
        const AttemptId own = m_ownAttempts.at(event.id);
        EffectList effects;
        switch (event.kind) {
        case JobEvent::Kind::Output:
            requests.handle(AttemptHead { own, 200, {} }, m_now, effects);
            requests.handle(AttemptData { own, "id: 1\ndata: x\n\n" }, m_now, effects);
            break;
        case JobEvent::Kind::Finished:
            requests.handle(AttemptFinished { own }, m_now, effects);
            break;
        case JobEvent::Kind::TurnedAway:
            requests.handle(AttemptHead { own, 503, { { "not-executed", "1" } } }, m_now, effects);
            requests.handle(AttemptFinished { own }, m_now, effects);
            break;
        case JobEvent::Kind::Lost:
            requests.handle(AttemptFailed { own, AttemptOutcome::Unknown, "the engine left", AttemptFailure::Broken },
                m_now, effects);
            break;
        }
        if (event.kind != JobEvent::Kind::Output) {
            m_attempts.erase(event.id);
            m_ownAttempts.erase(event.id);
        }
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
            sendNews();
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

    void ReplayRun::answerCaller(const RequestId& id, int status, const HeaderList& headers)
    {
        const auto found = m_callers.find(id);
        if (found == m_callers.end())
            return;
        Caller& caller = found->second;
        const RequestKind& kind = m_settings.kinds[caller.request.kind];
        const bool isRefusal = status == 429 || status == 503;
        if (isRefusal && caller.repeatsLeft > 0) {
            --caller.repeatsLeft;
            double wait = 0.05;
            const bool isEager = m_load.strengthOf(LoadChange::EagerCallers, m_now - m_start).has_value();
            for (const auto& [name, value] : headers) {
                if (name == "Retry-After" && !isEager)
                    wait = std::max(wait, std::atof(value.c_str()));
            }
            const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
            if (m_now + delay < caller.askedAt + kind.timeLimit) {
                // The repeat is a new request to the gateways, of the same caller.
                const RequestId next(++m_lastRequest);
                Caller again = caller;
                again.host = m_random.below(m_hosts.size());
                m_callers.erase(found);
                m_callers.emplace(next, again);
                later(delay, [this, next] { send(next); });
                return;
            }
        }
        KindReport& report = m_report.kinds[caller.request.kind];
        if (isRefusal) {
            ++report.refused;
            m_refusalMs[caller.request.kind]
                += std::chrono::duration<double, std::milli>(m_now - caller.askedAt).count();
            m_callers.erase(found);
        } else {
            endCaller(id, false);
        }
    }

    void ReplayRun::endCaller(const RequestId& id, bool isServed)
    {
        const auto found = m_callers.find(id);
        if (found == m_callers.end())
            return;
        const Caller& caller = found->second;
        const RequestKind& kind = m_settings.kinds[caller.request.kind];
        KindReport& report = m_report.kinds[caller.request.kind];
        if (!isServed || !caller.firstPieceAt || m_now - caller.askedAt > kind.timeLimit) {
            ++report.failed;
        } else {
            const Duration first = *caller.firstPieceAt - caller.askedAt;
            m_firstPieces[caller.request.kind].push_back(std::chrono::duration<double, std::milli>(first).count());
            ++(first <= kind.latencyGoal ? report.inGoal : report.late);
        }
        m_callers.erase(found);
    }

    void ReplayRun::finishReport()
    {
        const double seconds = std::chrono::duration<double>(m_settings.length).count();
        for (std::size_t kind = 0; kind < m_firstPieces.size(); ++kind) {
            std::vector<double>& pieces = m_firstPieces[kind];
            std::sort(pieces.begin(), pieces.end());
            KindReport& report = m_report.kinds[kind];
            if (!pieces.empty()) {
                report.medianFirstPieceMs = pieces[pieces.size() / 2];
                report.highFirstPieceMs = pieces[pieces.size() * 95 / 100];
            }
            report.meanRefusalMs = report.refused == 0 ? 0 : m_refusalMs[kind] / report.refused;
        }
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
        while (m_now < end && (m_now < loadEnd || !m_callers.empty())) {
            m_now += step;
            runDue();
            moveEngines();
            advanceEngines();
            if (m_now < loadEnd) {
                for (const LoadRequest& request : m_load.arrivals(m_now - m_start, step))
                    ask(request);
            }
            if (isDue(recordInterval))
                publishRecords();
            if (isDue(digestInterval))
                exchangeDigests();
            if (isDue(tickInterval))
                tickHosts();
        }
        for (const auto& [id, caller] : m_callers)
            ++m_report.kinds[caller.request.kind].failed;
        finishReport();
        return m_report;
    }

} // namespace

ReplayReport runReplay(const ReplaySettings& settings, const LoadPattern& pattern)
{
    return ReplayRun(settings, pattern).run();
}

} // namespace Catkinwell
