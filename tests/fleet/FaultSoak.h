#pragma once

#include "fleet/FaultChecks.h"
#include <catkinwell/core/RandomGenerator.h>
#include <set>

namespace Catkinwell::Testing {

// The faults, violations and request counts of one run.
struct SoakReport {
    // The faults in the order of their injection, for the analysis of a failure.
    std::vector<std::string> faults;
    std::vector<std::string> broken;
    std::size_t requests = 0;
    std::size_t served = 0;
};

// Injects random faults into a fleet under load from outside its processes: signals, restarts, changed settings and
// configurations, links that are reset, slow, or silent in one or both directions, a store that is down, slow, loses
// answers or is restored from a copy, endpoints that leave, return and fail requests, hosts that lose their path to all
// endpoints, requests that end endpoints, brittle endpoints, and endpoints that ask for a pause, say that they leave,
// or fall silent for a time. In between comes planned work: hosts that stop one after the other while the configuration
// and the settings change in quick succession. Some callers keep their connections until they are closed. Some runs
// have more: callers on slow links, callers that use their connections until the process is gone, or stops of one host
// after the other beside endpoints that fall silent and changes. Faults follow at random intervals and overlap; all are
// undone before the load ends. The seed determines the faults and the delays between them, and what a run has more.
class FaultSoak {
public:
    explicit FaultSoak(std::uint64_t seed);

    SoakReport run(std::chrono::milliseconds duration);

private:
    struct Fault;

    void injectOne();
    void undoDue(bool isAll);
    void later(std::chrono::milliseconds, std::function<void()>);
    void killHost();
    void stopHost();
    void freezeHost();
    void changeSettings();
    void changeConfiguration();
    void disturbStore();
    void restoreStore();
    void disturbLink();
    void disturbEndpoint();
    void losePath();
    void sendDeadlyRequest();
    void makeBrittle();
    void askForPause();
    void announceLeaving();
    // Planned work and silences follow at intervals of their own, so that they leave the series of the faults
    // unchanged.
    void plannedWork();
    void silenceEndpoint(RandomGenerator&);
    void changeInSuccession(RandomGenerator&);
    void stopTwoHosts();
    void stopNext(std::size_t host, std::size_t left);
    void reload(std::size_t host, RandomGenerator&);
    // Starts the host, which may get signals from then on.
    void startAgain(std::size_t host);
    // Begins a planned stop and has the host start again. Precondition: the host is not in m_disturbed.
    void stop(std::size_t host);
    // The same, but the host starts as soon as it has ended, and then the function is called.
    void stopBriefly(std::size_t host, std::function<void()> whenStarted);
    std::function<void()> beginStop(std::size_t host);
    void endStop(std::size_t host, const std::function<void()>& calm);
    void awaitEnd(std::size_t host, MonotonicTime latest, std::function<void()> whenEnded);
    // Begins a disturbance of the host, or of all, and returns what ends it. To be called before the fault itself, as
    // callers may see its effect at once.
    std::function<void()> disturb(std::optional<std::size_t> host, DisturbanceCause = DisturbanceCause::Fault);
    void note(const std::string&);
    void countRequests();
    // The second list holds the requests of callers on slow links and of those that stay until a process is gone.
    void check(const std::vector<CallerRequest>& usual, const std::vector<CallerRequest>& stubborn);

    std::uint64_t m_seed;
    RandomGenerator m_random;
    // Chooses the planned work and the silences.
    RandomGenerator m_plannedRandom;
    // Chooses what a run has more, and the series of stops.
    RandomGenerator m_worldRandom;
    GatewayFleet m_fleet;
    std::chrono::steady_clock::time_point m_startedAt;
    std::vector<std::pair<std::chrono::steady_clock::time_point, std::function<void()>>> m_undo;
    // Hosts that are killed, stopping or frozen.
    std::set<std::size_t> m_disturbed;
    DisturbanceLog m_disturbances;
    std::vector<PlannedStop> m_stops;
    std::vector<PathLoss> m_pathLosses;
    // Times in which answers of endpoints did not reach hosts, or reached another one.
    std::vector<PathLoss> m_lostNotices;
    std::vector<BrittleTime> m_brittleTimes;
    std::vector<RequestAccounts> m_accounts;
    bool m_areBrittle = false;
    // A series of stops is under way, or the load ends and no further stop begins.
    bool m_isInSeries = false;
    bool m_isEnding = false;
    std::vector<std::unique_ptr<RepeatingCaller>> m_deadlyCallers;
    std::uint64_t m_version = 1;
    SoakReport m_report;
};

} // namespace Catkinwell::Testing
