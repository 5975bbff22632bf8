#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <cstdint>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Catkinwell {

// Hash of the account, model and normalised body of a request.
using RequestFingerprint = std::uint64_t;

struct CrashQuarantineSettings {
    // A suspicion expires after this time without a further crash or report.
    Duration suspicionLifetime = std::chrono::hours(1);
    // An attempt that failed at most this long before the death of its endpoint was detected counts as part of the
    // crash.
    Duration failureWindow = std::chrono::seconds(5);
    std::size_t maximumFingerprints = 4096;
    std::size_t maximumCrashes = 512;
    // Maximum number of fingerprints in one digest to peers.
    std::size_t maximumDigestSize = 16;
};

// Identifies requests that crash the endpoints that run them. When an endpoint dies, all requests that run on
// it become suspects. A suspect that later runs without a crash is cleared. A fingerprint is refused after
// 2 crashes if all other participants in one of them were cleared, and after 3 crashes in any case.
//
// Crashes reported by other hosts count as well. Hosts that learn of each crash before the next one allow at
// most 3 crashes altogether; hosts that cannot reach each other allow 3 crashes each. Not thread safe.
class CrashQuarantine {
public:
    explicit CrashQuarantine(CrashQuarantineSettings settings = {});

    void attemptStarted(const EndpointId&, RequestFingerprint);
    // Must be called at most once per started attempt. clean tells whether the answer was complete.
    void attemptEnded(const EndpointId&, RequestFingerprint, bool clean, MonotonicTime now);
    // Removes a started attempt that was never sent; it neither incriminates nor clears the fingerprint.
    void attemptNotSent(const EndpointId&, RequestFingerprint);
    // Counts a crash for every fingerprint that runs on the endpoint or failed there within the failure window.
    // The attempts running there end; a later attemptEnded() for one of them is ignored.
    void endpointDied(const EndpointId&, MonotonicTime now);

    bool isRefused(RequestFingerprint, MonotonicTime now) const;
    // Returns the fingerprints that became refused since the last call, for the log.
    std::vector<RequestFingerprint> takeNewlyRefused() { return std::exchange(m_newlyRefused, {}); }
    // Clears the fingerprint on behalf of an operator, including the crashes reported by other hosts. Peers clear it
    // when they receive the next digest that contains it.
    void release(RequestFingerprint);

    // Returns fingerprints with the number of crashes that this host has seen, for
    // MembershipDigest::suspectFingerprints. A count of 0 means that the fingerprint was cleared. Successive calls
    // cycle through all fingerprints.
    std::vector<std::pair<RequestFingerprint, std::uint32_t>> nextDigest(MonotonicTime now);
    // Replaces the previous reports of the peer about these fingerprints.
    void merge(const HostId& from, const std::vector<std::pair<RequestFingerprint, std::uint32_t>>& suspects,
        MonotonicTime now);

    // The refused fingerprints with their number of crashes, in no particular order.
    std::vector<std::pair<RequestFingerprint, std::uint32_t>> refused() const;

    std::size_t size() const { return m_suspects.size(); }

private:
    struct Suspect {
        std::uint32_t crashes = 0;
        // Crashes reported by a peer, and how many of them were reported before the fingerprint was cleared and
        // no longer count.
        struct PeerCount {
            std::uint32_t reported = 0;
            std::uint32_t cleared = 0;
        };
        std::unordered_map<HostId, PeerCount> peers;
        // Set if all other participants in one of its crashes were cleared, or there were none.
        bool isSoleSuspect = false;
        bool wasRefused = false;
        // Set if it ran without a crash on this host or was released by an operator. Peers are informed.
        bool wasClearedHere = false;
        MonotonicTime suspectedAt {};
    };

    struct Crash {
        // Participants that have not been cleared.
        std::set<RequestFingerprint> unclearedParticipants;
        MonotonicTime at {};
    };

    struct Failure {
        RequestFingerprint fingerprint = 0;
        MonotonicTime at {};
    };

    static std::uint32_t crashesOf(const Suspect&);
    static bool isRefused(const Suspect&);
    Suspect& addSuspect(RequestFingerprint, MonotonicTime now);
    void clear(RequestFingerprint, bool observedHere, MonotonicTime now);
    void noteIfRefused(RequestFingerprint);
    void expire(MonotonicTime now);

    CrashQuarantineSettings m_settings;
    std::unordered_map<EndpointId, std::multiset<RequestFingerprint>> m_running;
    std::unordered_map<EndpointId, std::deque<Failure>> m_failures;
    std::unordered_map<RequestFingerprint, Suspect> m_suspects;
    std::deque<Crash> m_crashes;
    std::vector<RequestFingerprint> m_newlyRefused;
    RequestFingerprint m_lastShared = 0;
};

} // namespace Catkinwell
