#include <catch2/catch.hpp>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/routing/PromptQuarantine.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr PromptPartHash deadly = 1;
constexpr PromptPartHash companion = 2;
constexpr PromptPartHash popular = 3;
constexpr RequestFingerprint firstRequest = 1000;

// Hosts that exchange digests. Every request is a new one unless its fingerprint is given.
struct PromptFleet {
    explicit PromptFleet(std::size_t count)
        : hosts(count)
    {
    }

    void crash(std::size_t host, const std::vector<PromptParts>& requests, const std::string& endpoint = "")
    {
        const EndpointId id(endpoint.empty() ? "engine-" + std::to_string(++lastEndpoint) : endpoint);
        for (const PromptParts& parts : requests)
            hosts[host].attemptBroken(id, { ++lastRequest, parts }, now);
    }

    void answer(std::size_t host, const PromptParts& parts)
    {
        for (int i = 0; i < 5; ++i)
            hosts[host].answered(parts, now);
    }

    // Delivers the digests, except between the two groups of a partition.
    void pass(Duration duration, std::size_t firstGroup = 0)
    {
        for (const MonotonicTime end = now + duration; now < end; now += 100ms) {
            for (PromptQuarantine& host : hosts)
                host.tick(now);
            for (std::size_t from = 0; from < hosts.size(); ++from) {
                const PromptQuarantineDigest digest = hosts[from].nextDigest(now);
                for (std::size_t to = 0; to < hosts.size(); ++to) {
                    if (to != from && (from < firstGroup) == (to < firstGroup))
                        hosts[to].merge(digest, now);
                }
            }
        }
    }

    bool isRefused(std::size_t host, const PromptParts& parts) const { return hosts[host].isRefused(parts, now); }

    std::vector<PromptQuarantine> hosts;
    MonotonicTime now { 1h };
    // The hash of a request differs from those of all parts.
    RequestFingerprint lastRequest = firstRequest;
    int lastEndpoint = 0;
};

// Three crashes with the deadly part, each at another host, and answers to popular requests between them.
void convict(PromptFleet& fleet)
{
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.crash(i % fleet.hosts.size(), { { deadly, companion, popular }, { popular } });
        fleet.pass(1s);
        for (std::size_t host = 0; host < fleet.hosts.size(); ++host)
            fleet.answer(host, { popular });
    }
    fleet.pass(1s);
}

} // namespace

// Guards against crashes at different hosts that no host counts together.
TEST_CASE("Every host refuses a prompt part that crashed three endpoints of the fleet")
{
    PromptFleet fleet(GENERATE(1U, 3U, 8U));
    convict(fleet);
    for (std::size_t host = 0; host < fleet.hosts.size(); ++host) {
        CHECK(fleet.isRefused(host, { deadly, companion, 77 }));
        CHECK_FALSE(fleet.isRefused(host, { popular }));
        CHECK_FALSE(fleet.isRefused(host, { companion, popular }));
    }
}

// Guards against refusing sound requests that share another part with all crashing requests.
TEST_CASE("Parts that always occur together are refused only together until one of them is answered")
{
    PromptFleet fleet(2);
    convict(fleet);
    CHECK_FALSE(fleet.isRefused(0, { deadly, 78 }));
    SECTION("an answer to one part narrows the refusal to the other at all hosts")
    {
        fleet.answer(1, { companion });
        fleet.pass(200ms);
        CHECK(fleet.isRefused(0, { deadly, 78 }));
        CHECK_FALSE(fleet.isRefused(0, { companion, 78 }));
    }
    SECTION("a crash without one of the parts accuses the other alone")
    {
        fleet.crash(0, { { deadly, popular } });
        fleet.answer(0, { popular });
        fleet.pass(1s);
        CHECK(fleet.isRefused(1, { deadly, 78 }));
    }
    SECTION("an answer to all parts ends the refusal")
    {
        fleet.hosts[0].takeChanges(fleet.now);
        fleet.answer(1, { deadly, companion });
        fleet.pass(200ms);
        CHECK_FALSE(fleet.isRefused(0, { deadly, companion }));
        const auto changes = fleet.hosts[0].takeChanges(fleet.now);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].parts.empty());
    }
}

namespace {

struct InnocentCase {
    const char* name;
    // Time between two crashes, how many there are, and whether one request is repeated each time.
    Duration interval;
    int crashes;
    bool isOneRequest;
    // Whether a request with the part is answered after each crash.
    bool isAnswered;
};

} // namespace

