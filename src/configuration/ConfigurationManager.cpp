#include <catkinwell/configuration/ConfigurationManager.h>

#include "ConfigurationParts.h"
#include "ConfigurationProposer.h"
#include "ConfigurationWatcher.h"
#include "TextForms.h"

#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t maximumRevocations = 1000;
    constexpr std::size_t maximumAnnouncements = 4;
    // The watch normally delivers a new version within a few seconds. A host that stays behind for longer than this
    // asks a peer.
    constexpr Duration peerRequestDelay = 2s;
    constexpr Duration peerRequestInterval = 1500ms;
    // A peer message is limited to 1 MiB. This applies to the head and the parts and leaves room for the encoding.
    constexpr std::size_t maximumOfferBytes = 940000;
    // Limits the bytes that a host sends if many peers ask at the same time.
    constexpr unsigned offersPerSecond = 10;
    // The host on which the operator revoked a key writes the revocation first; the others write it only if that fails.
    constexpr Duration ownRevocationDelay = 500ms;
    constexpr Duration othersRevocationDelay = 3s;
    constexpr Duration longestRevocationDelay = 20s;

} // namespace

// The members whose types are defined in src/. The watcher and the proposer share the call identifiers.
struct ConfigurationManager::StoreSync {
    explicit StoreSync(std::uint64_t seed)
        : random(seed)
        , watcher(parts, random, ids)
        , proposer(random, ids)
    {
    }

    RandomGenerator random;
    StoreCallIds ids { StoreUser::Configuration };
    std::map<std::string, std::string> parts;
    ConfigurationWatcher watcher;
    ConfigurationProposer proposer;
    ConfigurationHead head;
    std::optional<std::uint64_t> rejectedHead;
};

ConfigurationManager::ConfigurationManager(std::uint64_t seed)
    : m_storeSync(std::make_unique<StoreSync>(seed))
{
}

ConfigurationManager::~ConfigurationManager() = default;

void ConfigurationManager::loadInitial(FleetConfiguration configuration)
{
    EffectList ignored;
    auto parts = splitConfiguration(configuration);
    ConfigurationHead head { configuration.version, {}, {} };
    if (!isError(parts)) {
        for (const auto& [hash, text] : valueOf(parts)) {
            head.parts.push_back(hash);
            m_storeSync->parts[hash] = text;
        }
    }
    apply(std::move(configuration), head, ConfigurationSource::Initial, ignored);
}

void ConfigurationManager::tick(MonotonicTime now, WallTime wallNow, EffectList& effects)
{
    m_wallNow = wallNow;
    const auto isActive = [&](const auto& exception) { return !exception.expires || wallNow < *exception.expires; };
    const std::size_t active
        = static_cast<std::size_t>(std::count_if(m_accepted.exceptions.begin(), m_accepted.exceptions.end(), isActive));
    // Of the sets of unexpired exceptions at two times, one contains the other, so equal counts mean equal sets.
    if (active != m_activeExceptions) {
        effects.push_back(LogEntry { LogEvent::ConfigurationExceptionsChanged,
            { { "active", std::to_string(active) }, { "before", std::to_string(m_activeExceptions) } } });
        recomputeEffective();
    }
    m_storeSync->watcher.tick(now, m_accepted.version, effects);
    m_storeSync->proposer.tick(now, m_storeSync->head, effects);
    applyResults(now, effects);
    writeRevocations(now);
    requestFromPeers(now, effects);
}

void ConfigurationManager::handle(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    if (!m_storeSync->watcher.handle(reply, now, m_accepted.version))
        m_storeSync->proposer.handle(reply, now, m_storeSync->head);
    applyResults(now, effects);
    // Starts the next store call at once instead of at the next tick.
    m_storeSync->watcher.tick(now, m_accepted.version, effects);
    m_storeSync->proposer.tick(now, m_storeSync->head, effects);
}

void ConfigurationManager::applyResults(MonotonicTime now, EffectList& effects)
{
    handleFinishedProposals(now, effects);
    if (const auto head = m_storeSync->watcher.takeComplete())
        tryApply(*head, ConfigurationSource::Store, effects);
    if (const auto error = m_storeSync->watcher.takeHeadError())
        reject(0, ConfigurationSource::Store, error->message, effects);
    if (const auto version = m_storeSync->watcher.takeStoreBehind())
        effects.push_back(LogEntry { LogEvent::ConfigurationStoreBehind,
            { { "store_version", std::to_string(*version) },
                { "accepted_version", std::to_string(m_accepted.version) } } });
}

