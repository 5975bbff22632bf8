#include <catkinwell/runtime/RelayTransport.h>

#include <limits>

namespace Catkinwell {

namespace {

    constexpr std::string_view relayPath = "/relay/v1";
    // The serving host answers in time or loses its connection; the deadline of the request bounds both.
    constexpr Duration silenceTimeout = std::chrono::hours(1);

} // namespace

RelayTransport::RelayTransport(HostId self, Incarnation incarnation, CallerListener& listener, EngineClient& client)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_listener(listener)
    , m_client(client)
{
    m_listener.signalRequest().connect(sigc::mem_fun(*this, &RelayTransport::receive));
}

void RelayTransport::setSecret(const std::string& clusterSecret)
{
    m_authenticator = std::make_unique<PeerAuthenticator>(m_self, m_incarnation, clusterSecret);
}

void RelayTransport::execute(const StartRelay& relay)
{
    if (!m_authenticator) {
        m_signalFailed.emit(AttemptFailed {
            relay.id, AttemptOutcome::NotSent, "the fleet's secret is not known yet", AttemptFailure::Connect });
        return;
    }
    StartAttempt attempt;
    attempt.id = relay.id;
    attempt.address = relay.address;
    attempt.method = "POST";
    attempt.target = relayPath;
    attempt.headers = { { "Content-Type", "application/octet-stream" } };
    attempt.body = m_authenticator->sign(relay.to, encodeRelayedRequest(relay.request));
    attempt.connectTimeout = relay.connectTimeout;
    attempt.silenceTimeout = silenceTimeout;
    m_client.execute(attempt);
}

void RelayTransport::receive(const RequestArrived& arrived)
{
    if (arrived.path != relayPath || !m_authenticator) {
        reject(arrived.id, m_authenticator ? "the path is not that of relayed requests" : "no secret is known yet");
        return;
    }
    const auto verified = m_authenticator->verify(arrived.body);
    if (const auto* reason = std::get_if<PeerDropReason>(&verified)) {
        reject(arrived.id, std::string(nameOf(*reason)));
        return;
    }
    const auto& frame = std::get<AuthenticatedPayload>(verified);
    auto decoded = decodeRelayedRequest(frame.payload);
    if (isError(decoded)) {
        reject(arrived.id, errorOf(decoded).message);
        return;
    }
    RelayedRequest request = takeValue(std::move(decoded));
    RelayedRequestArrived event;
    event.arrived.id = arrived.id;
    event.arrived.method = std::move(request.method);
    event.arrived.target = std::move(request.target);
    event.arrived.headers = std::move(request.headers);
    event.arrived.body = std::move(request.body);
    event.terms = std::move(request.terms);
    event.from = frame.from;
    m_signalRequest.emit(event);
}

void RelayTransport::reject(RequestId id, const std::string& reason)
{
    m_logEntry.emit(LogEntry { LogEvent::GatewayRelayRejected, { { "reason", reason } } });
    SendWholeResponse response { id, 403, { { "Content-Type", "application/json" } }, "{}" };
    addRelayAnswer(response.headers, { RelayOutcome::NotServed, "rejected", 0 });
    m_listener.execute(response);
}

} // namespace Catkinwell
