#pragma once

#include <cstddef>

namespace Catkinwell {

// Returns how many connections listeners may keep open with this many descriptors, so that enough are left for the
// store, other hosts, endpoints and files. Thread safe.
std::size_t connectionsWithin(std::size_t descriptors);

// The same for the limit on open files of this process. Thread safe.
std::size_t connectionLimit();

} // namespace Catkinwell