void ConfigurationManager::handleFinishedProposals(MonotonicTime now, EffectList& effects)
{
    for (auto& finished : m_storeSync->proposer.takeFinished()) {
        const auto& result = finished.result.result;
        const bool accepted = !isError(result);
        std::vector<std::pair<std::string, std::string>> fields { { "change_id", finished.changeId },
            { "outcome", accepted ? "accepted" : std::string(nameOf(errorOf(result).kind)) } };
        if (accepted) {
            fields.emplace_back("version", std::to_string(valueOf(result)));
            // An earlier attempt with the same identifier may have written another document, which the
            // watcher reads then.
            const bool isSameDocument = finished.head.parts.size() == finished.parts.size()
                && std::all_of(finished.head.parts.begin(), finished.head.parts.end(),
                    [&](const std::string& hash) { return finished.parts.count(hash) != 0; });
            m_storeSync->parts.merge(finished.parts);
            if (isSameDocument)
                tryApply(finished.head, ConfigurationSource::Proposal, effects);
        } else {
            fields.emplace_back("reason", errorOf(result).message);
        }
        effects.push_back(LogEntry { LogEvent::ConfigurationProposalFinished, std::move(fields) });
        if (!finished.isInternal) {
            m_results.push_back(std::move(finished.result));
        } else if (accepted) {
            effects.push_back(
                LogEntry { LogEvent::KeyRevocationWritten, { { "version", std::to_string(valueOf(result)) } } });
        } else {
            scheduleRevocationWrite(now, othersRevocationDelay);
        }
    }
}

bool ConfigurationManager::tryApply(const ConfigurationHead& head, ConfigurationSource source, EffectList& effects)
{
    const std::uint64_t fingerprint = stableHash(headToJson(head));
    if (head.version <= m_accepted.version || m_storeSync->rejectedHead == fingerprint)
        return false;
    std::vector<std::string_view> texts;
    for (const auto& hash : head.parts) {
        const auto part = m_storeSync->parts.find(hash);
        if (part == m_storeSync->parts.end())
            return false;
        texts.push_back(part->second);
    }
    auto configuration = joinConfiguration(texts);
    if (isError(configuration)) {
        m_storeSync->rejectedHead = fingerprint;
        m_rejectedUpTo = std::max(m_rejectedUpTo, head.version);
        discardUnlistedParts(m_storeSync->head);
        reject(head.version, source, errorOf(configuration).message, effects);
        return false;
    }
    auto document = takeValue(std::move(configuration));
    document.version = head.version;
    apply(std::move(document), head, source, effects);
    return true;
}

void ConfigurationManager::reject(
    ConfigurationVersion version, ConfigurationSource source, const std::string& reason, EffectList& effects)
{
    m_lastRejection = reason;
    effects.push_back(LogEntry { LogEvent::ConfigurationRejected,
        { { "version", std::to_string(version) }, { "source", std::string(nameOf(source)) },
            { "in_force", std::to_string(m_accepted.version) }, { "reason", reason } } });
}

void ConfigurationManager::apply(
    FleetConfiguration configuration, const ConfigurationHead& head, ConfigurationSource source, EffectList& effects)
{
    m_accepted = std::move(configuration);
    m_storeSync->head = head;
    m_lastRejection.clear();
    discardUnlistedParts(head);
    if (m_accepted.version >= m_newestAnnounced) {
        m_behindSince.reset();
        m_announcements.clear();
    }
    dropObsoleteRevocations();
    recomputeEffective();
    effects.push_back(LogEntry { LogEvent::ConfigurationApplied,
        { { "version", std::to_string(m_accepted.version) }, { "source", std::string(nameOf(source)) } } });
}

// Discards the parts that the head does not list.
void ConfigurationManager::discardUnlistedParts(const ConfigurationHead& head)
{
    std::map<std::string, std::string> kept;
    for (const auto& hash : head.parts)
        kept.insert(m_storeSync->parts.extract(hash));
    m_storeSync->parts = std::move(kept);
}

