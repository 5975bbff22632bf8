#pragma once

#include <catkinwell/store/StoreTypes.h>
#include <string_view>

namespace Catkinwell {

// What a call does to the store. Kinds differ in cost: a renewal costs about a tenth of a read.
enum class StoreCallKind {
    List,
    Watch,
    Read,
    // Writes of values, and leases that are created or given up.
    Write,
    Renewal,
};

// Returns the stable lower-case name of the kind. Thread safe.
std::string_view nameOf(StoreCallKind);

// Thread safe.
StoreCallKind kindOf(const StoreOperation&);

} // namespace Catkinwell
