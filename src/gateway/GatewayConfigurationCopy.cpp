#include <catkinwell/gateway/GatewayReducer.h>

// The gateway's copy of the configuration: how a document comes into force and is passed on to other hosts.
namespace Catkinwell {

namespace {

    // Below the largest message between hosts.
    constexpr std::size_t maximumOfferBytes = 900 * 1024;

    void count(std::string_view outcome, EffectList& effects)
    {
        effects.push_back(RecordMetric { Metric::ConfigurationDocumentsTotal, std::string(outcome) });
    }

} // namespace

void GatewayReducer::applyConfiguration(
    const std::string& document, const std::optional<HostId>& from, MonotonicTime now, EffectList& effects)
{
    if (document == m_configurationDocument)
        return;
    auto result = m_protocol.readConfiguration(document);
    if (isError(result)) {
        effects.push_back(LogEntry { LogEvent::GatewayConfigurationRejected,
            { { "origin", from ? "peer" : "store" }, { "from", from.value_or(HostId()).value },
                { "reason", errorOf(result).message } } });
        return;
    }
    GatewayConfiguration configuration = takeValue(std::move(result));
    // After a restore of the store the operator may give out a version again that only some hosts had seen.
    const bool isGivenOutAgain = !from && configuration.version == m_configuration.version
        && document != m_configurationDocument && m_configurationMirror.epoch() > m_configurationEpoch;
    if (configuration.version <= m_configuration.version && !isGivenOutAgain)
        return;
    m_configurationEpoch = m_configurationMirror.epoch();
    m_configuration = std::move(configuration);
    m_configurationDocument = document;
    m_requests.configure(m_configuration, now);
    m_directory.cold().configure(m_configuration.services, effects);
    m_placement.configure(m_configuration);
    m_quota.configure(m_configuration.accounts, now);
    effects.push_back(SetCallerLimits { m_configuration.limits });
    const auto statedFor = m_exchange.behindFor(now);
    m_exchange.noteInForce(m_configuration.version, now);
    effects.push_back(configurationEntry(from, statedFor, now));
    m_receivedDocuments = 0;
    shareConfigurationCopy();
    // The configuration identifies the engines and may arrive after their records, so the records are applied again.
    for (const auto& [key, entry] : m_endpointMirror.entries()) {
        auto record = m_protocol.readEndpoint(key, entry.value);
        if (!isError(record))
            m_placement.put(valueOf(record), now);
    }
    reportReadiness(effects);
}

LogEntry GatewayReducer::configurationEntry(
    const std::optional<HostId>& from, std::optional<Duration> statedFor, MonotonicTime now) const
{
    LogEntry entry { LogEvent::GatewayConfigurationApplied,
        { { "version", std::to_string(m_configuration.version) }, { "origin", from ? "peer" : "store" },
            { "from", from.value_or(HostId()).value }, { "routes", std::to_string(m_configuration.routes.size()) },
            { "accounts", std::to_string(m_configuration.accounts.size()) },
            { "store_read_ms_ago", std::to_string(millisecondsOf(now - m_configurationMirror.confirmedAt())) },
            { "documents_received", std::to_string(m_receivedDocuments) } } };
    if (statedFor)
        entry.fields.emplace_back("stated_for_ms", std::to_string(millisecondsOf(*statedFor)));
    return entry;
}

void GatewayReducer::shareConfigurationCopy()
{
    m_requests.setConfigurationCopy(m_configurationMirror.confirmedAt(), m_exchange.newestStated());
}

void GatewayReducer::askForConfiguration(MonotonicTime now, EffectList& effects)
{
    // Without the evacuations, which only the store states, no request may be served.
    if (!m_configurationMirror.isRead())
        return;
    const bool isStoreAnswering = !m_isStoreSuspected && m_configurationMirror.failingSince() == MonotonicTime();
    const auto host = m_exchange.takeQuestion(isStoreAnswering, now);
    if (!host)
        return;
    sendTo(*host, ConfigurationWanted { m_configuration.version }, effects);
    count("asked", effects);
}

void GatewayReducer::answer(const HostId& from, const ConfigurationWanted& wanted, EffectList& effects)
{
    if (m_configuration.version <= wanted.haveVersion || m_configurationDocument.size() > maximumOfferBytes)
        return;
    sendTo(from, ConfigurationDocumentOffer { m_configuration.version, m_configurationDocument }, effects);
    count("sent", effects);
}

void GatewayReducer::handleOffer(
    const HostId& from, const ConfigurationDocumentOffer& offer, MonotonicTime now, EffectList& effects)
{
    ++m_receivedDocuments;
    const bool isNewer = offer.version > m_configuration.version;
    count(isNewer ? "received" : "received_known", effects);
    if (isNewer && m_configurationMirror.isRead())
        applyConfiguration(offer.document, from, now, effects);
}

} // namespace Catkinwell
