#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <optional>
#include <unordered_map>

namespace Catkinwell {

// What admission does with a new request.
struct WaitJudgement {
    // Nothing when neither the service rate nor a load time is known.
    std::optional<Duration> expectedWait;
    // Set when the deadline cannot be met; a repeat after this time may succeed.
    std::optional<Duration> refuseRetryAfter;
};

// Predicts how long a new request waits for a replica, from the work before it, the rate at which
// the model's queue was served lately, and the remaining load time of a cold model.
//
// The rate counts only the time in which requests waited for a loaded model, so that an idle model
// does not look like a slow one. Without enough evidence there is no prediction and no refusal. Not thread safe.
class WaitEstimator {
public:
    // Models beyond this number replace the one that was used least recently.
    explicit WaitEstimator(std::size_t maximumModels = 4096);

    // Requests began, or ceased, to wait for the model. Repeated calls with the same value have no effect.
    void setBacklogged(const ModelId&, bool backlogged, MonotonicTime now);
    // A waiting request of the given size was taken from the queue and sent to a replica.
    void served(const ModelId&, double tokens, MonotonicTime now);
    // The model has no loaded replica and is expected to have one at the given time.
    void loadExpected(const ModelId&, MonotonicTime readyAt, MonotonicTime now);
    // The model has a loaded replica.
    void loaded(const ModelId&, MonotonicTime now);

    // Tokens a second while requests waited; nothing without enough evidence.
    std::optional<double> serviceRate(const ModelId&) const;
    // Precondition: tokensAhead is FairQueue::tokensAhead() of the request. Refuses only if the predicted
    // wait ends at or after the deadline.
    WaitJudgement judge(const ModelId&, double tokensAhead, MonotonicTime deadline, MonotonicTime now) const;

private:
    struct ModelState {
        // Both decay with the same half-life, so that their quotient follows the recent past.
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
