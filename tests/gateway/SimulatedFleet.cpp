#include "gateway/SimulatedFleet.h"

#include <algorithm>
#include <array>
#include <catkinwell/core/Digest.h>
#include <nlohmann/json.hpp>

namespace Catkinwell::Testing {

namespace {

    using Json = nlohmann::json;

    constexpr Duration stepTime = std::chrono::milliseconds(20);
    constexpr Duration heartbeatInterval = std::chrono::milliseconds(500);
    constexpr Duration demandInterval = std::chrono::milliseconds(100);

} // namespace

Result<GatewayConfiguration> SimulatedProtocol::readConfiguration(std::string_view document) const
{
    const bool isSplit = document.ends_with(" split");
    if (isSplit)
        document.remove_suffix(std::string_view(" split").size());
    const auto version = Json::parse(document, nullptr, false);
    if (!version.is_number_unsigned())
        return Error { ErrorKind::InvalidConfiguration, "the document is not a version number" };
    GatewayConfiguration configuration = sampleConfiguration(version.get<std::uint64_t>());
    if (document.ends_with(' ')) {
        configuration.routes.push_back(configuration.routes.front());
        configuration.routes.back().prefix = "/added/";
    }
    if (configuration.version >= 100) {
        configuration.services["orders"].coldStart = std::chrono::seconds(30);
        configuration.services["orders"].coldRequestsPerSecond = 11;
    }
    if (isSplit) {
        configuration.services["drafts"] = configuration.services["notes"];
        configuration.services["drafts"].name = "drafts";
        for (Route& route : configuration.routes) {
            if (route.isResumable)
                route.targets = { { "notes", 1 }, { "drafts", 1 } };
        }
    }
    return configuration;
}

Result<EndpointRecord> SimulatedProtocol::readEndpoint(std::string_view key, std::string_view document) const
{
    const Json fields = Json::parse(document, nullptr, false);
    if (!fields.is_object())
        return Error { ErrorKind::InvalidMessage, "the record is not an object" };
    EndpointRecord record
        = sampleEndpoint(std::string(key.substr(endpointPrefix().size())), fields.value("service", ""));
    record.heartbeat = fields.value("heartbeat", std::uint64_t { 0 });
    record.isLeaving = fields.value("leaving", false);
    record.softwareVersion = fields.value("version", "");
    record.dataCentre = DataCentreId(fields.value("zone", record.dataCentre.value));
    record.incarnation = fields.value("incarnation", record.incarnation);
    for (const Json& model : fields.value("models", Json::array()))
        record.models[ModelId(model.get<std::string>())];
    return record;
}

SimulatedFleet::SimulatedFleet(std::size_t hosts, std::size_t engines, Adjust adjust)
    : m_adjust(std::move(adjust))
    , m_hosts(hosts)
{
    store.put("configuration", "1");
    for (std::size_t i = 0; i < engines; ++i) {
        const std::string id = "e" + std::to_string(i);
        m_engines.emplace(EndpointId(id), FakeEngine(id, { { ModelId("m1"), {} }, { ModelId("m2"), {} } }, {}, i + 1));
    }
    for (std::size_t i = 0; i < hosts; ++i)
        start(i);
}

void SimulatedFleet::start(std::size_t index)
{
    GatewaySettings settings;
    settings.host = idOf(index);
    settings.dataCentre = DataCentreId("here");
    settings.peerAddress = "127.0.0.1:" + std::to_string(1000 + index);
    settings.relayAddress = "127.0.0.1:" + std::to_string(2000 + index);
    settings.coldBounds = coldBounds;
    if (m_adjust)
        m_adjust(index, settings);
    Host& host = m_hosts[index];
    host = Host();
    host.incarnation = ++m_lastIncarnation;
    host.reducer = std::make_unique<GatewayReducer>(
        settings, m_protocol, host.incarnation, 100 + host.incarnation, "secret" + std::to_string(host.incarnation));
}

void SimulatedFleet::setConnected(std::size_t index, bool isConnected)
{
    Host& host = m_hosts[index];
    host.isConnected = isConnected;
    if (!isConnected)
        breakWatches(host);
}

void SimulatedFleet::setSilent(std::size_t index, bool isSilent)
{
    Host& host = m_hosts[index];
    host.isSilent = isSilent;
    if (!isSilent)
        return;
    for (PendingWatch& watch : std::exchange(host.watches, {})) {
        watch.endsAt += watch.call.timeout;
        host.lostCalls.push_back(std::move(watch));
    }
}

void SimulatedFleet::setIsolated(std::size_t index, bool isIsolated)
{
    m_hosts[index].isIsolated = isIsolated;
    setConnected(index, !isIsolated);
}

void SimulatedFleet::breakWatches(Host& host)
{
    for (const PendingWatch& watch : std::exchange(host.watches, {}))
        host.inbox.emplace_back(StoreReply { watch.call.id, StoreStatus::Unknown });
}

void SimulatedFleet::restoreStore()
{
    store.restore(now);
    for (Host& host : m_hosts)
        breakWatches(host);
}

void SimulatedFleet::reply(
    std::size_t index, const StoreCall& call, StoreReply reply, MonotonicTime sentAt, StoreEpoch atSending)
{
    Host& host = m_hosts[index];
    if (const auto restored = host.epochs.note(store.epoch()))
        apply(index, *restored);
    if (!StoreEpochTracker::isSameHistory(atSending, store.epoch())) {
        reply = StoreReply();
        reply.status = StoreEpochTracker::statusAcrossRestore(call.operation);
    }
    reply.id = call.id;
    reply.sentAt = sentAt;
    reply.epoch = store.epoch();
    apply(index, reply);
}

void SimulatedFleet::execute(std::size_t index, const StoreCall& call)
{
    Host& host = m_hosts[index];
    const auto* list = std::get_if<StoreList>(&call.operation);
    if (!host.isConnected || (list && list->prefix == unansweredPrefix)) {
        host.inbox.emplace_back(StoreReply { call.id, StoreStatus::Unknown });
        return;
    }
    if (host.isSilent) {
        const auto* watch = std::get_if<StoreWatchPrefix>(&call.operation);
        host.lostCalls.push_back({ call, now, now + call.timeout + (watch ? watch->wait : Duration::zero()) });
        return;
    }
    ++calls[StoreCallIds::userOf(call.id)];
    lists += std::holds_alternative<StoreList>(call.operation);
    writes += std::holds_alternative<StoreCompareAndSwap>(call.operation)
        || std::holds_alternative<StoreDelete>(call.operation) || std::holds_alternative<LeaseCreate>(call.operation);
    const StoreEpoch atSending = host.epochs.current();
    if (const auto answered = store.answer(call, now))
        reply(index, call, *answered, now, atSending);
    else
        host.watches.push_back({ call, now, now + std::get<StoreWatchPrefix>(call.operation).wait });
}

void SimulatedFleet::answerWatches(std::size_t index)
{
    for (const PendingWatch& watch : std::exchange(m_hosts[index].watches, {})) {
        const auto answered = store.answer(watch.call, now);
        if (!answered && now < watch.endsAt) {
            m_hosts[index].watches.push_back(watch);
            continue;
        }
        StoreReply unchanged { watch.call.id, StoreStatus::Ok };
        unchanged.version = store.version();
        reply(index, watch.call, answered.value_or(unchanged), watch.sentAt, m_hosts[index].epochs.current());
    }
}

void SimulatedFleet::endLostCalls(std::size_t index)
{
    for (PendingWatch& lost : std::exchange(m_hosts[index].lostCalls, {})) {
        if (now < lost.endsAt)
            m_hosts[index].lostCalls.push_back(std::move(lost));
        else
            m_hosts[index].inbox.emplace_back(StoreReply { lost.call.id, StoreStatus::Unknown });
    }
}

void SimulatedFleet::deliver(std::size_t index, PeerMessageReceived message)
{
    Host& host = m_hosts[index];
    const auto* envelope = std::get_if<GatewayEnvelope>(&message.message);
    if (documentTime == Duration::zero() || !envelope) {
        host.inbox.emplace_back(std::move(message));
        return;
    }
    const auto decoded = decodeGatewayMessage(envelope->payload);
    if (std::holds_alternative<ConfigurationDocumentOffer>(valueOf(decoded))) {
        ++documents[index];
        host.linkFreeAt = std::max(host.linkFreeAt, now) + documentTime;
    }
    host.delayed.push_back({ std::move(message), std::max(host.linkFreeAt, now) });
}

void SimulatedFleet::deliverDelayed(std::size_t index)
{
    Host& host = m_hosts[index];
    for (DelayedMessage& delayed : std::exchange(host.delayed, {})) {
        if (now < delayed.at)
            host.delayed.push_back(std::move(delayed));
        else
            host.inbox.emplace_back(std::move(delayed.message));
    }
}

void SimulatedFleet::execute(std::size_t index, const EngineOrder& order)
{
    m_orderingHost = index;
    orders.push_back({ index, order.endpoint, order.fencingToken, now });
    const auto engine = m_engines.find(order.endpoint);
    const auto outcome = engine == m_engines.end() ? EngineOrderOutcome::NotSent : engine->second.handle(order, now);
    m_hosts[index].inbox.emplace_back(EngineOrderFinished { order, outcome.value_or(EngineOrderOutcome::Unknown) });
}

void SimulatedFleet::execute(std::size_t index, const StartRelay& relay)
{
    ++relays;
    std::size_t to = 0;
    while (to < m_hosts.size() && idOf(to) != relay.to)
        ++to;
    if (to == m_hosts.size() || !m_hosts[to].reducer || m_hosts[to].isIsolated || m_hosts[index].isIsolated) {
        m_hosts[index].inbox.emplace_back(
            AttemptFailed { relay.id, AttemptOutcome::NotSent, "unreachable", AttemptFailure::Connect });
        return;
    }
    const RelayedRequest request = valueOf(decodeRelayedRequest(encodeRelayedRequest(relay.request)));
    RelayedRequestArrived event;
    event.arrived.id = RequestId(++m_lastRequest);
    event.arrived.method = request.method;
    event.arrived.target = request.target;
    event.arrived.headers = request.headers;
    event.arrived.body = request.body;
    event.terms = request.terms;
    event.from = idOf(index);
    m_relays.push_back({ index, relay.id, to, event.arrived.id });
    m_hosts[to].inbox.emplace_back(event);
}

namespace {

