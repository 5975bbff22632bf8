#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/TokenAmount.h>
#include <cstdint>
#include <deque>
#include <optional>

namespace Catkinwell {

// Millionths of a token. An allocation of p parts per million of r tokens a second refills r × p of them a second.
using MicroTokens = std::int64_t;

// A token bucket whose refunds have the same result as if the reservation had been
// smaller from the start: a refund never restores tokens that the full bucket would
// have discarded meanwhile. Arithmetic is exact. Not thread-safe. A time earlier than
// the latest one passed counts as the latest.
//
// With W(t) the refills minus the debits up to t and C(t) the capacity, the level is
// W(t) − max over all u ≤ t of (W(u) − C(u)). A refund of d to a reservation made at s
// raises W(u) by d for every u ≥ s. The bucket keeps the maximum separately for the
// time between each two unsettled reservations, which makes the refund exact.
class TokenBucket {
public:
    // Identifies a reservation for settle().
    struct Reservation {
        std::uint64_t segment = 0;
    };

    // The number of segments bounds memory. Reservations beyond it share the last segment, and
    // their refunds may be smaller than exact, but never larger.
    // Precondition: maxSegments > 0.
    explicit TokenBucket(MonotonicTime start, std::size_t maxSegments = 1024);

    // Sets the refill rate (per second) and the capacity from the given time on. A smaller capacity
    // discards the tokens above it; a larger one adds none. Precondition: both are at least 0.
    void setLimits(MicroTokens ratePerSecond, MicroTokens capacity, MonotonicTime at);

    // Returns whole tokens, rounded down; negative while usage above a reservation is owed.
    TokenCount available(MonotonicTime now);
    MicroTokens level(MonotonicTime now);
    MicroTokens capacity() const { return m_capacity; }
    MicroTokens ratePerSecond() const { return m_rate; }

    // Debits the tokens and returns the reservation. If the level is too low, leaves it unchanged and
    // returns nothing. Precondition: tokens ≥ 0.
    std::optional<Reservation> reserve(TokenCount tokens, MonotonicTime now);

    // Debits tokens without a reservation. Returns false if the level is too low. Precondition: tokens ≥ 0.
    bool take(TokenCount tokens, MonotonicTime now);

    // Ends a reservation and returns the refund in millionths. Usage above the reservation is
    // debited and may make the level negative. Precondition: the reservation is an unsettled one of this
    // bucket, and reserved is its size.
    MicroTokens settle(Reservation, TokenCount reserved, TokenCount used, MonotonicTime now);

    std::size_t segmentCount() const { return m_segments.size(); }

private:
    // The time from one unsettled reservation to the next.
    struct Segment {
        std::uint64_t id = 0;
        MicroTokens peak = 0;
        std::size_t unsettled = 0;
    };

    void advance(MonotonicTime now);
    void updatePeak();
    void rebase();
    void mergeIntoEarlier(std::size_t index);

    MonotonicTime m_last;
    std::size_t m_maxSegments;
    MicroTokens m_rate = 0;
    MicroTokens m_capacity = 0;
    // Refill of less than one millionth of a token, in millionths × nanoseconds.
    std::int64_t m_remainder = 0;
    MicroTokens m_net = 0;
    MicroTokens m_peak = 0;
    std::uint64_t m_lastSegment = 0;
    std::deque<Segment> m_segments;
};

} // namespace Catkinwell
