#include "ConfigurationWatcher.h"

#include <algorithm>
#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    using namespace std::chrono_literals;

    // A change must be in force within 10 s even if the answers to two watches in a row are lost. Each answer contains
    // the whole head, so a large head is watched with longer calls, which limits the traffic.
    constexpr Duration shortestWatch = 2s;
    constexpr Duration longestWatch = 5s;
    constexpr std::size_t headBytesPerSecond = 1000;
    constexpr Duration watchMargin = 1s;
    // After a lost answer, the head is read instead of watched, because several lost answers in a row must fit into the
    // 10 s.
    constexpr Duration readTimeout = 600ms;
    // Short, because a lost answer counts against the 10 s; longer after failures, for a slow store.
    constexpr Duration firstPartTimeout = 1s;
    constexpr Duration longestPartTimeout = 5s;
    // The store client replies to every call within its timeout. This guards against a reply that never comes.
    constexpr Duration lostReplyMargin = 1s;
    constexpr Duration firstBackoff = 200ms;
    // Short enough that, after an outage, a host still has time for lost answers.
    constexpr Duration longestBackoff = 1500ms;
    // Spreads the reads of all hosts after a change, so that they stay below the rate that the store can serve.
    constexpr Duration partReadSpread = 300ms;
    constexpr unsigned olderAnswersUntilBehind = 5;

} // namespace

ConfigurationWatcher::ConfigurationWatcher(
    std::map<std::string, std::string>& parts, RandomGenerator& random, StoreCallIds& ids)
    : m_parts(parts)
    , m_random(random)
    , m_ids(ids)
    , m_watchBackoff(firstBackoff, longestBackoff)
    , m_partBackoff(firstBackoff, longestBackoff)
{
}

void ConfigurationWatcher::tick(MonotonicTime now, ConfigurationVersion accepted, EffectList& effects)
{
    if (m_watch && now >= m_watch->lostAt)
        handleWatch({ .id = m_watch->id, .status = StoreStatus::Unknown }, now, accepted);
    if (m_partRead && now >= m_partRead->lostAt)
        handlePart({ .id = m_partRead->id, .status = StoreStatus::Unknown }, now);
    if (m_pending && m_pending->version <= accepted)
        m_pending.reset();
    if (!m_watch && now >= m_nextWatchAt)
        startWatch(now, effects);
    if (!m_partRead && now >= m_nextPartAt && missingPart())
        startPartRead(now, effects);
}

bool ConfigurationWatcher::handle(const StoreReply& reply, MonotonicTime now, ConfigurationVersion accepted)
{
    if (m_watch && reply.id == m_watch->id) {
        handleWatch(reply, now, accepted);
        return true;
    }
    if (m_partRead && reply.id == m_partRead->id) {
        handlePart(reply, now);
        return true;
    }
    return false;
}

void ConfigurationWatcher::startWatch(MonotonicTime now, EffectList& effects)
{
    if (m_readsAgain) {
        m_watch = Call { m_ids.next(), now, now + readTimeout + lostReplyMargin };
        effects.push_back(StoreCall { m_watch->id, StoreGet { std::string(configurationHeadKey) }, readTimeout });
        return;
    }
    const Duration wait = std::clamp<Duration>(m_headBytes * 1s / headBytesPerSecond, shortestWatch, longestWatch);
    const Duration timeout = wait + watchMargin;
    m_watch = Call { m_ids.next(), now, now + timeout + lostReplyMargin };
    const StoreWatch watch { std::string(configurationHeadKey), m_headStoreVersion, wait };
    effects.push_back(StoreCall { m_watch->id, watch, timeout });
}

void ConfigurationWatcher::startPartRead(MonotonicTime now, EffectList& effects)
{
    m_partHash = *missingPart();
    const Duration timeout = std::min(longestPartTimeout, firstPartTimeout * (1 + m_partBackoff.failures()));
    m_partRead = Call { m_ids.next(), now, now + timeout + lostReplyMargin };
    effects.push_back(
        StoreCall { m_partRead->id, StoreGet { std::string(configurationPartPrefix) + m_partHash }, timeout });
}

