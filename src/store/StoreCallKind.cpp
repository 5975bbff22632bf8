#include <catkinwell/store/StoreCallKind.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<StoreCallKind, 5> storeCallKindNames { {
        { StoreCallKind::List, "list" },
        { StoreCallKind::Watch, "watch" },
        { StoreCallKind::Read, "read" },
        { StoreCallKind::Write, "write" },
        { StoreCallKind::Renewal, "renewal" },
    } };

    struct KindOfOperation {
        StoreCallKind operator()(const StoreGet&) const { return StoreCallKind::Read; }
        StoreCallKind operator()(const StoreCompareAndSwap&) const { return StoreCallKind::Write; }
        StoreCallKind operator()(const StoreDelete&) const { return StoreCallKind::Write; }
        StoreCallKind operator()(const StoreWatch&) const { return StoreCallKind::Watch; }
        StoreCallKind operator()(const StoreList&) const { return StoreCallKind::List; }
        StoreCallKind operator()(const StoreWatchPrefix&) const { return StoreCallKind::Watch; }
        StoreCallKind operator()(const LeaseCreate&) const { return StoreCallKind::Write; }
        StoreCallKind operator()(const LeaseRenew&) const { return StoreCallKind::Renewal; }
        StoreCallKind operator()(const LeaseRevoke&) const { return StoreCallKind::Write; }
        StoreCallKind operator()(const LeaseRead&) const { return StoreCallKind::Read; }
    };

} // namespace

std::string_view nameOf(StoreCallKind kind) { return storeCallKindNames.nameOf(kind); }

StoreCallKind kindOf(const StoreOperation& operation) { return std::visit(KindOfOperation {}, operation); }

} // namespace Catkinwell