    std::vector<GatewayEvent> eventsOf(AttemptId attempt, const SendWholeResponse& answer)
    {
        return { AttemptHead { attempt, answer.status, answer.headers }, AttemptData { attempt, answer.body },
            AttemptFinished { attempt } };
    }
    std::vector<GatewayEvent> eventsOf(AttemptId attempt, const SendResponseHead& head)
    {
        return { AttemptHead { attempt, head.status, head.headers } };
    }
    std::vector<GatewayEvent> eventsOf(AttemptId attempt, const SendResponseData& data)
    {
        return { AttemptData { attempt, data.data } };
    }
    std::vector<GatewayEvent> eventsOf(AttemptId attempt, const FinishResponse&)
    {
        return { AttemptFinished { attempt } };
    }
    std::vector<GatewayEvent> eventsOf(AttemptId attempt, const AbortResponse&)
    {
        return { AttemptFailed { attempt, AttemptOutcome::Unknown, "closed", AttemptFailure::Broken } };
    }

} // namespace

template <typename Answer> bool SimulatedFleet::passOn(std::size_t host, const Answer& answer)
{
    const auto relay = std::find_if(m_relays.begin(), m_relays.end(),
        [&](const Relay& entry) { return entry.to == host && entry.request == answer.id; });
    if (relay == m_relays.end())
        return false;
    for (GatewayEvent& event : eventsOf(relay->attempt, answer))
        m_hosts[relay->from].inbox.push_back(std::move(event));
    return true;
}

void SimulatedFleet::cancelRelay(std::size_t host, AttemptId attempt)
{
    for (const Relay& relay : m_relays) {
        if (relay.from == host && relay.attempt == attempt)
            m_hosts[relay.to].inbox.emplace_back(CallerLeft { relay.request });
    }
}

void SimulatedFleet::apply(std::size_t index, const GatewayEvent& event)
{
    Host& host = m_hosts[index];
    for (const Effect& effect : host.reducer->apply(event, now)) {
        if (const auto* call = std::get_if<StoreCall>(&effect)) {
            execute(index, *call);
        } else if (const auto* order = std::get_if<EngineOrder>(&effect)) {
            execute(index, *order);
        } else if (const auto* fetch = std::get_if<FetchEngineStatus>(&effect)) {
            const auto engine = m_engines.find(fetch->endpoint);
            if (engine != m_engines.end())
                host.inbox.emplace_back(engine->second.status(now));
            else
                host.inbox.emplace_back(EngineStatusFailed { fetch->endpoint, "no answer" });
        } else if (const auto* transport = std::get_if<StartPeerTransport>(&effect)) {
            host.secret = transport->clusterSecret;
        } else if (const auto* send = std::get_if<SendToPeer>(&effect)) {
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                const bool isReached = m_hosts[i].reducer && !m_hosts[i].isIsolated && !host.isIsolated;
                if (idOf(i) == send->to && isReached && links(index, i) && m_hosts[i].secret == host.secret)
                    deliver(i, { idOf(index), host.incarnation, send->message });
            }
        } else if (const auto* probe = std::get_if<StartAttempt>(&effect); probe && probe->target == "/health") {
            if (reaches(index, probe->endpoint))
                host.inbox.emplace_back(AttemptHead { probe->id, 200, {}, true });
            else
                host.inbox.emplace_back(
                    AttemptFailed { probe->id, AttemptOutcome::NotSent, "unreachable", AttemptFailure::Connect });
        } else if (const auto* attempt = std::get_if<StartAttempt>(&effect)) {
            attempts.push_back(*attempt);
            attemptHosts.push_back(index);
            if (answersAttempts) {
                host.inbox.emplace_back(AttemptHead { attempt->id, 200, { { "sealed", "1" } } });
                host.inbox.emplace_back(AttemptFinished { attempt->id });
            }
        } else if (const auto* relay = std::get_if<StartRelay>(&effect)) {
            execute(index, *relay);
        } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
            cancelRelay(index, cancel->id);
        } else if (const auto* withhold = std::get_if<WithholdUnsent>(&effect)) {
            withheld.push_back(withhold->endpoint);
        } else if (const auto* answer = std::get_if<SendWholeResponse>(&effect)) {
            if (!passOn(index, *answer))
                answers.push_back(*answer);
        } else if (const auto* head = std::get_if<SendResponseHead>(&effect)) {
            passOn(index, *head);
        } else if (const auto* data = std::get_if<SendResponseData>(&effect)) {
            passOn(index, *data);
        } else if (const auto* aborted = std::get_if<AbortResponse>(&effect)) {
            passOn(index, *aborted);
        } else if (const auto* end = std::get_if<FinishResponse>(&effect)) {
            if (!passOn(index, *end))
                finishedStreams.insert(end->id);
        } else if (const auto* entry = std::get_if<LogEntry>(&effect)) {
            logs.push_back(*entry);
        }
    }
}

