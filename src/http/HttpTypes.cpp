#include <catkinwell/http/HttpTypes.h>

#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<AttemptOutcome, 2> attemptOutcomeNames { {
        { AttemptOutcome::NotSent, "not_sent" },
        { AttemptOutcome::Unknown, "unknown" },
    } };

} // namespace

std::string_view nameOf(AttemptOutcome outcome) { return attemptOutcomeNames.nameOf(outcome); }

} // namespace Catkinwell