// Guards against sound requests that are turned away because endpoints failed for another reason.
TEST_CASE("A part is not refused for crashes that it did not cause")
{
    const auto test = GENERATE(values<InnocentCase>({
        { "a rack that fails at once", 0ms, 8, false, false },
        { "an answer after each crash", 2s, 8, false, true },
        { "one repeated request", 2s, 8, true, false },
        { "two crashes", 2s, 2, false, false },
    }));
    INFO(test.name);
    PromptFleet fleet(2);
    constexpr PromptPartHash part = 9;
    for (int i = 0; i < test.crashes; ++i) {
        if (test.isOneRequest)
            fleet.lastRequest = firstRequest;
        fleet.crash(0, { { part } });
        if (test.interval > Duration::zero())
            fleet.pass(test.interval);
        if (test.isAnswered)
            fleet.answer(1, { part });
        fleet.answer(0, { popular });
    }
    fleet.pass(2s);
    CHECK_FALSE(fleet.isRefused(0, { part }));
    CHECK_FALSE(fleet.isRefused(1, { part }));
}

// Guards against a fleet whose endpoints answer nothing else meanwhile.
TEST_CASE("Five crashes suffice if no other request was answered")
{
    PromptFleet fleet(2);
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(fleet.isRefused(0, { deadly }));
        fleet.crash(0, { { deadly } });
        fleet.pass(1s);
    }
    CHECK(fleet.isRefused(0, { deadly }));
    CHECK(fleet.isRefused(1, { deadly }));
}

// Guards against refusing what ran beside the cause.
TEST_CASE("Crashes that a refused part explains are no evidence against others")
{
    PromptFleet fleet(2);
    convict(fleet);
    for (int i = 0; i < 4; ++i) {
        fleet.crash(0, { { deadly, companion }, { 50 } });
        fleet.answer(0, { popular });
        fleet.pass(1s);
    }
    CHECK_FALSE(fleet.isRefused(0, { 50 }));
}

// Guards against hosts that learn of a refusal too late, or keep it for ever by telling each other.
TEST_CASE("A refusal reaches hosts after a partition or a restart and expires at all hosts")
{
    PromptFleet fleet(4);
    for (int i = 0; i < 3; ++i) {
        fleet.crash(0, { { deadly } });
        fleet.answer(0, { popular });
        fleet.pass(1s, 2);
    }
    CHECK(fleet.isRefused(1, { deadly }));
    CHECK_FALSE(fleet.isRefused(2, { deadly }));
    fleet.pass(1s);
    CHECK(fleet.isRefused(2, { deadly }));
    fleet.hosts[3] = PromptQuarantine();
    fleet.pass(1s);
    CHECK(fleet.isRefused(3, { deadly }));
    fleet.now += 9min;
    fleet.pass(500ms);
    CHECK(fleet.isRefused(3, { deadly }));
    fleet.pass(1min);
    for (std::size_t host = 0; host < 4; ++host)
        CHECK(fleet.hosts[host].refusals(fleet.now).empty());
}

// Guards against memory and messages that grow with the number of crashes or of distinct parts.
TEST_CASE("The prompt quarantine's state and digests are bounded")
{
    PromptQuarantineSettings settings;
    PromptQuarantine quarantine(settings);
    MonotonicTime now { 1h };
    RandomGenerator random(3);
    for (RequestFingerprint i = 1; i <= 20000; ++i) {
        now += 20ms;
        quarantine.attemptBroken(EndpointId("e" + std::to_string(random.below(400))),
            { i, { random.below(300), 1000 + random.below(300) } }, now);
        if (i % 10 == 0)
            quarantine.answered({ 5000 + i, random.below(300) }, now);
        if (i % 100 == 0)
            quarantine.tick(now);
    }
    CHECK(quarantine.refusals(now).size() <= settings.maximumRefusals);
    const PromptQuarantineDigest digest = quarantine.nextDigest(now);
    CHECK(digest.crashes.size() <= settings.maximumReported);
    CHECK(digest.refused.size() <= settings.maximumReported);
    CHECK(digest.answered.size() <= settings.maximumReportedAnswers);
    for (const PromptCrashReport& crash : digest.crashes)
        CHECK(crash.requests.size() <= settings.maximumRequestsPerCrash);
}

// Guards against a request that crashes endpoints one after the other and is taken for the concern of another module.
TEST_CASE("A request that crashed three endpoints is refused alone")
{
    const bool areOthersAnswered = GENERATE(false, true);
    PromptFleet fleet(3);
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.lastRequest = firstRequest;
        fleet.crash(i, { { companion, popular } });
        fleet.pass(1s);
        if (areOthersAnswered)
            fleet.answer(0, { popular });
    }
    fleet.pass(1s);
    for (std::size_t host = 0; host < 3; ++host) {
        CHECK(fleet.isRefused(host, { companion, popular, firstRequest + 1 }));
        CHECK_FALSE(fleet.isRefused(host, { companion, popular, firstRequest + 2 }));
    }
}

