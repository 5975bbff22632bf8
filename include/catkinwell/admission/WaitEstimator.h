#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <optional>
#include <unordered_map>

namespace Catkinwell {

// The predicted wait of a new request, and whether it is to be refused.
struct WaitEstimate {
    // Empty if neither the service rate nor the remaining load time is known.
    std::optional<Duration> expectedWait;
    // Set if the request is expected to miss its deadline. A retry after this time may succeed.
    std::optional<Duration> refuseRetryAfter;
};

// Predicts how long a new request waits for a replica, from the queued work ahead of it, the recent service
// rate of the model's queue, and the remaining load time of a model that is not loaded.
//
// The service rate only covers the time in which requests waited for a loaded model, so that an idle model
// does not appear slow. Without enough data there is no prediction and no refusal. Not thread safe.
class WaitEstimator {
public:
    // Above maximumModels, a new model replaces the least recently updated one.
    explicit WaitEstimator(std::size_t maximumModels = 4096);

    // Sets whether requests wait for the model. May be called repeatedly with the same value.
    void setBacklogged(const ModelId&, bool backlogged, MonotonicTime now);
    // Records that a waiting request with the given number of tokens was sent to a replica.
    void served(const ModelId&, double tokens, MonotonicTime now);
    // Records that the model has no loaded replica, and when one is expected.
    void loadExpected(const ModelId&, MonotonicTime readyAt, MonotonicTime now);
    // Records that the model has a loaded replica.
    void loaded(const ModelId&, MonotonicTime now);

    // Returns the tokens per second that were served while requests waited. Returns nothing without enough data.
    std::optional<double> serviceRate(const ModelId&) const;
    // tokensAhead is the result of FairQueue::tokensAhead() for the request. A refusal requires that the predicted
    // wait ends at or after the deadline.
    WaitEstimate estimate(const ModelId&, double tokensAhead, MonotonicTime deadline, MonotonicTime now) const;

private:
    struct ModelState {
        // Both decay with the same half-life, so that their quotient is the recent service rate.
        double tokens = 0;
        double busySeconds = 0;
        bool isBacklogged = false;
        std::optional<MonotonicTime> readyAt;
        MonotonicTime updatedAt {};
    };

    ModelState& stateOf(const ModelId&, MonotonicTime now);

    std::size_t m_maximumModels;
    std::unordered_map<ModelId, ModelState> m_models;
};

} // namespace Catkinwell
