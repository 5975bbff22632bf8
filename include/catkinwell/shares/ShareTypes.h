#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/TokenAmount.h>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace Catkinwell {

enum class ShareRefusal {
    UnknownAccount,
    // The reservation is larger than the account's burst; it can never succeed.
    ExceedsBurst,
    // The reservation is within the burst but larger than what one host of this fleet can hold at once.
    ExceedsHostLimit,
    // Even the account's whole rate would not refill the tokens by the deadline, or they did not come by then.
    RateExceeded,
    // The host held no piece of the account until the deadline.
    NoShare,
    // Too many reservations of the account wait.
    QueueFull,
    // Too many reservations are unsettled on this host.
    TooManyReservations,
    // The request identifier already has a reservation.
    DuplicateRequest,
    ShuttingDown,
};

// Returns the stable lower-case name, for example "rate_exceeded".
std::string_view nameOf(ShareRefusal);

struct ShareGranted { };

// The decision follows in takeDecisions(), at the latest with the first tick after the deadline.
struct SharePending { };

struct ShareRefused {
    ShareRefusal reason = ShareRefusal::RateExceeded;
    // An estimate of when the same reservation can succeed; 0 if never.
    Duration retryAfter {};
};

using ShareResult = std::variant<ShareGranted, SharePending, ShareRefused>;

// The outcome of a reservation that was pending: granted or refused.
struct ShareDecision {
    RequestId request;
    AccountId account;
    ShareResult result;
};

// One account on one host, for operators. Parts per million are of the account's rate and burst.
struct ShareStatus {
    AccountId account;
    std::uint32_t floatingPpm = 0;
    std::uint32_t standingPpm = 0;
    // What is valid now, in tokens a second, and the bucket's level and capacity in tokens.
    double ratePerSecond = 0;
    TokenCount level = 0;
    TokenCount capacity = 0;
    // The estimated demand on this host in tokens a second.
    double demandPerSecond = 0;
    std::size_t waiting = 0;
    std::size_t holders = 0;
    std::uint32_t unassignedPpm = 0;
    // Since the stored value was last read or written; negative if never.
    Duration age {};
};

struct ShareOptions {
    // The part of each account that is divided evenly and survives a store outage; the rest follows demand.
    std::uint32_t standingPpm = 200'000;
    bool lending = true;
    // How long after asking a borrowed token may be used. Each host that may
    // lend gives up rate × loanWindow of its burst for it.
    Duration loanWindow = std::chrono::milliseconds(100);
    Duration standingValidity = std::chrono::minutes(60);
    // 10% above the validity, for clocks that run at different speeds.
    Duration standingReclaimAfter = std::chrono::minutes(66);
    Duration adjustInterval = std::chrono::seconds(2);
    // Budgets: writes of the whole fleet, store traffic of one host.
    double fleetWritesPerSecond = 50;
    double storeBytesPerSecond = 900;
    std::size_t maxWaitingPerAccount = 256;
    std::size_t maxReservations = 65536;
};

} // namespace Catkinwell