// Guards against refusing a stream that ran beside the request that crashed its endpoints, each time it was resumed.
TEST_CASE("A stream beside a crashing request is not refused for its crashes")
{
    PromptFleet fleet(2);
    constexpr RequestFingerprint guilty = firstRequest + 7;
    constexpr RequestFingerprint beside = firstRequest + 3;
    for (int i = 0; i < 3; ++i) {
        const EndpointId engine("engine-" + std::to_string(i));
        fleet.hosts[0].attemptBroken(engine, { beside, { companion }, 1, 20 }, fleet.now);
        fleet.hosts[1].attemptBroken(engine, { guilty, { popular }, 1, 1 }, fleet.now);
        fleet.pass(1s);
    }
    fleet.pass(1s);
    for (std::size_t host = 0; host < 2; ++host) {
        CHECK(fleet.isRefused(host, { popular, guilty }));
        CHECK_FALSE(fleet.isRefused(host, { companion, beside }));
    }
}

namespace {

struct SuspicionCase {
    const char* name;
    // Crashes with the part, and runs with it in each of them.
    int crashes;
    std::uint32_t runs;
    bool wasAnsweredBefore;
    bool isAnsweredAfter;
    bool expectedSuspected;
    bool expectedStrong;
};

} // namespace

// Guards against holding back requests for a part that one crash accuses and many answers clear.
TEST_CASE("A part is suspected as far as the crashes speak against it")
{
    const auto test = GENERATE(values<SuspicionCase>({
        { "no crash", 0, 1, false, false, false, false },
        { "one crash", 1, 1, false, false, true, false },
        { "one crash of a part that was answered before", 1, 5, true, false, false, false },
        { "several runs in one crash", 1, 3, false, false, true, true },
        { "two crashes", 2, 1, false, false, true, true },
        { "two crashes of a part that was answered before", 2, 1, true, false, true, true },
        { "two crashes and an answer", 2, 5, false, true, false, false },
    }));
    INFO(test.name);
    PromptQuarantine quarantine;
    MonotonicTime now { 1h };
    if (test.wasAnsweredBefore)
        quarantine.answered({ popular }, now);
    for (int i = 0; i < test.crashes; ++i) {
        now += 1s;
        quarantine.attemptBroken(EndpointId("e" + std::to_string(i)), { firstRequest, { popular }, test.runs }, now);
    }
    if (test.isAnsweredAfter)
        quarantine.answered({ popular }, now + 1ms);
    const Suspicion suspicion = quarantine.suspicionOf({ popular }, now);
    CHECK(suspicion.parts.contains(popular) == test.expectedSuspected);
    CHECK(suspicion.isStrong() == test.expectedStrong);
}

namespace {

struct RestCase {
    const char* name;
    // Events after which the first endpoint broke the stream off, and those of the rest that another one completed.
    std::uint32_t eventsAtCrash;
    std::uint32_t eventsOfRest;
    bool expectedSuspected;
};

} // namespace

// Guards against a stream that crashes endpoints after some events and whose last few events clear it.
TEST_CASE("The rest of an answer clears a request only if it is longer than what crashed")
{
    const auto test = GENERATE(values<RestCase>({
        { "a shorter rest", 3, 1, true },
        { "an equal one", 3, 3, true },
        { "a longer one", 3, 4, false },
        { "an empty rest", 0, 0, true },
    }));
    INFO(test.name);
    PromptQuarantine quarantine;
    const MonotonicTime now { 1h };
    quarantine.attemptBroken(EndpointId("e"), { firstRequest, { companion }, 1, test.eventsAtCrash }, now);
    quarantine.answeredRest({ companion, firstRequest }, test.eventsOfRest, now + 1s);
    CHECK(quarantine.suspicionOf({ companion }, now + 1s).parts.contains(companion) == test.expectedSuspected);
}

namespace {

struct LaterRequestCase {
    const char* name;
    // How long the request had run when its connection broke, 100 ms after the crash.
    Duration ranFor;
    bool wasAnswered;
    // Whether another host saw the crash, and this one did not know of it yet.
    bool isCrashOfPeer;
    bool expectedSuspected;
};

} // namespace

