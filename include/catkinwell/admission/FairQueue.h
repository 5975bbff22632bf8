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
    // The work that the request asks for, at least 1.
    TokenCount estimatedTokens = 1;
    // A larger value is served first among the requests of the same account.
    int priority = 0;
    MonotonicTime deadline {};
};

enum class QueueRefusal {
    // The account has as many requests waiting for the model as it may have.
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

// Requests that wait for a replica of their model. Each model has a queue of its own, in
// which accounts are served by start-time fair queueing: the account with the smallest start
// tag is next, and its tag grows by the served tokens divided by its weight. Within an
// account the order is priority, then deadline, then arrival.
//
// push, pop and remove take O(log n), n being the number of queued requests. Not thread safe.
class FairQueue {
public:
    explicit FairQueue(FairQueueLimits limits = {});

    // Requests that are already queued stay, also above a smaller limit.
    void setLimits(FairQueueLimits limits) { m_limits = limits; }
    // Applies to work that is served from now on. An account without a weight has 1, and 0 counts as 1.
    void setWeight(const AccountId&, std::uint32_t weight);

    // Returns nothing when the request was queued.
    std::optional<QueueRefusal> push(const QueuedRequest&, MonotonicTime now);
    // Returns the next request of the model that has not expired. To be called when a replica has capacity.
    std::optional<QueuedRequest> pop(const ModelId&, MonotonicTime now);
    // Takes a request out, for example because its caller left; nothing when it is not queued.
    std::optional<QueuedRequest> remove(RequestId);
    // Takes out every request whose deadline has come, those that pop() passed over included.
    std::vector<QueuedRequest> takeExpired(MonotonicTime now);

    std::size_t length() const { return m_requests.size(); }
    std::size_t length(const ModelId&) const;
    std::size_t length(const ModelId&, const AccountId&) const;
    // Models with waiting requests, in no particular order.
    std::vector<ModelId> waitingModels() const;
    // Returns the work, in tokens, that is served before the given request would be if it were
    // pushed now and nothing else arrived. O(accounts + requests of the account).
    double tokensAhead(const QueuedRequest&) const;

private:
    // Priority (negated), deadline, arrival number.
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
        // Accounts with requests, and those without whose tag is still ahead of the virtual time.
        std::set<std::pair<double, std::string>> active;
        std::set<std::pair<double, std::string>> idle;
    };

    struct Item {
        QueuedRequest request;
        Rank rank;
    };

    double weightOf(const AccountId&) const;
    QueuedRequest take(RequestId, bool served);
    void forgetIdle(ModelQueue&);

    FairQueueLimits m_limits;
    std::unordered_map<AccountId, std::uint32_t> m_weights;
    std::unordered_map<ModelId, ModelQueue> m_models;
    std::unordered_map<RequestId, Item> m_requests;
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_deadlines;
    std::vector<QueuedRequest> m_expired;
    std::uint64_t m_arrivals = 0;
};

} // namespace Catkinwell