void ConfigurationWatcher::handleWatch(const StoreReply& reply, MonotonicTime now, ConfigurationVersion accepted)
{
    const MonotonicTime sentAt = m_watch->sentAt;
    m_watch.reset();
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        m_reachable = false;
        // A call that waited for its timeout has limited the rate of calls already. A long backoff on top of lost
        // answers would keep a host that is also cut off from its peers behind for more than 10 s.
        const bool hasWaited = now - sentAt >= shortestWatch;
        m_readsAgain = true;
        m_nextWatchAt = now
            + (hasWaited ? RetryBackoff(firstBackoff, longestBackoff).next(m_random) : m_watchBackoff.next(m_random));
        return;
    }
    m_reachable = true;
    const bool wasRead = std::exchange(m_readsAgain, false);
    m_headBytes = reply.value.size();
    takeHead(reply, now, accepted);
    const bool older = reply.version < m_headStoreVersion || m_olderAnswers > 0;
    // A reply without a newer version before the wait is over means a stale or missing value. Asking again at once
    // would be a busy loop.
    if (older || (!wasRead && now - sentAt < shortestWatch && reply.version <= m_headStoreVersion && !m_pending)) {
        m_nextWatchAt = now + m_watchBackoff.next(m_random);
    } else {
        m_watchBackoff.reset();
        m_nextWatchAt = now;
    }
    m_headStoreVersion = std::max(m_headStoreVersion, reply.version);
    if (m_olderAnswers == 0)
        m_confirmedAt = sentAt;
}

void ConfigurationWatcher::takeHead(const StoreReply& reply, MonotonicTime now, ConfigurationVersion accepted)
{
    ConfigurationHead head;
    if (reply.status == StoreStatus::Ok) {
        auto parsed = parseHead(reply.value);
        if (isError(parsed)) {
            if (reply.version > m_headStoreVersion)
                m_headError = errorOf(parsed);
            return;
        }
        head = takeValue(std::move(parsed));
    }
    if (head.version < accepted) {
        if (++m_olderAnswers == olderAnswersUntilBehind)
            m_storeBehind = head.version;
        return;
    }
    m_olderAnswers = 0;
    const bool isNews = head.version > accepted && (!m_pending || head.version > m_pending->version);
    if (!isNews)
        return;
    m_pending = std::move(head);
    m_partBackoff.reset();
    m_nextPartAt = now + Duration(static_cast<Duration::rep>(m_random.unit() * partReadSpread.count()));
}

void ConfigurationWatcher::handlePart(const StoreReply& reply, MonotonicTime now)
{
    m_partRead.reset();
    if (reply.status == StoreStatus::Ok && sha256Hex(reply.value) == m_partHash) {
        m_parts[m_partHash] = reply.value;
        m_partBackoff.reset();
        m_nextPartAt = now;
        return;
    }
    m_nextPartAt = now + m_partBackoff.next(m_random);
}

const std::string* ConfigurationWatcher::missingPart() const
{
    if (!m_pending)
        return nullptr;
    for (const auto& hash : m_pending->parts) {
        if (m_parts.count(hash) == 0)
            return &hash;
    }
    return nullptr;
}

std::optional<ConfigurationHead> ConfigurationWatcher::takeComplete()
{
    if (!m_pending || missingPart())
        return std::nullopt;
    return std::exchange(m_pending, std::nullopt);
}

std::optional<Error> ConfigurationWatcher::takeHeadError() { return std::exchange(m_headError, std::nullopt); }

std::optional<ConfigurationVersion> ConfigurationWatcher::takeStoreBehind()
{
    return std::exchange(m_storeBehind, std::nullopt);
}

} // namespace Catkinwell
