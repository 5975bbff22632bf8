#pragma once

#include <catkinwell/core/Clock.h>

namespace Catkinwell {

// Whether a body arrives fast enough. A caller may pause for the idle timeout at any time; beyond the time of one such
// pause the whole body must come at the least rate. Not thread safe.
class BodyProgress {
public:
    void begin(MonotonicTime now) { m_begunAt = now; }

    // Whether less has arrived by now than must have. A rate of 0 has no minimum.
    bool isBehind(std::size_t receivedBytes, std::size_t bytesPerSecond, Duration idleTimeout, MonotonicTime now) const;

private:
    MonotonicTime m_begunAt {};
};

} // namespace Catkinwell
