#pragma once

#include <cstdint>

namespace Catkinwell {

// A seeded pseudorandom generator (splitmix64). It is part of the reducer's state, so that
// a recorded history replays with the same choices. Not for secrets.
class RandomGenerator {
public:
    explicit RandomGenerator(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next();
    // Returns a value in [0, bound). Precondition: bound > 0.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }
    // Returns a value in [0, 1).
    double unit();

private:
    std::uint64_t m_state;
};

} // namespace Catkinwell
