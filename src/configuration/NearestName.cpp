#include "NearestName.h"

#include <algorithm>
#include <numeric>

namespace Catkinwell {

namespace {

    // Longer names are not compared, which limits the work on malicious input.
    constexpr std::size_t longestComparedName = 128;

    std::size_t editDistance(std::string_view left, std::string_view right)
    {
        std::vector<std::size_t> row(right.size() + 1);
        std::iota(row.begin(), row.end(), 0);
        for (std::size_t i = 1; i <= left.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= right.size(); ++j) {
                const std::size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({ row[j] + 1, row[j - 1] + 1, replaced });
            }
        }
        return row.back();
    }

} // namespace

std::string suggestionFor(std::string_view wrongName, const std::vector<std::string_view>& knownNames)
{
    if (wrongName.size() > longestComparedName)
        return "";
    // Up to a third of the characters, but at least two, may differ. Beyond that a suggestion is rarely what was meant.
    std::size_t best = std::max<std::size_t>(2, wrongName.size() / 3) + 1;
    std::string_view nearest;
    for (const auto& known : knownNames) {
        if (known.size() > longestComparedName)
            continue;
        const std::size_t distance = editDistance(wrongName, known);
        if (distance < best) {
            best = distance;
            nearest = known;
        }
    }
    return nearest.empty() ? "" : "; did you mean \"" + std::string(nearest) + "\"?";
}

} // namespace Catkinwell
