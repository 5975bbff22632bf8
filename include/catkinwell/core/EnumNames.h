#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace Catkinwell {

// Maps the values of an enum class to names and back.
// Example:
//     constexpr EnumNames<Colour, 2> names { { { Colour::Red, "red" }, { Colour::Blue, "blue" } } };
template <typename Enum, std::size_t Count> struct EnumNames {
    std::pair<Enum, std::string_view> entries[Count];

    // Returns "unknown" for a value that has no entry.
    constexpr std::string_view nameOf(Enum value) const
    {
        for (const auto& [candidate, name] : entries) {
            if (candidate == value)
                return name;
        }
        return "unknown";
    }

    constexpr std::optional<Enum> valueOf(std::string_view name) const
    {
        for (const auto& [candidate, candidateName] : entries) {
            if (candidateName == name)
                return candidate;
        }
        return std::nullopt;
    }
};

} // namespace Catkinwell
