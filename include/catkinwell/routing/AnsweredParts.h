#pragma once

#include <array>
#include <catkinwell/core/Clock.h>
#include <cstdint>
#include <unordered_set>

namespace Catkinwell {

// Remembers the parts of prompts that were answered completely within the last minutes, up to a number of parts. Not
// thread safe.
class AnsweredParts {
public:
    explicit AnsweredParts(std::size_t capacity = 8192, Duration lifetime = std::chrono::minutes(10));

    void insert(std::uint64_t part, MonotonicTime now);
    bool contains(std::uint64_t part, MonotonicTime now) const;

private:
    bool isStale(std::size_t age, MonotonicTime now) const;

    std::size_t m_capacity;
    Duration m_lifetime;
    // Each generation holds half of the capacity and half of the lifetime; the newer one comes first.
    std::array<std::unordered_set<std::uint64_t>, 2> m_generations;
    std::array<MonotonicTime, 2> m_begunAt {};
};

} // namespace Catkinwell
