#include <catkinwell/gateway/EndpointListCheck.h>

namespace Catkinwell {

namespace {

    constexpr Duration callTimeout = std::chrono::milliseconds(250);
    // The call returns what the store has now.
    constexpr Duration watchTime = std::chrono::milliseconds(1);

} // namespace

EndpointListCheck::EndpointListCheck(std::string prefix)
    : m_prefix(std::move(prefix))
{
}

bool EndpointListCheck::start(const PrefixMirror& mirror, MonotonicTime now, EffectList& effects)
{
    if (!mirror.isCurrent())
        return false;
    m_call = m_callIds.next();
    m_startedAt = now;
    effects.push_back(StoreCall { m_call, StoreWatchPrefix { m_prefix, mirror.version(), watchTime }, callTimeout });
    return true;
}

std::optional<EndpointListCheck::Result> EndpointListCheck::handle(const StoreReply& reply, PrefixMirror& mirror)
{
    if (isFree() || reply.id != m_call)
        return std::nullopt;
    m_call = StoreCallId();
    Result result { Outcome::Unavailable, m_startedAt, {} };
    if (reply.status != StoreStatus::Ok || reply.isWholeList || !mirror.isCurrent())
        return result;
    result.outcome = Outcome::UpToDate;
    result.changes = mirror.merge(reply.entries, reply.version);
    return result;
}

} // namespace Catkinwell
