#include "platform/FakeEndpoint.h"

#include "http/HeaderText.h"
#include <stdexcept>

namespace Catkinwell::Testing {

namespace {

    using Json = nlohmann::json;

    constexpr unsigned eventsBeforeCrash = 2;
    // Reports are up to twice as old.
    constexpr Duration reportInterval = std::chrono::milliseconds(100);
    // What reports state of each run beside its events.
    constexpr unsigned tokensOfRun = 100;
    constexpr unsigned usualPriority = 5;
    constexpr Duration downTime = std::chrono::milliseconds(1500);
    // The platform's time for hosts to react to a statement of brittleness.
    constexpr Duration reactionTime = std::chrono::seconds(3);
    constexpr Duration rejectionWindow = std::chrono::seconds(1);

    ListenerSettings listenerSettings()
    {
        ListenerSettings settings;
        settings.address = "127.0.0.1:0";
        settings.forwardsUnchanged = true;
        return settings;
    }

    Json modelsJson(const LoadedModels& models)
    {
        Json list = Json::array();
        for (const auto& [model, adapters] : models)
            list.push_back({ { "name", model.value }, { "version", 1 }, { "adapters", adapters } });
        return list;
    }

    Json namesJson(const std::set<ModelId>& models)
    {
        Json list = Json::array();
        for (const ModelId& model : models)
            list.push_back(model.value);
        return list;
    }

    int statusOf(EngineOrderOutcome outcome)
    {
        switch (outcome) {
        case EngineOrderOutcome::Accepted:
            return 202;
        case EngineOrderOutcome::AlreadyDone:
            return 200;
        case EngineOrderOutcome::Conflict:
            return 409;
        case EngineOrderOutcome::Misdirected:
            return 421;
        default:
            return 400;
        }
    }

} // namespace

FakeEndpoint::FakeEndpoint(
    EventLoop& loop, std::string id, std::string service, EndpointHistory& history, std::uint64_t seed)
    : m_loop(loop)
    , m_name(std::move(id))
    , m_id(m_name)
    , m_service(std::move(service))
    , m_history(history)
    , m_random(seed)
    , m_listener(loop, listenerSettings(), 0)
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch()).count())
{
    m_listener.signalRequest().connect([this](const RequestArrived& request) { handle(request); });
    m_listener.signalCallerLeft().connect([this](const CallerLeft& left) { handleLeft(left.id); });
}

void FakeEndpoint::handleLeft(RequestId id)
{
    std::erase_if(m_waiting, [id](const RequestArrived& request) { return request.id == id; });
    if (!m_isWorkingOn)
        endRun(id);
    m_unanswered.erase(id);
    m_notices.erase(id);
}

void FakeEndpoint::setCapacity(unsigned slots, Duration processingTime)
{
    m_slots = slots;
    m_processingTime = processingTime;
}

void FakeEndpoint::setStream(unsigned events, Duration interval)
{
    m_eventsPerStream = events;
    m_eventInterval = interval;
}

void FakeEndpoint::preemptNewest(std::size_t runs, Duration duration)
{
    // Identifiers ascend.
    for (auto run = m_running.rbegin(); run != m_running.rend() && runs > 0; ++run, --runs)
        run->second.pausedUntil = m_clock.monotonicNow() + duration;
}

void FakeEndpoint::setBrittle(std::optional<unsigned> rejections)
{
    m_brittleRejections = rejections;
    m_brittleSince = m_clock.monotonicNow();
    m_rejections.clear();
}

void FakeEndpoint::makeEngine(const LoadedModels& models)
{
    m_engine = std::make_unique<FakeEngine>(m_id, models, EngineFaults {}, m_random.next());
    m_engine->advance(m_clock.monotonicNow());
    m_loop.callEvery(std::chrono::milliseconds(20), [this] { m_engine->advance(m_clock.monotonicNow()); });
    m_reportedRuns = m_nextReportedRuns = runsJson();
    m_loop.callEvery(reportInterval, [this] { m_reportedRuns = std::exchange(m_nextReportedRuns, runsJson()); });
}

void FakeEndpoint::open()
{
    if (isError(m_listener.start()))
        throw std::runtime_error("the fake endpoint found no free port");
}

