#include <catkinwell/store/StoreTypes.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<StoreStatus, 7> storeStatusNames { {
        { StoreStatus::Ok, "ok" },
        { StoreStatus::Conflict, "conflict" },
        { StoreStatus::NotFound, "not_found" },
        { StoreStatus::Unknown, "unknown" },
        { StoreStatus::Unavailable, "unavailable" },
        { StoreStatus::RateLimited, "rate_limited" },
        { StoreStatus::HistoryLost, "history_lost" },
    } };

} // namespace

std::string_view nameOf(StoreStatus status) { return storeStatusNames.nameOf(status); }

} // namespace Catkinwell
