#pragma once

#include <catkinwell/store/StoreTypes.h>
#include <optional>

namespace Catkinwell {

// Tracks the epoch that a store states in its answers, so that a restore from an older copy is noticed by all who call
// it. Not thread safe.
class StoreEpochTracker {
public:
    // The newest epoch in an answer; 0 before the first.
    StoreEpoch current() const { return m_current; }

    // Notes the epoch of an answer. Returns the restore that it shows, if any.
    std::optional<StoreRestored> note(StoreEpoch answered)
    {
        if (answered <= m_current)
            return std::nullopt;
        const StoreEpoch previous = std::exchange(m_current, answered);
        return previous == 0 ? std::nullopt : std::optional(StoreRestored { previous, answered });
    }

    // Whether a call was answered in the epoch in which it was sent, as far as both are known. The caller can't use
    // other answers: their versions and leases belong to another history than what it knows.
    static bool isSameHistory(StoreEpoch atSending, StoreEpoch answered)
    {
        return atSending == 0 || answered == 0 || atSending == answered;
    }

    // The status of a call that was answered in another epoch than that in which it was sent.
    static StoreStatus statusAcrossRestore(const StoreOperation& operation)
    {
        const bool readsPrefix
            = std::holds_alternative<StoreList>(operation) || std::holds_alternative<StoreWatchPrefix>(operation);
        return readsPrefix ? StoreStatus::HistoryLost : StoreStatus::Unknown;
    }

private:
    StoreEpoch m_current = 0;
};

} // namespace Catkinwell
