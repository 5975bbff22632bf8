#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Catkinwell {

// A strongly typed identifier: identifiers of different kinds are different types.
template <typename Tag, typename Value> struct Identifier {
    Value value {};

    Identifier() = default;
    explicit Identifier(Value initial)
        : value(std::move(initial))
    {
    }
    friend auto operator<=>(const Identifier&, const Identifier&) = default;
};

using RequestId = Identifier<struct RequestIdTag, std::uint64_t>;
using AttemptId = Identifier<struct AttemptIdTag, std::uint64_t>;
using StoreCallId = Identifier<struct StoreCallIdTag, std::uint64_t>;
using CommandId = Identifier<struct CommandIdTag, std::uint64_t>;

using HostId = Identifier<struct HostIdTag, std::string>;
using DataCentreId = Identifier<struct DataCentreIdTag, std::string>;
using AccountId = Identifier<struct AccountIdTag, std::string>;
using EndpointId = Identifier<struct EndpointIdTag, std::string>;
using ModelId = Identifier<struct ModelIdTag, std::string>;

// Distinguishes the runs of catkinwell on one host. A later run has a larger value unless the wall clock was set back.
using Incarnation = std::uint64_t;

} // namespace Catkinwell

template <typename Tag, typename Value> struct std::hash<Catkinwell::Identifier<Tag, Value>> {
    std::size_t operator()(const Catkinwell::Identifier<Tag, Value>& identifier) const noexcept
    {
        return std::hash<Value> {}(identifier.value);
    }
};
