#pragma once

#include <catkinwell/logging/EventLog.h>
#include <catkinwell/loop/EventLoop.h>
#include <catkinwell/reducer/Event.h>
#include <cstdint>
#include <deque>
#include <functional>

namespace Catkinwell {

// Passes the events of the adapters to a reducer one at a time, in the order in which they were posted, and posts a
// Tick at a fixed interval. Not thread safe.
template <typename EventType> class ReducerLoop {
public:
    // Applies one event and carries out its effects. It may post further events, which are queued.
    using Handler = std::function<void(const EventType&)>;

    // The referenced objects must outlive this one.
    ReducerLoop(EventLoop& loop, const Clock& clock, EventLog& log, Handler handler)
        : m_loop(loop)
        , m_clock(clock)
        , m_log(log)
        , m_handler(std::move(handler))
        , m_lastTick(clock.monotonicNow())
    {
    }

    void startTicks()
    {
        m_loop.callEvery(tickInterval, [this] { tick(); });
    }

    void post(EventType event)
    {
        m_events.push_back(std::move(event));
        if (m_isDispatching)
            return;
        m_isDispatching = true;
        while (!m_events.empty()) {
            const EventType next = std::move(m_events.front());
            m_events.pop_front();
            m_handler(next);
        }
        m_isDispatching = false;
    }

    // Posts a Tick now, and logs LoopStalled if the last one was longer ago than the threshold.
    void tick()
    {
        const MonotonicTime now = m_clock.monotonicNow();
        if (now - m_lastTick > stallThreshold) {
            m_log.write(
                { LogEvent::LoopStalled, { { "milliseconds", std::to_string(millisecondsOf(now - m_lastTick)) } } });
        }
        m_lastTick = now;
        if (m_isStopping)
            return;
        post(Tick { m_clock.wallNow() });
    }

    // Posts no further ticks, and stops the loop when nothing that the function counts is left or the time has passed.
    // Until then other events are handled, so that the reducer can refuse the requests that arrive last.
    void stop(std::function<std::size_t()> countUnfinished, Duration longestTime)
    {
        m_isStopping = true;
        stopWhenIdle(std::move(countUnfinished), m_clock.monotonicNow() + longestTime);
    }

private:
    static constexpr Duration tickInterval = std::chrono::milliseconds(20);
    static constexpr Duration stallThreshold = std::chrono::milliseconds(500);
    static constexpr Duration idleCheckInterval = std::chrono::milliseconds(20);

    void stopWhenIdle(std::function<std::size_t()> countUnfinished, MonotonicTime deadline)
    {
        if (countUnfinished() == 0 || m_clock.monotonicNow() >= deadline) {
            m_loop.stop();
            return;
        }
        m_loop.callLater(
            idleCheckInterval, [this, countUnfinished, deadline] { stopWhenIdle(countUnfinished, deadline); });
    }

    EventLoop& m_loop;
    const Clock& m_clock;
    EventLog& m_log;
    Handler m_handler;
    std::deque<EventType> m_events;
    bool m_isDispatching = false;
    bool m_isStopping = false;
    MonotonicTime m_lastTick;
};

// Returns the wall time in milliseconds, which differs between two runs of one host, and is larger in the later run
// unless the wall clock was set back between them.
inline Incarnation newIncarnation(const Clock& clock)
{
    return static_cast<Incarnation>(millisecondsOf(clock.wallNow().time_since_epoch()));
}

} // namespace Catkinwell
