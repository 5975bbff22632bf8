#pragma once

#include <catkinwell/endpoint/EngineClient.h>
#include <catkinwell/http/CallerListener.h>
#include <catkinwell/logging/LogEvent.h>
#include <catkinwell/peer/PeerAuthenticator.h>
#include <catkinwell/relay/RelayMessage.h>
#include <memory>

namespace Catkinwell {

// Sends requests to other hosts and receives theirs: each is an HTTP request whose body is the encoded request in an
// authenticated frame for one receiver. The answer is that of an endpoint, or of the serving host itself (RelayAnswer).
// Not thread safe; runs on the event loop.
class RelayTransport {
public:
    // Precondition: the listener and the client outlive the transport. Answers to relayed requests are sent through the
    // listener by their identifiers.
    RelayTransport(HostId self, Incarnation, CallerListener&, EngineClient&);

    // Requests are neither sent nor accepted before the secret is known. Hosts with another secret are rejected.
    void setSecret(const std::string& clusterSecret);
    // The events are those of an attempt, from the client's signals. Fails with NotSent if the secret is not known.
    void execute(const StartRelay&);

    // Emitted for each request of another host whose frame is authentic.
    sigc::signal<void(const RelayedRequestArrived&)>& signalRequest() { return m_signalRequest; }
    sigc::signal<void(const AttemptFailed&)>& signalFailed() { return m_signalFailed; }
    sigc::signal<void(const LogEntry&)>& logEntry() { return m_logEntry; }

private:
    void receive(const RequestArrived&);
    void reject(RequestId, const std::string& reason);

    HostId m_self;
    Incarnation m_incarnation;
    CallerListener& m_listener;
    EngineClient& m_client;
    std::unique_ptr<PeerAuthenticator> m_authenticator;
    sigc::signal<void(const RelayedRequestArrived&)> m_signalRequest;
    sigc::signal<void(const AttemptFailed&)> m_signalFailed;
    sigc::signal<void(const LogEntry&)> m_logEntry;
};

} // namespace Catkinwell
