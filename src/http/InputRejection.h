#pragma once

#include <catkinwell/http/InputBudget.h>

namespace Catkinwell {

// Chooses which unfinished requests are rejected to free at least this many bytes, and returns their positions, the
// first to reject first. Those with the least progress come first; of equal progress, the address that holds the most
// bytes gives up its largest. Requests that free next to nothing come last, and one is always left. Designed for
// thousands of connections, all of one address or each of its own. Thread safe.
std::vector<std::size_t> chooseRejectedInputs(
    const std::vector<const UnfinishedInput*>&, std::size_t bytes, MonotonicTime now);

} // namespace Catkinwell
