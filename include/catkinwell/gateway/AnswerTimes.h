#pragma once

#include <catkinwell/core/Clock.h>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Catkinwell {

// How long the latest answers of each route took, from the start of the attempt to the end of the answer. Pure; not
// thread safe.
class AnswerTimes {
public:
    void note(const std::string& route, Duration);
    // Forgets the other routes.
    void keepOnly(const std::set<std::string>& routes);

    // Returns the longest of the latest answers; nullopt if too few are known.
    std::optional<Duration> longest(const std::string& route) const;
    // Returns the time within which nine of ten of the latest answers ended; nullopt if too few are known.
    std::optional<Duration> usual(const std::string& route) const;

private:
    // A ring of the latest times.
    struct Samples {
        std::vector<Duration> times;
        std::size_t next = 0;
    };

    std::optional<Duration> quantile(const std::string& route, double fraction) const;

    std::map<std::string, Samples> m_samples;
};

} // namespace Catkinwell
