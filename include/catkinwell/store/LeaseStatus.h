#pragma once

#include <catkinwell/store/StoreTypes.h>

namespace Catkinwell {

// The host's own lease as the host may rely on it. The host counts from the time
// it sent the last successful renewal and stops one tenth of the TTL early, so its
// validity ends before the store can let the lease lapse.
struct LeaseStatus {
    // Empty while the host has no lease.
    LeaseId id;
    MonotonicTime lastRenewalSentAt {};
    MonotonicTime validUntil {};

    bool isValidAt(MonotonicTime now) const { return !id.empty() && now < validUntil; }
};

} // namespace Catkinwell