void SimulatedFleet::step()
{
    now += stepTime;
    store.expireLeases(now);
    for (auto& [id, engine] : m_engines)
        engine.advance(now);
    if (now >= m_nextHeartbeatAt) {
        m_nextHeartbeatAt = now + heartbeatInterval;
        for (const auto& [id, engine] : m_engines) {
            Json models = Json::array();
            for (const auto& [model, adapters] : engine.models())
                models.push_back(model.value);
            store.put("endpoints/" + id.value,
                Json { { "service", "notes" }, { "heartbeat", ++m_heartbeat }, { "models", models },
                    { "zone", zones.contains(id) ? zones.at(id) : "here" } }
                    .dump());
        }
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        Host& host = m_hosts[i];
        if (!host.reducer || host.isFrozen)
            continue;
        if (host.isConnected)
            answerWatches(i);
        endLostCalls(i);
        deliverDelayed(i);
        for (const GatewayEvent& event : std::exchange(host.inbox, {}))
            apply(i, event);
        apply(i, Tick { WallTime(std::chrono::hours(500000) + now.time_since_epoch()) });
    }
}

void SimulatedFleet::run(Duration duration)
{
    for (const MonotonicTime end = now + duration; now < end;)
        step();
}

void SimulatedFleet::runWithDemand(Duration duration)
{
    constexpr std::array<const char*, 4> models { "m1", "m2", "m3", "m4" };
    for (const MonotonicTime end = now + duration; now < end;) {
        // Each model is requested for three seconds, so that it has to be loaded in turn.
        const auto turn = static_cast<std::size_t>(now.time_since_epoch() / std::chrono::seconds(3));
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (m_hosts[i].reducer && !m_hosts[i].isFrozen)
                arrive(i, "/note/1", models[turn % models.size()]);
        }
        run(demandInterval);
    }
}

