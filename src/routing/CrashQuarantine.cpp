#include <catkinwell/routing/CrashQuarantine.h>

#include <algorithm>
#include <map>

namespace Catkinwell {

namespace {

    constexpr std::uint32_t soleSuspectCrashLimit = 2;
    constexpr std::uint32_t crashLimit = 3;
    // Maximum number of remembered failed attempts per endpoint.
    constexpr std::size_t maximumFailures = 1024;

} // namespace

CrashQuarantine::CrashQuarantine(CrashQuarantineSettings settings)
    : m_settings(settings)
{
}

void CrashQuarantine::attemptStarted(const EndpointId& endpoint, RequestFingerprint fingerprint)
{
    m_running[endpoint].insert(fingerprint);
}

void CrashQuarantine::attemptNotSent(const EndpointId& endpoint, RequestFingerprint fingerprint)
{
    const auto running = m_running.find(endpoint);
    if (running == m_running.end())
        return;
    const auto attempt = running->second.find(fingerprint);
    if (attempt != running->second.end())
        running->second.erase(attempt);
    if (running->second.empty())
        m_running.erase(running);
}

void CrashQuarantine::attemptEnded(
    const EndpointId& endpoint, RequestFingerprint fingerprint, bool clean, MonotonicTime now)
{
    const auto running = m_running.find(endpoint);
    if (running == m_running.end())
        return;
    const auto attempt = running->second.find(fingerprint);
    if (attempt == running->second.end())
        return;
    running->second.erase(attempt);
    if (running->second.empty())
        m_running.erase(running);
    if (clean)
        return clear(fingerprint, true, now);
    auto& failures = m_failures[endpoint];
    failures.push_back({ fingerprint, now });
    if (failures.size() > maximumFailures)
        failures.pop_front();
    expire(now);
}

void CrashQuarantine::endpointDied(const EndpointId& endpoint, MonotonicTime now)
{
    expire(now);
    Crash crash { {}, now };
    if (const auto running = m_running.find(endpoint); running != m_running.end()) {
        crash.unclearedParticipants.insert(running->second.begin(), running->second.end());
        m_running.erase(running);
    }
    if (const auto failures = m_failures.find(endpoint); failures != m_failures.end()) {
        for (const auto& failure : failures->second)
            crash.unclearedParticipants.insert(failure.fingerprint);
        m_failures.erase(failures);
    }
    if (crash.unclearedParticipants.empty())
        return;
    for (const auto fingerprint : crash.unclearedParticipants) {
        Suspect& suspect = addSuspect(fingerprint, now);
        ++suspect.crashes;
        suspect.wasClearedHere = false;
        suspect.isSoleSuspect = suspect.isSoleSuspect || crash.unclearedParticipants.size() == 1;
        noteIfRefused(fingerprint);
    }
    m_crashes.push_back(std::move(crash));
    if (m_crashes.size() > m_settings.maximumCrashes)
        m_crashes.pop_front();
}

std::uint32_t CrashQuarantine::crashesOf(const Suspect& suspect)
{
    std::uint32_t crashes = suspect.crashes;
    for (const auto& [host, count] : suspect.peers)
        crashes += count.reported > count.cleared ? count.reported - count.cleared : 0;
    return crashes;
}

bool CrashQuarantine::isRefused(const Suspect& suspect)
{
    const auto crashes = crashesOf(suspect);
    return crashes >= crashLimit || (crashes >= soleSuspectCrashLimit && suspect.isSoleSuspect);
}

bool CrashQuarantine::isRefused(RequestFingerprint fingerprint, MonotonicTime now) const
{
    const auto suspect = m_suspects.find(fingerprint);
    return suspect != m_suspects.end() && now - suspect->second.suspectedAt < m_settings.suspicionLifetime
        && isRefused(suspect->second);
}

CrashQuarantine::Suspect& CrashQuarantine::addSuspect(RequestFingerprint fingerprint, MonotonicTime now)
{
    if (!m_suspects.contains(fingerprint) && m_suspects.size() >= m_settings.maximumFingerprints) {
        // Evicts the oldest suspect, but refused ones only if there are no others.
        m_suspects.erase(
            std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& left, const auto& right) {
                return std::pair(isRefused(left.second), left.second.suspectedAt)
                    < std::pair(isRefused(right.second), right.second.suspectedAt);
            }));
    }
    Suspect& suspect = m_suspects[fingerprint];
    suspect.suspectedAt = now;
    return suspect;
}

