#include "fleet/FaultChecks.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start { std::chrono::hours(1) };

CallerRequest requestAt(const std::string& id, std::size_t host, Duration at, int status)
{
    return { id, "/read/", "a", host, { status, {}, "", true }, start + at };
}

struct PathLossCase {
    const char* what;
    // Requests after the reaction time that were served and sent.
    std::size_t cutServed;
    std::size_t cutSent;
    std::size_t otherServed;
    std::size_t otherSent;
    bool isDisturbed;
    bool isViolation;
};

struct CrashCase {
    const char* what;
    std::size_t crashes;
    // Tries later than the reaction time after the third crash.
    std::size_t lateTries;
    bool isDisturbed;
    bool isViolation;
};

struct FallCase {
    const char* what;
    std::size_t endpoints;
    std::size_t falls;
    bool isDisturbed;
    bool isViolation;
};

// The hosts 0 and 1 are disturbed all the time.
DisturbanceLog disturbed(bool isDisturbed)
{
    DisturbanceLog log;
    if (isDisturbed) {
        log.begin(0, start);
        log.begin(1, start);
    }
    return log;
}

} // namespace

// Guards against a check that overlooks callers of hosts without a path to endpoints.
TEST_CASE("Callers who are served less at hosts without a path are found")
{
    const auto test = GENERATE(values<PathLossCase>({
        { "all served", 30, 30, 90, 90, false, false },
        { "few failures", 0, 10, 90, 90, false, false },
        { "most failed", 9, 58, 151, 152, false, true },
        { "two thirds as often", 40, 60, 90, 90, false, false },
        { "less than two thirds as often", 38, 60, 90, 90, false, true },
        { "the others are served no better", 10, 60, 15, 90, false, false },
        { "a disturbed host", 9, 58, 151, 152, true, false },
    }));
    INFO(test.what);
    std::vector<CallerRequest> requests;
    for (std::size_t i = 0; i < test.cutSent; ++i)
        requests.push_back(requestAt("cut" + std::to_string(i), 0, 4s, i < test.cutServed ? 200 : 503));
    for (std::size_t i = 0; i < test.otherSent; ++i)
        requests.push_back(requestAt("other" + std::to_string(i), 2, 4s, i < test.otherServed ? 200 : 503));
    // The reaction time is not judged.
    for (std::size_t i = 0; i < 40; ++i)
        requests.push_back(requestAt("early" + std::to_string(i), 0, 2s, 503));
    const std::vector<PathLoss> losses { { { 0 }, start, start + 6s } };
    CHECK(findUnservedCallers(requests, losses, disturbed(test.isDisturbed)).empty() != test.isViolation);
}

// Guards against a check that overlooks a request that goes on ending endpoints.
TEST_CASE("Requests that are tried again after three crashes are found")
{
    const auto test = GENERATE(values<CrashCase>({
        { "three tries more", 6, 3, false, false },
        { "four tries more", 3, 4, false, true },
        { "two crashes", 2, 9, false, false },
        { "sent by disturbed hosts", 3, 9, true, false },
    }));
    INFO(test.what);
    const std::string path = "/note/deadly";
    EndpointHistory records;
    for (std::size_t i = 0; i < test.crashes; ++i)
        records.crashes.push_back({ "e", path, start + i * 100ms });
    std::vector<CallerRequest> requests;
    for (std::size_t i = 0; i < test.lateTries + 5; ++i) {
        const std::string id = "r" + std::to_string(i);
        // The first five come within the reaction time.
        const MonotonicTime at = start + (i < 5 ? 1s : 4s);
        requests.push_back({ id, path, "a", i % 2, {}, at });
        records.executions.push_back({ "e", id, "a", at, path });
        records.executions.push_back({ "e", id + "-other", "a", at, "/note/other" });
    }
    CHECK(findRepeatedCrashes(requests, records, disturbed(test.isDisturbed)).empty() != test.isViolation);
}

