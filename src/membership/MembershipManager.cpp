#include <catkinwell/membership/MembershipManager.h>

#include "DigestEntries.h"
#include "EndpointSuspicions.h"
#include "HostTable.h"
#include "PlatformListReader.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    using namespace std::chrono_literals;

    // Three digests a second: two to hosts of the own data centre, then one to any host.
    constexpr Duration digestInterval = 1000ms / 3;
    constexpr std::uint64_t digestsPerRound = 3;
    // Less than the 1 KB that a frame may have: three frames sent and three received per second, with packet headers,
    // must leave room for the store calls within 6 KB/s.
    constexpr std::size_t digestFrameBytes = 700;
    // The authentication code, the version, the counters and the field names. Two host names are added to this.
    constexpr std::size_t frameOverheadBytes = 110;
    constexpr std::size_t maximumRevokedKeys = 4;
    constexpr std::size_t revokedKeyBytes = 34;
    constexpr std::size_t maximumFingerprints = 6;
    constexpr std::size_t fingerprintBytes = 15;
    constexpr std::size_t maximumEndpoints = 4;
    // A longer gap between ticks means that the process was suspended and could not receive heartbeats.
    constexpr Duration longestTickGap = 1s;
    constexpr Duration failureDetectionInterval = 200ms;
    // Limits the rate of digests that peers can make a host send.
    constexpr Duration minimumAnswerInterval = 100ms;
    constexpr Duration probeInterval = 1s;
    // An endpoint is considered leaving until this many reads in a row lacked its mark, because a read may be stale.
    constexpr unsigned readsWithoutMark = 2;

    // Returns up to count elements: always the first one, and the others in rotation.
    template <typename Element>
    std::vector<Element> takeInRotation(const std::vector<Element>& list, std::size_t count, std::size_t& position)
    {
        if (list.size() <= count)
            return list;
        std::vector<Element> taken { list.front() };
        while (taken.size() < count)
            taken.push_back(list[1 + position++ % (list.size() - 1)]);
        return taken;
    }

} // namespace

struct MembershipManager::State {
    explicit State(const MembershipSettings& settings)
        : random(settings.seed)
        , table(settings.self, settings.dataCentre, settings.suspicion)
        , reader(random)
    {
    }

    RandomGenerator random;
    HostTable table;
    PlatformListReader reader;
    EndpointSuspicions suspicions;
    std::optional<MonotonicTime> lastTick;
    MonotonicTime nextDigestAt {};
    MonotonicTime nextDetectionAt {};
    MonotonicTime nextAnswerAt {};
    std::uint64_t digests = 0;
    bool selfLeaving = false;
    bool changed = false;
    std::set<EndpointId> leavingEndpoints;
    std::map<EndpointId, unsigned> unmarkedReads;
    ConfigurationVersion configurationVersion = 0;
    std::vector<std::string> revokedKeys;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> fingerprints;
    std::size_t nextRevokedKey = 0;
    std::size_t nextFingerprint = 0;
    EndpointId lastEndpoint;

    void takeLists(const MembershipSettings& settings, MonotonicTime now, EffectList& effects);
    void mergeLeaving(const std::set<EndpointId>& marked, EffectList& effects);
    void noteSelf(const std::vector<PlatformHost>& hosts, const MembershipSettings& settings);
};

MembershipManager::MembershipManager(MembershipSettings settings)
    : m_settings(std::move(settings))
    , m_state(std::make_unique<State>(m_settings))
{
}

MembershipManager::~MembershipManager() = default;

void MembershipManager::tick(MonotonicTime now, EffectList& effects)
{
    if (m_state->lastTick && now - *m_state->lastTick > longestTickGap)
        m_state->table.disregardPause(now - *m_state->lastTick);
    m_state->lastTick = now;
    m_state->reader.tick(now, effects);
    if (now >= m_state->nextDetectionAt) {
        m_state->nextDetectionAt = now + failureDetectionInterval;
        m_state->table.detectFailures(now, effects);
        m_state->suspicions.forgetOld(now);
    }
    if (now >= m_state->nextDigestAt)
        sendDigest(now, effects);
}

void MembershipManager::handle(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    m_state->reader.handle(reply, now, effects);
    m_state->takeLists(m_settings, now, effects);
}

void MembershipManager::State::takeLists(const MembershipSettings& settings, MonotonicTime now, EffectList& effects)
{
    if (const auto hosts = reader.takeHosts()) {
        noteSelf(*hosts, settings);
        table.mergePlatformList(*hosts, now);
    }
    if (const auto marked = reader.takeLeaving())
        mergeLeaving(*marked, effects);
}

void MembershipManager::State::noteSelf(const std::vector<PlatformHost>& hosts, const MembershipSettings& settings)
{
    for (const auto& entry : hosts) {
        const bool isSameIncarnation = entry.incarnation == 0 || entry.incarnation == settings.incarnation;
        if (entry.host == settings.self && entry.leaving && isSameIncarnation && !selfLeaving)
            selfLeaving = changed = true;
    }
}

