#include "replay/ReplayLoad.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    // The fraction of requests for models without steady demand.
    constexpr double rareShare = 0.02;
    // The fraction of requests for the busiest model that use an adapter.
    constexpr double adapterShare = 0.7;
    // The ratio between the demand of an account and that of the account before it.
    constexpr double accountDecline = 0.6;

} // namespace

ModelId replayModel(unsigned place) { return ModelId("model-" + std::to_string(place)); }

ReplayLoad::ReplayLoad(const ReplaySettings& settings, const LoadPattern& pattern)
    : m_settings(settings)
    , m_pattern(pattern)
    , m_random(settings.seed)
    , m_due(settings.kinds.size(), 0)
{
}

std::optional<double> ReplayLoad::strengthOf(LoadChange change, Duration since) const
{
    for (const LoadPhase& phase : m_pattern.phases) {
        if (phase.change == change && since >= phase.at && since < phase.at + phase.length)
            return phase.strength;
    }
    return std::nullopt;
}

ModelVariant ReplayLoad::drawVariant(Duration since)
{
    const double rare = strengthOf(LoadChange::RareModels, since).value_or(0);
    if (m_random.unit() < rare + rareShare)
        return { replayModel(m_settings.busyModels
                     + static_cast<unsigned>(m_random.below(m_settings.models - m_settings.busyModels))),
            "" };
    // Half of the requests go to the first model, half of the rest to the second, and so on.
    unsigned place = 0;
    while (place + 1 < m_settings.busyModels && m_random.unit() < 0.5)
        ++place;
    const auto shift = static_cast<unsigned>(strengthOf(LoadChange::DemandShift, since).value_or(0));
    ModelVariant variant { replayModel(shift == 0 ? place : place + m_settings.busyModels * shift), "" };
    if (place == 0 && shift == 0 && m_settings.adapters > 0 && m_random.unit() < adapterShare)
        variant.adapter = "a" + std::to_string(m_random.below(m_settings.adapters));
    return variant;
}

unsigned ReplayLoad::drawAccount(Duration since)
{
    const double hot = strengthOf(LoadChange::HotAccount, since).value_or(1);
    // The second account is the one affected by HotAccount.
    std::vector<double> weights;
    double total = 0;
    for (unsigned i = 0; i < m_settings.accounts; ++i) {
        weights.push_back((i == 0 ? 1 : weights.back() * accountDecline) * (i == 1 ? hot : 1));
        total += weights.back();
    }
    double drawn = m_random.unit() * total;
    for (unsigned i = 0; i < m_settings.accounts; ++i) {
        if (drawn < weights[i])
            return i;
        drawn -= weights[i];
    }
    return 0;
}

double ReplayLoad::tokensPerSecond() const
{
    double rate = 0;
    for (const RequestKind& kind : m_settings.kinds)
        rate += kind.perSecond * (kind.sharedTokens + kind.ownTokens + kind.outputTokens);
    return rate;
}

double ReplayLoad::usualRate(unsigned account) const
{
    double total = 0;
    double own = 0;
    double weight = 1;
    for (unsigned i = 0; i < m_settings.accounts; ++i) {
        total += weight;
        own = i == account ? weight : own;
        weight *= accountDecline;
    }
    return tokensPerSecond() * own / total;
}

std::vector<LoadRequest> ReplayLoad::arrivals(Duration since, Duration step)
{
    std::vector<LoadRequest> requests;
    const double seconds = secondsOf(step);
    const double hot = strengthOf(LoadChange::HotAccount, since) ? 1.5 : 1;
    for (std::size_t kind = 0; kind < m_settings.kinds.size(); ++kind) {
        const double factor = kind == 0 ? strengthOf(LoadChange::Burst, since).value_or(1) : 1;
        m_due[kind] += m_settings.kinds[kind].perSecond * factor * hot * seconds * 2 * m_random.unit();
        for (; m_due[kind] >= 1; --m_due[kind])
            requests.push_back({ kind, drawAccount(since), drawVariant(since) });
    }
    return requests;
}

} // namespace Catkinwell
