#pragma once

#include "orders/ClaimHistory.h"
#include "orders/FakeStore.h"

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/orders/ClaimManager.h>
#include <functional>
#include <map>
#include <memory>

namespace Catkinwell {

// A defect to inject, which a checker must detect.
enum class Defect {
    None,
    // Writes with an unknown result are reported as successful.
    UnknownWriteAsDone,
    // Requests are sent before their claim is confirmed.
    SendBeforeConfirmation,
    // A restarted host reuses its incarnation.
    SameIncarnation,
    // Requests with an unknown outcome are recorded as not sent.
    UnknownAsNotSent,
    // The store confirms some writes without applying them.
    LostWrites,
    // Hosts do not call tick().
    NoTicks,
};

// Runs several ClaimManagers in simulated time with an in-memory store, and injects faults of the
// store, the network and the hosts. The same seed produces the same history.
class ClaimSimulation {
public:
    ClaimSimulation(std::uint64_t seed, Defect defect);
    void run();

    const ClaimHistory& history() const { return m_history; }
    MonotonicTime now() const { return m_now; }
    std::size_t runs() const { return m_runs; }

private:
    struct Host {
        HostId id;
        Incarnation incarnation = 0;
        // Counts starts, even if the incarnation is reused.
        unsigned process = 0;
        bool isAlive = false;
        MonotonicTime pausedUntil {};
        std::unique_ptr<ClaimManager> manager;
    };

    bool chance(unsigned percent) { return m_random.below(100) < percent; }
    Duration upTo(int milliseconds) { return std::chrono::milliseconds(1 + m_random.below(milliseconds)); }
    void at(Duration delay, std::function<void()> action) { m_queue.emplace(m_now + delay, std::move(action)); }
    void start(std::size_t index);
    void crash(std::size_t index);
    std::vector<LiveHost> liveHosts() const;
    // Runs the action on the host after the delay and any pause, unless the host has stopped meanwhile.
    void onHost(std::size_t index, Duration delay, std::function<void(ClaimManager&, EffectList&)> action);
    void tickLoop(std::size_t index);
    void perform(std::size_t index, EffectList effects);
    void callStore(std::size_t index, const StoreCall& call);
    void startRequest(std::size_t index, const std::string& key, bool otherBody, bool isFinalProbe);
    void decided(std::size_t index, const ClaimDecision& decision);
    void send(std::size_t index, RequestId request);
    void addRecord(ClaimRecord::Kind kind, std::size_t index, std::uint64_t request, const std::string& key);

    RandomGenerator m_random;
    Defect m_defect;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::multimap<MonotonicTime, std::function<void()>> m_queue;
    FakeStore m_store;
    bool m_outage = false;
    bool m_faulty = true;
    std::vector<Host> m_hosts;
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, std::string> m_keys;
    std::map<std::uint64_t, bool> m_probes;
    ClaimHistory m_history;
    std::size_t m_runs = 0;
};

} // namespace Catkinwell