void ConfigurationManager::recomputeEffective()
{
    m_effective = applyExceptions(m_accepted, m_wallNow);
    m_activeExceptions = static_cast<std::size_t>(std::count_if(m_accepted.exceptions.begin(),
        m_accepted.exceptions.end(), [&](const auto& entry) { return !entry.expires || m_wallNow < *entry.expires; }));
    for (const auto& [key, version] : m_revocations)
        m_effective.keys.erase(key);
    m_changed = true;
}

bool ConfigurationManager::changedSinceLastTake() { return std::exchange(m_changed, false); }

void ConfigurationManager::propose(std::uint64_t ticket, ConfigurationVersion expectedVersion,
    const FleetConfiguration& document, const std::string& changeId, MonotonicTime now, EffectList& effects)
{
    m_storeSync->proposer.add(ticket, expectedVersion, document, changeId, false, now);
    m_storeSync->proposer.tick(now, m_storeSync->head, effects);
    applyResults(now, effects);
}

std::vector<ProposalResult> ConfigurationManager::takeProposalResults() { return std::exchange(m_results, {}); }

// Drops the revocations of keys that the accepted configuration does not grant, if it is at least as new as every
// configuration that is known to have granted the key.
void ConfigurationManager::dropObsoleteRevocations()
{
    std::erase_if(m_revocations, [&](const auto& revocation) {
        return m_accepted.version >= revocation.second && m_accepted.keys.count(revocation.first) == 0;
    });
    std::erase_if(m_revocationOrder, [&](const std::string& key) { return m_revocations.count(key) == 0; });
}

bool ConfigurationManager::addRevocation(
    const std::string& sha256Hex, ConfigurationVersion grantedAt, const std::string& from, EffectList& effects)
{
    const auto known = m_revocations.find(sha256Hex);
    if (known != m_revocations.end()) {
        known->second = std::max(known->second, grantedAt);
        return false;
    }
    const bool isFull = m_revocations.size() >= maximumRevocations;
    if (!isFull) {
        m_revocations.emplace(sha256Hex, grantedAt);
        m_revocationOrder.insert(m_revocationOrder.begin(), sha256Hex);
        recomputeEffective();
    }
    effects.push_back(LogEntry { LogEvent::KeyRevokedLocally,
        { { "key_sha256", sha256Hex }, { "from", from }, { "outcome", isFull ? "limit_reached" : "revoked" } } });
    return !isFull;
}

void ConfigurationManager::revokeKeyLocally(const std::string& sha256Hex, MonotonicTime now, EffectList& effects)
{
    if (!hasForm(sha256Hex, TextForm::Sha256))
        return;
    // A key that this host does not know may be granted by a newer version that it has not received yet.
    const bool isGranted = m_accepted.keys.count(sha256Hex) != 0;
    if (addRevocation(sha256Hex, m_accepted.version + (isGranted ? 0 : 1), "operator", effects))
        m_revocationWriteAt = now + ownRevocationDelay;
}

void ConfigurationManager::noteDigest(const HostId& from, ConfigurationVersion version,
    const std::vector<std::string>& revokedKeys, MonotonicTime now, EffectList& effects)
{
    for (const auto& key : revokedKeys) {
        // A key that this version no longer grants needs no revocation, unless the sender knows a newer version.
        const bool mayBeGranted = m_accepted.keys.count(key) != 0 || version > m_accepted.version;
        if (mayBeGranted && hasForm(key, TextForm::Sha256) && addRevocation(key, version, from.value, effects))
            scheduleRevocationWrite(now, othersRevocationDelay);
    }
    // A version that was rejected here is not requested again.
    if (version <= std::max(m_accepted.version, m_rejectedUpTo))
        return;
    m_newestAnnounced = std::max(m_newestAnnounced, version);
    if (!m_behindSince)
        m_behindSince = now;
    std::erase_if(m_announcements, [&](const PeerAnnouncement& announcement) {
        return announcement.peer == from || announcement.version <= m_accepted.version;
    });
    if (m_announcements.size() >= maximumAnnouncements)
        m_announcements.erase(m_announcements.begin());
    m_announcements.push_back({ from, version });
}

void ConfigurationManager::requestFromPeers(MonotonicTime now, EffectList& effects)
{
    std::erase_if(
        m_announcements, [&](const PeerAnnouncement& announcement) { return announcement.version <= m_rejectedUpTo; });
    if (!m_behindSince || m_announcements.empty() || now < m_nextPeerRequestAt)
        return;
    if (m_storeSync->watcher.isReachable() && now - *m_behindSince < peerRequestDelay)
        return;
    sendRequest(m_announcements[m_storeSync->random.below(m_announcements.size())].peer, now, effects);
}

