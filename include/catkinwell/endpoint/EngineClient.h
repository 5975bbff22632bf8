#pragma once

#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/http/HttpClient.h>
#include <catkinwell/placement/PlacementCommand.h>
#include <sigc++/sigc++.h>
#include <string>
#include <unordered_map>

namespace Catkinwell {

// The adapter to endpoints: runs requests, fetches reports and sends placement
// commands. Requests go to the OpenAI routes of an engine or to a plain service as they
// are; reports and commands use the model repository extension of the open inference
// protocol (/v2/repository). Not thread safe; runs on the event loop.
class EngineClient {
public:
    EngineClient(EventLoop&, HttpClient&, const Clock&);

    void execute(const StartAttempt&);
    void execute(const CancelAttempt&);
    void execute(const ThrottleAttempt&);
    void execute(const FetchEndpointReport&);
    // The command is preceded by a report on the same connection, so that an engine that
    // closes silent connections loses a command that this process delayed. The lease's
    // end is compared with the clock immediately before writing.
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
