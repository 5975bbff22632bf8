#pragma once

#include "fleet/CallerLoad.h"
#include <optional>
#include <set>

namespace Catkinwell::Testing {

// The platform's time for hosts to react to a change. A promise with a bound in time holds for hosts that nothing has
// disturbed for this long.
constexpr Duration reactionTime = std::chrono::seconds(3);

enum class DisturbanceCause {
    Fault,
    PlannedWork,
};

// When faults were injected into hosts, their links or the store, so that checks leave out what a host could not know.
// Thread safe if each thread calls only const functions.
class DisturbanceLog {
public:
    // A fault begins at a host, or at all of them. It goes on until end() is called with the returned number.
    std::size_t begin(std::optional<std::size_t> host, MonotonicTime, DisturbanceCause = DisturbanceCause::Fault);
    void end(std::size_t disturbance, MonotonicTime);

    // Whether no fault was in force at the host within the reaction time before this moment, or before the first of
    // two and until the second.
    bool isCalm(std::size_t host, MonotonicTime at) const { return isCalm(host, at, at); }
    bool isCalm(std::size_t host, MonotonicTime from, MonotonicTime until) const;
    DisturbanceLog withoutPlannedWork() const;

private:
    struct Disturbance {
        std::optional<std::size_t> host;
        MonotonicTime from {};
        std::optional<MonotonicTime> until;
        DisturbanceCause cause = DisturbanceCause::Fault;
    };

    std::vector<Disturbance> m_disturbances;
};

// A time in which hosts could reach no endpoint.
struct PathLoss {
    std::set<std::size_t> hosts;
    MonotonicTime from {};
    MonotonicTime until {};
};

// A planned stop of a host.
struct PlannedStop {
    std::size_t host = 0;
    // When it was sent SIGTERM.
    MonotonicTime at {};
};

// A time in which endpoints were brittle.
struct BrittleTime {
    MonotonicTime from {};
    MonotonicTime until {};
    std::size_t endpoints = 0;
};

// Returns a line if callers of hosts without a path to endpoints were served less than two thirds as often as those of
// other hosts, and more than 10 and one in 50 of all first attempts failed there. Only calm hosts are judged.
std::vector<std::string> findUnservedCallers(
    const std::vector<CallerRequest>&, const std::vector<PathLoss>&, const DisturbanceLog&);

// Returns a line for each request that calm hosts sent to endpoints more than three times later than the reaction time
// after it had ended the third of them. Requests are compared by their paths.
std::vector<std::string> findRepeatedCrashes(
    const std::vector<CallerRequest>&, const EndpointHistory&, const DisturbanceLog&);

// Returns a line for each time of brittle endpoints in which more than 2 and a tenth of them fell over because of
// requests that mostly came from calm hosts.
std::vector<std::string> findFalls(
    const std::vector<CallerRequest>&, const EndpointHistory&, const std::vector<BrittleTime>&, const DisturbanceLog&);

// Returns a line for each endpoint that got more than two requests of a calm host from half a second after it had asked
// this host for a pause until the end of the pause, and for each that got a request which a caller had sent to a calm
// host later than two seconds after the endpoint had told this host that it leaves. Times of lost paths are not
// judged: requests may be relayed then, and notices lost.
std::vector<std::string> findUnwantedRequests(
    const std::vector<CallerRequest>&, const EndpointHistory&, const std::vector<PathLoss>&, const DisturbanceLog&);

// Returns a line for each host at which not exactly as many requests ended as were read whole. Precondition: no caller
// waited any more when the counts were taken.
std::vector<std::string> findOpenRequests(const std::vector<RequestAccounts>&);

// Returns a line for each request that got no answer at all from a host that was calm as long as its caller waited. Not
// judged: requests that the host need not have read.
std::vector<std::string> findUnansweredRequests(
    const std::vector<CallerRequest>&, Duration patience, const DisturbanceLog&);

// Returns a line for each request that was written whole to a host, reached an endpoint, and ended with a closed
// connection and without a complete answer, also if the host need not have read it. Hosts that nothing but planned work
// has disturbed are judged: a planned stop, changes of the configuration and of the settings. Not counted: the endpoint
// broke off, its links were disturbed, the time limit was reached, or the endpoint was still at work in the last sixth
// of the grace time of a stop on a request that was sent no later than 3 s after the SIGTERM.
std::vector<std::string> findLostRequests(const std::vector<CallerRequest>&, const EndpointHistory&,
    const std::vector<PlannedStop>&, const std::vector<PathLoss>&, const DisturbanceLog& unplanned);

} // namespace Catkinwell::Testing
