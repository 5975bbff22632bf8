#pragma once

#include <array>
#include <catkinwell/core/Identifiers.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Catkinwell {

// How a request that a listener has read whole came to its end.
enum class AnswerEnd {
    // The complete answer was written to the connection.
    Written,
    // The answer could not be completed and was broken off.
    Aborted,
    // The caller closed the connection.
    CallerLeft,
    // The connection failed while the answer was written.
    WriteError,
    // The caller did not take the answer within the idle timeout.
    Idle,
    // The process ended.
    ProcessEnd,
};

constexpr std::size_t answerEndCount = 6;

std::string_view nameOf(AnswerEnd);

// Why a listener rejected a request while it read it.
enum class RejectionReason {
    // The head or the body is malformed, or the head is too long.
    Malformed,
    // The body is longer than the limit.
    TooLarge,
    // The request did not arrive in time, or its body arrived too slowly.
    TooSlow,
    // The unfinished requests of the process took as much memory as they may.
    MemoryFull,
};

constexpr std::size_t rejectionReasonCount = 4;

std::string_view nameOf(RejectionReason);

// The requests of one listener since it started.
struct RequestCounts {
    // Requests that were read whole, and how many of them came to which end.
    std::uint64_t read = 0;
    std::array<std::uint64_t, answerEndCount> ended {};
    // Requests that the listener rejected itself while it read them.
    std::uint64_t rejected = 0;
    // The same by reason.
    std::array<std::uint64_t, rejectionReasonCount> rejectedFor {};
    // Connections that were closed at once because there were too many.
    std::uint64_t rejectedConnections = 0;

    std::uint64_t& endedBy(AnswerEnd end) { return ended.at(static_cast<std::size_t>(end)); }
    std::uint64_t endedBy(AnswerEnd end) const { return ended.at(static_cast<std::size_t>(end)); }
    // The requests that were read whole and have not ended.
    std::uint64_t open() const;
};

// An event: a connection was closed after a whole request was read and before its complete answer was written.
struct AnswerCut {
    RequestId id;
    // The request's identifier as its caller stated it; empty if it has none.
    std::string callerRequestId;
    AnswerEnd end = AnswerEnd::CallerLeft;
    // Whether the request was passed on to the reducer, and whether that had given its complete answer.
    bool wasDelivered = false;
    bool wasAnswered = false;
};

} // namespace Catkinwell
