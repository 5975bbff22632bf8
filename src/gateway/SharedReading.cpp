#include <catkinwell/gateway/SharedReading.h>

#include <catkinwell/core/Digest.h>
#include <catkinwell/core/EnumNames.h>
#include <tuple>

namespace Catkinwell {

namespace {

    // In reading intervals, of which two are as long as the interval at which a host reads by itself. The sum of the
    // bound and the spread is below two, so that a follower never knows a change later than a host that reads alone.
    constexpr double standbyAge = 1.25;
    constexpr double followerAge = 1.5;
    constexpr double followerSpread = 0.25;
    // A question is answered within a small part of the interval, and is repeated if its answer is lost.
    constexpr double questionInterval = 0.5;
    // Clocks of two hosts drift apart by at most this part of the time.
    constexpr double clockDrift = 1e-4;

    constexpr EnumNames<SharedReading::Role, 4> roleNames { {
        { SharedReading::Role::Alone, "alone" },
        { SharedReading::Role::Reader, "reader" },
        { SharedReading::Role::Standby, "standby" },
        { SharedReading::Role::Follower, "follower" },
    } };

    Duration times(Duration duration, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

} // namespace

std::string_view nameOf(SharedReading::Role role) { return roleNames.nameOf(role); }

SharedReading::SharedReading(Settings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_own { m_settings.incarnation, {} }
    , m_reader(m_settings.self)
{
}

// Fit hosts come first, then strong ones; hosts that are alike take turns by the epoch.
bool SharedReading::isBefore(
    const HostId& left, const Candidate& leftHost, const HostId& right, const Candidate& rightHost) const
{
    const auto rank = [this](const HostId& host, const Candidate& candidate) {
        const std::uint64_t hash
            = stableHash(host.value + '\n' + std::to_string(candidate.incarnation) + '\n' + std::to_string(m_epoch));
        return std::make_tuple(!candidate.fitness.isFit, -candidate.fitness.processorShare, hash, host);
    };
    return rank(left, leftHost) < rank(right, rightHost);
}

void SharedReading::update(
    StoreEpoch epoch, Duration interval, const ReadingFitness& own, std::map<HostId, Candidate> others)
{
    m_epoch = epoch;
    m_interval = interval;
    m_own.fitness = own;
    m_others = std::move(others);
    std::erase_if(m_passages, [this](const auto& item) { return !m_others.contains(item.first); });
    m_reader = m_settings.self;
    m_role = Role::Alone;
    if (m_settings.fromHosts == 0 || m_others.size() + 1 < m_settings.fromHosts)
        return;
    std::size_t better = 0;
    const Candidate* first = &m_own;
    for (const auto& [host, candidate] : m_others) {
        better += isBefore(host, candidate, m_settings.self, m_own) ? 1 : 0;
        if (isBefore(host, candidate, m_reader, *first)) {
            m_reader = host;
            first = &candidate;
        }
    }
    m_role = better == 0 ? Role::Reader : better == 1 ? Role::Standby : Role::Follower;
}

Duration SharedReading::longestAge() const
{
    if (m_role == Role::Standby)
        return times(readingInterval(), standbyAge);
    return times(readingInterval(), followerAge + followerSpread * m_spread);
}

bool SharedReading::mayRead(MonotonicTime now) const
{
    return m_role == Role::Reader || now - m_freshAt >= longestAge();
}

bool SharedReading::isSending(MonotonicTime now) const
{
    return m_role == Role::Reader || (m_role == Role::Standby && mayRead(now));
}

void SharedReading::noteRead(MonotonicTime sentAt) { noteFresh(sentAt); }

void SharedReading::noteFresh(MonotonicTime asOf)
{
    if (asOf <= m_freshAt)
        return;
    m_freshAt = asOf;
    m_spread = m_random.unit();
}

std::optional<HostId> SharedReading::chooseFit()
{
    std::vector<HostId> fit;
    for (const auto& [host, candidate] : m_others) {
        if (candidate.fitness.isFit)
            fit.push_back(host);
    }
    return fit.empty() ? std::nullopt : std::optional(fit[m_random.below(fit.size())]);
}

bool SharedReading::takeQuestion(MonotonicTime now)
{
    if (now < m_nextQuestionAt)
        return false;
    m_nextQuestionAt = now + times(readingInterval(), questionInterval);
    return true;
}

MonotonicTime SharedReading::timeOf(
    const HostId& from, Incarnation incarnation, const RecordBatch& batch, MonotonicTime now)
{
    const Duration difference = now.time_since_epoch() - std::chrono::duration_cast<Duration>(batch.sentAt);
    auto [found, isNew] = m_passages.try_emplace(from, Passage { incarnation, difference, now });
    Passage& passage = found->second;
    if (!isNew && passage.incarnation != incarnation)
        passage = Passage { incarnation, difference, now };
    const Duration fastest = passage.fastest + times(now - passage.at, clockDrift);
    passage.fastest = std::min(fastest, difference);
    passage.at = now;
    return now - (difference - passage.fastest) - batch.age;
}

} // namespace Catkinwell
