#include <catkinwell/routing/PromptQuarantine.h>

#include <algorithm>

// What hosts tell each other of crashes, answers and refusals.
namespace Catkinwell {

bool PromptQuarantine::takeNews(MonotonicTime now)
{
    if (m_crashNewsAt && now >= *m_crashNewsAt && now >= m_reportsHeldUntil) {
        m_crashNewsAt.reset();
        m_hasNews = true;
    }
    return std::exchange(m_hasNews, false);
}

// Returns what this host has seen of a request in the crash.
BrokenRequest PromptQuarantine::reportOf(const Crash& crash, RequestFingerprint fingerprint, const Involved& involved)
{
    BrokenRequest report { fingerprint, involved.parts, involved.ownRuns, involved.events };
    if (involved.startedAt != MonotonicTime::min())
        report.ranFor = std::max(Duration::zero(), crash.at - involved.startedAt);
    report.wasAnswered = involved.wasAnswered;
    return report;
}

PromptQuarantineDigest PromptQuarantine::nextDigest(MonotonicTime now)
{
    PromptQuarantineDigest digest;
    for (auto crash = m_crashes.rbegin(); crash != m_crashes.rend(); ++crash) {
        if (now - crash->at >= m_settings.reportTime || digest.crashes.size() >= m_settings.maximumReported)
            break;
        if (now - crash->at < m_settings.reportDelay || now < m_reportsHeldUntil)
            continue;
        PromptCrashReport report { crash->endpoint, now - crash->at, {} };
        for (const auto& [fingerprint, involved] : crash->requests) {
            if (involved.ownRuns > 0)
                report.requests.push_back(reportOf(*crash, fingerprint, involved));
        }
        if (!report.requests.empty())
            digest.crashes.push_back(std::move(report));
    }
    for (const auto& [part, answer] : m_answers) {
        if (answer.wasSeenHere && now - answer.at < m_settings.reportTime)
            digest.answered.push_back({ part, now - answer.at });
    }
    std::sort(digest.answered.begin(), digest.answered.end(),
        [](const AnsweredPart& left, const AnsweredPart& right) { return left.age < right.age; });
    if (digest.answered.size() > m_settings.maximumReportedAnswers)
        digest.answered.resize(m_settings.maximumReportedAnswers);
    for (const auto& [endpoint, survival] : m_survived) {
        if (survival.wasSeenHere && now - survival.crashAt < m_settings.reportTime)
            digest.survived.push_back({ endpoint, now - survival.crashAt });
    }
    auto next = m_refusals.upper_bound(m_lastReported);
    while (digest.refused.size() < std::min(m_settings.maximumReported, m_refusals.size())) {
        if (next == m_refusals.end())
            next = m_refusals.begin();
        digest.refused.push_back({ next->first, next->second.parts, now - next->second.at });
        m_lastReported = next->first;
        ++next;
    }
    return digest;
}

void PromptQuarantine::merge(const PromptQuarantineDigest& digest, MonotonicTime now)
{
    if (digest.isEmpty())
        return;
    expire(now);
    for (const AnsweredPart& entry : digest.answered)
        noteAnswer(entry.part, now - entry.age, false);
    for (const SurvivedCrash& survived : digest.survived) {
        if (survived.age < m_settings.lifetime)
            noteSurvival(survived.endpoint, now - survived.age, false);
    }
    for (const PromptCrashReport& report : digest.crashes) {
        const auto survival = m_survived.find(report.endpoint);
        const bool isSurvived
            = survival != m_survived.end() && now - report.age < survival->second.crashAt + m_settings.sameCrashTime;
        if (report.age >= m_settings.lifetime || report.requests.empty() || isSurvived)
            continue;
        Crash& crash = crashOf(report.endpoint, now - report.age);
        for (const BrokenRequest& request : report.requests) {
            if (Involved* involved = involve(crash, request))
                involved->peerRuns = std::max(involved->peerRuns, request.runs);
        }
        dropLaterRequests(crash);
    }
    for (const PromptRefusal& refusal : digest.refused)
        adopt(refusal, now);
}

} // namespace Catkinwell