Json FakeEndpoint::state() const
{
    Json json { { "born", m_born }, { "sequence", m_heartbeat } };
    if (!m_engine)
        return json;
    const EngineStatus status = m_engine->status(m_clock.monotonicNow());
    json["models"] = modelsJson(status.models);
    json["at_hand"] = { { "in_memory", Json::array() }, { "on_disk", namesJson(status.onDisk) } };
    return json;
}

std::string FakeEndpoint::nextRecord(std::uint16_t port)
{
    ++m_heartbeat;
    Json record = state();
    record["service"] = m_service;
    record["address"] = "127.0.0.1:" + std::to_string(port);
    record["zone"] = m_zone;
    record["version"] = m_version;
    record["slots"] = m_slots;
    record["state"] = m_isLeaving ? "draining" : "ready";
    return record.dump();
}

void FakeEndpoint::answerReport(RequestId id)
{
    const EngineStatus status = m_engine->status(m_clock.monotonicNow());
    Json report = state();
    report["sequence"] = status.orderCount;
    report["busy"] = status.isBusy;
    report["waiting"] = m_waiting.size();
    report["running"] = m_reportedRuns.size();
    report["runs"] = m_reportedRuns;
    send(SendWholeResponse { id, 200, { { "Content-Type", "application/json" } }, report.dump() });
}

Json FakeEndpoint::runsJson() const
{
    Json runs = Json::array();
    for (const auto& [id, run] : m_running)
        runs.push_back({ run.request, tokensOfRun, run.events, usualPriority });
    return runs;
}

void FakeEndpoint::handleOrder(const RequestArrived& request)
{
    const Json body = Json::parse(request.body, nullptr, false);
    EngineOrder order;
    order.endpoint = EndpointId(headerValue(request.headers, "catkinwell-expect-instance"));
    order.kind = body.value("op_type", "") == "loading" ? EngineOrderKind::Load : EngineOrderKind::Unload;
    order.model = ModelId(body.value("model", ""));
    order.adapter = body.value("adapter", "");
    order.expectedOrderCount = body.value("expected", std::uint64_t { 0 });
    const MonotonicTime now = m_clock.monotonicNow();
    const auto outcome = m_engine->handle(order, now);
    if (outcome == EngineOrderOutcome::Accepted || outcome == EngineOrderOutcome::AlreadyDone)
        m_history.orders.push_back({ m_id, body.value("holder", ""), now });
    send(SendWholeResponse { request.id, statusOf(*outcome), {}, "" });
}

void FakeEndpoint::refuse(RequestId id, int status)
{
    HeaderList headers = statements();
    headers.emplace_back("Catkinwell-Not-Executed", "1");
    send(SendWholeResponse { id, status, headers, "" });
}

HeaderList FakeEndpoint::statements() const
{
    HeaderList headers;
    if (m_brittleRejections)
        headers.emplace_back("Server-Brittle", std::to_string(*m_brittleRejections));
    if (m_announcesLeaving)
        headers.emplace_back("Server-Leaving", "1");
    return headers;
}

void FakeEndpoint::refuseForPause(const RequestArrived& request)
{
    const std::string id = headerValue(request.headers, "catkinwell-request-id");
    m_notices[request.id] = { m_id, id, {}, *m_pause };
    HeaderList headers = statements();
    headers.emplace_back("Catkinwell-Not-Executed", "1");
    headers.emplace_back("Retry-After", std::to_string(secondsOf(*m_pause)));
    send(SendWholeResponse { request.id, 503, headers, "" });
}

void FakeEndpoint::restart()
{
    if (!m_isDown)
        end();
}

bool FakeEndpoint::lacksModel(const RequestArrived& request) const
{
    return m_engine && !m_engine->models().contains(ModelId(headerValue(request.headers, "catkinwell-model")));
}

bool FakeEndpoint::hasRoom() const
{
    const bool mayWait = !m_brittleRejections || m_clock.monotonicNow() < m_brittleSince + reactionTime;
    return mayWait || m_running.size() < m_slots;
}

