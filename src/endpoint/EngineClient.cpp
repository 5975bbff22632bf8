#include <catkinwell/endpoint/EngineClient.h>

#include "endpoint/EngineProtocol.h"
#include <limits>

namespace Catkinwell {

namespace {

    constexpr std::size_t maximumReportBytes = 4 * 1024 * 1024;

    // A response that is buffered whole before it is parsed.
    struct BufferedResponse {
        int status = 0;
        std::string body;
    };

} // namespace

EngineClient::EngineClient(EventLoop& loop, HttpClient& client, const Clock& clock)
    : m_loop(loop)
    , m_client(client)
    , m_clock(clock)
{
}

void EngineClient::execute(const StartAttempt& attempt)
{
    HttpExchange request;
    request.address = attempt.address;
    request.method = attempt.method;
    request.target = attempt.target;
    request.headers = attempt.headers;
    request.body = attempt.body;
    request.connectTimeout = attempt.connectTimeout;
    request.silenceTimeout = attempt.silenceTimeout;
    request.needsFreshConnection = attempt.needsFreshConnection;
    request.echoHeader = attempt.echoHeader;
    if (attempt.mayBeWithheld)
        request.withholdKey = attempt.endpoint.value;
    // Whoever started the attempt bounds it by its deadline and by what it keeps.
    request.maximumBodyBytes = std::numeric_limits<std::size_t>::max();
    HttpExchangeObserver observer;
    const AttemptId id = attempt.id;
    const auto isNewConnection = std::make_shared<bool>(false);
    observer.onOpened = [isNewConnection] { *isNewConnection = true; };
    const auto endsWithConnection = std::make_shared<bool>(false);
    observer.onUnframed = [endsWithConnection] { *endsWithConnection = true; };
    observer.onHead = [this, id, isNewConnection](int status, const HeaderList& headers) {
        m_signalHead.emit(AttemptHead { id, status, headers, *isNewConnection });
    };
    observer.onData = [this, id](std::string data) { m_signalData.emit(AttemptData { id, std::move(data) }); };
    observer.onFinished = [this, id, endsWithConnection] {
        m_exchanges.erase(id);
        m_signalFinished.emit(AttemptFinished { id, *endsWithConnection });
    };
    observer.onFailed = [this, id](AttemptOutcome outcome, AttemptFailure failure, std::string reason) {
        m_exchanges.erase(id);
        m_signalFailed.emit(AttemptFailed { id, outcome, std::move(reason), failure });
    };
    m_exchanges[id] = m_client.start(request, std::move(observer));
}

void EngineClient::execute(const CancelAttempt& cancel)
{
    const auto found = m_exchanges.find(cancel.id);
    if (found == m_exchanges.end())
        return;
    m_client.cancel(found->second);
    m_exchanges.erase(found);
}

void EngineClient::execute(const ThrottleAttempt& throttle)
{
    const auto found = m_exchanges.find(throttle.id);
    if (found != m_exchanges.end())
        m_client.setPaused(found->second, throttle.paused);
}

void EngineClient::execute(const WithholdUnsent& withhold) { m_client.withholdUnsent(withhold.endpoint.value); }

void EngineClient::execute(const FetchEndpointReport& fetch)
{
    HttpExchange request;
    request.address = fetch.address;
    request.target = engineReportTarget;
    request.silenceTimeout = fetch.timeout;
    request.totalTimeout = 2 * fetch.timeout;
    auto response = std::make_shared<BufferedResponse>();
    const MonotonicTime requestedAt = m_clock.monotonicNow();
    const EndpointId endpoint = fetch.endpoint;
    HttpExchangeObserver observer;
    observer.onHead = [response](int status, const HeaderList&) { response->status = status; };
    observer.onData = [response](const std::string& data) {
        if (response->body.size() + data.size() <= maximumReportBytes)
            response->body += data;
    };
    observer.onFinished = [this, response, endpoint, requestedAt] {
        auto report = response->status == 200
            ? parseEngineReport(response->body)
            : Error { ErrorKind::Unavailable, "the engine responded with status " + std::to_string(response->status) };
        if (isError(report)) {
            m_signalReportFailed.emit(EndpointReportFailed { endpoint, errorOf(report).message });
            return;
        }
        EndpointReport complete = takeValue(std::move(report));
        complete.endpoint = endpoint;
        complete.requestedAt = requestedAt;
        complete.receivedAt = m_clock.monotonicNow();
        m_signalReport.emit(complete);
    };
    observer.onFailed = [this, endpoint](AttemptOutcome outcome, AttemptFailure failure, std::string reason) {
        m_signalReportFailed.emit(
            EndpointReportFailed { endpoint, std::move(reason), outcome == AttemptOutcome::NotSent, failure });
    };
    m_client.start(request, std::move(observer));
}

void EngineClient::execute(const PlacementCommand& command)
{
    // The report opens the connection, so that the lease check is followed only by writing the command.
    HttpExchange probe;
    probe.address = command.address;
    probe.target = engineReportTarget;
    probe.silenceTimeout = std::chrono::seconds(2);
    probe.totalTimeout = 2 * probe.silenceTimeout;
    HttpExchangeObserver observer;
    observer.onHead = [](int, const HeaderList&) {};
    observer.onData = [](const std::string&) {};
    observer.onFinished = [this, command] { sendCommand(command); };
    observer.onFailed = [this, command](AttemptOutcome, AttemptFailure, const std::string& reason) {
        m_signalCommandFinished.emit(PlacementCommandFinished { command.id, CommandOutcome::NotDone, reason });
    };
    m_client.start(probe, std::move(observer));
}

void EngineClient::sendCommand(const PlacementCommand& command)
{
    HttpExchange request;
    request.address = command.address;
    request.method = "POST";
    request.target = commandTarget(command);
    request.headers = { { "Content-Type", "application/json" } };
    request.body = commandBody(command);
    request.needsIdleConnection = true;
    request.silenceTimeout = command.timeout;
    request.totalTimeout = 2 * command.timeout;
    auto response = std::make_shared<BufferedResponse>();
    const CommandId id = command.id;
    HttpExchangeObserver observer;
    observer.onHead = [response](int status, const HeaderList&) { response->status = status; };
    observer.onData = [response](const std::string& data) {
        if (response->body.size() < 1024)
            response->body += data;
    };
    observer.onFinished = [this, response, id] {
        m_signalCommandFinished.emit(
            PlacementCommandFinished { id, commandOutcomeOf(response->status), response->body });
    };
    observer.onFailed = [this, id](AttemptOutcome outcome, AttemptFailure, const std::string& reason) {
        m_signalCommandFinished.emit(PlacementCommandFinished {
            id, outcome == AttemptOutcome::NotSent ? CommandOutcome::NotDone : CommandOutcome::Unknown, reason });
    };
    if (m_clock.monotonicNow() >= command.validUntil) {
        m_signalCommandFinished.emit(PlacementCommandFinished {
            id, CommandOutcome::NotDone, "the owner's lease ended before the command was sent" });
        return;
    }
    m_client.start(request, std::move(observer));
}

} // namespace Catkinwell
