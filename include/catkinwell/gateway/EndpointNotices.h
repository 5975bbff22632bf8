#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/gateway/EndpointRecord.h>
#include <catkinwell/reducer/Effect.h>
#include <map>

namespace Catkinwell {

// What endpoints state of themselves in their answers: that they leave, and that they want nothing from this host for a
// while. It holds whatever the store's list says, until another run of the endpoint begins. After a pause this host
// sends one request at a time for a while, beginning at a random moment, so that not all hosts return at once. Pure;
// not thread safe.
class EndpointNotices {
public:
    explicit EndpointNotices(std::uint64_t seed);

    // The run of the endpoint with this incarnation stated it.
    void note(const EndpointId&, std::uint64_t incarnation, const EndpointNotice&, MonotonicTime now, EffectList&);
    bool isLeaving(const EndpointId&, std::uint64_t incarnation) const;
    // Whether this host sends the endpoint nothing now.
    bool isPaused(const EndpointId&, MonotonicTime now) const;
    // Returns when the endpoint's pause ends; zero if it has none.
    MonotonicTime pauseEnd(const EndpointId&) const;
    void attemptStarted(const EndpointId&, MonotonicTime now);
    // Another run of the endpoint has begun.
    void remove(const EndpointId& id) { m_notices.erase(id); }
    void tick(MonotonicTime now);

private:
    struct Notice {
        std::uint64_t incarnation = 0;
        bool isLeaving = false;
        MonotonicTime statedAt {};
        MonotonicTime pausedUntil {};
        // When the next request may follow while requests return.
        MonotonicTime nextAttemptAt {};
    };

    Notice& noticeOf(const EndpointId&, std::uint64_t incarnation, MonotonicTime now);

    RandomGenerator m_random;
    std::map<EndpointId, Notice> m_notices;
};

} // namespace Catkinwell
