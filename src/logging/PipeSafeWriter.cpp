#include "logging/PipeSafeWriter.h"

#include <poll.h>
#include <string>
#include <unistd.h>

namespace Catkinwell {

namespace {

    // PIPE_BUF: writes up to this size are atomic, and poll() reports that a pipe is writable only if one fits.
    constexpr std::size_t atomicBytes = 4096;

} // namespace

void PipeSafeWriter::write(std::string_view line)
{
    pollfd room { m_descriptor, POLLOUT, 0 };
    if (poll(&room, 1, 0) != 1 || !(room.revents & POLLOUT)) {
        ++m_dropped;
        return;
    }
    std::string truncated;
    if (line.size() > atomicBytes) {
        truncated = std::string(line.substr(0, atomicBytes - 1)) + "\n";
        line = truncated;
    }
    if (::write(m_descriptor, line.data(), line.size()) < 0)
        ++m_dropped;
}

} // namespace Catkinwell
