#include <catkinwell/runtime/GatewayRuntime.h>

#include "platform/EngineControl.h"
#include "platform/KeyValueProtocol.h"
#include "platform/PlatformProtocol.h"
#include "runtime/CommonEffects.h"
#include "runtime/DescriptorLimit.h"
#include "runtime/InputReport.h"
#include "runtime/ReducerLoop.h"
#include <catkinwell/core/Digest.h>
#include <catkinwell/gateway/GatewayReducer.h>
#include <catkinwell/http/HttpClient.h>
#include <catkinwell/peer/PeerTransport.h>
#include <catkinwell/runtime/RelayTransport.h>
#include <csignal>

namespace Catkinwell {

namespace {

    // Request identifiers of the relay, status and metrics listeners are above these values.
    constexpr std::uint64_t firstRelayId = 1ULL << 61;
    constexpr std::uint64_t firstStatusId = 1ULL << 62;
    constexpr std::uint64_t firstMetricsId = 1ULL << 63;
    constexpr std::size_t secretBytes = 32;
    constexpr Duration outputReportInterval = std::chrono::milliseconds(20);

    ListenerSettings callerSettingsOf(const GatewaySettings& settings)
    {
        ListenerSettings listener;
        listener.address = settings.callerAddress;
        listener.forwardsUnchanged = true;
        listener.minimumBodyBytesPerSecond = settings.minimumBodyBytesPerSecond;
        listener.requestIdHeader = PlatformProtocol().echoHeader();
        return listener;
    }

    ListenerSettings statusSettingsOf(const std::string& address)
    {
        ListenerSettings listener;
        listener.address = address;
        listener.maximumBodyBytes = 1024;
        return listener;
    }

} // namespace

class GatewayRuntime::Implementation {
public:
    Implementation(GatewaySettings, std::string settingsFile);

    Status start();
    int run();

private:
    struct EffectExecutor;

    void connectSignals();
    void apply(const GatewayEvent&);
    void reload();
    void reportOutput();
    void startPeers(const std::string& secret);
    CallerListener& listenerOf(RequestId);

    GatewaySettings m_settings;
    std::string m_settingsFile;
    SystemClock m_clock;
    Incarnation m_incarnation;
    EventLoop m_loop;
    EventLog m_log;
    HttpClient m_client;
    PlatformProtocol m_protocol;
    KeyValueProtocol m_storeProtocol;
    // What callers' unfinished requests take, over all listeners.
    std::shared_ptr<InputBudget> m_input;
    InputReport m_inputReport;
    CallerListener m_callers;
    CallerListener m_relays;
    CallerListener m_status;
    CallerListener m_metrics;
    HttpStoreClient m_store;
    EngineClient m_attempts;
    RelayTransport m_relayTransport;
    EngineControl m_engines;
    std::unique_ptr<PeerTransport> m_peers;
    std::map<HostId, std::string> m_peerAddresses;
    GatewayReducer m_reducer;
    ReducerLoop<GatewayEvent> m_events;
    int m_exitCode = 0;
};

// Carries out the effects of a gateway, and those of CommonEffects.
struct GatewayRuntime::Implementation::EffectExecutor : CommonEffects<EffectExecutor> {
    using CommonEffects<EffectExecutor>::operator();

    explicit EffectExecutor(Implementation& owner)
        : runtime(owner)
    {
    }

    CallerListener& listenerOf(RequestId id) const { return runtime.listenerOf(id); }
    EngineClient& attempts() const { return runtime.m_attempts; }
    HttpStoreClient& store() const { return runtime.m_store; }
    EventLog& log() const { return runtime.m_log; }

    Implementation& runtime;