void MembershipManager::State::mergeLeaving(const std::set<EndpointId>& marked, EffectList& effects)
{
    for (const auto& endpoint : marked) {
        unmarkedReads.erase(endpoint);
        if (!leavingEndpoints.insert(endpoint).second)
            continue;
        changed = true;
        effects.push_back(LogEntry { LogEvent::EndpointLeaving, { { "endpoint", endpoint.value } } });
    }
    changed |= std::erase_if(leavingEndpoints, [&](const EndpointId& endpoint) {
        return marked.count(endpoint) == 0 && ++unmarkedReads[endpoint] >= readsWithoutMark;
    }) > 0;
    std::erase_if(unmarkedReads, [&](const auto& entry) { return leavingEndpoints.count(entry.first) == 0; });
}

void MembershipManager::setSeeds(const std::map<HostId, std::string>& addresses, MonotonicTime now)
{
    for (const auto& [host, address] : addresses)
        m_state->table.addSeed(host, address, now);
}

void MembershipManager::setPlatformList(const std::vector<PlatformHost>& hosts, MonotonicTime now, EffectList& effects)
{
    m_state->noteSelf(hosts, m_settings);
    m_state->table.mergePlatformList(hosts, now);
    m_state->table.detectFailures(now, effects);
}

void MembershipManager::handle(
    const HostId& from, const MembershipDigest& digest, MonotonicTime now, EffectList& effects)
{
    for (const auto& entry : digest.entries)
        m_state->table.merge(from, entry, now);
    for (const auto& endpoint : digest.suspectEndpoints)
        m_state->suspicions.note(endpoint, from, now);
    if (digest.replyRequested != 0)
        answer(from, now, effects);
}

void MembershipManager::sendDigest(MonotonicTime now, EffectList& effects)
{
    // Jitter of 10 % keeps hosts that started together from sending at the same time.
    const double jitter = 0.9 + 0.2 * m_state->random.unit();
    m_state->nextDigestAt
        = now + Duration(static_cast<Duration::rep>(jitter * static_cast<double>(digestInterval.count())));
    const bool inDataCentre = ++m_state->digests % digestsPerRound != 0;
    // If a host's heartbeat has not advanced for long, every second digest goes to such a host and asks for an answer.
    // Otherwise, an unlucky series of random choices could look like a failure.
    if (m_state->digests % 2 == 0) {
        if (const auto silent = chooseHostToProbe(now)) {
            auto digest = buildDigest(now);
            digest.replyRequested = 1;
            effects.push_back(SendToPeer { *silent, std::move(digest) });
            return;
        }
    }
    auto peer = choosePeer(inDataCentre);
    if (!peer)
        peer = choosePeer(!inDataCentre);
    if (peer)
        effects.push_back(SendToPeer { *peer, buildDigest(now) });
}

// Sends a digest at once instead of the next regular one, so that answers add no traffic.
void MembershipManager::answer(const HostId& from, MonotonicTime now, EffectList& effects)
{
    if (now < m_state->nextAnswerAt || stateOf(from) == HostState::Dead)
        return;
    m_state->nextAnswerAt = now + minimumAnswerInterval;
    m_state->nextDigestAt += digestInterval;
    ++m_state->digests;
    effects.push_back(SendToPeer { from, buildDigest(now) });
}

// Returns the host that has been silent for the largest part of the time that its heartbeat may stall, if that part is
// more than half.
std::optional<HostId> MembershipManager::chooseHostToProbe(MonotonicTime now)
{
    constexpr double minimumPart = 0.5;
    const auto ownTimeout = static_cast<double>(m_state->table.heartbeatTimeout(true).count());
    const auto otherTimeout = static_cast<double>(m_state->table.heartbeatTimeout(false).count());
    std::optional<HostId> silent;
    double longest = minimumPart;
    for (const auto& [id, host] : m_state->table.hosts()) {
        const bool isOwn = host.dataCentre == m_settings.dataCentre;
        const double part
            = static_cast<double>((now - host.lastProgress).count()) / (isOwn ? ownTimeout : otherTimeout);
        const bool isRecent = host.probesSent > 0 && now - host.lastProbeAt < probeInterval;
        if (host.dead || !host.isAddressable() || isRecent || part <= longest)
            continue;
        longest = part;
        silent = id;
    }
    if (silent)
        m_state->table.noteProbe(*silent, now);
    return silent;
}

