#pragma once

#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/http/HttpClient.h>
#include <catkinwell/placement/PlacementCommand.h>
#include <sigc++/sigc++.h>
#include <string>
#include <unordered_map>

namespace Catkinwell {

// The client for endpoints: sends requests, fetches reports and sends placement commands. Requests are forwarded
// unchanged to the OpenAI routes of an engine or to a plain service; reports and commands use the model repository
// extension of the open inference protocol (/v2/repository). Not thread safe; runs on the event loop.
class EngineClient {
public:
    EngineClient(EventLoop&, HttpClient&, const Clock&);

    void execute(const StartAttempt&);
    void execute(const CancelAttempt&);
    void execute(const ThrottleAttempt&);
    // Applies to all exchanges of the HTTP client that name the endpoint, also those that others started.
    void execute(const WithholdUnsent&);
    void execute(const FetchEndpointReport&);
    // Fetches a report first and sends the command on an idle connection, normally the one that the report used. If
    // this process is delayed in between, the engine closes the idle connection, and the command is not sent instead of
    // arriving late. Checks validUntil against the clock immediately before sending.
    void execute(const PlacementCommand&);

    sigc::signal<void(AttemptHead)>& signalHead() { return m_signalHead; }
    sigc::signal<void(AttemptData)>& signalData() { return m_signalData; }
    sigc::signal<void(AttemptFinished)>& signalFinished() { return m_signalFinished; }
    sigc::signal<void(AttemptFailed)>& signalFailed() { return m_signalFailed; }
    sigc::signal<void(EndpointReport)>& signalReport() { return m_signalReport; }
    sigc::signal<void(EndpointReportFailed)>& signalReportFailed() { return m_signalReportFailed; }
    sigc::signal<void(PlacementCommandFinished)>& signalCommandFinished() { return m_signalCommandFinished; }

private:
    void sendCommand(const PlacementCommand&);

    EventLoop& m_loop;
    HttpClient& m_client;
    const Clock& m_clock;
    std::unordered_map<AttemptId, HttpClient::ExchangeId> m_exchanges;
    sigc::signal<void(AttemptHead)> m_signalHead;
    sigc::signal<void(AttemptData)> m_signalData;
    sigc::signal<void(AttemptFinished)> m_signalFinished;
    sigc::signal<void(AttemptFailed)> m_signalFailed;
    sigc::signal<void(EndpointReport)> m_signalReport;
    sigc::signal<void(EndpointReportFailed)> m_signalReportFailed;
    sigc::signal<void(PlacementCommandFinished)> m_signalCommandFinished;
};

} // namespace Catkinwell
