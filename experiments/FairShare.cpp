// Measures the wait of the worst-served account when one account sends 5 times its rate. Compares FairQueue with one
// first-in-first-out queue on the same seeded arrivals. There is one model, one server, and 5 accounts of equal weight
// whose rates add up to 90% of the server's.

#include <algorithm>
#include <catkinwell/admission/FairQueue.h>
#include <catkinwell/core/RandomGenerator.h>
#include <cmath>
#include <cstdio>
#include <deque>
#include <unordered_map>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr double serverTokensPerSecond = 10'000;
constexpr int accountCount = 5;
constexpr std::size_t queueBound = 8192;
constexpr Duration requestDeadline = 60s;
const ModelId model("model");

struct Arrival {
    QueuedRequest request;
    MonotonicTime at;
};

std::vector<Arrival> arrivals(std::uint64_t seed, double factor, Duration length)
{
    RandomGenerator random(seed);
    std::vector<Arrival> all;
    std::uint64_t id = 0;
    for (int account = 0; account < accountCount; ++account) {
        const double meanTokens = 500;
        double rate = 0.9 * serverTokensPerSecond / accountCount / meanTokens;
        rate *= account == 0 ? factor : 1;
        MonotonicTime now { 1h };
        while (true) {
            now += std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(-std::log(1 - random.unit()) / rate));
            if (now >= MonotonicTime(1h) + length)
                break;
            const auto tokens = static_cast<TokenCount>(1 + random.below(static_cast<std::uint64_t>(2 * meanTokens)));
            all.push_back({ { RequestId(++id), model, AccountId("account-" + std::to_string(account)), tokens, 0,
                                now + requestDeadline },
                now });
        }
    }
    std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    return all;
}

struct Served {
    std::vector<double> waits;
    std::size_t lost = 0;
};

using Outcome = std::unordered_map<AccountId, Served>;

// The queue provides push(request, now) -> accepted, pop(now) -> next request, and expired(now) -> requests.
template <typename Queue> Outcome simulate(const std::vector<Arrival>& all, Queue queue)
{
    Outcome outcome;
    std::unordered_map<RequestId, MonotonicTime> arrivedAt;
    MonotonicTime freeAt { 1h };
    std::size_t next = 0;
    while (true) {
        while (next < all.size() && all[next].at <= freeAt) {
            const auto& arrival = all[next++];
            arrivedAt[arrival.request.id] = arrival.at;
            if (!queue.push(arrival.request, arrival.at))
                ++outcome[arrival.request.account].lost;
        }
        const auto request = queue.pop(freeAt);
        for (const auto& expired : queue.expired(freeAt))
            ++outcome[expired.account].lost;
        if (request) {
            const auto wait = freeAt - arrivedAt[request->id];
            outcome[request->account].waits.push_back(std::chrono::duration<double>(wait).count());
            freeAt += std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(static_cast<double>(request->estimatedTokens) / serverTokensPerSecond));
        } else if (next < all.size()) {
            freeAt = all[next].at;
        } else {
            return outcome;
        }
    }
}

class Fair {
public:
    explicit Fair(std::uint32_t perAccount)
        : m_queue({ perAccount, queueBound, queueBound })
    {
    }
    bool push(const QueuedRequest& request, MonotonicTime now) { return !m_queue.push(request, now); }
    std::optional<QueuedRequest> pop(MonotonicTime now) { return m_queue.pop(model, now); }
    std::vector<QueuedRequest> expired(MonotonicTime now) { return m_queue.takeExpired(now); }

private:
    FairQueue m_queue;
};

class Fifo {
public:
    bool push(const QueuedRequest& request, MonotonicTime)
    {
        if (m_queue.size() >= queueBound)
            return false;
        m_queue.push_back(request);
        return true;
    }

    std::optional<QueuedRequest> pop(MonotonicTime now)
    {
        while (!m_queue.empty()) {
            auto request = std::move(m_queue.front());
            m_queue.pop_front();
            if (now < request.deadline)
                return request;
            m_expired.push_back(std::move(request));
        }
        return std::nullopt;
    }

    std::vector<QueuedRequest> expired(MonotonicTime) { return std::exchange(m_expired, {}); }

private:
    std::deque<QueuedRequest> m_queue;
    std::vector<QueuedRequest> m_expired;
};

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

void report(const char* name, std::uint64_t seed, double factor, const Outcome& outcome)
{
    double p50 = 0;
    double p99 = 0;
    std::size_t lost = 0;
    for (const auto& [account, served] : outcome) {
        if (account == AccountId("account-0"))
            continue;
        p50 = std::max(p50, quantile(served.waits, 0.5));
        p99 = std::max(p99, quantile(served.waits, 0.99));
        lost += served.lost;
    }
    const auto& heavy = outcome.at(AccountId("account-0"));
    std::printf("%4llu %6.0f %-10s %10.3f %10.3f %10zu %14.3f %14zu %14zu\n", static_cast<unsigned long long>(seed),
        factor, name, p50, p99, lost, quantile(heavy.waits, 0.5), heavy.waits.size(), heavy.lost);
}

} // namespace

int main()
{
    std::puts("seed factor queue       worst p50  worst p99  lost       heavy p50 s    heavy served   heavy lost");
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        for (const double factor : { 1.0, 5.0 }) {
            const auto all = arrivals(seed, factor, 600s);
            report("fifo", seed, factor, simulate(all, Fifo()));
            report("fair", seed, factor, simulate(all, Fair(256)));
        }
    }
}
