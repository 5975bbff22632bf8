#include <catkinwell/routing/PromptQuarantine.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>
#include <string>

namespace Catkinwell {

namespace {

    // Crashes that suffice to refuse a part while other requests are answered, and while none is.
    constexpr unsigned crashLimit = 3;
    constexpr unsigned crashLimitWithoutAnswers = 5;
    // Answers to other requests which show that the endpoints work.
    constexpr std::size_t neededAnswers = 5;
    // Runs in one crash that make a part that was never answered strongly suspected.
    constexpr std::uint32_t strongRuns = 3;
    // For the log, between two calls of takeCleared().
    constexpr std::size_t maximumCleared = 256;
    constexpr Duration reviewInterval = std::chrono::milliseconds(100);

    PromptRefusalId refusalIdOf(const PromptParts& parts)
    {
        std::string text;
        for (const PromptPartHash part : parts)
            text += std::to_string(part) + ' ';
        return stableHash(text);
    }

    PromptParts intersectionOf(const PromptParts& left, const PromptParts& right)
    {
        PromptParts common;
        std::set_intersection(
            left.begin(), left.end(), right.begin(), right.end(), std::inserter(common, common.end()));
        return common;
    }

    bool containsAll(const PromptParts& parts, const PromptParts& wanted)
    {
        return std::includes(parts.begin(), parts.end(), wanted.begin(), wanted.end());
    }

