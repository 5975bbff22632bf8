#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <map>
#include <string>
#include <utility>

namespace Catkinwell {

// When a host may send a request that waits because all endpoints of its model are full. All hosts see a free place at
// the same time and would send a request each. A host therefore sends one for each of its own requests that ended, of
// which the others do not know yet, and its share of the places that the reports show as free, in proportion to what it
// runs. Pure; not thread safe.
class RoomTurns {
public:
    // A service and one of its models; the model is empty for a plain service.
    using Key = std::pair<std::string, ModelId>;

    // The endpoints of the key, by the latest reports.
    struct Room {
        double free = 0;
        // Requests of this host, and of all, that run there.
        double own = 0;
        double all = 0;
        std::size_t hosts = 1;
        Duration reportInterval = std::chrono::milliseconds(200);
    };

    // A request of this host has ended at an endpoint of the key.
    void placeFreed(const Key&, MonotonicTime now);
    // Whether the host may send a request now. Takes the turn if so.
    bool take(const Key&, const Room&, MonotonicTime now);
    // Forgets what was not used for long.
    void tick(MonotonicTime now);

private:
    struct Turns {
        // Places of own requests that ended, and the last of them.
        unsigned freed = 0;
        MonotonicTime freedAt {};
        // Part of a turn that has accrued from places that the reports show.
        double share = 0;
        MonotonicTime at {};
    };

    std::map<Key, Turns> m_turns;
};

} // namespace Catkinwell
