#include <catkinwell/http/HttpTypes.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<AttemptOutcome, 2> attemptOutcomeNames { {
        { AttemptOutcome::NotSent, "not_sent" },
        { AttemptOutcome::Unknown, "unknown" },
    } };

    constexpr EnumNames<AttemptFailure, 5> attemptFailureNames { {
        { AttemptFailure::Connect, "connect" },
        { AttemptFailure::Broken, "broken" },
        { AttemptFailure::Silence, "silence" },
        { AttemptFailure::Garbage, "garbage" },
        { AttemptFailure::Withheld, "withheld" },
    } };

} // namespace

std::string_view nameOf(AttemptOutcome outcome) { return attemptOutcomeNames.nameOf(outcome); }

std::string_view nameOf(AttemptFailure failure) { return attemptFailureNames.nameOf(failure); }

} // namespace Catkinwell
