#pragma once

#include <cstdint>

namespace Catkinwell {

// A number of model tokens.
using TokenCount = std::int64_t;

} // namespace Catkinwell
