#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace Catkinwell {

// How a gateway ended a request.
enum class RequestEnd {
    // An endpoint's complete answer was passed on.
    Finished,
    // The request was refused and has not run.
    Refused,
    // The caller got a complete error answer; the request may have run.
    Failed,
    // An answer that had begun was broken off.
    Aborted,
    CallerLeft,
};

constexpr std::size_t requestEndCount = 5;

std::string_view nameOf(RequestEnd);

// The requests that a gateway took and how it ended them, since its process started.
struct RequestEnds {
    std::uint64_t accepted = 0;
    std::array<std::uint64_t, requestEndCount> ended {};

    std::uint64_t& endedBy(RequestEnd end) { return ended.at(static_cast<std::size_t>(end)); }
    std::uint64_t endedBy(RequestEnd end) const { return ended.at(static_cast<std::size_t>(end)); }
    // The requests that were accepted and have not ended.
    std::uint64_t open() const;
};

} // namespace Catkinwell