// Guards against accusing requests of a crash that had happened before they were sent.
TEST_CASE("Only requests that ran when an endpoint crashed are suspected")
{
    const auto test = GENERATE(values<LaterRequestCase>({
        { "sent before the crash", 150ms, false, false, true },
        { "sent after the crash", 50ms, false, false, false },
        { "sent after the crash, and answered", 50ms, true, false, true },
        { "sent before the crash that another host saw", 150ms, false, true, true },
        { "sent after the crash that another host saw", 50ms, false, true, false },
        { "sent after the crash that another host saw, and answered", 50ms, true, true, true },
    }));
    INFO(test.name);
    PromptFleet fleet(2);
    const EndpointId endpoint("e");
    fleet.hosts[test.isCrashOfPeer ? 0 : 1].attemptBroken(endpoint, { 900, { deadly } }, fleet.now);
    fleet.now += 100ms;
    BrokenRequest later { 901, { companion } };
    later.ranFor = test.ranFor;
    later.wasAnswered = test.wasAnswered;
    fleet.hosts[1].attemptBroken(endpoint, later, fleet.now);
    fleet.pass(1s);
    for (std::size_t host = 0; host < 2; ++host) {
        CHECK(fleet.hosts[host].suspicionOf({ companion }, fleet.now).parts.contains(companion)
            == test.expectedSuspected);
        CHECK(fleet.hosts[host].suspicionOf({ deadly }, fleet.now).parts.contains(deadly));
    }
}

// Guards against a request that runs into an endpoint that is down, again and again, and is refused for that.
TEST_CASE("Connections to an endpoint that is down accuse no request")
{
    PromptQuarantine quarantine;
    MonotonicTime now { 1h };
    quarantine.attemptBroken(EndpointId("e"), { 900, { deadly } }, now);
    BrokenRequest later { 901, { companion } };
    later.ranFor = 1ms;
    for (int i = 0; i < 80; ++i) {
        now += 100ms;
        quarantine.attemptBroken(EndpointId("e"), later, now);
        quarantine.tick(now);
    }
    CHECK_FALSE(quarantine.isRefused({ companion, 901 }, now + 1s));
}

namespace {

constexpr RequestFingerprint repeated = 500;

// One request crashes three endpoints. Beside the first crash, a sound one with the same companion was broken off.
void convictOneRequest(PromptFleet& fleet)
{
    PromptQuarantine& host = fleet.hosts.front();
    for (int i = 0; i < 3; ++i) {
        const EndpointId endpoint("engine-" + std::to_string(i));
        host.attemptBroken(endpoint, { repeated, { deadly, companion, popular, repeated } }, fleet.now);
        if (i == 0)
            host.attemptBroken(endpoint, { 600, { companion, popular, 600 }, 1, 40 }, fleet.now);
        fleet.pass(1s);
        fleet.answer(0, { popular });
    }
    fleet.pass(1s);
    REQUIRE(fleet.isRefused(0, { deadly, companion, popular, repeated }));
}

} // namespace

// Guards against sound requests that are refused for a part which they share with a refused request.
TEST_CASE("A part is not refused alone for crashes that a refusal with it accounts for")
{
    struct Case {
        const char* name;
        // The parts of another request that crashes an endpoint, and what is refused then.
        PromptParts crashing;
        PromptParts refused;
        PromptParts served;
    };
    const auto test = GENERATE(values<Case>({
        { "no other crash", {}, { deadly, companion, repeated }, { companion, 601 } },
        { "another request with the deadly part", { deadly, 700 }, { deadly, 701 }, { companion, 601 } },
        { "another request with the companion", { companion, 700 }, { companion, 701 }, { deadly, 601 } },
    }));
    INFO(test.name);
    PromptFleet fleet(1);
    convictOneRequest(fleet);
    if (!test.crashing.empty())
        fleet.crash(0, { test.crashing });
    fleet.pass(1s);
    fleet.answer(0, { popular });
    CHECK(fleet.isRefused(0, test.refused));
    CHECK_FALSE(fleet.isRefused(0, test.served));
}

// Guards against copies of a request that run at once, because another refusal accounts for the crashes of a part that
// they share with a refused request.
TEST_CASE("A part of a refusal stays suspected until it is answered")
{
    struct Case {
        const char* name;
        bool isAnswered;
        bool isSuspected;
    };
    const auto test = GENERATE(values<Case>({ { "not answered", false, true }, { "answered since", true, false } }));
    INFO(test.name);
    PromptFleet fleet(1);
    convictOneRequest(fleet);
    PromptQuarantine& host = fleet.hosts.front();
    host.adopt({ 1, { companion } }, fleet.now);
    REQUIRE_FALSE(fleet.isRefused(0, { deadly, 700 }));
    if (test.isAnswered)
        host.answered({ deadly }, fleet.now);
    CHECK(host.suspicionOf({ deadly, 700 }, fleet.now).strongParts.contains(deadly) == test.isSuspected);
}
