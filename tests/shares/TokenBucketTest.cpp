#include "../../experiments/WindowChecker.h"
#include <catch2/catch.hpp>
#include <catkinwell/shares/TokenBucket.h>
#include <rapidcheck.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr MicroTokens tokens(TokenCount count) { return count * 1'000'000; }

const MonotonicTime start { 1h };

// Refunds everything that fits below the capacity; TokenBucket avoids this fault.
class NaiveBucket {
public:
    NaiveBucket(MonotonicTime at, std::size_t)
        : m_last(at)
    {
    }
    void setLimits(MicroTokens rate, MicroTokens capacity, MonotonicTime at)
    {
        refill(at);
        m_rate = rate;
        m_capacity = capacity;
        refill(at);
    }
    std::optional<TokenBucket::Reservation> reserve(TokenCount count, MonotonicTime now)
    {
        refill(now);
        if (m_level < tokens(count))
            return std::nullopt;
        m_level -= tokens(count);
        return TokenBucket::Reservation {};
    }
    void settle(TokenBucket::Reservation, TokenCount reserved, TokenCount used, MonotonicTime now)
    {
        refill(now);
        m_level = std::min(m_capacity, m_level + tokens(reserved - used));
    }

private:
    void refill(MonotonicTime now)
    {
        m_level = std::min(m_capacity, m_level + m_rate * ((now - m_last) / 1ms) / 1000);
        m_last = now;
    }

    MonotonicTime m_last;
    MicroTokens m_rate = 0;
    MicroTokens m_capacity = 0;
    MicroTokens m_level = 0;
};

struct Operation {
    Duration wait;
    int kind;
    TokenCount amount;
};

// Runs the operations on one bucket and returns the largest excess over the window bound.
template <typename Bucket> double worstExcess(const std::vector<Operation>& operations, std::size_t maxSegments)
{
    Bucket bucket(start, maxSegments);
    bucket.setLimits(tokens(100), tokens(1000), start);
    struct Open {
        TokenBucket::Reservation reservation;
        TokenCount reserved;
        std::size_t index;
    };
    std::vector<Open> open;
    std::vector<Admission> record;
    MonotonicTime now = start;
    for (const Operation& operation : operations) {
        now += operation.wait;
        if (operation.kind < 3) {
            if (const auto reservation = bucket.reserve(operation.amount, now)) {
                open.push_back({ *reservation, operation.amount, record.size() });
                record.push_back({ now, operation.amount });
            }
        } else if (operation.kind < 6 && !open.empty()) {
            const auto chosen = open.begin() + operation.amount % static_cast<TokenCount>(open.size());
            const TokenCount used = chosen->reserved * (operation.kind - 3) / 2;
            bucket.settle(chosen->reservation, chosen->reserved, used, now);
            record[chosen->index].tokens = used;
            open.erase(chosen);
        } else if (operation.kind == 6) {
            bucket.setLimits(tokens(operation.amount % 101), tokens(operation.amount % 1001), now);
        }
    }
    return largestExcess(record, { { start, 100 } }, 1000);
}

std::vector<Operation> randomOperations(int kinds)
{
    return *rc::gen::container<std::vector<Operation>>(rc::gen::construct<Operation>(
        rc::gen::map(rc::gen::inRange(0, 4000), [](int ms) { return Duration(std::chrono::milliseconds(ms)); }),
        rc::gen::inRange(0, kinds), rc::gen::inRange<TokenCount>(1, 900)));
}

} // namespace

// A bucket must not start with tokens or exceed its capacity.
TEST_CASE("A bucket starts empty and fills to its capacity")
{
    TokenBucket bucket(start);
    bucket.setLimits(tokens(100), tokens(1000), start);
    CHECK(bucket.available(start) == 0);
    CHECK_FALSE(bucket.reserve(1, start));
    CHECK(bucket.available(start + 3s) == 300);
    CHECK(bucket.available(start + 1h) == 1000);
    bucket.setLimits(tokens(100), tokens(400), start + 1h);
    CHECK(bucket.available(start + 1h) == 400);
    bucket.setLimits(tokens(100), tokens(1000), start + 1h);
    CHECK(bucket.available(start + 1h) == 400);
}

// A refund must not restore tokens that a full bucket would have discarded since the reservation.
TEST_CASE("After a refund the level is that of a smaller reservation")
{
    auto [wait, used, expectedLevel] = GENERATE(table<int, TokenCount, TokenCount>({
        { 0, 0, 1000 },
        { 2, 0, 1000 },
        { 2, 500, 700 },
        { 3, 500, 800 },
        { 7, 500, 1000 },
        { 2, 800, 400 },
        { 0, 900, 100 },
    }));
    TokenBucket bucket(start);
    bucket.setLimits(tokens(100), tokens(1000), start - 1h);
    bucket.setLimits(tokens(100), tokens(1000), start);
    const MonotonicTime later = start + 10s;
    const auto reservation = bucket.reserve(800, later);
    REQUIRE(reservation);
    bucket.settle(*reservation, 800, used, later + std::chrono::seconds(wait));
    CHECK(bucket.available(later + std::chrono::seconds(wait)) == expectedLevel);
}

// A refund must take into account that the bucket was full between reservation and settlement.
TEST_CASE("No refund survives a time at which the bucket was full")
{
    TokenBucket bucket(start);
    bucket.setLimits(tokens(100), tokens(1000), start);
    const auto early = bucket.reserve(500, start + 10s);
    REQUIRE(early);
    REQUIRE(bucket.reserve(1000, start + 20s));
    CHECK(bucket.settle(*early, 500, 0, start + 20s) == 0);
    CHECK(bucket.available(start + 20s) == 0);
}

// A change of the limits must not cancel debt, and a refill only reduces it by its amount.
TEST_CASE("Usage above the reservation is owed")
{
    TokenBucket bucket(start);
    bucket.setLimits(tokens(100), tokens(1000), start);
    const auto reservation = bucket.reserve(100, start + 1s);
    bucket.settle(*reservation, 100, 350, start + 1s);
    CHECK(bucket.available(start + 1s) == -250);
    bucket.setLimits(0, 0, start + 1s);
    bucket.setLimits(tokens(100), tokens(1000), start + 1s);
    CHECK(bucket.available(start + 3s) == -50);
}

// Reservations that are never settled must not grow memory without bound.
TEST_CASE("Memory is bounded by the number of segments")
{
    TokenBucket bucket(start, 8);
    bucket.setLimits(tokens(100), tokens(1000), start);
    for (int i = 0; i < 100; ++i)
        REQUIRE(bucket.reserve(1, start + 10s));
    CHECK(bucket.segmentCount() == 8);
}

// No sequence of reservations, refunds and limit changes may admit more than rate × time + burst.
TEST_CASE("The window bound holds for one bucket with refunds")
{
    CHECK(rc::check([] {
        const auto operations = randomOperations(7);
        const auto segments = *rc::gen::inRange<std::size_t>(1, 20);
        RC_ASSERT(worstExcess<TokenBucket>(operations, segments) <= 0);
    }));
}

// Verifies that the checker detects refunds that ignore discarded tokens.
TEST_CASE("The window checker detects a full refund")
{
    const std::vector<Operation> operations { { 10s, 0, 500 }, { 5s, 0, 900 }, { 0s, 3, 0 }, { 0s, 0, 500 } };
    CHECK(worstExcess<TokenBucket>(operations, 16) <= 0);
    CHECK(worstExcess<NaiveBucket>(operations, 16) > 0);
}
