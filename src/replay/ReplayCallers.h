#pragma once

#include "replay/ReplayLoad.h"
#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/replay/ReplayEngine.h>
#include <catkinwell/replay/ReplayReport.h>

namespace Catkinwell {

// The simulated callers of a replay: what they request, when they retry after a refusal, and the outcomes of their
// requests. Not thread safe.
class ReplayCallers {
public:
    // A retry of a refused request. It has a new request identifier.
    struct Retry {
        RequestId id;
        Duration after {};
    };

    // Precondition: the settings and the load outlive this object.
    ReplayCallers(const ReplaySettings&, const ReplayLoad&, MonotonicTime start);

    RequestId ask(const LoadRequest&, MonotonicTime now);
    // Precondition of the following three functions: the request is open.
    std::size_t hostOf(const RequestId& id) const { return m_callers.at(id).host; }
    RequestArrived message(const RequestId&, MonotonicTime now) const;
    EngineJob job(const RequestId&) const;

    // Compares the host's decision on the account's limit with that of an ideal limiter that sees the requests at all
    // hosts without delay.
    void noteLimit(const RequestId&, bool isRefusedForLimit, MonotonicTime now);
    void noteFirstPiece(const RequestId&, MonotonicTime now);
    // Handles the complete answer of a gateway. Returns the retry if the caller retries.
    std::optional<Retry> answer(const RequestId&, int status, const HeaderList&, MonotonicTime now);
    void end(const RequestId&, bool isServed, MonotonicTime now);

    bool hasOpenRequests() const { return !m_callers.empty(); }
    // Fills in the reports of the request kinds. Requests that are still open count as failed.
    void fill(ReplayReport&) const;

private:
    struct Caller {
        LoadRequest request;
        MonotonicTime askedAt {};
        unsigned retriesLeft = 0;
        std::optional<MonotonicTime> firstPieceAt;
        std::size_t host = 0;
    };

    // The tokens that an account may still spend according to the ideal limiter. Unlike a TokenBucket, its level also
    // drops for requests that the hosts admitted beyond the limit.
    struct AccountBucket {
        double level = 0;
        MonotonicTime refilledAt {};
    };

    // The outcomes of the requests of one kind.
    struct Outcomes {
        KindReport report;
        std::vector<double> firstPieceMs;
        double refusalMs = 0;
    };

    const RequestKind& kindOf(const Caller& caller) const { return m_settings.kinds[caller.request.kind]; }
    std::optional<Retry> makeRetry(const RequestId&, const HeaderList&, MonotonicTime now);

    const ReplaySettings& m_settings;
    const ReplayLoad& m_load;
    MonotonicTime m_start;
    RandomGenerator m_random;
    std::map<RequestId, Caller> m_callers;
    std::uint64_t m_lastRequest = 0;
    std::vector<Outcomes> m_outcomes;
    std::vector<AccountBucket> m_buckets;
    unsigned m_refusedBelowLimit = 0;
};

} // namespace Catkinwell
