#pragma once

#include <catkinwell/gateway/EndpointRecord.h>
#include <catkinwell/reducer/Effect.h>
#include <map>

namespace Catkinwell {

// What an endpoint says about a request that was sent to it, as far as it is known.
enum class RunState {
    // It was not asked since the request fell silent, or its answer is still out.
    Unknown,
    // It runs the request, and this host has all that it made.
    Running,
    // It does not list the request but others wait there, so that this one may have been put back into its queue.
    Queued,
    // It runs the request and has made more events than arrived here.
    Undelivered,
    // It does not know the request.
    Ended,
    // It does not answer either, or another endpoint has its address.
    Unreachable,
};

std::string_view nameOf(RunState);

// A stream from which nothing has come for a while.
struct SilentStream {
    EndpointId endpoint;
    // The caller's identifier of the request.
    std::string requestId;
    // When its latest bytes arrived.
    MonotonicTime silentSince {};
    // Events that arrived; absent if the endpoint may count them from another start.
    std::optional<std::uint64_t> events;
};

// Asks endpoints whether they still run the requests that have fallen silent. One question serves all requests of an
// endpoint, and an answer counts for a request only if it was asked for after the request's latest bytes. Pure; not
// thread safe.
class RunChecks {
public:
    // Asks the endpoint unless a question is out or was asked a short time ago.
    void ask(const EndpointId&, const std::string& address, MonotonicTime now, EffectList&);
    void handle(const RunReport&);
    void handle(const RunReportFailed&);
    RunState stateOf(const SilentStream&, MonotonicTime now) const;
    // Forgets endpoints that were not asked for a while.
    void tick(MonotonicTime now);

private:
    struct Endpoint {
        MonotonicTime askedAt {};
        bool isAnswerOut = false;
        // Whether a connection was reset since the endpoint last answered. One reset alone says nothing.
        bool wasReset = false;
        // Of the latest question that was answered, or that ended without an answer.
        MonotonicTime answeredQuestionAt {};
        // Empty if the latest question ended without an answer.
        std::optional<RunReport> report;
    };

    void noteAnswer(const EndpointId&, MonotonicTime requestedAt, std::optional<RunReport>);
    static RunState stateOf(const RunReport&, const SilentStream&);

    std::map<EndpointId, Endpoint> m_endpoints;
};

} // namespace Catkinwell
