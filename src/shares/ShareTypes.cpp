#include <catkinwell/core/EnumNames.h>
#include <catkinwell/shares/ShareTypes.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<ShareRefusal, 9> refusalNames { {
        { ShareRefusal::UnknownAccount, "unknown_account" },
        { ShareRefusal::ExceedsBurst, "exceeds_burst" },
        { ShareRefusal::ExceedsHostLimit, "exceeds_host_limit" },
        { ShareRefusal::RateExceeded, "rate_exceeded" },
        { ShareRefusal::NoShare, "no_share" },
        { ShareRefusal::QueueFull, "queue_full" },
        { ShareRefusal::TooManyReservations, "too_many_reservations" },
        { ShareRefusal::DuplicateRequest, "duplicate_request" },
        { ShareRefusal::ShuttingDown, "shutting_down" },
    } };

} // namespace

std::string_view nameOf(ShareRefusal reason) { return refusalNames.nameOf(reason); }

} // namespace Catkinwell