    void operator()(const FetchEngineStatus& effect) const { runtime.m_engines.execute(effect); }
    void operator()(const FetchRuns& effect) const { runtime.m_engines.execute(effect); }
    void operator()(const EngineOrder& effect) const { runtime.m_engines.execute(effect); }
    void operator()(const StartRelay& effect) const { runtime.m_relayTransport.execute(effect); }
    void operator()(const SendToPeer& effect) const
    {
        if (runtime.m_peers)
            runtime.m_peers->send(effect);
    }
    void operator()(const SetPeerAddresses& effect) const
    {
        runtime.m_peerAddresses = effect.addresses;
        if (runtime.m_peers)
            runtime.m_peers->setPeerAddresses(effect.addresses);
    }
    // Deferred, as the running transport may be delivering a message.
    void operator()(const StartPeerTransport& effect) const
    {
        runtime.m_loop.callLater(
            Duration::zero(), [&owner = runtime, secret = effect.clusterSecret] { owner.startPeers(secret); });
    }
    void operator()(const SetCallerLimits& effect) const { runtime.m_callers.setLimits(effect.limits); }
    void operator()(const AnnounceClosing&) const
    {
        runtime.m_callers.beginClosing();
        runtime.m_relays.beginClosing();
    }
    // Only a serving process has these effects.
    void operator()(const FetchEndpointReport&) const { }
    void operator()(const PlacementCommand&) const { }
    void operator()(const ExitProcess& effect) const
    {
        runtime.m_exitCode = effect.code;
        runtime.m_callers.stopAccepting();
        runtime.m_relays.stopAccepting();
        const MonotonicTime storeDeadline = runtime.m_clock.monotonicNow() + longestGatewayExit;
        runtime.m_events.stop(
            [&owner = runtime, storeDeadline] {
                const bool isStoreAwaited = owner.m_clock.monotonicNow() < storeDeadline;
                return owner.m_callers.busyConnections() + owner.m_relays.busyConnections()
                    + (isStoreAwaited ? owner.m_store.runningWrites() : 0);
            },
            effect.longestFlush);
    }
};

GatewayRuntime::Implementation::Implementation(GatewaySettings settings, std::string settingsFile)
    : m_settings(std::move(settings))
    , m_settingsFile(std::move(settingsFile))
    , m_incarnation(newIncarnation(m_clock))
    , m_log(m_settings.log, m_clock)
    , m_client(m_loop, m_settings.sourceAddress)
    , m_input(std::make_shared<InputBudget>(InputLimits { m_settings.requests.maximumKeptBytes, connectionLimit() }))
    , m_inputReport(*m_input, m_log)
    , m_callers(m_loop, callerSettingsOf(m_settings), 0)
    , m_relays(m_loop, relayListenerAt(m_settings.relayAddress), firstRelayId)
    , m_status(m_loop, statusSettingsOf(m_settings.statusAddress), firstStatusId)
    , m_metrics(m_loop, statusSettingsOf(m_settings.metricsAddress), firstMetricsId)
    , m_store(m_loop, m_client, m_clock, m_settings.storeAddress, m_storeProtocol)
    , m_attempts(m_loop, m_client, m_clock)
    , m_relayTransport(m_settings.host, m_incarnation, m_relays, m_attempts)
    , m_engines(m_client, m_clock)
    , m_reducer(m_settings, m_protocol, m_incarnation,
          stableHash(m_settings.host.value + std::to_string(m_incarnation)), randomHex(secretBytes))
    , m_events(m_loop, m_clock, m_log, [this](const GatewayEvent& event) { apply(event); })
{
    connectSignals();
}

CallerListener& GatewayRuntime::Implementation::listenerOf(RequestId id)
{
    if (id.value > firstMetricsId)
        return m_metrics;
    if (id.value > firstStatusId)
        return m_status;
    return id.value > firstRelayId ? m_relays : m_callers;
}

void GatewayRuntime::Implementation::connectSignals()
{
    const auto postEvent = [this](const auto& event) { m_events.post(event); };
    connectCommonEvents(m_callers, m_attempts, postEvent);
    connectRelayEvents(m_relays, m_relayTransport, m_log, postEvent);
    logCutAnswers(m_callers, callersName, m_log);
    logCutAnswers(m_relays, relaysName, m_log);
    for (CallerListener* listener : { &m_status, &m_metrics })
        listener->signalRequest().connect([this](const RequestArrived& request) {
            m_events.post(RequestsCounted { m_callers.counts() });
            m_events.post(AdminRequestArrived { request });
        });
    m_store.signalRestored().connect(postEvent);
    m_store.signalReply().connect(postEvent);
    m_client.signalInvalidResponse().connect(postEvent);
    m_engines.signalStatus().connect(postEvent);
    m_engines.signalStatusFailed().connect(postEvent);
    m_engines.signalRuns().connect(postEvent);
    m_engines.signalRunsFailed().connect(postEvent);
    m_engines.signalOrderFinished().connect(postEvent);
}

Status GatewayRuntime::Implementation::start()
{
    std::vector<CallerListener*> listeners { &m_callers, &m_status };
    if (!m_settings.metricsAddress.empty())
        listeners.push_back(&m_metrics);
    if (!m_settings.relayAddress.empty())
        listeners.push_back(&m_relays);
    for (CallerListener* listener : listeners) {
        listener->shareInput(m_input);
        Status status = listener->start();
        if (isError(status))
            return status;
    }
    m_events.startTicks();
    m_loop.callEvery(InputReport::interval, [this] { m_inputReport.write(); });
    m_loop.callEvery(outputReportInterval, [this] { reportOutput(); });
    for (const int signalNumber : { SIGTERM, SIGINT })
        m_loop.onSignal(signalNumber, [this] { m_events.post(ShutdownSignal {}); });
    m_loop.onSignal(SIGHUP, [this] { reload(); });
    m_log.write({ LogEvent::ProcessStarted,
        { { "host", m_settings.host.value }, { "data_centre", m_settings.dataCentre.value },
            { "caller_address", m_settings.callerAddress }, { "status_address", m_settings.statusAddress },
            { "peer_address", m_settings.peerAddress }, { "relay_address", m_settings.relayAddress },
            { "store_address", m_settings.storeAddress } } });
    m_events.tick();
    return std::monostate {};
}

int GatewayRuntime::Implementation::run()
{
    m_loop.run();
    logProcessEnd(m_callers, callersName, m_log);
    logProcessEnd(m_relays, relaysName, m_log);
    return m_exitCode;
}

void GatewayRuntime::Implementation::reportOutput()
{
    const std::size_t bytes = m_callers.unsentBytes() + m_relays.unsentBytes();
    m_input->setOtherBytes(m_reducer.keptBytes());
    // The reducer adds what it sends at once.
    if (bytes != m_reducer.unreadBytes())
        m_events.post(OutputBuffered { bytes });
}

void GatewayRuntime::Implementation::startPeers(const std::string& secret)
{
    m_relayTransport.setSecret(secret);
    if (m_peers) {
        m_peers->setSecret(secret);
        m_peers->setPeerAddresses(m_peerAddresses);
        return;
    }
    PeerTransportSettings settings;
    settings.self = m_settings.host;
    settings.incarnation = m_incarnation;
    settings.listenAddress = m_settings.peerAddress;
    settings.clusterSecret = secret;
    m_peers = std::make_unique<PeerTransport>(m_loop.base(), settings);
    const Status status = m_peers->start();
    if (isError(status)) {
        m_log.write({ LogEvent::PeerTransportFailed, { { "reason", errorOf(status).message } } });
        m_peers.reset();
        return;
    }
    m_peers->messageReceived().connect([this](const PeerMessageReceived& message) { m_events.post(message); });
    m_peers->logEntry().connect([this](const LogEntry& entry) { m_log.write(entry); });
    m_peers->setPeerAddresses(m_peerAddresses);
}

// Applies the settings that can change while the process runs. An invalid file is logged and changes nothing.
void GatewayRuntime::Implementation::reload()
{
    auto result = loadGatewaySettings(m_settingsFile);
    if (isError(result)) {
        m_log.write({ LogEvent::SettingsReloaded,
            { { "file", m_settingsFile }, { "outcome", "rejected" }, { "reason", errorOf(result).message } } });
        return;
    }
    GatewaySettings settings = takeValue(std::move(result));
    std::string restartFields;
    for (const std::string& field : fieldsThatNeedRestart(m_settings, settings))
        restartFields += (restartFields.empty() ? "" : " ") + field;
    m_log.write({ LogEvent::SettingsReloaded,
        { { "file", m_settingsFile }, { "outcome", "applied" }, { "need_restart", restartFields } } });
    m_log.setLimits(settings.log);
    m_input->setMaximumBytes(settings.requests.maximumKeptBytes);
    m_events.post(GatewaySettingsChanged { std::move(settings) });
}

void GatewayRuntime::Implementation::apply(const GatewayEvent& event)
{
    for (const Effect& effect : m_reducer.apply(event, m_clock.monotonicNow()))
        std::visit(EffectExecutor(*this), effect);
}

GatewayRuntime::GatewayRuntime(GatewaySettings settings, std::string settingsFile)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), std::move(settingsFile)))
{
}

GatewayRuntime::~GatewayRuntime() = default;

Status GatewayRuntime::start() { return m_implementation->start(); }

int GatewayRuntime::run() { return m_implementation->run(); }

} // namespace Catkinwell
