#include "http/BodyBuffer.h"
#include "http/BodyProgress.h"
#include "http/InputRejection.h"
#include "runtime/DescriptorLimit.h"
#include <catch2/catch.hpp>
#include <catkinwell/http/InputBudget.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = 1'000'000;

struct InputState {
    const char* address;
    std::size_t bytes;
    Duration age;
    Duration sinceLastByte;
};

struct RejectionCase {
    const char* load;
    std::vector<InputState> inputs;
    std::size_t bytesToFree;
    std::vector<std::size_t> expected;
};

// A connection whose request is given up when it is rejected.
class FakeHolder final : public InputHolder {
public:
    FakeHolder(const std::shared_ptr<InputBudget>& budget, const char* address)
        : share(budget, *this, address)
    {
    }
    void rejectInput() override
    {
        isRejected = true;
        share.holdComplete(0);
    }

    bool isRejected = false;
    InputShare share;
};

struct ProgressCase {
    const char* what;
    std::size_t received;
    Duration elapsed;
    bool isBehind;
};

} // namespace

// Guards against the rejection of requests that arrive well, for the sake of those that have stopped.
TEST_CASE("The unfinished requests with the least progress are rejected first")
{
    const MonotonicTime now { 1h };
    const auto test = GENERATE(values<RejectionCase>({
        { "a single large request", { { "a", 40 * megabyte, 9s, 5s } }, megabyte, {} },
        { "bodies that stopped just before their end, beside one that arrives",
            { { "a", megabyte, 9s, 2s }, { "b", 4 * megabyte, 9s, 0s }, { "a", megabyte, 9s, 3s } }, 2 * megabyte,
            { 0, 2 } },
        { "slow bodies beside fast ones",
            { { "a", 2 * megabyte, 4s, 0s }, { "b", 2 * megabyte, 400s, 0s }, { "c", 2 * megabyte, 40s, 0s } },
            3 * megabyte, { 1, 2 } },
        { "one address with many new bodies beside one with a single body",
            { { "a", megabyte, 0s, 0s }, { "b", 3 * megabyte, 0s, 0s }, { "a", 2 * megabyte, 0s, 0s },
                { "a", megabyte, 0s, 0s } },
            megabyte, { 2 } },
        { "a request that has just begun beside a slow one",
            { { "a", megabyte, 10ms, 0s }, { "b", megabyte, 10s, 0s } }, megabyte, { 1 } },
        { "very small ones that have stopped beside a large one that arrives",
            { { "a", 100, 9s, 8s }, { "b", 100, 9s, 8s }, { "c", megabyte, 9s, 0s } }, megabyte, { 2 } },
        { "more to free than there is", { { "a", megabyte, 9s, 8s }, { "b", megabyte, 9s, 0s } }, 9 * megabyte, { 0 } },
    }));
    std::vector<UnfinishedInput> inputs;
    for (const InputState& state : test.inputs)
        inputs.push_back({ state.address, state.bytes, state.bytes, now - state.age, now - state.sinceLastByte });
    std::vector<const UnfinishedInput*> pointers;
    for (const UnfinishedInput& input : inputs)
        pointers.push_back(&input);
    auto chosen = chooseRejectedInputs(pointers, test.bytesToFree, now);
    std::sort(chosen.begin(), chosen.end());
    INFO(test.load);
    CHECK(chosen == test.expected);
}

// Guards against an account that grows without bound, that rejects a lone caller, or that counts what has ended.
TEST_CASE("Unfinished requests of all listeners stay under the limit of their process")
{
    const auto budget = std::make_shared<InputBudget>(InputLimits { 8 * megabyte, 100 });
    MonotonicTime now { 1h };
    FakeHolder stopped(budget, "a");
    FakeHolder arriving(budget, "b");
    stopped.share.holdUnfinished(6 * megabyte, 6 * megabyte, now);
    now += 5s;
    budget->enforce(now);
    CHECK_FALSE(stopped.isRejected);
    CHECK(arriving.share.hasRoomFor(2 * megabyte));
    CHECK_FALSE(arriving.share.hasRoomFor(3 * megabyte));
    arriving.share.holdUnfinished(3 * megabyte, 3 * megabyte, now);
    budget->enforce(now);
    CHECK(stopped.isRejected);
    CHECK_FALSE(arriving.isRejected);
    CHECK(budget->heldBytes() == 3 * megabyte);
    CHECK(budget->counts().bytes == 6 * megabyte);
    arriving.share.holdUnfinished(20 * megabyte, 20 * megabyte, now);
    budget->enforce(now);
    CHECK_FALSE(arriving.isRejected);
    CHECK(arriving.share.hasRoomFor(20 * megabyte));
    arriving.share.release();
    CHECK(budget->heldBytes() == 0);
}

