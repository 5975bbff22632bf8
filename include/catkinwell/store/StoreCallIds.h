#pragma once

#include <catkinwell/core/Identifiers.h>
#include <cstdint>
#include <string_view>

namespace Catkinwell {

// The modules that call the store. A call's identifier contains the module that receives the reply.
enum class StoreUser : std::uint8_t {
    HostLease = 1,
    Shares,
    Orders,
    Placement,
    Configuration,
    Membership,
    Administration,
    Quarantine,
    Versions,
    Streams,
    StreamReads,
    EndpointCheck,
};

// Returns the label of the module in the metrics. Thread safe.
std::string_view nameOf(StoreUser);

// Generates the call identifiers of one module. Part of the reducer's state; not thread safe.
class StoreCallIds {
public:
    explicit StoreCallIds(StoreUser user)
        : m_user(user)
    {
    }

    StoreCallId next() { return StoreCallId((static_cast<std::uint64_t>(m_user) << userShift) | ++m_last); }

    static StoreUser userOf(StoreCallId id) { return static_cast<StoreUser>(id.value >> userShift); }

private:
    static constexpr unsigned userShift = 56;

    StoreUser m_user;
    std::uint64_t m_last = 0;
};

} // namespace Catkinwell
