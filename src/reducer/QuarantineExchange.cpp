#include "routing/PromptQuarantineCodec.h"
#include <catkinwell/reducer/Reducer.h>

// The quarantines' exchange with peers and operators.
namespace Catkinwell {

namespace {

    constexpr Duration promptNewsInterval = std::chrono::milliseconds(50);
    // Each host repeats its refusals to one peer at a time, for hosts that restarted or were cut off.
    constexpr Duration promptRepetitionInterval = std::chrono::seconds(1);

} // namespace

void Reducer::updatePromptQuarantine(MonotonicTime now, EffectList& effects)
{
    m_promptQuarantine.tick(now);
    handlePromptChanges(now, effects);
    sendPromptNews(now, effects);
}

void Reducer::handlePromptChanges(MonotonicTime now, EffectList& effects)
{
    const std::vector<PromptRefusal> changes = m_promptQuarantine.takeChanges(now);
    for (const PromptRefusal& refusal : changes)
        effects.push_back(LogEntry { LogEvent::PromptRefusalChanged,
            { { "refusal", std::to_string(refusal.id) }, { "state", refusal.parts.empty() ? "ended" : "refused" },
                { "messages", std::to_string(refusal.parts.size()) } } });
    if (!changes.empty())
        m_requests.endQuarantined(now, effects);
}

void Reducer::sendPromptNews(MonotonicTime now, EffectList& effects)
{
    const bool isDue = now >= m_nextPromptNewsAt;
    const bool hasCrashNews = isDue && m_promptQuarantine.takeNews(now);
    const bool hasTrialNews = isDue && m_trials.takeNews();
    const bool hasNews = hasCrashNews || hasTrialNews;
    if (!hasNews && now < m_nextPromptRepetitionAt)
        return;
    m_nextPromptNewsAt = now + promptNewsInterval;
    m_nextPromptRepetitionAt = now + promptRepetitionInterval;
    PromptQuarantineDigest digest = m_promptQuarantine.nextDigest(now);
    digest.trials = m_trials.report(now);
    std::vector<HostId> peers;
    for (const LiveHost& live : m_liveHosts) {
        if (live.host != m_settings.host.host)
            peers.push_back(live.host);
    }
    if ((digest.isEmpty() && !hasNews) || peers.empty())
        return;
    if (!hasNews)
        peers = { peers[m_nextPromptPeer++ % peers.size()] };
    const PromptQuarantineNews news { encodePromptQuarantineDigest(digest) };
    for (const HostId& peer : peers)
        effects.push_back(SendToPeer { peer, news });
}

void Reducer::handle(const HostId& from, const PromptQuarantineNews& news, MonotonicTime now, EffectList& effects)
{
    const auto digest = decodePromptQuarantineDigest(news.payload);
    if (isError(digest)) {
        effects.push_back(
            LogEntry { LogEvent::PeerMessageDropped, { { "reason", errorOf(digest).message }, { "count", "1" } } });
        return;
    }
    m_promptQuarantine.merge(valueOf(digest), now);
    m_trials.merge(from, valueOf(digest).trials, now);
    handlePromptChanges(now, effects);
}

std::vector<QuarantinedRequest> Reducer::quarantined() const
{
    std::vector<QuarantinedRequest> list;
    for (const auto& [fingerprint, crashes] : m_quarantine.refused())
        list.push_back({ fingerprint, AccountId(), ModelId(), crashes });
    for (const PromptRefusalId id : m_promptQuarantine.refusalIds())
        list.push_back({ id, AccountId(), ModelId(), 0 });
    return list;
}

Status Reducer::release(std::uint64_t fingerprint, MonotonicTime now, EffectList&)
{
    if (m_promptQuarantine.release(fingerprint, now))
        return std::monostate {};
    if (!m_quarantine.isRefused(fingerprint, now))
        return Error { ErrorKind::NotFound,
            "the fingerprint is not in quarantine; list the quarantined fingerprints with `catkinwell admin quarantine "
            "list`" };
    m_quarantine.release(fingerprint);
    return std::monostate {};
}

} // namespace Catkinwell