    // Removes the entry with the earliest time.
    template <typename Map> void eraseOldest(Map& map)
    {
        map.erase(std::min_element(map.begin(), map.end(),
            [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
    }

} // namespace

PromptQuarantine::PromptQuarantine(PromptQuarantineSettings settings)
    : m_settings(settings)
{
}

void PromptQuarantine::answered(const PromptParts& parts, MonotonicTime now)
{
    m_answerTimes.push_back(now);
    if (m_answerTimes.size() > neededAnswers)
        m_answerTimes.pop_front();
    for (const PromptPartHash part : parts)
        m_answeredParts.insert(part, now);
    if (m_crashes.empty() && m_refusals.empty())
        return;
    for (const PromptPartHash part : parts) {
        if (isInRefusal(part) || (isSuspected(part) && !wasAnsweredSince(part, m_crashes.back().at)))
            noteAnswer(part, now, true);
    }
}

void PromptQuarantine::answeredRest(const PromptParts& parts, std::uint32_t events, MonotonicTime now)
{
    PromptParts cleared = parts;
    std::erase_if(cleared, [&](PromptPartHash part) {
        const auto before = eventsBeforeCrash(part);
        return before && events <= *before;
    });
    answered(cleared, now);
}

std::optional<std::uint32_t> PromptQuarantine::eventsBeforeCrash(PromptPartHash part) const
{
    std::optional<std::uint32_t> most;
    for (const Crash& crash : m_crashes) {
        for (const auto& [fingerprint, involved] : crash.requests) {
            if (involved.parts.contains(part))
                most = std::max(most.value_or(0), involved.events);
        }
    }
    return most;
}

bool PromptQuarantine::isInRefusal(PromptPartHash part) const
{
    return std::any_of(
        m_refusals.begin(), m_refusals.end(), [part](const auto& item) { return item.second.parts.contains(part); });
}

void PromptQuarantine::noteAnswer(PromptPartHash part, MonotonicTime at, bool wasSeenHere)
{
    const auto known = m_answers.find(part);
    if (known != m_answers.end() && known->second.at >= at)
        return;
    if (known == m_answers.end() && m_answers.size() >= m_settings.maximumAnswered)
        eraseOldest(m_answers);
    m_answers[part] = { at, wasSeenHere };
    if (m_cleared.size() < maximumCleared)
        m_cleared.push_back(part);
    m_hasNews = m_hasNews || wasSeenHere;
    reduceRefusals(part, at);
}

void PromptQuarantine::reduceRefusals(PromptPartHash part, MonotonicTime answeredAt)
{
    for (auto item = m_refusals.begin(); item != m_refusals.end();) {
        Refusal& refusal = item->second;
        if (refusal.at <= answeredAt && refusal.parts.erase(part) > 0)
            m_changed.insert(item->first);
        item = refusal.parts.empty() ? m_refusals.erase(item) : std::next(item);
    }
}

bool PromptQuarantine::wasAnsweredSince(PromptPartHash part, MonotonicTime time) const
{
    const auto answer = m_answers.find(part);
    return answer != m_answers.end() && answer->second.at >= time;
}

// Whether a refusal that does not concern the part accounts for the crash.
bool PromptQuarantine::isExplained(const Crash& crash, PromptPartHash part) const
{
    return std::any_of(m_refusals.begin(), m_refusals.end(), [&](const auto& item) {
        const PromptParts& refused = item.second.parts;
        return !refused.contains(part)
            && std::any_of(crash.requests.begin(), crash.requests.end(),
                [&](const auto& request) { return containsAll(request.second.parts, refused); });
    });
}

// Whether a refused request ran in the crash.
bool PromptQuarantine::isAccountedFor(const Crash& crash) const
{
    return std::any_of(crash.requests.begin(), crash.requests.end(),
        [&](const auto& request) { return refusalOf(request.second.parts).has_value(); });
}

PromptQuarantine::Evidence PromptQuarantine::evidenceAgainst(PromptPartHash part, CrashesThatCount which) const
{
    Evidence evidence;
    for (const Crash& crash : m_crashes) {
        if (wasAnsweredSince(part, crash.at) || (which == CrashesThatCount::NotExplained && isExplained(crash, part)))
            continue;
        bool isInvolved = false;
        for (const auto& [fingerprint, involved] : crash.requests) {
            if (!involved.parts.contains(part))
                continue;
            evidence.commonParts
                = evidence.requests.empty() ? involved.parts : intersectionOf(evidence.commonParts, involved.parts);
            evidence.requests.insert(fingerprint);
            evidence.runs += involved.ownRuns + involved.peerRuns;
            evidence.events += involved.events;
            isInvolved = true;
        }
        evidence.isAccountedFor = evidence.isAccountedFor && (!isInvolved || isAccountedFor(crash));
        const Duration sameCauseTime
            = evidence.requests.size() == 1 ? m_settings.sameCauseTimeOfOneRequest : m_settings.sameCauseTime;
        if (!isInvolved || (evidence.crashes > 0 && crash.at - evidence.latest < sameCauseTime))
            continue;
        if (evidence.crashes == 0)
            evidence.first = crash.at;
        ++evidence.crashes;
        evidence.latest = crash.at;
    }
    return evidence;
}

bool PromptQuarantine::isConclusive(const Evidence& evidence, MonotonicTime now) const
{
    // A refusal of one request alone cannot turn others away.
    const bool isOneRequest = evidence.requests.size() == 1;
    const bool areOthersAnswered = m_answerTimes.size() >= neededAnswers && m_answerTimes.front() >= evidence.first;
    const unsigned needed = isOneRequest || areOthersAnswered ? crashLimit : crashLimitWithoutAnswers;
    return !evidence.isAccountedFor && evidence.crashes >= needed && now - evidence.latest >= m_settings.settleTime;
}

PromptParts PromptQuarantine::partsOfSeveralCrashes() const
{
    std::unordered_map<PromptPartHash, unsigned> counts;
    for (const Crash& crash : m_crashes) {
        PromptParts parts;
        for (const auto& [fingerprint, involved] : crash.requests)
            parts.insert(involved.parts.begin(), involved.parts.end());
        for (const PromptPartHash part : parts)
            ++counts[part];
    }
    PromptParts several;
    for (const auto& [part, count] : counts) {
        if (count >= crashLimit)
            several.insert(part);
    }
    return several;
}

bool PromptQuarantine::isStronger(const Evidence& left, const Evidence& right)
{
    if (left.crashes != right.crashes)
        return left.crashes > right.crashes;
    return left.crashes > 0 && left.events < right.events;
}

// Refuses the parts with the strongest evidence first: they may explain the crashes of others.
void PromptQuarantine::review(MonotonicTime now)
{
    const PromptParts candidates = partsOfSeveralCrashes();
    while (true) {
        Evidence strongest;
        for (const PromptPartHash part : candidates) {
            Evidence evidence = evidenceAgainst(part);
            if (isStronger(evidence, strongest) && isConclusive(evidence, now)
                && !isRefused(suspectedPartsOf(evidence), now))
                strongest = std::move(evidence);
        }
        if (strongest.crashes == 0)
            return;
        refuse(suspectedPartsOf(strongest), now);
    }
}

// Of the parts that all suspected requests share, those that were answered since the latest crash are harmless.
PromptParts PromptQuarantine::suspectedPartsOf(const Evidence& evidence) const
{
    PromptParts parts = evidence.commonParts;
    std::erase_if(parts, [&](PromptPartHash part) { return wasAnsweredSince(part, evidence.latest); });
    return parts;
}

void PromptQuarantine::refuse(PromptParts parts, MonotonicTime now)
{
    if (m_refusals.size() >= m_settings.maximumRefusals)
        eraseOldest(m_refusals);
    const PromptRefusalId id = refusalIdOf(parts);
    m_refusals[id] = { std::move(parts), now };
    m_changed.insert(id);
    m_hasNews = true;
}

void PromptQuarantine::tick(MonotonicTime now)
{
    if ((m_crashes.empty() && m_refusals.empty()) || now < m_nextReviewAt)
        return;
    m_nextReviewAt = now + reviewInterval;
    expire(now);
    review(now);
}

void PromptQuarantine::adopt(const PromptRefusal& adopted, MonotonicTime now)
{
    if (adopted.age >= m_settings.lifetime || adopted.parts.empty())
        return;
    const MonotonicTime at = now - adopted.age;
    PromptParts parts = adopted.parts;
    std::erase_if(parts, [&](PromptPartHash part) { return wasAnsweredSince(part, at); });
    const auto known = m_refusals.find(adopted.id);
    if (known != m_refusals.end())
        parts = intersectionOf(known->second.parts, parts);
    if (known != m_refusals.end() && parts == known->second.parts)
        return;
    m_changed.insert(adopted.id);
    if (parts.empty()) {
        m_refusals.erase(adopted.id);
        return;
    }
    if (known == m_refusals.end() && m_refusals.size() >= m_settings.maximumRefusals)
        eraseOldest(m_refusals);
    m_refusals[adopted.id] = { std::move(parts), at };
}

bool PromptQuarantine::release(PromptRefusalId id, MonotonicTime now)
{
    const auto found = m_refusals.find(id);
    if (found == m_refusals.end())
        return false;
    for (const PromptPartHash part : PromptParts(found->second.parts))
        noteAnswer(part, now, true);
    return true;
}

bool PromptQuarantine::isRefused(const PromptParts& parts, MonotonicTime now) const
{
    return std::any_of(m_refusals.begin(), m_refusals.end(), [&](const auto& item) {
        return now - item.second.at < m_settings.lifetime && containsAll(parts, item.second.parts);
    });
}

std::optional<PromptRefusalId> PromptQuarantine::refusalOf(const PromptParts& parts) const
{
    const auto found = std::find_if(
        m_refusals.begin(), m_refusals.end(), [&](const auto& item) { return containsAll(parts, item.second.parts); });
    return found == m_refusals.end() ? std::nullopt : std::optional(found->first);
}

bool PromptQuarantine::isSuspicious(const PromptParts& parts) const
{
    return std::any_of(parts.begin(), parts.end(),
        [this](PromptPartHash part) { return isSuspected(part) && evidenceAgainst(part).crashes + 1 >= crashLimit; });
}

Suspicion PromptQuarantine::suspicionOf(const PromptParts& parts, MonotonicTime now) const
{
    Suspicion suspicion;
    for (const PromptPartHash part : parts) {
        if (!isSuspected(part))
            continue;
        // Another refusal does not clear a part that is refused together with others.
        const auto which = isInRefusal(part) ? CrashesThatCount::All : CrashesThatCount::NotExplained;
        const Evidence evidence = evidenceAgainst(part, which);
        const bool isNew = !m_answeredParts.contains(part, now);
        const bool isStrong = evidence.crashes > 1 || (isNew && evidence.runs >= strongRuns);
        if (evidence.crashes == 0 || !(isNew || isStrong))
            continue;
        suspicion.parts.insert(part);
        if (isStrong)
            suspicion.strongParts.insert(part);
        suspicion.latestCrash = std::max(suspicion.latestCrash, evidence.latest);
    }
    return suspicion;
}

std::vector<PromptRefusal> PromptQuarantine::takeChanges(MonotonicTime now)
{
    std::vector<PromptRefusal> changes;
    for (const PromptRefusalId id : std::exchange(m_changed, {})) {
        const auto refusal = m_refusals.find(id);
        if (refusal == m_refusals.end())
            changes.push_back({ id, {}, {} });
        else
            changes.push_back({ id, refusal->second.parts, now - refusal->second.at });
    }
    return changes;
}

std::vector<PromptRefusal> PromptQuarantine::refusals(MonotonicTime now) const
{
    std::vector<PromptRefusal> list;
    for (const auto& [id, refusal] : m_refusals)
        list.push_back({ id, refusal.parts, now - refusal.at });
    return list;
}

std::vector<PromptRefusalId> PromptQuarantine::refusalIds() const
{
    std::vector<PromptRefusalId> ids;
    for (const auto& [id, refusal] : m_refusals)
        ids.push_back(id);
    return ids;
}

void PromptQuarantine::expire(MonotonicTime now)
{
    const std::size_t known = m_crashes.size();
    while (!m_crashes.empty() && now - m_crashes.front().at >= m_settings.lifetime)
        m_crashes.pop_front();
    if (m_crashes.size() != known)
        updateAccusedParts();
    std::erase_if(m_refusals, [&](const auto& item) { return now - item.second.at >= m_settings.lifetime; });
    std::erase_if(m_answers, [&](const auto& item) { return now - item.second.at >= m_settings.lifetime; });
    std::erase_if(m_survived, [&](const auto& item) { return now - item.second.crashAt >= m_settings.lifetime; });
}

} // namespace Catkinwell
