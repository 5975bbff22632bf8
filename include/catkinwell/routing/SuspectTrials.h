#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/routing/PromptQuarantine.h>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

struct SuspectTrialSettings {
    // Time after a crash for the hosts to report it, and answers to requests with the same parts, and to refuse the
    // part.
    Duration settleTime = std::chrono::milliseconds(700);
    // The hosts begin trials of a strongly suspected part one after the other, so that each hears of those before.
    Duration turnTime = std::chrono::milliseconds(200);
    std::size_t maximumTurns = 5;
    // A trial is reported for this time after its end, in which the peers hear of its outcome.
    Duration outcomeTime = std::chrono::milliseconds(300);
    // A trial of another host counts this long after it was reported last.
    Duration reportLifetime = std::chrono::seconds(3);
    std::size_t maximumReported = 32;
    std::size_t maximumWanted = 1024;
};

// Lets only one request at a time run with a part that is suspected of crashing endpoints: it shows whether the part is
// harmless before others are sent. A part that one crash accuses is tried at each host separately; a strongly suspected
// part is tried at one host of the fleet at a time. Hosts that do not hear of each other try separately. Pure; not
// thread safe.
class SuspectTrials {
public:
    explicit SuspectTrials(HostId self, SuspectTrialSettings settings = {});

    // The other live hosts.
    void setPeers(const std::set<HostId>&);
    // Whether a request with this suspicion may be sent now.
    bool mayStart(const Suspicion&, MonotonicTime now);
    // A request with suspected parts was sent, and its attempt ended.
    void started(RequestId, const Suspicion&);
    void ended(RequestId, MonotonicTime now);

    // The parts that this host tries, for its peers.
    std::vector<PromptPartHash> report(MonotonicTime now) const;
    void merge(const HostId& from, const std::vector<PromptPartHash>&, MonotonicTime now);
    // Whether a trial began, which the peers should hear of at once. Resets the flag.
    bool takeNews() { return std::exchange(m_hasNews, false); }

private:
    struct PeerTrials {
        std::set<PromptPartHash> parts;
        MonotonicTime heardAt {};
    };

    struct EndedTrial {
        PromptParts parts;
        MonotonicTime at {};
    };

    struct Wanted {
        MonotonicTime since {};
        MonotonicTime askedAt {};
    };

    bool isTried(const PromptParts&, MonotonicTime now) const;
    // Number of hosts whose turn comes before that of this host.
    std::size_t turnOf(PromptPartHash) const;
    MonotonicTime wantedSince(PromptPartHash, MonotonicTime now);

    HostId m_self;
    SuspectTrialSettings m_settings;
    std::set<HostId> m_peers;
    std::map<RequestId, PromptParts> m_own;
    std::deque<EndedTrial> m_ended;
    std::map<HostId, PeerTrials> m_ofPeers;
    // Since when requests with a strongly suspected part wait for a trial.
    std::unordered_map<PromptPartHash, Wanted> m_wanted;
    bool m_hasNews = false;
};

} // namespace Catkinwell
