#include <catkinwell/peer/PeerMessage.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<HostState, 4> hostStateNames { {
        { HostState::Alive, "alive" },
        { HostState::Suspected, "suspected" },
        { HostState::Leaving, "leaving" },
        { HostState::Dead, "dead" },
    } };

} // namespace

std::string_view nameOf(HostState state) { return hostStateNames.nameOf(state); }

} // namespace Catkinwell