// Clears the fingerprint. The crashes in which it took part are attributed to their other participants.
void CrashQuarantine::clear(RequestFingerprint fingerprint, bool observedHere, MonotonicTime now)
{
    const auto cleared = m_suspects.find(fingerprint);
    if (cleared == m_suspects.end())
        return;
    Suspect& suspect = cleared->second;
    suspect.crashes = 0;
    suspect.isSoleSuspect = false;
    suspect.wasRefused = false;
    suspect.wasClearedHere = observedHere;
    for (auto& [host, count] : suspect.peers)
        count.cleared = count.reported;
    // The suspect is kept until it expires, so that peers are informed.
    suspect.suspectedAt = now;
    for (auto& crash : m_crashes) {
        if (crash.unclearedParticipants.erase(fingerprint) == 0 || crash.unclearedParticipants.size() != 1)
            continue;
        const auto last = m_suspects.find(*crash.unclearedParticipants.begin());
        if (last == m_suspects.end())
            continue;
        last->second.isSoleSuspect = true;
        noteIfRefused(last->first);
    }
}

void CrashQuarantine::noteIfRefused(RequestFingerprint fingerprint)
{
    Suspect& suspect = m_suspects.at(fingerprint);
    if (suspect.wasRefused || !isRefused(suspect))
        return;
    suspect.wasRefused = true;
    m_newlyRefused.push_back(fingerprint);
}

void CrashQuarantine::release(RequestFingerprint fingerprint)
{
    const auto suspect = m_suspects.find(fingerprint);
    if (suspect != m_suspects.end())
        clear(fingerprint, true, suspect->second.suspectedAt);
}

void CrashQuarantine::expire(MonotonicTime now)
{
    std::erase_if(
        m_suspects, [&](const auto& item) { return now - item.second.suspectedAt >= m_settings.suspicionLifetime; });
    while (!m_crashes.empty() && now - m_crashes.front().at >= m_settings.suspicionLifetime)
        m_crashes.pop_front();
    for (auto item = m_failures.begin(); item != m_failures.end();) {
        auto& failures = item->second;
        while (!failures.empty() && now - failures.front().at >= m_settings.failureWindow)
            failures.pop_front();
        item = failures.empty() ? m_failures.erase(item) : std::next(item);
    }
}

std::vector<std::pair<RequestFingerprint, std::uint32_t>> CrashQuarantine::nextDigest(MonotonicTime now)
{
    expire(now);
    std::map<RequestFingerprint, std::uint32_t> all;
    for (const auto& [fingerprint, suspect] : m_suspects) {
        // Crashes that only peers have seen are shared by those peers.
        if (suspect.crashes > 0 || suspect.wasClearedHere)
            all.emplace(fingerprint, suspect.crashes);
    }
    std::vector<std::pair<RequestFingerprint, std::uint32_t>> shared;
    auto next = all.upper_bound(m_lastShared);
    while (shared.size() < std::min(m_settings.maximumDigestSize, all.size())) {
        if (next == all.end())
            next = all.begin();
        shared.push_back(*next);
        m_lastShared = next->first;
        ++next;
    }
    return shared;
}

void CrashQuarantine::merge(
    const HostId& from, const std::vector<std::pair<RequestFingerprint, std::uint32_t>>& suspects, MonotonicTime now)
{
    expire(now);
    for (const auto& [fingerprint, crashes] : suspects) {
        const auto known = m_suspects.find(fingerprint);
        if (known == m_suspects.end() && crashes == 0)
            continue;
        if (known != m_suspects.end()) {
            // Ignores unchanged reports; otherwise every repeated digest would extend the suspicion.
            const auto count = known->second.peers.find(from);
            if (count != known->second.peers.end() && count->second.reported == crashes)
                continue;
        }
        // The peer has cleared the fingerprint since the crashes that are known here.
        if (crashes == 0)
            clear(fingerprint, false, now);
        Suspect& suspect = addSuspect(fingerprint, now);
        auto& count = suspect.peers[from];
        count.reported = crashes;
        count.cleared = std::min(count.cleared, crashes);
        noteIfRefused(fingerprint);
    }
}

std::vector<std::pair<RequestFingerprint, std::uint32_t>> CrashQuarantine::refused() const
{
    std::vector<std::pair<RequestFingerprint, std::uint32_t>> list;
    for (const auto& [fingerprint, suspect] : m_suspects) {
        if (isRefused(suspect))
            list.emplace_back(fingerprint, crashesOf(suspect));
    }
    return list;
}

} // namespace Catkinwell