// Chooses among all hosts with an address. Dead ones are included if the choice is not limited to the data centre: the
// hosts on both sides of a partition consider each other dead and find each other again this way.
std::optional<HostId> MembershipManager::choosePeer(bool inDataCentre)
{
    std::vector<const HostId*> candidates;
    for (const auto& [id, host] : m_state->table.hosts()) {
        const bool isSuitable = inDataCentre ? host.dataCentre == m_settings.dataCentre && !host.dead : true;
        if (host.isAddressable() && isSuitable)
            candidates.push_back(&id);
    }
    if (candidates.empty())
        return std::nullopt;
    return *candidates[m_state->random.below(candidates.size())];
}

MembershipDigest MembershipManager::buildDigest(MonotonicTime now)
{
    MembershipDigest digest;
    digest.configurationVersion = m_state->configurationVersion;
    digest.revokedKeys = takeInRotation(m_state->revokedKeys, maximumRevokedKeys, m_state->nextRevokedKey);
    digest.suspectFingerprints = takeInRotation(m_state->fingerprints, maximumFingerprints, m_state->nextFingerprint);
    digest.suspectEndpoints
        = m_state->suspicions.notedBy(m_settings.self, now, m_state->lastEndpoint, maximumEndpoints);
    if (!digest.suspectEndpoints.empty())
        m_state->lastEndpoint = digest.suspectEndpoints.back();

    std::size_t longestName = m_settings.self.value.size();
    for (const auto& [id, host] : m_state->table.hosts())
        longestName = std::max(longestName, id.value.size());
    std::size_t used = frameOverheadBytes + 2 * longestName + digestEntryBytes(longestName);
    used += digest.revokedKeys.size() * revokedKeyBytes + digest.suspectFingerprints.size() * fingerprintBytes;
    for (const auto& endpoint : digest.suspectEndpoints)
        used += endpoint.value.size() + 3;
    const std::size_t room = digestFrameBytes - std::min(digestFrameBytes, used);

    const double digestsPerSecond = 1 / std::chrono::duration<double>(digestInterval).count();
    m_state->table.setDigestCapacity(room / digestEntryBytes(longestName), digestsPerSecond);
    digest.entries = chooseDigestEntries(m_state->table, m_settings.dataCentre, room, now, m_state->random);
    const HostState ownState = m_state->selfLeaving ? HostState::Leaving : HostState::Alive;
    digest.entries.insert(
        digest.entries.begin(), { m_settings.self, m_settings.incarnation, m_state->digests, ownState });
    return digest;
}

void MembershipManager::setConfigurationState(ConfigurationVersion version, std::vector<std::string> revokedKeys)
{
    m_state->configurationVersion = version;
    m_state->revokedKeys = std::move(revokedKeys);
}

void MembershipManager::setSuspectFingerprints(std::vector<std::pair<std::uint64_t, std::uint32_t>> fingerprints)
{
    m_state->fingerprints = std::move(fingerprints);
}

void MembershipManager::noteSuspicion(const EndpointId& endpoint, MonotonicTime now)
{
    m_state->suspicions.note(endpoint, m_settings.self, now);
}

void MembershipManager::announceLeaving() { m_state->selfLeaving = true; }

std::vector<HostView> MembershipManager::hosts(MonotonicTime now) const
{
    std::vector<HostView> views;
    for (const auto& [id, host] : m_state->table.hosts())
        views.push_back({ id, host.incarnation, host.dataCentre, host.address, host.state(), now - host.lastProgress,
            host.relayAddress });
    return views;
}

std::vector<HostView> MembershipManager::liveHosts(MonotonicTime now) const
{
    auto views = hosts(now);
    std::erase_if(
        views, [](const HostView& view) { return view.state == HostState::Leaving || view.state == HostState::Dead; });
    return views;
}

std::vector<HostView> MembershipManager::liveHosts(const DataCentreId& dataCentre, MonotonicTime now) const
{
    auto views = liveHosts(now);
    std::erase_if(views, [&](const HostView& view) { return view.dataCentre != dataCentre; });
    return views;
}

HostState MembershipManager::stateOf(const HostId& host) const
{
    const auto found = m_state->table.hosts().find(host);
    return found == m_state->table.hosts().end() ? HostState::Dead : found->second.state();
}

bool MembershipManager::isSelfLeaving() const { return m_state->selfLeaving; }

const std::set<EndpointId>& MembershipManager::leavingEndpoints() const { return m_state->leavingEndpoints; }

std::size_t MembershipManager::suspicionsOf(const EndpointId& endpoint, MonotonicTime now) const
{
    return m_state->suspicions.observersOf(endpoint, now);
}

std::map<HostId, std::string> MembershipManager::peerAddresses() const
{
    std::map<HostId, std::string> addresses;
    for (const auto& [id, host] : m_state->table.hosts()) {
        if (host.isAddressable())
            addresses.emplace(id, host.address);
    }
    return addresses;
}

bool MembershipManager::changedSinceLastTake()
{
    // Both flags must be cleared, so that one change is not reported twice.
    const bool tableChanged = m_state->table.takeChanged();
    return std::exchange(m_state->changed, false) || tableChanged;
}

} // namespace Catkinwell
