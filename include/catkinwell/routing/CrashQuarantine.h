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

// The hash of account, model and normalised body of a request.
using RequestFingerprint = std::uint64_t;

struct CrashQuarantineSettings {
    // Charges are forgotten after this time without another one.
    Duration memory = std::chrono::hours(1);
    // An attempt that failed this long before its endpoint was found dead took part in the crash.
    Duration failureWindow = std::chrono::seconds(5);
    std::size_t maximumFingerprints = 4096;
    std::size_t maximumCrashes = 512;
    // Fingerprints in one digest to peers.
    std::size_t maximumShared = 16;
};

// Finds requests that crash the endpoints that run them. Every request that runs on an endpoint when it dies
// is charged; one that later runs without a crash is cleared. A fingerprint is refused
// after 2 crashes if all others in one of them were cleared, and after 3 crashes in any case.
//
// Crashes seen by other hosts count as well. Of n hosts that learn of each crash before the next one, at most
// 3 crashes happen in all; hosts that cannot reach each other allow 3 crashes each. Not thread safe.
class CrashQuarantine {
public:
    explicit CrashQuarantine(CrashQuarantineSettings settings = {});

    void attemptStarted(const EndpointId&, RequestFingerprint);
    // Precondition: a started attempt of the fingerprint on the endpoint has not ended. clean: the answer was complete.
    void attemptEnded(const EndpointId&, RequestFingerprint, bool clean, MonotonicTime now);
    // The started attempt never left this host, so it tells nothing.
    void attemptNotSent(const EndpointId&, RequestFingerprint);
    // Charges every fingerprint that runs on the endpoint or failed there within the failure window.
    // The attempts that run there count as ended; a later attemptEnded() for one of them is ignored.
    void endpointDied(const EndpointId&, MonotonicTime now);

    bool isRefused(RequestFingerprint, MonotonicTime now) const;
    // Fingerprints that became refused since the last call, for the log.
    std::vector<RequestFingerprint> takeNewlyRefused() { return std::exchange(m_newlyRefused, {}); }
    // Forgets the charges of all hosts, for an operator. Peers that know of a charge of this host, or of any
    // charge at all, follow with the next digest.
    void release(RequestFingerprint);

    // Fingerprints with the number of crashes that this host has seen, for MembershipDigest::suspectFingerprints.
    // A count of 0 says that the fingerprint was cleared. Successive calls go round all of them.
    std::vector<std::pair<RequestFingerprint, std::uint32_t>> shareWithPeers(MonotonicTime now);
    // Replaces what the peer said before about these fingerprints.
    void merge(const HostId& from, const std::vector<std::pair<RequestFingerprint, std::uint32_t>>& suspects,
        MonotonicTime now);

    // The refused fingerprints with their crashes, in no particular order.
    std::vector<std::pair<RequestFingerprint, std::uint32_t>> refused() const;

    std::size_t size() const { return m_suspects.size(); }

private:
    struct Suspect {
        std::uint32_t crashes = 0;
        // By host; what a host said before it was cleared here does not count again.
        struct PeerCount {
            std::uint32_t said = 0;
            std::uint32_t cleared = 0;
        };
        std::unordered_map<HostId, PeerCount> peers;
        // A crash is on record for which no other participant is left.
        bool wasAlone = false;
        bool wasRefused = false;
        // It ran without a crash on this host, and peers are told so.
        bool wasClearedHere = false;
        MonotonicTime chargedAt {};
    };

    struct Crash {
        // Participants that were not cleared.
        std::set<RequestFingerprint> open;
        MonotonicTime at {};
    };

    struct Failure {
        RequestFingerprint fingerprint = 0;
        MonotonicTime at {};
    };

    static std::uint32_t crashesOf(const Suspect&);
    static bool isRefused(const Suspect&);
    Suspect& charge(RequestFingerprint, MonotonicTime now);
    void clear(RequestFingerprint, bool isOwnFinding, MonotonicTime now);
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
