#pragma once

#include <array>
#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/Clock.h>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Catkinwell {

// Decides how long an idle model stays loaded and when a regularly used model is
// prefetched, and estimates the cost of evicting a loaded model.
//
// Cost weights: idleHourCost is the cost of keeping a whole engine's memory idle for
// one hour, scaled by the fraction of that memory that the model uses. coldStartCost is
// the cost of a cold start of 20 s, scaled by the model's expected load time, so that
// an adapter that loads within milliseconds is unloaded early.
// Performs no I/O; not thread safe. Memory grows only with the number of configured models.
class IdlePolicy {
public:
    // A period in which a regularly used model should be loaded.
    struct Window {
        MonotonicTime from;
        MonotonicTime until;
    };

    // Sets cost weights and models. Models that stay configured keep their history.
    void configure(const FleetConfiguration& effective);

    // Records the arrival of count requests for the model. Unknown models are ignored.
    void noteArrivals(const ModelId&, std::uint32_t count, MonotonicTime now);

    // Returns how long the model stays loaded after its last use.
    Duration keepAlive(const ModelId&) const;

    // Returns the period around the predicted next use, or nothing if the arrivals are not periodic.
    std::optional<Window> prefetchWindow(const ModelId&) const;

    // Returns whether an idle model that was last used at lastUse should be kept or loaded now.
    bool shouldBeLoaded(const ModelId&, std::optional<MonotonicTime> lastUse, MonotonicTime now) const;

    // Returns the expected cost of unloading the model now, in units of the cost weights:
    // its cold start cost times the probability that it is used within the next ten minutes.
    double evictionCost(const ModelId&, MonotonicTime now) const;

private:
    // The upper edges are 2^(bin / 2) seconds: 1 s to 51 h.
    static constexpr std::size_t binCount = 36;
    static constexpr std::size_t periodicGapCount = 6;

    struct History {
        double idleCostPerSecond = 0;
        double coldStartCost = 0;
        Duration loadTime {};
        std::array<double, binCount> bins {};
        std::optional<MonotonicTime> lastArrival;
        // Ring buffer of the times between the starts of successive sessions, in seconds.
        std::array<double, periodicGapCount> sessionGaps {};
        std::size_t sessionGapCount = 0;
        MonotonicTime sessionStart {};
        Duration keepAlive {};
        // Set while the sessions are periodic.
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
