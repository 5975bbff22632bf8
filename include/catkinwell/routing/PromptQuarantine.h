#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/routing/AnsweredParts.h>
#include <catkinwell/routing/CrashQuarantine.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Catkinwell {

// Hash of one part of a prompt. Equal parts of different requests have equal hashes.
using PromptPartHash = std::uint64_t;
using PromptParts = std::set<PromptPartHash>;

// Identifies a refusal in the fleet: the hash of the parts with which it began.
using PromptRefusalId = std::uint64_t;

// Requests that hold all of these parts are refused. Answers to requests with some of the parts reduce them.
struct PromptRefusal {
    PromptRefusalId id = 0;
    PromptParts parts;
    Duration age {};
};

// A request that ran when its endpoint broke the connection.
struct BrokenRequest {
    RequestFingerprint fingerprint = 0;
    PromptParts parts;
    // How many requests with this fingerprint ran there.
    std::uint32_t runs = 1;
    // Events of the answer that had arrived.
    std::uint32_t events = 0;
    // How long the earliest of them had run, if that is known, and whether the endpoint had answered one.
    std::optional<Duration> ranFor {};
    bool wasAnswered = false;
};

// What speaks against the parts of one request.
struct Suspicion {
    // The parts that ran at an endpoint when it crashed and were not answered since. One crash accuses only parts that
    // were not answered before either.
    PromptParts parts;
    // Those that ran in several crashes, or in several requests of one crash.
    PromptParts strongParts;
    MonotonicTime latestCrash {};

    bool isStrong() const { return !strongParts.empty(); }
};

// The requests that one endpoint broke off at about the same time, as one host saw them.
struct PromptCrashReport {
    // Hash of the endpoint's identifier.
    std::uint64_t endpoint = 0;
    Duration age {};
    std::vector<BrokenRequest> requests;
};

// A supposed crash of an endpoint that did not happen.
struct SurvivedCrash {
    // Hash of the endpoint's identifier.
    std::uint64_t endpoint = 0;
    Duration age {};
};

// A suspected or refused part, and when a request with it was last answered.
struct AnsweredPart {
    PromptPartHash part = 0;
    Duration age {};
};

// What a host tells its peers.
struct PromptQuarantineDigest {
    std::vector<PromptCrashReport> crashes;
    std::vector<AnsweredPart> answered;
    std::vector<PromptRefusal> refused;
    // Suspected parts that the host tries (SuspectTrials).
    std::vector<PromptPartHash> trials {};
    // Endpoints that other hosts report to have crashed and that go on answering this host.
    std::vector<SurvivedCrash> survived {};

    bool isEmpty() const
    {
        return crashes.empty() && answered.empty() && refused.empty() && trials.empty() && survived.empty();
    }
};

struct PromptQuarantineSettings {
    // A crash, and a refusal without proof of the contrary, is forgotten after this time.
    Duration lifetime = std::chrono::minutes(10);
    // Connections that one endpoint breaks within this time belong to one crash.
    Duration sameCrashTime = std::chrono::seconds(2);
    // An endpoint that crashed and does not answer is taken to be down for this time.
    Duration downTime = std::chrono::seconds(10);
    // Crashes of several endpoints within this time count once, since they are likely to have one external cause.
    Duration sameCauseTime = std::chrono::milliseconds(300);
    // The same for crashes under one request, which is unlikely to run at several endpoints.
    Duration sameCauseTimeOfOneRequest = std::chrono::milliseconds(50);
    // Time for the hosts to report answers to requests with a suspected part, before it is refused.
    Duration settleTime = std::chrono::milliseconds(500);
    // How long a host repeats its reports of a crash or an answer.
    Duration reportTime = std::chrono::seconds(3);
    // Time for a host to notice that its own links broke, before it reports a crash.
    Duration reportDelay = std::chrono::milliseconds(150);
    // An endpoint that answers on an old connection this long after a crash has not crashed.
    Duration survivalTime = std::chrono::milliseconds(100);
    // An endpoint that ends within this time after a withdrawn crash has crashed.
    Duration withdrawalTime = std::chrono::seconds(10);
    std::size_t maximumCrashes = 128;
    std::size_t maximumRequestsPerCrash = 64;
    std::size_t maximumRefusals = 64;
    std::size_t maximumAnswered = 1024;
    // Maximum number of crashes, and of refusals, in one digest.
    std::size_t maximumReported = 8;
    std::size_t maximumReportedAnswers = 64;
};

