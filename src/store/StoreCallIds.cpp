#include <catkinwell/store/StoreCallIds.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<StoreUser, 12> storeUserNames { {
        { StoreUser::HostLease, "host_lease" },
        { StoreUser::Shares, "shares" },
        { StoreUser::Orders, "orders" },
        { StoreUser::Placement, "placement" },
        { StoreUser::Configuration, "configuration" },
        { StoreUser::Membership, "membership" },
        { StoreUser::Administration, "administration" },
        { StoreUser::Quarantine, "quarantine" },
        { StoreUser::Versions, "versions" },
        { StoreUser::Streams, "streams" },
        { StoreUser::StreamReads, "stream_reads" },
        { StoreUser::EndpointCheck, "endpoint_check" },
    } };

} // namespace

std::string_view nameOf(StoreUser user) { return storeUserNames.nameOf(user); }

} // namespace Catkinwell
