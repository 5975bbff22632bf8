#include <catkinwell/runtime/Runtime.h>

#include "runtime/CommonEffects.h"
#include "runtime/DescriptorLimit.h"
#include "runtime/InputReport.h"
#include "runtime/ReducerLoop.h"
#include <catkinwell/core/Digest.h>
#include <catkinwell/http/HttpClient.h>
#include <catkinwell/peer/PeerTransport.h>
#include <catkinwell/reducer/Reducer.h>
#include <catkinwell/runtime/RelayTransport.h>
#include <catkinwell/store/ConsulStoreClient.h>
#include <csignal>

namespace Catkinwell {

namespace {

    // Request identifiers of the relay and administration listeners are above these values.
    constexpr std::uint64_t firstRelayId = 1ULL << 61;
    constexpr std::uint64_t firstAdministrationId = 1ULL << 62;

    constexpr std::size_t bytesPerMb = 1024 * 1024;
    // The part of the memory that requests may take before they have arrived whole.
    constexpr std::size_t unfinishedPart = 4;

    class SystemSecretSource final : public SecretSource {
    public:
        std::string nextSecretHex(std::size_t bytes) override { return randomHex(bytes); }
    };

    PeerTransportSettings peerSettingsOf(const ProcessSettings& settings, Incarnation incarnation)
    {
        PeerTransportSettings peers;
        peers.self = settings.host;
        peers.incarnation = incarnation;
        peers.listenAddress = settings.peerAddress;
        peers.clusterSecret = settings.clusterSecret;
        return peers;
    }

} // namespace

class Runtime::Implementation {
public:
    explicit Implementation(ProcessSettings);

    Status start();
    int run();

    std::uint16_t callerPort() const { return m_callers.port(); }
    std::uint16_t administrationPort() const { return m_administration.port(); }

private:
    struct EffectExecutor;

    void connectSignals();
    void apply(const Event&);
    std::size_t busyConnections() const
    {
        return m_callers.busyConnections() + m_relays.busyConnections() + m_administration.busyConnections();
    }
    std::vector<CallerListener*> listeners();
    CallerListener& listenerOf(RequestId);

    ProcessSettings m_settings;
    SystemClock m_clock;
    SystemSecretSource m_secrets;
    Incarnation m_incarnation;
    EventLoop m_loop;
    EventLog m_log;
    HttpClient m_client;
    // What callers' unfinished requests take, over all listeners.
    std::shared_ptr<InputBudget> m_input;
    InputReport m_inputReport;
    CallerListener m_callers;
    CallerListener m_relays;
    CallerListener m_administration;
    ConsulStoreClient m_store;
    EngineClient m_engines;
    RelayTransport m_relayTransport;
    PeerTransport m_peers;
    Reducer m_reducer;
    ReducerLoop<Event> m_events;
    int m_exitCode = 0;
};

// Carries out the effects of a serving process, and those of CommonEffects.
struct Runtime::Implementation::EffectExecutor : CommonEffects<EffectExecutor> {
    using CommonEffects<EffectExecutor>::operator();

    explicit EffectExecutor(Implementation& owner)
        : runtime(owner)
    {
    }

    CallerListener& listenerOf(RequestId id) const { return runtime.listenerOf(id); }
    EngineClient& attempts() const { return runtime.m_engines; }
    HttpStoreClient& store() const { return runtime.m_store; }
    EventLog& log() const { return runtime.m_log; }

    Implementation& runtime;

