#include "orders/FakeStore.h"

#include <catch2/catch.hpp>
#include <catkinwell/orders/ClaimManager.h>
#include <tuple>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

// One host with a store that replies immediately.
class SingleHost {
public:
    explicit SingleHost(ClaimSettings settings = {}, std::string name = "host-a")
        : m_manager(7)
    {
        settings.self = HostId(std::move(name));
        settings.incarnation = 1;
        settings.shardCount = 1;
        settings.forwarding = false;
        settings.storeWritesPerSecond = 1000;
        m_manager.configure(settings, {});
        wait(20ms);
    }

    void wait(Duration time)
    {
        for (const auto end = m_now + time; m_now < end;) {
            m_now += 20ms;
            EffectList effects;
            m_manager.tick(m_now,
                WallTime(24h * 365)
                    + std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch() + wallJump),
                effects);
            perform(std::move(effects));
        }
    }

    ClaimVerdict claim(std::uint64_t request, const std::string& key, const std::string& account = "quay",
        const std::string& body = "body")
    {
        EffectList effects;
        m_manager.claim(RequestId(request), AccountId(account), key, body, m_now + 1s, m_now, effects);
        perform(std::move(effects));
        wait(1s);
        const auto decisions = m_manager.takeDecisions();
        REQUIRE(decisions.size() == 1);
        return decisions[0].verdict;
    }

    void record(std::uint64_t request, std::string body)
    {
        EffectList effects;
        m_manager.recordOutcome(RequestId(request), 201, {}, std::move(body), m_now, effects);
        perform(std::move(effects));
        wait(100ms);
    }

    ClaimManager& manager() { return m_manager; }
    FakeStore store;
    bool isStoreReachable = true;
    Duration wallJump {};

private:
    void perform(EffectList effects)
    {
        for (std::size_t i = 0; i < effects.size(); ++i) {
            if (const auto* call = std::get_if<StoreCall>(&effects[i])) {
                const StoreReply reply = isStoreReachable
                    ? store.apply(*call)
                    : StoreReply { .id = call->id, .status = StoreStatus::Unavailable };
                m_manager.handle(reply, m_now, effects);
            }
        }
    }

    ClaimManager m_manager;
    MonotonicTime m_now { 1h };
};

} // namespace

// Keys of different accounts must not collide, and a request with a changed body must not receive another request's
// outcome.
TEST_CASE("a key is scoped by its account and bound to its body")
{
    SingleHost host;
    CHECK(nameOf(host.claim(1, "key")) == "run");
    host.record(1, "first");
    auto [account, key, body, expected] = GENERATE(table<std::string, std::string, std::string, std::string>({
        { "quay", "key", "body", "repeat" },
        { "quay", "key", "other body", "body_mismatch" },
        { "quayk", "ey", "body", "run" },
        { "pier", "key", "body", "run" },
    }));
    CHECK(nameOf(host.claim(2, key, account, body)) == expected);
}

// The store must not contain callers' keys or bodies in plain text.
TEST_CASE("the store holds keys and request bodies as hashes only")
{
    SingleHost host;
    host.claim(1, "order-key-4711", "quay", "body-digest-4711");
    host.record(1, "first");
    for (const auto& [name, entry] : host.store.entries())
        CHECK((name + entry.value).find("4711") == std::string::npos);
}

// A wall clock that jumps ahead must not let a key run again within its retention.
TEST_CASE("a host whose wall clock jumps expires nothing")
{
    SingleHost host;
    host.claim(1, "key");
    host.record(1, "first");
    host.wallJump = 25h;
    host.wait(1s);
    CHECK(nameOf(host.claim(2, "key")) == "repeat");
}

// A body must not be truncated, nor exceed the store's value limit.
TEST_CASE("an outcome is returned with its whole body or, if too large, with its digest")
{
    auto [size, isKept] = GENERATE(table<std::size_t, bool>(
        { { 0, true }, { 4096, true }, { 4097, true }, { 500'000, true }, { 600'000, false } }));
    SingleHost host;
    host.claim(1, "key");
    const std::string body(size, '\xff');
    host.record(1, body);
    CHECK(host.manager().isSettled());
    SingleHost other({}, "host-b");
    other.store.entries() = host.store.entries();
    const auto verdict = other.claim(2, "key");
    REQUIRE(std::holds_alternative<ClaimRepeat>(verdict));
    const auto& repeat = std::get<ClaimRepeat>(verdict);
    CHECK(repeat.bodyKept == isKept);
    CHECK(repeat.body == (isKept ? body : ""));
    CHECK(repeat.bodyDigest.empty() == isKept);
    for (const auto& [name, entry] : other.store.entries())
        CHECK(entry.value.size() < 1'000'000);
}

// An outcome recorded while the store is unavailable must not be lost.
TEST_CASE("an outcome recorded during an outage is kept and written later")
{
    SingleHost host;
    host.claim(1, "key");
    host.isStoreReachable = false;
    host.record(1, "first");
    host.wait(5s);
    CHECK(nameOf(host.claim(2, "key")) == "repeat");
    CHECK(nameOf(host.claim(3, "other")) == "not_run");
    CHECK_FALSE(host.manager().isSettled());
    host.isStoreReachable = true;
    host.manager().beginShutdown();
    host.wait(10s);
    CHECK(host.manager().isSettled());
    CHECK(nameOf(host.claim(4, "key")) == "repeat");
    CHECK(nameOf(host.claim(5, "other")) == "not_run");
}

// A shard must not exceed the store's value limit, and expired entries and outcome values must be removed.
TEST_CASE("a full shard refuses claims until its entries expire")
{
    ClaimSettings settings;
    settings.maximumShardBytes = 2000;
    settings.retention = 30min;
    SingleHost host(settings);
    std::uint64_t request = 0;
    ClaimVerdict verdict = ClaimRun {};
    while (std::holds_alternative<ClaimRun>(verdict) && request < 100) {
        ++request;
        verdict = host.claim(request, "key-" + std::to_string(request));
        if (std::holds_alternative<ClaimRun>(verdict))
            host.record(request, std::string(request == 1 ? 5000 : 10, 'x'));
    }
    REQUIRE(std::holds_alternative<ClaimNotRun>(verdict));
    CHECK(nameOf(std::get<ClaimNotRun>(verdict).reason) == "shard_full");
    CHECK(request > 5);
    CHECK(host.store.entries().size() == 2);
    host.wait(31min);
    CHECK(nameOf(host.claim(200, "key-1")) == "run");
    host.wait(1s);
    CHECK(host.store.entries().size() == 1);
}

// A value in an unknown format must not be overwritten.
TEST_CASE("claims of an unreadable shard are refused and its value is left unchanged")
{
    SingleHost host;
    host.store.entries()["orders/0"] = { "orders/0", "another format", 5 };
    const auto verdict = host.claim(1, "key");
    REQUIRE(std::holds_alternative<ClaimNotRun>(verdict));
    CHECK(nameOf(std::get<ClaimNotRun>(verdict).reason) == "shard_unreadable");
    CHECK(host.store.entries()["orders/0"].value == "another format");
}