// Guards against a check that overlooks brittle endpoints that fall over one after the other.
TEST_CASE("Falls of brittle endpoints are found")
{
    const auto test = GENERATE(values<FallCase>({
        { "two of three", 3, 2, false, false },
        { "three of three", 3, 3, false, true },
        { "three of twelve", 12, 3, false, false },
        { "four of twelve", 12, 4, false, true },
        { "because of disturbed hosts", 3, 9, true, false },
    }));
    INFO(test.what);
    std::vector<CallerRequest> requests;
    EndpointHistory records;
    for (std::size_t i = 0; i < test.falls; ++i) {
        const std::string id = "r" + std::to_string(i);
        requests.push_back(requestAt(id, i % 2, 4s, 503));
        records.falls.push_back({ "o", start + 4s, { id } });
    }
    const std::vector<BrittleTime> times { { start, start + 9s, test.endpoints } };
    CHECK(findFalls(requests, records, times, disturbed(test.isDisturbed)).empty() != test.isViolation);
}

namespace {

struct NoticeCase {
    const char* what;
    // Zero if the endpoint leaves.
    Duration pause;
    std::size_t later;
    // When the requests were sent, and a moment later arrived, after the notice.
    Duration after;
    std::size_t host;
    bool isDisturbed;
    bool isViolation;
};

} // namespace

// Guards against a check that overlooks requests to endpoints that want none.
TEST_CASE("Requests to endpoints that leave or asked for a pause are found")
{
    const auto test = GENERATE(values<NoticeCase>({
        { "two within the pause", 3s, 2, 1s, 0, false, false },
        { "three within the pause", 3s, 3, 1s, 0, false, true },
        { "at its beginning", 3s, 9, 400ms, 0, false, false },
        { "after its end", 3s, 9, 3s, 0, false, false },
        { "from another host", 3s, 9, 1s, 2, false, false },
        { "from a disturbed host", 3s, 9, 1s, 0, true, false },
        { "after the leaving", 0s, 1, 2100ms, 0, false, true },
        { "soon after the leaving", 0s, 9, 1900ms, 0, false, false },
    }));
    INFO(test.what);
    EndpointHistory records;
    std::vector<CallerRequest> requests { requestAt("first", 0, 4s, 200) };
    records.notices.push_back({ "e", "first", start + 4s, test.pause });
    for (std::size_t i = 0; i < test.later; ++i) {
        const std::string id = "r" + std::to_string(i);
        requests.push_back(requestAt(id, test.host, 4s + test.after, 200));
        records.arrivals.push_back({ "e", id, start + 4s + test.after + 1ms });
    }
    CHECK(findUnwantedRequests(requests, records, {}, disturbed(test.isDisturbed)).empty() != test.isViolation);
    const std::vector<PathLoss> losses { { { 1 }, start, start + 20s } };
    CHECK(findUnwantedRequests(requests, records, losses, {}).empty());
}

namespace {

struct AccountCase {
    const char* what;
    std::vector<RequestAccounts> accounts;
    std::size_t violations;
};

struct UnansweredCase {
    const char* what;
    int status;
    // When the host is disturbed, after the request was sent; nullopt if it is not.
    std::optional<Duration> disturbedAt;
    bool isViolation;
    // When all requests before it on its connection were answered, after it was sent.
    Duration turn {};
    bool mayBeUnread = false;
};

} // namespace

// Guards against a check that overlooks a request that was read whole and never ended, or that ended twice.
TEST_CASE("Requests that did not end are found")
{
    const auto test = GENERATE(values<AccountCase>({
        { "no hosts", {}, 0 },
        { "all ended", { { "a", 7, 7 }, { "b", 0, 0 } }, 0 },
        { "one open", { { "a", 7, 6 }, { "b", 3, 3 } }, 1 },
        { "one counted twice", { { "a", 7, 8 } }, 1 },
        { "an open one and a repeated one at two hosts", { { "a", 7, 8 }, { "b", 8, 7 } }, 2 },
    }));
    INFO(test.what);
    CHECK(findOpenRequests(test.accounts).size() == test.violations);
}

