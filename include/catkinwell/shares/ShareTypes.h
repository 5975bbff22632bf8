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
    // The reservation exceeds the account's burst and can never succeed.
    ExceedsBurst,
    // The reservation is within the burst but exceeds what one host of this fleet can hold at once.
    ExceedsHostLimit,
    // The account's whole rate would not refill the tokens by the deadline, or they were not available by then.
    RateExceeded,
    // The host has no allocation of the account at the deadline.
    NoShare,
    // Too many reservations of the account are waiting.
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

// takeDecisions() returns the decision, no later than after the first tick after the deadline.
struct SharePending { };

struct ShareRefused {
    ShareRefusal reason = ShareRefusal::RateExceeded;
    // Estimated time until the same reservation can succeed; 0 if never.
    Duration retryAfter {};
};

using ShareResult = std::variant<ShareGranted, SharePending, ShareRefused>;

// The decision on a pending reservation: granted or refused.
struct ShareDecision {
    RequestId request;
    AccountId account;
    ShareResult result;
};

// An account's state on one host, for operators. Parts per million refer to the account's rate and burst.
struct ShareStatus {
    AccountId account;
    std::uint32_t floatingPpm = 0;
    std::uint32_t standingPpm = 0;
    // The bucket's current rate in tokens a second, and its level and capacity in tokens.
    double ratePerSecond = 0;
    TokenCount level = 0;
    TokenCount capacity = 0;
    // Estimated demand on this host in tokens a second.
    double demandPerSecond = 0;
    std::size_t waiting = 0;
    std::size_t holders = 0;
    std::uint32_t unassignedPpm = 0;
    // Time since the stored value was last read or written; negative if never.
    Duration age {};
};

struct ShareOptions {
    // The part of each account that is divided evenly among hosts and stays valid during a store outage; the rest
    // follows demand.
    std::uint32_t standingPpm = 200'000;
    bool lending = true;
    // How long after the first request of a round borrowed tokens may be used. In return, each host
    // that may lend reduces its bucket's capacity by its rate × loanWindow.
    Duration loanWindow = std::chrono::milliseconds(100);
    Duration standingValidity = std::chrono::minutes(60);
    // 10% above the validity, to allow for clocks that run at different speeds.
    Duration standingReclaimAfter = std::chrono::minutes(66);
    Duration adjustInterval = std::chrono::seconds(2);
    // Limits of the whole fleet's writes and of one host's store traffic.
    double fleetWritesPerSecond = 50;
    double storeBytesPerSecond = 900;
    std::size_t maxWaitingPerAccount = 256;
    std::size_t maxReservations = 65536;
};

} // namespace Catkinwell
