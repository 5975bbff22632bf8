#pragma once

#include <array>
#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/Clock.h>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Catkinwell {

// Decides how long an idle model stays loaded, when a regularly used model is
// loaded ahead of its next use, and what the loss of a loaded model would cost.
//
// Cost weights: idleHourCost is the cost of one idle hour of a whole engine's
// memory and is scaled by the model's part of that memory; coldStartCost is the
// cost of a cold start of 20 s and is scaled by the model's expected load time,
// so that an adapter that loads in milliseconds is given up early.
// Pure; not thread safe. It grows with the number of configured models alone.
class IdlePolicy {
public:
    // A span in which a regularly used model should be loaded.
    struct Window {
        MonotonicTime from;
        MonotonicTime until;
    };

    // Sets weights and models. Histograms of models that remain are kept.
    void configure(const FleetConfiguration& effective);

    // Records that count requests for the model arrived by now. Unknown models are ignored.
    void noteArrivals(const ModelId&, std::uint32_t count, MonotonicTime now);

    // Returns how long the model stays loaded after its last use.
    Duration keepAlive(const ModelId&) const;

    // Returns the span around the predicted next use, or nothing if the arrivals are not regular.
    std::optional<Window> prefetchWindow(const ModelId&) const;

    // Tells whether an idle model, last used at lastUse, is worth keeping or loading now.
    bool isWorthLoading(const ModelId&, std::optional<MonotonicTime> lastUse, MonotonicTime now) const;

    // Returns the expected cost of unloading the model now, in units of the cost
    // weights: its cold start cost times the probability of a use within ten minutes.
    double lossCost(const ModelId&, MonotonicTime now) const;

private:
    // Half powers of two seconds: 1 s to 51 h.
    static constexpr std::size_t binCount = 36;
    static constexpr std::size_t regularGaps = 6;

    struct History {
        double idleCostPerSecond = 0;
        double coldStartCost = 0;
        Duration loadTime {};
        std::array<double, binCount> bins {};
        std::optional<MonotonicTime> lastArrival;
        // The last gaps between separate periods of use, in seconds; a ring.
        std::array<double, regularGaps> sessionGaps {};
        std::size_t sessionGapCount = 0;
        MonotonicTime sessionStart {};
        Duration keepAlive {};
        // Set while the arrivals are regular.
        std::optional<Duration> period;
        Duration periodSpread {};
    };

    static void addGap(History&, double seconds);
    static void updateKeepAlive(History&);
    static void updatePeriod(History&);
    static double probabilityOfUse(const History&, double idleSeconds, double horizonSeconds);

    std::unordered_map<ModelId, History> m_models;
};

} // namespace Catkinwell