void SimulatedFleet::reject(std::size_t attempt, const HeaderList& more)
{
    HeaderList headers { { "not-executed", "1" } };
    headers.insert(headers.end(), more.begin(), more.end());
    apply(attemptHosts.at(attempt), AttemptHead { attempts.at(attempt).id, 503, headers });
    apply(attemptHosts[attempt], AttemptFinished { attempts[attempt].id });
}

void SimulatedFleet::begin(std::size_t attempt, int events, const HeaderList& more)
{
    const std::size_t host = attemptHosts.at(attempt);
    HeaderList headers { { "sealed", "1" } };
    headers.insert(headers.end(), more.begin(), more.end());
    apply(host, AttemptHead { attempts.at(attempt).id, 200, headers });
    for (int i = 1; i <= events; ++i)
        apply(host, AttemptData { attempts[attempt].id, "id: " + std::to_string(i) + "\ndata: x\n\n" });
}

void SimulatedFleet::finish(std::size_t attempt)
{
    if (m_hosts[attemptHosts.at(attempt)].reducer)
        apply(attemptHosts[attempt], AttemptFinished { attempts[attempt].id });
}

void SimulatedFleet::breakOff(std::size_t attempt) { fail(attempt, AttemptOutcome::Unknown, AttemptFailure::Broken); }

