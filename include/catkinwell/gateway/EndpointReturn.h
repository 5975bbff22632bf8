#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/RandomGenerator.h>
#include <map>

namespace Catkinwell {

// Limits how fast this host's requests return to endpoints whose data centre is no longer under evacuation, since they
// may have become cold without stating it. The rate of all hosts together at one endpoint doubles in steps until it is
// not limited any more. Hosts divide it without messages: each sends at random intervals of which the mean is the
// number of hosts over the rate. Pure; not thread safe.
class EndpointReturn {
public:
    explicit EndpointReturn(std::uint64_t seed);

    // How long the return is limited.
    static Duration limitedTime();
    void setHosts(std::size_t count) { m_hosts = count > 0 ? count : 1; }
    // Whether this host may send a request to the endpoint now, of which the evacuation ended at the given time.
    bool isAvailable(const EndpointId&, MonotonicTime endedAt, MonotonicTime now);
    void attemptStarted(const EndpointId&, MonotonicTime endedAt, MonotonicTime now);
    void tick(MonotonicTime now);

private:
    struct Turn {
        MonotonicTime endedAt {};
        // When this host last sent a request, or the evacuation ended.
        MonotonicTime lastAt {};
        // The time until its next one, as a multiple of the mean interval.
        double share = 0;
    };

    Turn& turnOf(const EndpointId&, MonotonicTime endedAt);

    RandomGenerator m_random;
    std::size_t m_hosts = 1;
    // One for each endpoint that returns.
    std::map<EndpointId, Turn> m_turns;
};

} // namespace Catkinwell
