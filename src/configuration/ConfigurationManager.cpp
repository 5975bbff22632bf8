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
    constexpr std::size_t maximumClaims = 4;
    // The watch normally delivers a new version within a few seconds. A host that stays behind for longer than this
    // asks a peer.
    constexpr Duration patienceWithStore = 2s;
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
struct ConfigurationManager::Store {
    explicit Store(std::uint64_t seed)
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
    : m_store(std::make_unique<Store>(seed))
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
            m_store->parts[hash] = text;
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
    m_store->watcher.tick(now, m_accepted.version, effects);
    m_store->proposer.tick(now, m_store->head, effects);
    collect(now, effects);
    writeRevocations(now);
    requestFromPeers(now, effects);
}

void ConfigurationManager::handle(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    if (!m_store->watcher.handle(reply, now, m_accepted.version))
        m_store->proposer.handle(reply, now, m_store->head);
    collect(now, effects);
    // Starts the next store call at once instead of at the next tick.
    m_store->watcher.tick(now, m_accepted.version, effects);
    m_store->proposer.tick(now, m_store->head, effects);
}

void ConfigurationManager::collect(MonotonicTime now, EffectList& effects)
{
    collectProposals(now, effects);
    if (const auto head = m_store->watcher.takeComplete())
        tryApply(*head, ConfigurationSource::Store, effects);
    if (const auto error = m_store->watcher.takeHeadError())
        reject(0, ConfigurationSource::Store, error->message, effects);
    if (const auto version = m_store->watcher.takeStoreBehind())
        effects.push_back(LogEntry { LogEvent::ConfigurationStoreBehind,
            { { "store_version", std::to_string(*version) },
                { "accepted_version", std::to_string(m_accepted.version) } } });
}

void ConfigurationManager::collectProposals(MonotonicTime now, EffectList& effects)
{
    for (auto& finished : m_store->proposer.takeFinished()) {
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
            m_store->parts.merge(finished.parts);
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
    if (head.version <= m_accepted.version || m_store->rejectedHead == fingerprint)
        return false;
    std::vector<std::string_view> texts;
    for (const auto& hash : head.parts) {
        const auto part = m_store->parts.find(hash);
        if (part == m_store->parts.end())
            return false;
        texts.push_back(part->second);
    }
    auto configuration = joinConfiguration(texts);
    if (isError(configuration)) {
        m_store->rejectedHead = fingerprint;
        m_rejectedUpTo = std::max(m_rejectedUpTo, head.version);
        keepParts(m_store->head);
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
    m_store->head = head;
    m_lastRejection.clear();
    keepParts(head);
    if (m_accepted.version >= m_newestAnnounced) {
        m_behindSince.reset();
        m_claims.clear();
    }
    dropObsoleteRevocations();
    recomputeEffective();
    effects.push_back(LogEntry { LogEvent::ConfigurationApplied,
        { { "version", std::to_string(m_accepted.version) }, { "source", std::string(nameOf(source)) } } });
}

// Discards the parts that the head does not list.
void ConfigurationManager::keepParts(const ConfigurationHead& head)
{
    std::map<std::string, std::string> kept;
    for (const auto& hash : head.parts)
        kept.insert(m_store->parts.extract(hash));
    m_store->parts = std::move(kept);
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
    m_store->proposer.add(ticket, expectedVersion, document, changeId, false, now);
    m_store->proposer.tick(now, m_store->head, effects);
    collect(now, effects);
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
        const bool isOpen = m_accepted.keys.count(key) != 0 || version > m_accepted.version;
        if (isOpen && hasForm(key, TextForm::Sha256) && addRevocation(key, version, from.value, effects))
            scheduleRevocationWrite(now, othersRevocationDelay);
    }
    // A version that was rejected here is not requested again.
    if (version <= std::max(m_accepted.version, m_rejectedUpTo))
        return;
    m_newestAnnounced = std::max(m_newestAnnounced, version);
    if (!m_behindSince)
        m_behindSince = now;
    std::erase_if(
        m_claims, [&](const Claim& claim) { return claim.peer == from || claim.version <= m_accepted.version; });
    if (m_claims.size() >= maximumClaims)
        m_claims.erase(m_claims.begin());
    m_claims.push_back({ from, version });
}

void ConfigurationManager::requestFromPeers(MonotonicTime now, EffectList& effects)
{
    std::erase_if(m_claims, [&](const Claim& claim) { return claim.version <= m_rejectedUpTo; });
    if (!m_behindSince || m_claims.empty() || now < m_nextPeerRequestAt)
        return;
    if (m_store->watcher.isReachable() && now - *m_behindSince < patienceWithStore)
        return;
    sendRequest(m_claims[m_store->random.below(m_claims.size())].peer, now, effects);
}

void ConfigurationManager::sendRequest(const HostId& peer, MonotonicTime now, EffectList& effects)
{
    m_nextPeerRequestAt = now + peerRequestInterval;
    ConfigurationRequest request { m_accepted.version, {} };
    for (const auto& [hash, text] : m_store->parts)
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
    if (request.haveVersion >= m_accepted.version || m_store->head.parts.empty() || m_offerBudget == 0)
        return;
    --m_offerBudget;
    ConfigurationOffer offer { m_accepted.version, headToJson(m_store->head), {} };
    std::size_t size = offer.headJson.size();
    for (const auto& hash : m_store->head.parts) {
        const std::string& text = m_store->parts.at(hash);
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
            progress |= m_store->parts.emplace(hash, text).second;
    }
    const bool applied = tryApply(valueOf(head), ConfigurationSource::Peer, effects);
    // A configuration that is larger than one message arrives in several offers.
    if (!applied && progress)
        sendRequest(from, now, effects);
}

void ConfigurationManager::scheduleRevocationWrite(MonotonicTime now, Duration earliest)
{
    const double spread = static_cast<double>((longestRevocationDelay - earliest).count());
    m_revocationWriteAt = now + earliest + Duration(static_cast<Duration::rep>(m_store->random.unit() * spread));
}

// Removes the grants of revoked keys from the stored configuration once the store is reachable.
void ConfigurationManager::writeRevocations(MonotonicTime now)
{
    if (!m_revocationWriteAt || now < *m_revocationWriteAt || !m_store->proposer.isIdle()
        || !m_store->watcher.isReachable())
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
    const std::string changeId = "revocation-" + std::to_string(m_store->random.next());
    m_store->proposer.add(0, m_accepted.version, document, changeId, true, now);
}

ConfigurationStatus ConfigurationManager::status(MonotonicTime now) const
{
    const auto confirmed = m_store->watcher.confirmedAt();
    return { m_accepted.version, std::max(m_newestAnnounced, m_accepted.version), m_store->watcher.isReachable(),
        confirmed ? std::optional(now - *confirmed) : std::nullopt, m_revocations.size(), m_activeExceptions,
        m_lastRejection };
}

} // namespace Catkinwell
