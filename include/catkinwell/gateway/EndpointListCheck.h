#pragma once

#include <catkinwell/gateway/PrefixMirror.h>
#include <optional>

namespace Catkinwell {

// Asks the store whether the mirrored list of endpoints is up to date, with one call at a time. A host that was cut off
// or stood still does not know that it is behind. Pure; not thread safe.
class EndpointListCheck {
public:
    enum class Outcome {
        // The mirror has all that the store had when the check began.
        UpToDate,
        // The store did not answer in time, or the mirror follows no history of it.
        Unavailable,
    };

    // The end of a check, with what it brought.
    struct Result {
        Outcome outcome = Outcome::Unavailable;
        MonotonicTime startedAt {};
        std::vector<StoreEntry> changes;
    };

    // Precondition: no other object uses StoreUser::EndpointCheck.
    explicit EndpointListCheck(std::string prefix);

    // Whether no check is under way.
    bool isFree() const { return m_call.value == 0; }
    // Starts a check. Returns false if the mirror cannot be checked. Precondition: isFree().
    bool start(const PrefixMirror&, MonotonicTime now, EffectList&);
    // Applies what the store had to the mirror. Returns nullopt for a reply to another call.
    std::optional<Result> handle(const StoreReply&, PrefixMirror&);

private:
    std::string m_prefix;
    StoreCallIds m_callIds { StoreUser::EndpointCheck };
    StoreCallId m_call;
    MonotonicTime m_startedAt {};
};

} // namespace Catkinwell