// Guards against a check that overlooks a request without an answer.
TEST_CASE("Requests without an answer are found")
{
    const auto test = GENERATE(values<UnansweredCase>({
        { "answered", 200, std::nullopt, false },
        { "refused", 503, std::nullopt, false },
        { "without an answer", 0, std::nullopt, true },
        { "at a host that is disturbed before", 0, -1s, false },
        { "at a host that is disturbed meanwhile", 0, 7s, false },
        { "at a host that is disturbed later", 0, 9s, true },
        { "behind others at a host that is disturbed meanwhile", 0, 9s, false, 2s },
        { "behind others at a host that is disturbed later", 0, 11s, true, 2s },
        { "behind an announced end", 0, std::nullopt, false, {}, true },
    }));
    INFO(test.what);
    DisturbanceLog disturbances;
    if (test.disturbedAt)
        disturbances.begin(0, start + 10s + *test.disturbedAt);
    CallerRequest request = requestAt("r", 0, 10s, test.status);
    request.firstAt = request.sentAt + test.turn;
    request.mayBeUnread = test.mayBeUnread;
    CHECK(findUnansweredRequests({ request }, 8s, disturbances).empty() != test.isViolation);
}

namespace {

struct LostCase {
    const char* what;
    // When the request was sent and when its connection closed.
    Duration sentAt;
    Duration endedAt;
    // Whether the connection closed before the answer was complete, and whether the request had reached an endpoint.
    bool wasClosed;
    bool hasReached;
    // When the host got a SIGTERM, and when an unplanned fault ended.
    std::optional<Duration> stoppedAt;
    std::optional<Duration> calmSince;
    bool isViolation;
    // When all requests before it on its connection were answered, if there were any.
    std::optional<Duration> turn {};
    bool mayBeUnread = false;
};

} // namespace

// Guards against a check that overlooks requests of which the caller hears nothing more.
TEST_CASE("Requests that reached an endpoint and ended with a closed connection are found")
{
    const auto test = GENERATE(values<LostCase>({
        { "in calm", 4s, 5s, true, true, {}, {}, true },
        { "with an answer", 4s, 5s, false, true, {}, {}, false },
        { "not passed on", 4s, 5s, true, false, {}, {}, false },
        { "at the time limit", 4s, 12s, true, true, {}, {}, false },
        { "soon after a fault", 4s, 5s, true, true, {}, 2s, false },
        { "long after a fault", 4s, 5s, true, true, {}, 1s, true },
        { "before a fault that goes on", 4s, 5s, true, true, {}, 20s, false },
        { "early in a planned stop", 4s, 9s, true, true, 3s, {}, true },
        { "late in a planned stop", 4s, 11s, true, true, 3s, {}, false },
        { "late in a planned stop and sent late", 7s, 11s, true, true, 3s, {}, true },
        { "at the end of a process that stopped long ago", 20s, 21s, true, true, 3s, {}, true },
        { "long behind others", 4s, 12s, true, true, {}, {}, true, 9s },
        { "at the time limit behind others", 4s, 17s, true, true, {}, {}, false, 9s },
        { "behind an announced end", 4s, 5s, true, true, {}, {}, true, {}, true },
        { "not passed on, behind an announced end", 4s, 5s, true, false, {}, {}, false, {}, true },
    }));
    INFO(test.what);
    CallerRequest request { "r", "/order/", "a", 0, {}, start + test.sentAt };
    request.endedAt = start + test.endedAt;
    request.wasClosed = test.wasClosed;
    request.firstAt = start + test.turn.value_or(0s);
    request.mayBeUnread = test.mayBeUnread;
    EndpointHistory records;
    if (test.hasReached)
        records.arrivals.push_back({ "o-0", "r", request.sentAt + 1ms });
    std::vector<PlannedStop> stops;
    if (test.stoppedAt)
        stops.push_back({ 0, start + *test.stoppedAt });
    DisturbanceLog disturbances;
    if (test.calmSince)
        disturbances.end(disturbances.begin(0, start), start + *test.calmSince);
    disturbances.begin(0, start, DisturbanceCause::PlannedWork);
    CHECK_FALSE(disturbances.isCalm(0, request.sentAt));
    const DisturbanceLog unplanned = disturbances.withoutPlannedWork();
    CHECK(findLostRequests({ request }, records, stops, {}, unplanned).empty() != test.isViolation);

    // What the endpoint or its link did is not the host's fault.
    const std::vector<PathLoss> losses { { {}, start, start + 30s } };
    CHECK(findLostRequests({ request }, records, stops, losses, unplanned).empty());
    records.breaks.push_back({ "o-0", "r", request.endedAt });
    CHECK(findLostRequests({ request }, records, stops, {}, unplanned).empty());
}
