#include <catkinwell/endpoint/EndpointReport.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<ReplicaState, 3> replicaStateNames { {
        { ReplicaState::Loading, "loading" },
        { ReplicaState::Loaded, "loaded" },
        { ReplicaState::Unloading, "unloading" },
    } };

    constexpr EnumNames<CacheTier, 3> cacheTierNames { {
        { CacheTier::Memory, "memory" },
        { CacheTier::Disk, "disk" },
        { CacheTier::Remote, "remote" },
    } };

} // namespace

std::string_view nameOf(ReplicaState state) { return replicaStateNames.nameOf(state); }

std::string_view nameOf(CacheTier tier) { return cacheTierNames.nameOf(tier); }

} // namespace Catkinwell
