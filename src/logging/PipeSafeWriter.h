#pragma once

#include <cstdint>
#include <string_view>
#include <utility>

namespace Catkinwell {

// Writes whole lines to a file descriptor and never waits: a line that the reader has left no room for is dropped and
// counted. Not thread safe.
class PipeSafeWriter {
public:
    explicit PipeSafeWriter(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    // Precondition: the line ends with a line feed. A longer line than 4096 bytes is cut, because only shorter writes
    // to a pipe are atomic.
    void write(std::string_view line);
    // Returns how many lines were dropped since the last call.
    std::uint64_t takeDropped() { return std::exchange(m_dropped, 0); }

private:
    int m_descriptor;
    std::uint64_t m_dropped = 0;
};

} // namespace Catkinwell
