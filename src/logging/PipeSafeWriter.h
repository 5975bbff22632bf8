#pragma once

#include <cstdint>
#include <string_view>
#include <utility>

namespace Catkinwell {

// Writes whole lines to a file descriptor without blocking: a line that does not fit into the pipe's buffer is dropped
// and counted. Not thread safe.
class PipeSafeWriter {
public:
    explicit PipeSafeWriter(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    // Precondition: the line ends with a line feed. A line of more than 4096 bytes is truncated, because longer
    // writes to a pipe are not atomic.
    void write(std::string_view line);
    // Returns the number of lines dropped since the last call.
    std::uint64_t takeDropped() { return std::exchange(m_dropped, 0); }

private:
    int m_descriptor;
    std::uint64_t m_dropped = 0;
};

} // namespace Catkinwell
