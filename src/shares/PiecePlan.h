#pragma once

#include "PieceTable.h"

#include <functional>

namespace Catkinwell {

// What a host knows when it decides about its own piece of one account.
struct PlanInput {
    // The host's current lease; a new or changed piece is registered under it.
    LeaseId lease;
    // The lease that names the host's present entry; empty if it has none.
    LeaseId ownEntry;
    // The units that the host's demand asks for, standing units included.
    double want = 0;
    // A reservation waits, so that even a small gain is worth a write.
    bool waiting = false;
    // The host gives everything back.
    bool leaving = false;
    std::uint32_t liveHosts = 1;
    std::uint32_t standingTotal = 0;
    // Whether the pieces of this holder may be reclaimed.
    std::function<bool(const LeaseId&)> floatingGone;
    std::function<bool(const LeaseId&)> standingGone;
};

struct PiecePlan {
    PieceTable table;
    // Units that were taken from holders whose lease is gone.
    std::uint32_t reclaimed = 0;
    // Whether the table is worth a write.
    bool changed = false;
};

// Decides the next table from the present one. Every host aims at its demand plus an even part of the rest, or
// at a part of the whole in proportion to its demand when the demands exceed it; a host that is above its aim
// gives units back only if others are below theirs and the unassigned units do not suffice.
// Precondition: liveHosts > 0.
PiecePlan planPieces(const PieceTable&, const PlanInput&);

} // namespace Catkinwell
