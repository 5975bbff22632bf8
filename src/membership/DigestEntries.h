#pragma once

#include "HostTable.h"

#include <catkinwell/core/RandomGenerator.h>

namespace Catkinwell {

// Chooses the entries of a digest of limited size. Up to a third are random suspected or dead hosts; two thirds of the
// rest are hosts of the own data centre. Of these and of the remaining hosts, half are those whose heartbeats advanced
// last, the others are random.
std::vector<DigestEntry> chooseDigestEntries(const HostTable& table, const DataCentreId& ownDataCentre,
    std::size_t maximumBytes, MonotonicTime now, RandomGenerator& random);

// The largest encoded size of an entry for a host name of this length.
std::size_t digestEntryBytes(std::size_t nameLength);

} // namespace Catkinwell
