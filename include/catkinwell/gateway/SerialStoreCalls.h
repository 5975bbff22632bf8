#pragma once

#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/StoreCallIds.h>

namespace Catkinwell {

// The store calls of one module, of which one runs at a time and which are spaced, so that a mirror shows the effect of
// each before the next. Pure; not thread safe.
class SerialStoreCalls {
public:
    // Precondition: no other object uses this store user.
    SerialStoreCalls(StoreUser user, Duration timeout, Duration interval)
        : m_ids(user)
        , m_timeout(timeout)
        , m_interval(interval)
    {
    }

    // Whether a call may be started now.
    bool isFree(MonotonicTime now) const { return m_pending.value == 0 && now >= m_nextAt; }
    // Precondition: isFree().
    void start(StoreOperation operation, MonotonicTime now, EffectList& effects)
    {
        m_pending = m_ids.next();
        m_nextAt = now + m_interval;
        effects.push_back(StoreCall { m_pending, std::move(operation), m_timeout });
    }
    // Whether the reply is that of the running call, which thereby ends.
    bool take(const StoreReply& reply)
    {
        if (reply.id != m_pending || m_pending.value == 0)
            return false;
        m_pending = StoreCallId();
        return true;
    }
    // Ignores the reply of the running call and starts none before this time.
    void postpone(MonotonicTime until)
    {
        m_pending = StoreCallId();
        m_nextAt = until;
    }
    void setInterval(Duration interval) { m_interval = interval; }

private:
    StoreCallIds m_ids;
    Duration m_timeout;
    Duration m_interval;
    StoreCallId m_pending;
    MonotonicTime m_nextAt {};
};

} // namespace Catkinwell
