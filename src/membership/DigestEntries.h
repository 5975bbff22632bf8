#pragma once

#include "HostTable.h"

#include <catkinwell/core/RandomGenerator.h>

namespace Catkinwell {

// Chooses the hosts that a digest of limited size tells of: missed hosts first, then two thirds of the rest from the
// own data centre; half of each group are the entries with the newest news, half are drawn at random.
std::vector<DigestEntry> chooseDigestEntries(const HostTable& table, const DataCentreId& ownDataCentre,
    std::size_t maximumBytes, MonotonicTime now, RandomGenerator& random);

// The largest encoded size of an entry for a host name of this length.
std::size_t digestEntryBytes(std::size_t nameLength);

} // namespace Catkinwell
