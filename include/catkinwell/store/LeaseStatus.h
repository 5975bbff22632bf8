#pragma once

#include <catkinwell/store/StoreTypes.h>

namespace Catkinwell {

// The host's view of its own lease. The validity starts when the last successful renewal was sent and ends one tenth of
// the TTL early, so it ends before the store can expire the lease.
struct LeaseStatus {
    // Empty while the host has no lease.
    LeaseId id;
    MonotonicTime lastRenewalSentAt {};
    MonotonicTime validUntil {};

    bool isValidAt(MonotonicTime now) const { return !id.empty() && now < validUntil; }
};

} // namespace Catkinwell
