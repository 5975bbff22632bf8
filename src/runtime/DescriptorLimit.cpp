#include "runtime/DescriptorLimit.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace Catkinwell {

namespace {

    // A quarter is kept for outgoing connections, but not more than a fleet of hundreds of hosts and endpoints needs,
    // and half at most of a very low limit.
    constexpr std::size_t reservedPart = 4;
    constexpr std::size_t mostReserved = 2048;
    constexpr std::size_t leastReserved = 64;

} // namespace

std::size_t connectionsWithin(std::size_t descriptors)
{
    const std::size_t least = std::min(leastReserved, descriptors / 2);
    return descriptors - std::clamp(descriptors / reservedPart, least, mostReserved);
}

std::size_t connectionLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return connectionsWithin(limit.rlim_cur);
}

} // namespace Catkinwell
