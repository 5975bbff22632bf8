#include <catkinwell/gateway/RequestEnds.h>

#include <catkinwell/core/EnumNames.h>
#include <numeric>

namespace Catkinwell {

namespace {

    constexpr EnumNames<RequestEnd, requestEndCount> endNames { {
        { RequestEnd::Finished, "finished" },
        { RequestEnd::Refused, "refused" },
        { RequestEnd::Failed, "failed" },
        { RequestEnd::Aborted, "aborted" },
        { RequestEnd::CallerLeft, "caller_left" },
    } };

} // namespace

std::string_view nameOf(RequestEnd end) { return endNames.nameOf(end); }

std::uint64_t RequestEnds::open() const
{
    return accepted - std::accumulate(ended.begin(), ended.end(), std::uint64_t { 0 });
}

} // namespace Catkinwell
