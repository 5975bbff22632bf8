#include <catkinwell/orders/ClaimDecision.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<NotRunReason, 6> reasonNames { {
        { NotRunReason::StoreUnavailable, "store_unavailable" },
        { NotRunReason::Deadline, "deadline" },
        { NotRunReason::ShardFull, "shard_full" },
        { NotRunReason::ShardUnreadable, "shard_unreadable" },
        { NotRunReason::TooManyClaims, "too_many_claims" },
        { NotRunReason::ShuttingDown, "shutting_down" },
    } };

    constexpr std::string_view verdictNames[]
        = { "run", "repeat", "in_progress", "unknown", "body_mismatch", "not_run" };

} // namespace

std::string_view nameOf(NotRunReason reason) { return reasonNames.nameOf(reason); }

std::string_view nameOf(const ClaimVerdict& verdict) { return verdictNames[verdict.index()]; }

} // namespace Catkinwell