void FakeEndpoint::rejectForRoom(const RequestArrived& request)
{
    const MonotonicTime now = m_clock.monotonicNow();
    m_rejections.emplace_back(now, headerValue(request.headers, "catkinwell-request-id"));
    while (now - m_rejections.front().first >= rejectionWindow)
        m_rejections.pop_front();
    if (m_rejections.size() <= *m_brittleRejections) {
        refuse(request.id, 503);
        return;
    }
    RecordedFall fall { m_id, now, {} };
    for (const auto& [at, rejected] : m_rejections)
        fall.rejected.push_back(rejected);
    m_history.falls.push_back(std::move(fall));
    send(AbortResponse { request.id });
    end();
}

void FakeEndpoint::setSilent(bool isSilent)
{
    m_isSilent = isSilent;
    if (isSilent)
        return;
    for (Output& output : std::exchange(m_held, {}))
        send(std::move(output));
}

void FakeEndpoint::send(Output output)
{
    if (m_isSilent) {
        m_held.push_back(std::move(output));
        return;
    }
    noteNotice(output);
    noteEndOf(output);
    std::visit([this](const auto& effect) { m_listener.execute(effect); }, output);
}

// A host knows of a notice when the answer begins.
void FakeEndpoint::noteNotice(const Output& output)
{
    const auto notice = m_notices.find(std::visit([](const auto& effect) { return effect.id; }, output));
    if (notice == m_notices.end())
        return;
    if (std::holds_alternative<SendResponseHead>(output) || std::holds_alternative<SendWholeResponse>(output)) {
        notice->second.at = m_clock.monotonicNow();
        m_history.notices.push_back(notice->second);
    }
    m_notices.erase(notice);
}

void FakeEndpoint::noteEndOf(const Output& output)
{
    const bool isPart
        = std::holds_alternative<SendResponseHead>(output) || std::holds_alternative<SendResponseData>(output);
    const auto request = m_unanswered.find(std::visit([](const auto& effect) { return effect.id; }, output));
    if (isPart || request == m_unanswered.end())
        return;
    if (std::holds_alternative<AbortResponse>(output))
        m_history.breaks.push_back({ m_id, request->second, m_clock.monotonicNow() });
    m_unanswered.erase(request);
}

void FakeEndpoint::end()
{
    m_isDown = true;
    m_isSilent = false;
    m_rejections.clear();
    for (const Output& output : std::exchange(m_held, {}))
        send(AbortResponse { std::visit([](const auto& effect) { return effect.id; }, output) });
    for (const RequestArrived& request : std::exchange(m_waiting, {}))
        send(AbortResponse { request.id });
    while (!m_running.empty()) {
        const RequestId id = m_running.begin()->first;
        endRun(id);
        send(AbortResponse { id });
    }
    m_signalEnded.emit(m_id);
    m_loop.callLater(downTime, [this] { startAgain(); });
}

void FakeEndpoint::startAgain()
{
    const MonotonicTime now = m_clock.monotonicNow();
    m_isDown = false;
    m_announcesLeaving = false;
    m_id = m_name + "." + std::to_string(++m_starts);
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch()).count();
    m_heartbeat = 0;
    if (m_engine)
        m_engine->restartAs(m_id, now);
    m_reportedRuns = m_nextReportedRuns = runsJson();
    m_signalStarted.emit();
}

void FakeEndpoint::laterFor(RequestId id, Duration delay, std::function<void()> action)
{
    m_loop.callLater(delay, [this, id, action = std::move(action)] {
        if (m_running.contains(id))
            action();
    });
}

void FakeEndpoint::noteArrival(const RequestArrived& request)
{
    const std::string id = headerValue(request.headers, "catkinwell-request-id");
    if (id.empty())
        return;
    m_history.arrivals.push_back({ m_id, id, m_clock.monotonicNow() });
    m_unanswered[request.id] = id;
}

void FakeEndpoint::handle(const RequestArrived& request)
{
    if (m_isDown) {
        send(AbortResponse { request.id });
    } else if (m_engine && request.path == "/report") {
        answerReport(request.id);
    } else if (m_engine && request.path == "/order") {
        handleOrder(request);
    } else if (headerValue(request.headers, "catkinwell-expect-instance") != m_id) {
        refuse(request.id, 421);
    } else if (noteArrival(request); m_pause) {
        refuseForPause(request);
    } else if (m_random.unit() < faults.refusals || lacksModel(request)) {
        refuse(request.id, 503);
    } else if (!hasRoom()) {
        rejectForRoom(request);
    } else if (m_queueLength && m_running.size() >= m_slots) {
        waitForSlot(request);
    } else {
        begin(request);
    }
}

