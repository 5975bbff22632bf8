#pragma once

#include "AllocationTable.h"

#include <functional>

namespace Catkinwell {

// Inputs of a host's plan for its allocation of one account.
struct PlanInput {
    // The host's current lease; the planned entry is stored with it.
    LeaseId lease;
    // The lease of the host's current entry; empty if it has none.
    LeaseId ownEntry;
    // Units that cover the host's demand, standing units included.
    double demandUnits = 0;
    // A reservation is waiting, so even a small gain is worth a write.
    bool waiting = false;
    // The host releases its allocation.
    bool leaving = false;
    std::uint32_t liveHosts = 1;
    std::uint32_t standingTotal = 0;
    // Return whether the holder's floating and standing units may be reclaimed.
    std::function<bool(const LeaseId&)> mayReclaimFloating;
    std::function<bool(const LeaseId&)> mayReclaimStanding;
};

struct AllocationPlan {
    AllocationTable table;
    // Units reclaimed from holders whose lease is absent.
    std::uint32_t reclaimed = 0;
    // Whether the table should be written.
    bool changed = false;
};

// Plans the next table. Each host's target is its demand plus an equal part of the unused units or, if the demands
// exceed the total, a part of the total in proportion to its demand. A host above its target releases units only if
// others are below theirs and the unassigned units do not suffice.
// Precondition: liveHosts > 0.
AllocationPlan planAllocations(const AllocationTable&, const PlanInput&);

} // namespace Catkinwell