void SimulatedFleet::fail(std::size_t attempt, AttemptOutcome outcome, AttemptFailure failure)
{
    if (isRunning(attemptHosts.at(attempt)))
        apply(attemptHosts[attempt],
            AttemptFailed { attempts.at(attempt).id, outcome, std::string(nameOf(failure)), failure });
}

RequestId SimulatedFleet::arrive(std::size_t host, const std::string& target, const std::string& model,
    const std::string& part, const HeaderList& more)
{
    RequestArrived request;
    request.id = RequestId(++m_lastRequest);
    request.method = "POST";
    request.target = target;
    if (!areBodiesEqual)
        request.body = "body " + std::to_string(m_lastRequest);
    request.keyDigest = sha256Hex("key-a");
    request.headers = { { "Host", "h:80" }, { "id", "r" + std::to_string(m_lastRequest) },
        { "left", std::to_string(millisecondsOf(callerTime)) }, { "model", model } };
    if (!part.empty())
        request.headers.emplace_back("part", part);
    request.headers.insert(request.headers.end(), more.begin(), more.end());
    apply(host, request);
    return request.id;
}

std::size_t SimulatedFleet::owner() const
{
    const std::string value = store.value("catkinwell/owner");
    std::size_t host = 0;
    while (host < m_hosts.size() && !value.starts_with(idOf(host).value + "\n"))
        ++host;
    return host;
}

Json SimulatedFleet::status(std::size_t host)
{
    RequestArrived request;
    request.id = RequestId(++m_lastRequest);
    request.path = "/status";
    answers.clear();
    apply(host, AdminRequestArrived { request });
    return Json::parse(answers.back().body);
}

} // namespace Catkinwell::Testing
