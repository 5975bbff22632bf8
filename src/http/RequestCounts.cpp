#include <catkinwell/http/RequestCounts.h>

#include <catkinwell/core/EnumNames.h>
#include <numeric>

namespace Catkinwell {

namespace {

    constexpr EnumNames<AnswerEnd, answerEndCount> endNames { {
        { AnswerEnd::Written, "written" },
        { AnswerEnd::Aborted, "aborted" },
        { AnswerEnd::CallerLeft, "caller_left" },
        { AnswerEnd::WriteError, "write_error" },
        { AnswerEnd::Idle, "idle" },
        { AnswerEnd::ProcessEnd, "process_end" },
    } };

    constexpr EnumNames<RejectionReason, rejectionReasonCount> reasonNames { {
        { RejectionReason::Malformed, "malformed" },
        { RejectionReason::TooLarge, "too_large" },
        { RejectionReason::TooSlow, "too_slow" },
        { RejectionReason::MemoryFull, "memory_full" },
    } };

} // namespace

std::string_view nameOf(AnswerEnd end) { return endNames.nameOf(end); }

std::string_view nameOf(RejectionReason reason) { return reasonNames.nameOf(reason); }

std::uint64_t RequestCounts::open() const
{
    return read - std::accumulate(ended.begin(), ended.end(), std::uint64_t { 0 });
}

} // namespace Catkinwell
