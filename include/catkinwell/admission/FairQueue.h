#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/TokenAmount.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

struct QueuedRequest {
    RequestId id;
    ModelId model;
    AccountId account;
    // The estimated work of the request; 0 counts as 1.
    TokenCount estimatedTokens = 1;
    // Requests of the same account are served in descending order of priority.
    int priority = 0;
    MonotonicTime deadline {};
};

enum class QueueRefusal {
    // The account has reached its limit of requests waiting for the model.
    AccountFull,
    ModelFull,
    HostFull,
    // The request is already queued.
    Duplicate,
    DeadlinePassed,
};

// Returns the stable lower-case name of the refusal.
std::string_view nameOf(QueueRefusal);

struct FairQueueLimits {
    std::uint32_t perAccountAndModel = 256;
    std::uint32_t perModel = 2048;
    std::uint32_t perHost = 8192;
};

// Queues requests that wait for a replica of their model. Each model has its own queue, in which
// accounts are scheduled by start-time fair queueing: the account with the smallest start tag is
// served next, and its tag increases by the served tokens divided by its weight. The requests of
// an account are ordered by priority, then deadline, then arrival.
//
// push(), pop() and remove() take O(log n) time for n queued requests. Not thread safe.
class FairQueue {
public:
    explicit FairQueue(FairQueueLimits limits = {});

    // Requests that are already queued stay queued, even if they exceed the new limits.
    void setLimits(FairQueueLimits limits) { m_limits = limits; }
    // Applies to requests served from now on. The default weight is 1; 0 counts as 1.
    void setWeight(const AccountId&, std::uint32_t weight);

    // Returns nothing if the request was queued, and the reason for the refusal otherwise.
    std::optional<QueueRefusal> push(const QueuedRequest&, MonotonicTime now);
    // Queues a request again that pop() returned and no replica took, also beyond limits that were lowered meanwhile.
    // Precondition: it is not queued. One whose deadline has passed is not queued.
    void putBack(const QueuedRequest&, MonotonicTime now);
    // Removes and returns the next request of the model that has not expired. Must only be called when a replica
    // has capacity.
    std::optional<QueuedRequest> pop(const ModelId&, MonotonicTime now);
    // Removes and returns a request, for example because its caller disconnected. Returns nothing if it is not queued.
    std::optional<QueuedRequest> remove(RequestId);
    // Removes and returns all requests whose deadline has passed, including those that pop() removed.
    std::vector<QueuedRequest> takeExpired(MonotonicTime now);

    std::size_t length() const { return m_requests.size(); }
    std::size_t length(const ModelId&) const;
    std::size_t length(const ModelId&, const AccountId&) const;
    // Models with waiting requests, in no particular order.
    std::vector<ModelId> waitingModels() const;
    // Estimates the work, in tokens, that would be served before the given request if it were pushed now and
    // no others arrived. Takes O(accounts + requests of the account) time.
    double tokensAhead(const QueuedRequest&) const;

private:
    // Negated priority, deadline, arrival number.
    using Rank = std::tuple<int, MonotonicTime, std::uint64_t>;

    struct Flow {
        double startTag = 0;
        double queuedTokens = 0;
        std::map<Rank, RequestId> requests;
    };

    struct ModelQueue {
        double virtualTime = 0;
        std::size_t length = 0;
        std::unordered_map<AccountId, Flow> flows;
        // Accounts with queued requests, and accounts without any whose start tag is ahead of the virtual time.
        std::set<std::pair<double, std::string>> active;
        std::set<std::pair<double, std::string>> idle;
    };

    struct Item {
        QueuedRequest request;
        Rank rank;
    };

    double weightOf(const AccountId&) const;
    void insert(const QueuedRequest&);
    QueuedRequest take(RequestId, bool served);
    void removeIdleFlows(ModelQueue&);

    FairQueueLimits m_limits;
    std::unordered_map<AccountId, std::uint32_t> m_weights;
    std::unordered_map<ModelId, ModelQueue> m_models;
    std::unordered_map<RequestId, Item> m_requests;
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_deadlines;
    std::vector<QueuedRequest> m_expired;
    std::uint64_t m_arrivals = 0;
};

} // namespace Catkinwell