    void operator()(const FetchEndpointReport& effect) const { runtime.m_engines.execute(effect); }
    void operator()(const PlacementCommand& effect) const { runtime.m_engines.execute(effect); }
    void operator()(const SendToPeer& effect) const { runtime.m_peers.send(effect); }
    void operator()(const StartRelay& effect) const { runtime.m_relayTransport.execute(effect); }
    void operator()(const SetPeerAddresses& effect) const { runtime.m_peers.setPeerAddresses(effect.addresses); }
    // Administration goes on until the process ends.
    void operator()(const AnnounceClosing&) const
    {
        runtime.m_callers.beginClosing();
        runtime.m_relays.beginClosing();
    }
    // Only a gateway has these effects.
    void operator()(const SetCallerLimits&) const { }
    void operator()(const StartPeerTransport&) const { }
    void operator()(const FetchEngineStatus&) const { }
    void operator()(const FetchRuns&) const { }
    void operator()(const EngineOrder&) const { }
    void operator()(const ExitProcess& effect) const
    {
        runtime.m_exitCode = effect.code;
        runtime.m_callers.stopAccepting();
        runtime.m_relays.stopAccepting();
        runtime.m_events.stop([&runtime = runtime] { return runtime.busyConnections(); }, effect.longestFlush);
    }
};

Runtime::Implementation::Implementation(ProcessSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(newIncarnation(m_clock))
    , m_log(m_settings.log, m_clock)
    , m_client(m_loop, m_settings.sourceAddress)
    , m_input(std::make_shared<InputBudget>(
          InputLimits { std::size_t { m_settings.memoryMb } * bytesPerMb / unfinishedPart, connectionLimit() }))
    , m_inputReport(*m_input, m_log)
    , m_callers(m_loop, m_settings.callers, 0)
    , m_relays(m_loop, relayListenerAt(m_settings.relayAddress), firstRelayId)
    , m_administration(m_loop, m_settings.administration, firstAdministrationId)
    , m_store(m_loop, m_client, m_clock, m_settings.storeAddress)
    , m_engines(m_loop, m_client, m_clock)
    , m_relayTransport(m_settings.host, m_incarnation, m_relays, m_engines)
    , m_peers(m_loop.base(), peerSettingsOf(m_settings, m_incarnation))
    , m_reducer(reducerSettingsOf(m_settings, m_incarnation), m_secrets, m_clock.monotonicNow(), m_clock.wallNow())
    , m_events(m_loop, m_clock, m_log, [this](const Event& event) { apply(event); })
{
    m_relayTransport.setSecret(m_settings.clusterSecret);
    connectSignals();
}

std::vector<CallerListener*> Runtime::Implementation::listeners()
{
    std::vector<CallerListener*> listeners { &m_callers, &m_administration };
    if (!m_settings.relayAddress.empty())
        listeners.push_back(&m_relays);
    return listeners;
}

CallerListener& Runtime::Implementation::listenerOf(RequestId id)
{
    if (id.value > firstAdministrationId)
        return m_administration;
    return id.value > firstRelayId ? m_relays : m_callers;
}

void Runtime::Implementation::connectSignals()
{
    const auto postEvent = [this](const auto& event) { m_events.post(event); };
    connectCommonEvents(m_callers, m_engines, postEvent);
    connectRelayEvents(m_relays, m_relayTransport, m_log, postEvent);
    logCutAnswers(m_callers, callersName, m_log);
    logCutAnswers(m_relays, relaysName, m_log);
    m_administration.signalRequest().connect([this](const RequestArrived& request) {
        m_events.post(RequestsCounted { m_callers.counts() });
        m_events.post(AdminRequestArrived { request });
    });
    m_administration.signalCallerLeft().connect(postEvent);
    m_store.signalReply().connect(postEvent);
    m_client.signalInvalidResponse().connect(postEvent);
    m_peers.messageReceived().connect(postEvent);
    m_peers.logEntry().connect([this](const LogEntry& entry) { m_log.write(entry); });
    m_engines.signalReport().connect(postEvent);
    m_engines.signalReportFailed().connect(postEvent);
    m_engines.signalCommandFinished().connect(postEvent);
}

Status Runtime::Implementation::start()
{
    for (CallerListener* listener : listeners()) {
        listener->shareInput(m_input);
        Status status = listener->start();
        if (isError(status))
            return status;
    }
    Status peerStatus = m_peers.start();
    if (isError(peerStatus)) {
        m_log.write({ LogEvent::PeerTransportFailed, { { "reason", errorOf(peerStatus).message } } });
        return peerStatus;
    }
    m_events.startTicks();
    m_loop.callEvery(InputReport::interval, [this] { m_inputReport.write(); });
    for (const int signalNumber : { SIGTERM, SIGINT })
        m_loop.onSignal(signalNumber, [this] { m_events.post(ShutdownSignal {}); });
    m_loop.onSignal(SIGHUP, [this] {
        for (CallerListener* listener : { &m_callers, &m_administration })
            listener->reloadCertificates();
    });
    m_log.write({ LogEvent::ProcessStarted,
        { { "host", m_settings.host.value }, { "data_centre", m_settings.dataCentre.value },
            { "caller_port", std::to_string(m_callers.port()) },
            { "administration_port", std::to_string(m_administration.port()) } } });
    return std::monostate {};
}

int Runtime::Implementation::run()
{
    m_loop.run();
    logProcessEnd(m_callers, callersName, m_log);
    logProcessEnd(m_relays, relaysName, m_log);
    return m_exitCode;
}

void Runtime::Implementation::apply(const Event& event)
{
    for (const Effect& effect : m_reducer.apply(event, m_clock.monotonicNow()))
        std::visit(EffectExecutor(*this), effect);
}

Runtime::Runtime(ProcessSettings settings)
    : m_implementation(std::make_unique<Implementation>(std::move(settings)))
{
}

Runtime::~Runtime() = default;

Status Runtime::start() { return m_implementation->start(); }

int Runtime::run() { return m_implementation->run(); }

std::uint16_t Runtime::callerPort() const { return m_implementation->callerPort(); }

std::uint16_t Runtime::administrationPort() const { return m_implementation->administrationPort(); }

} // namespace Catkinwell