void FakeEndpoint::waitForSlot(const RequestArrived& request)
{
    if (m_waiting.size() < *m_queueLength)
        m_waiting.push_back(request);
    else
        refuse(request.id, 503);
}

void FakeEndpoint::begin(const RequestArrived& request)
{
    const std::string id = headerValue(request.headers, "catkinwell-request-id");
    m_running[request.id] = { id, m_history.executions.size() };
    m_history.executions.push_back(
        { m_id, id, headerValue(request.headers, "catkinwell-tenant"), m_clock.monotonicNow(), request.path });
    laterFor(request.id, m_processingTime, [this, request] { run(request); });
}

void FakeEndpoint::endRun(RequestId id)
{
    const auto run = m_running.find(id);
    if (run == m_running.end())
        return;
    m_history.executions[run->second.execution].endedAt = m_clock.monotonicNow();
    m_running.erase(run);
    beginWaiting();
}

void FakeEndpoint::beginWaiting()
{
    while (!m_waiting.empty() && m_running.size() < m_slots) {
        const RequestArrived request = std::move(m_waiting.front());
        m_waiting.pop_front();
        begin(request);
    }
}

void FakeEndpoint::run(const RequestArrived& request)
{
    std::string id = headerValue(request.headers, "catkinwell-request-id");
    const std::string previous = std::exchange(m_previousRequest, id);
    if (!previous.empty() && m_random.unit() < faults.crossedAnswers)
        id = previous;
    const bool isDeadly = request.path.find("deadly") != std::string::npos;
    if (isDeadly && !m_engine) {
        crash(request.path);
        return;
    }
    if (m_random.unit() < faults.lostAnswers) {
        endRun(request.id);
        send(AbortResponse { request.id });
        return;
    }
    if (m_announcesLeaving)
        m_notices[request.id] = { m_id, id, {}, {} };
    HeaderList headers = statements();
    headers.emplace_back("Catkinwell-Request-Id", id);
    headers.emplace_back("Catkinwell-Response-Seal", "seal-" + id);
    if (m_engine) {
        send(SendResponseHead { request.id, 200, headers });
        // A resumed stream continues after the last event that the client received.
        const std::string last = headerValue(request.headers, "last-event-id");
        const unsigned done = last.empty() ? 0 : static_cast<unsigned>(std::stoul(last));
        streamEvents(request.id, id, std::min(done + 1, m_eventsPerStream));
        if (isDeadly)
            laterFor(request.id, m_eventInterval * eventsBeforeCrash, [this, path = request.path] { crash(path); });
        return;
    }
    endRun(request.id);
    send(SendWholeResponse { request.id, 200, headers, plainAnswer(id, request.path) });
}

std::string FakeEndpoint::plainAnswer(const std::string& request, const std::string& path) const
{
    std::string answer = "answer to " + request;
    if (path.find("large") != std::string::npos)
        answer.resize(std::max(answer.size(), m_largeAnswerBytes), 'x');
    return answer;
}

void FakeEndpoint::crash(const std::string& path)
{
    m_history.crashes.push_back({ m_id, path, m_clock.monotonicNow() });
    end();
}

void FakeEndpoint::streamEvents(RequestId id, const std::string& request, unsigned next)
{
    const Duration pause = m_running.at(id).pausedUntil - m_clock.monotonicNow();
    if (pause > Duration::zero()) {
        laterFor(id, pause, [this, id, request, next] { streamEvents(id, request, next); });
        return;
    }
    if (m_random.unit() < faults.cutAnswers) {
        endRun(id);
        send(AbortResponse { id });
        return;
    }
    ++m_running.at(id).events;
    send(SendResponseData { id, "id: " + std::to_string(next) + "\ndata: " + request + " " + m_version + "\n\n" });
    if (next == m_eventsPerStream) {
        endRun(id);
        send(FinishResponse { id });
        return;
    }
    laterFor(id, m_eventInterval, [this, id, request, next] { streamEvents(id, request, next + 1); });
}

} // namespace Catkinwell::Testing