void ConfigurationManager::sendRequest(const HostId& peer, MonotonicTime now, EffectList& effects)
{
    m_nextPeerRequestAt = now + peerRequestInterval;
    ConfigurationRequest request { m_accepted.version, {} };
    for (const auto& [hash, text] : m_storeSync->parts)
        request.haveParts.push_back(hash);
    effects.push_back(SendToPeer { peer, std::move(request) });
}

void ConfigurationManager::handle(
    const HostId& from, const ConfigurationRequest& request, MonotonicTime now, EffectList& effects)
{
    if (now - m_offerBudgetAt >= 1s) {
        m_offerBudgetAt = now;
        m_offerBudget = offersPerSecond;
    }
    if (request.haveVersion >= m_accepted.version || m_storeSync->head.parts.empty() || m_offerBudget == 0)
        return;
    --m_offerBudget;
    ConfigurationOffer offer { m_accepted.version, headToJson(m_storeSync->head), {} };
    std::size_t size = offer.headJson.size();
    for (const auto& hash : m_storeSync->head.parts) {
        const std::string& text = m_storeSync->parts.at(hash);
        const bool isKnown
            = std::find(request.haveParts.begin(), request.haveParts.end(), hash) != request.haveParts.end();
        if (isKnown || size + text.size() > maximumOfferBytes)
            continue;
        size += text.size();
        offer.parts.push_back(text);
    }
    effects.push_back(SendToPeer { from, std::move(offer) });
}

void ConfigurationManager::handle(
    const HostId& from, const ConfigurationOffer& offer, MonotonicTime now, EffectList& effects)
{
    if (offer.version <= m_accepted.version)
        return;
    const auto head = parseHead(offer.headJson);
    if (isError(head))
        return reject(offer.version, ConfigurationSource::Peer, errorOf(head).message, effects);
    if (valueOf(head).version <= m_accepted.version)
        return;
    bool progress = false;
    for (const auto& text : offer.parts) {
        const std::string hash = sha256Hex(text);
        const auto& wanted = valueOf(head).parts;
        if (std::find(wanted.begin(), wanted.end(), hash) != wanted.end())
            progress |= m_storeSync->parts.emplace(hash, text).second;
    }
    const bool applied = tryApply(valueOf(head), ConfigurationSource::Peer, effects);
    // A configuration that is larger than one message arrives in several offers.
    if (!applied && progress)
        sendRequest(from, now, effects);
}

void ConfigurationManager::scheduleRevocationWrite(MonotonicTime now, Duration earliest)
{
    const double spread = static_cast<double>((longestRevocationDelay - earliest).count());
    m_revocationWriteAt = now + earliest + Duration(static_cast<Duration::rep>(m_storeSync->random.unit() * spread));
}

// Removes the grants of revoked keys from the stored configuration once the store is reachable.
void ConfigurationManager::writeRevocations(MonotonicTime now)
{
    if (!m_revocationWriteAt || now < *m_revocationWriteAt || !m_storeSync->proposer.isIdle()
        || !m_storeSync->watcher.isReachable())
        return;
    m_revocationWriteAt.reset();
    FleetConfiguration document = m_accepted;
    std::size_t removed = 0;
    for (const auto& [key, version] : m_revocations)
        removed += document.keys.erase(key);
    // The accepted version grants none of the keys. A newer version may, so this is checked again while there are
    // revocations.
    if (removed == 0) {
        if (!m_revocations.empty())
            scheduleRevocationWrite(now, othersRevocationDelay);
        return;
    }
    const std::string changeId = "revocation-" + std::to_string(m_storeSync->random.next());
    m_storeSync->proposer.add(0, m_accepted.version, document, changeId, true, now);
}

ConfigurationStatus ConfigurationManager::status(MonotonicTime now) const
{
    const auto confirmed = m_storeSync->watcher.confirmedAt();
    return { m_accepted.version, std::max(m_newestAnnounced, m_accepted.version), m_storeSync->watcher.isReachable(),
        confirmed ? std::optional(now - *confirmed) : std::nullopt, m_revocations.size(), m_activeExceptions,
        m_lastRejection };
}

} // namespace Catkinwell
