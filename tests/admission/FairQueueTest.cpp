#include <algorithm>
#include <catch2/catch.hpp>
#include <catkinwell/admission/FairQueue.h>
#include <catkinwell/core/RandomGenerator.h>
#include <rapidcheck.h>
#include <set>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

const MonotonicTime start { 1h };

QueuedRequest requestOf(std::uint64_t id, const std::string& account, TokenCount tokens = 10, int priority = 0,
    Duration deadline = 60s, const std::string& model = "notes")
{
    return { RequestId(id), ModelId(model), AccountId(account), tokens, priority, start + deadline };
}

} // namespace

// Guards against an account that receives more than its weighted share while others wait.
TEST_CASE("backlogged accounts are served in proportion to their weights")
{
    const bool holds = rc::check([](std::uint64_t seed) {
        RandomGenerator random(seed);
        FairQueue queue({ 400, 4000, 4000 });
        const TokenCount largest = 50;
        std::map<std::string, std::uint32_t> weights { { "a", 1 }, { "b", 1 + random.below(4) }, { "c", 3 } };
        std::uint64_t id = 0;
        for (const auto& [account, weight] : weights) {
            queue.setWeight(AccountId(account), weight);
            for (int i = 0; i < 300; ++i)
                queue.push(requestOf(++id, account, 1 + random.below(largest), random.below(3)), start);
        }
        std::map<std::string, double> served;
        for (int i = 0; i < 150; ++i) {
            const auto request = queue.pop(ModelId("notes"), start);
            served[request->account.value]
                += static_cast<double>(request->estimatedTokens) / weights[request->account.value];
            for (const auto& [left, leftWeight] : weights) {
                for (const auto& [right, rightWeight] : weights) {
                    // The fairness bound of start-time fair queueing: the largest request of each of both accounts.
                    RC_ASSERT(
                        served[left] - served[right] <= double(largest) / leftWeight + double(largest) / rightWeight);
                }
            }
        }
    });
    CHECK(holds);
}

// Guards against requests that are lost, served twice, served after their deadline or served out of order.
TEST_CASE("every queued request leaves the queue exactly once, and in the order of its account")
{
    const bool holds = rc::check([](std::uint64_t seed) {
        RandomGenerator random(seed);
        FairQueue queue({ 20, 40, 60 });
        std::map<std::uint64_t, QueuedRequest> waiting;
        MonotonicTime now = start;
        const auto leave = [&](const QueuedRequest& request) { RC_ASSERT(waiting.erase(request.id.value) == 1U); };
        for (std::uint64_t id = 1; id <= 400; ++id) {
            now += std::chrono::milliseconds(random.below(40));
            auto request = requestOf(id, std::string(1, static_cast<char>('a' + random.below(3))),
                1 + random.below(100), random.below(3), {}, random.below(2) ? "notes" : "ramps");
            request.deadline = now + std::chrono::milliseconds(random.below(2000));
            if (!queue.push(request, now))
                waiting.emplace(id, request);
            if (random.below(5) == 0) {
                const auto removed = queue.remove(RequestId(random.below(id) + 1));
                if (removed)
                    leave(*removed);
            }
            if (random.below(3) == 0) {
                if (const auto next = queue.pop(request.model, now)) {
                    RC_ASSERT(now < next->deadline);
                    for (const auto& [other, candidate] : waiting) {
                        const bool isSameFlow = candidate.account == next->account && candidate.model == next->model;
                        RC_ASSERT(!isSameFlow || candidate.deadline <= now
                            || std::pair(-next->priority, next->deadline)
                                <= std::pair(-candidate.priority, candidate.deadline));
                    }
                    leave(*next);
                }
            }
            if (random.below(4) == 0) {
                for (const auto& expired : queue.takeExpired(now)) {
                    RC_ASSERT(expired.deadline <= now);
                    leave(expired);
                }
            }
        }
        for (const auto& expired : queue.takeExpired(now + 1h))
            leave(expired);
        RC_ASSERT(waiting.empty());
        RC_ASSERT(queue.length() == 0U);
        RC_ASSERT(queue.waitingModels().empty());
    });
    CHECK(holds);
}

// Guards against a limit that is not enforced or reported as another one.
TEST_CASE("a full queue refuses with the limit that was reached")
{
    FairQueue queue({ 2, 3, 4 });
    const auto push = [&](const QueuedRequest& request) {
        const auto refusal = queue.push(request, start);
        return refusal ? std::string(nameOf(*refusal)) : std::string("queued");
    };
    CHECK(push(requestOf(1, "a")) == "queued");
    CHECK(push(requestOf(1, "a")) == "duplicate_request");
    CHECK(push(requestOf(2, "a", 10, 0, 0s)) == "deadline_passed");
    CHECK(push(requestOf(3, "a")) == "queued");
    CHECK(push(requestOf(4, "a")) == "account_queue_full");
    CHECK(push(requestOf(5, "b")) == "queued");
    CHECK(push(requestOf(6, "b")) == "model_queue_full");
    CHECK(push(requestOf(7, "b", 10, 0, 60s, "ramps")) == "queued");
    CHECK(push(requestOf(8, "b", 10, 0, 60s, "ramps")) == "host_queue_full");
}

// Guards against a prediction that differs from the work that is actually served first.
TEST_CASE("tokensAhead predicts the work that is served before a request")
{
    const bool holds = rc::check([](std::uint64_t seed) {
        RandomGenerator random(seed);
        FairQueue queue({ 100, 1000, 1000 });
        queue.setWeight(AccountId("b"), 3);
        const TokenCount largest = 50;
        std::uint64_t id = 0;
        for (int i = 0; i < 120; ++i) {
            queue.push(requestOf(++id, std::string(1, static_cast<char>('a' + random.below(3))),
                           1 + random.below(largest), random.below(2)),
                start);
            if (random.below(3) == 0)
                queue.pop(ModelId("notes"), start);
        }
        const auto last = requestOf(++id, "a", 10, random.below(2));
        const double predicted = queue.tokensAhead(last);
        queue.push(last, start);
        double served = 0;
        for (auto next = queue.pop(last.model, start); next->id != last.id; next = queue.pop(last.model, start))
            served += static_cast<double>(next->estimatedTokens);
        // Each of the other two accounts may be ahead or behind by its largest request.
        RC_ASSERT(std::abs(served - predicted) <= 2.0 * largest);
    });
    CHECK(holds);
}