// Guards against complete requests and unread answers that leave no room for the account.
TEST_CASE("What the process keeps besides counts against unfinished requests")
{
    const auto budget = std::make_shared<InputBudget>(InputLimits { 8 * megabyte, 100 });
    const MonotonicTime now { 1h };
    FakeHolder first(budget, "a");
    FakeHolder second(budget, "b");
    FakeHolder answering(budget, "b");
    first.share.holdUnfinished(2 * megabyte, 2 * megabyte, now);
    second.share.holdUnfinished(megabyte, megabyte, now);
    answering.share.holdComplete(megabyte);
    budget->setOtherBytes(6 * megabyte);
    budget->enforce(now);
    CHECK(first.isRejected);
    CHECK_FALSE(second.isRejected);
    CHECK_FALSE(answering.isRejected);
}

// Guards against callers that take the descriptors of the store and of checks.
TEST_CASE("Listeners leave descriptors and each other's connections free")
{
    CHECK(connectionsWithin(64) == 32);
    CHECK(connectionsWithin(1024) == 768);
    CHECK(connectionsWithin(65536) == 65536 - 2048);
    const auto budget = std::make_shared<InputBudget>(InputLimits { megabyte, 16 });
    CHECK(budget->admitConnection(13));
    CHECK_FALSE(budget->admitConnection(14));
    std::vector<std::unique_ptr<FakeHolder>> open;
    for (int i = 0; i < 16; ++i)
        open.push_back(std::make_unique<FakeHolder>(budget, "a"));
    CHECK_FALSE(budget->admitConnection(1));
    open.pop_back();
    CHECK(budget->admitConnection(1));
    CHECK(budget->counts().connections == 2);
}

// Guards against bodies that never end, and against the rejection of callers on slow links.
TEST_CASE("Bodies must arrive at a least rate beyond one pause")
{
    const auto test = GENERATE(values<ProgressCase>({
        { "a pause as long as may be", 1, 60s, false },
        { "a byte from time to time", 3, 150s, true },
        { "a slow modem's large body", 1'000'000, 1000s, false },
        { "two pauses around a large part", 100'000, 119s, false },
    }));
    const MonotonicTime now { 1h };
    BodyProgress progress;
    progress.begin(now);
    INFO(test.what);
    CHECK(progress.isBehind(test.received, 64, 60s, now + test.elapsed) == test.isBehind);
    CHECK_FALSE(progress.isBehind(test.received, 0, 60s, now + test.elapsed));
}

// Guards against bodies that take much more memory than their size, and against lost bytes between blocks.
TEST_CASE("A collected body takes little more than its size")
{
    const std::size_t size = GENERATE(0, 1, 16 * 1024, 16 * 1024 + 1, 3'900'000);
    const std::size_t part = GENERATE(as<std::size_t>(), 1000, 70'000);
    const bool isDeclared = GENERATE(false, true);
    std::string sent;
    for (std::size_t i = 0; i < size; ++i)
        sent += static_cast<char>('a' + i % 23);
    BodyBuffer body;
    if (isDeclared)
        body.expect(size);
    for (std::size_t i = 0; i < size; i += part)
        body.append(std::string_view(sent).substr(i, part));
    CHECK(body.size() == size);
    CHECK(body.heldBytes() <= size + 32 * 1024);
    CHECK(body.take() == sent);
    CHECK(body.heldBytes() == 0);
}