// Identifies parts of prompts that crash every endpoint that answers on them, whatever else the request holds, and
// single requests that do so: the fingerprint of a request counts as one more part of it. The parts of a request that
// an endpoint broke off are suspected, also if the answer had begun; a complete answer to any request with a part
// clears the part. A part is refused once several crashes speak against it, without an answer in between and while
// other requests are answered. Parts that no evidence tells apart are refused only together, so that requests with some
// of them can still prove these harmless. If all crashes happened under one request, its fingerprint is among them.
//
// Hosts share crashes, answers and refusals in digests, so that the crash of one endpoint counts once in the fleet.
// Pure; not thread safe.
class PromptQuarantine {
public:
    explicit PromptQuarantine(PromptQuarantineSettings settings = {});

    // The endpoint broke the connection of a request before its answer was complete. An endpoint that is down accuses
    // no request that was sent to it meanwhile.
    void attemptBroken(const EndpointId&, const BrokenRequest&, MonotonicTime now);
    // An endpoint survived answering a request with these parts, which may be none. They include its fingerprint.
    void answered(const PromptParts&, MonotonicTime now);
    // An endpoint completed, with this number of events, an answer that another one had begun. A request that crashes
    // endpoints after some events may be complete before it does so again.
    void answeredRest(const PromptParts&, std::uint32_t events, MonotonicTime now);
    // Reports no crash before this time, because this host's own links may have broken.
    void holdReports(MonotonicTime until) { m_reportsHeldUntil = until; }
    // This host's own links were broken from this time on, so that what broke since was no crash, unless it turns out
    // that the endpoint ended. Returns whether something was withdrawn.
    bool withdraw(MonotonicTime since);
    // The endpoint is gone, or started anew.
    void endpointEnded(const EndpointId&, MonotonicTime now);
    // The endpoint sent data on a connection that was open at the earlier time. Returns whether it was thought to have
    // crashed since.
    bool endpointAnswered(const EndpointId&, MonotonicTime connectedAt, MonotonicTime now);
    // Refuses the parts against which there is enough evidence, and forgets what has expired.
    void tick(MonotonicTime now);

    bool isRefused(const PromptParts&, MonotonicTime now) const;
    // Returns a refusal that concerns the parts, also one that has expired; nullopt if there is none.
    std::optional<PromptRefusalId> refusalOf(const PromptParts&) const;
    // Whether one more crash would suffice to refuse a part, so that a broken request should not be repeated.
    bool isSuspicious(const PromptParts&) const;
    Suspicion suspicionOf(const PromptParts&, MonotonicTime now) const;
    // Returns the refusals that began, or lost parts, since the last call. One without parts has ended: all its parts
    // were answered.
    std::vector<PromptRefusal> takeChanges(MonotonicTime now);
    // Returns the suspected or refused parts that were answered since the last call.
    std::vector<PromptPartHash> takeCleared() { return std::exchange(m_cleared, {}); }

    // Returns what the peers have to know. Successive calls cycle through the refusals.
    PromptQuarantineDigest nextDigest(MonotonicTime now);
    // Whether something should be reported without delay. Resets the flag.
    bool takeNews(MonotonicTime now);
    void merge(const PromptQuarantineDigest&, MonotonicTime now);
    // Adopts a refusal of another host, or of this one before a restart.
    void adopt(const PromptRefusal&, MonotonicTime now);
    // Ends the refusal on behalf of an operator. Returns false if there is none with this identifier.
    bool release(PromptRefusalId, MonotonicTime now);

    // All refusals, in the order of their identifiers.
    std::vector<PromptRefusal> refusals(MonotonicTime now) const;
    std::vector<PromptRefusalId> refusalIds() const;

private:
    // A request that ran at a crashed endpoint.
    struct Involved {
        PromptParts parts;
        // How many of its runs this host had sent, and the most that one other host reports.
        std::uint32_t ownRuns = 0;
        std::uint32_t peerRuns = 0;
        // The most events that a run had sent.
        std::uint32_t events = 0;
        // When the earliest run began, and whether the endpoint had answered one.
        MonotonicTime startedAt = MonotonicTime::max();
        bool wasAnswered = false;
    };

