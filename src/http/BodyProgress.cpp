#include "http/BodyProgress.h"

namespace Catkinwell {

bool BodyProgress::isBehind(
    std::size_t receivedBytes, std::size_t bytesPerSecond, Duration idleTimeout, MonotonicTime now) const
{
    const double due = secondsOf(now - m_begunAt - idleTimeout) * static_cast<double>(bytesPerSecond);
    return static_cast<double>(receivedBytes) < due;
}

} // namespace Catkinwell