    struct Crash {
        std::uint64_t endpoint = 0;
        MonotonicTime at {};
        // Whether the endpoint has answered this host since.
        bool isBack = false;
        std::map<RequestFingerprint, Involved> requests;
    };

    struct Answer {
        MonotonicTime at {};
        bool wasSeenHere = false;
    };

    struct Survival {
        MonotonicTime crashAt {};
        bool wasSeenHere = false;
    };

    struct Refusal {
        PromptParts parts;
        MonotonicTime at {};
    };

    // The crashes of a part's requests that speak against it: all, or those that no refusal without it accounts for.
    enum class CrashesThatCount {
        All,
        NotExplained,
    };

    // What speaks against a part.
    struct Evidence {
        unsigned crashes = 0;
        // Runs of requests with the part that ended in these crashes.
        std::uint32_t runs = 0;
        // The events that these requests had sent before. One that crashes its endpoint sends few.
        std::uint64_t events = 0;
        MonotonicTime first {};
        MonotonicTime latest {};
        std::set<RequestFingerprint> requests;
        // The parts that all of these requests have in common.
        PromptParts commonParts;
        // Whether a refused request ran in each of the crashes.
        bool isAccountedFor = true;
    };

    void expire(MonotonicTime now);
    void review(MonotonicTime now);
    Crash& crashOf(std::uint64_t endpoint, MonotonicTime at);
    Crash& addCrash(Crash);
    // Returns the crash in which a request broke that began at this time; nullptr if the endpoint was down already.
    Crash* crashUnder(std::uint64_t endpoint, const BrokenRequest&, MonotonicTime now);
    void noteEndpointIsBack(std::uint64_t endpoint, MonotonicTime connectedAt);
    Involved* involve(Crash&, const BrokenRequest&);
    static void dropLaterRequests(Crash&);
    static BrokenRequest reportOf(const Crash&, RequestFingerprint, const Involved&);
    void noteAnswer(PromptPartHash, MonotonicTime at, bool wasSeenHere);
    void reduceRefusals(PromptPartHash, MonotonicTime answeredAt);
    // Whether the part ran in a crash, answered since or not.
    bool isSuspected(PromptPartHash part) const { return m_accusedParts.contains(part); }
    void updateAccusedParts();
    void noteSurvival(std::uint64_t endpoint, MonotonicTime crashAt, bool wasSeenHere);
    bool wasAnsweredSince(PromptPartHash, MonotonicTime) const;
    bool isInRefusal(PromptPartHash) const;
    // Returns the most events after which an endpoint crashed under a request with the part; nullopt if none did.
    std::optional<std::uint32_t> eventsBeforeCrash(PromptPartHash) const;
    bool isExplained(const Crash&, PromptPartHash) const;
    bool isAccountedFor(const Crash&) const;
    PromptParts partsOfSeveralCrashes() const;
    Evidence evidenceAgainst(PromptPartHash, CrashesThatCount = CrashesThatCount::NotExplained) const;
    bool isConclusive(const Evidence&, MonotonicTime now) const;
    static bool isStronger(const Evidence&, const Evidence&);
    PromptParts suspectedPartsOf(const Evidence&) const;
    void refuse(PromptParts, MonotonicTime now);

    PromptQuarantineSettings m_settings;
    // In the order of their times.
    std::deque<Crash> m_crashes;
    // The latest answers on parts that were suspected or refused.
    std::unordered_map<PromptPartHash, Answer> m_answers;
    std::map<PromptRefusalId, Refusal> m_refusals;
    std::set<PromptRefusalId> m_changed;
    std::vector<PromptPartHash> m_cleared;
    // All parts of the requests in m_crashes.
    std::unordered_set<PromptPartHash> m_accusedParts;
    AnsweredParts m_answeredParts;
    PromptRefusalId m_lastReported = 0;
    // The times of the latest answers to any requests, as many as show that the endpoints work.
    std::deque<MonotonicTime> m_answerTimes;
    MonotonicTime m_nextReviewAt {};
    // Crashes that did not happen, by endpoint, with their times.
    std::map<std::uint64_t, Survival> m_survived;
    bool m_hasNews = false;
    // Crashes that this host saw and withdrew.
    std::deque<Crash> m_withdrawn;
    MonotonicTime m_reportsHeldUntil {};
    // When the latest crash that this host saw may be reported.
    std::optional<MonotonicTime> m_crashNewsAt;
};

} // namespace Catkinwell
