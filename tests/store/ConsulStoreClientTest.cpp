#include <catch2/catch.hpp>
#include <catkinwell/emulator/StoreEmulator.h>
#include <catkinwell/store/ConsulStoreClient.h>
#include <map>
#include <optional>

using namespace Catkinwell;

namespace {

// A store client and the store emulator on one loop.
class StoreFixture {
public:
    StoreFixture()
        : m_emulator(m_loop, "127.0.0.1:0")
    {
        REQUIRE_FALSE(isError(m_emulator.start()));
        m_client.emplace(m_loop, m_http, m_clock, address());
        m_client->signalReply().connect([this](const StoreReply& reply) {
            m_replies[reply.id] = reply;
            m_loop.stop();
        });
        // Stops the loop so that a test without a reply fails instead of hanging.
        m_loop.callLater(std::chrono::seconds(20), [this] { m_loop.stop(); });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_emulator.port()); }

    StoreReply call(StoreOperation operation, Duration timeout = std::chrono::seconds(2))
    {
        const StoreCallId id(++m_lastId);
        m_client->execute(StoreCall { id, std::move(operation), timeout });
        m_loop.run();
        REQUIRE(m_replies.contains(id));
        return m_replies[id];
    }

    void setFaults(const std::string& json)
    {
        HttpExchange exchange;
        exchange.address = address();
        exchange.method = "PUT";
        exchange.target = "/emulator/faults";
        exchange.body = json;
        HttpExchangeObserver observer;
        observer.onHead = [](int, const HeaderList&) {};
        observer.onData = [](const std::string&) {};
        observer.onFinished = [this] { m_loop.stop(); };
        observer.onFailed = [this](AttemptOutcome, AttemptFailure, const std::string&) { m_loop.stop(); };
        m_http.start(exchange, observer);
        m_loop.run();
    }

private:
    EventLoop m_loop;
    SystemClock m_clock;
    HttpClient m_http { m_loop };
    StoreEmulator m_emulator;
    std::optional<ConsulStoreClient> m_client;
    std::map<StoreCallId, StoreReply> m_replies;
    std::uint64_t m_lastId = 0;
};

} // namespace

// Guards against a compare-and-swap that overwrites a value of another version.
TEST_CASE("Compare-and-swap succeeds only on the expected version")
{
    StoreFixture store;
    const StoreReply created = store.call(StoreCompareAndSwap { "a/b c", std::string("v\0 1", 4), 0, {} });
    REQUIRE(created.status == StoreStatus::Ok);
    CHECK(store.call(StoreCompareAndSwap { "a/b c", "other", 0, {} }).status == StoreStatus::Conflict);
    const StoreReply read = store.call(StoreGet { "a/b c" });
    CHECK(read.value == std::string("v\0 1", 4));
    CHECK(read.version == created.version);
    CHECK(store.call(StoreCompareAndSwap { "a/b c", "v2", created.version, {} }).status == StoreStatus::Ok);
    CHECK(store.call(StoreDelete { "a/b c", created.version }).status == StoreStatus::Conflict);
    CHECK(store.call(StoreList { "a/" }).entries.size() == 1);
    CHECK(store.call(StoreGet { "missing" }).status == StoreStatus::NotFound);
}

// Guards against a lost reply that is reported as a failure or as a success.
TEST_CASE("A write whose reply is lost has an unknown outcome and takes effect")
{
    StoreFixture store;
    store.setFaults(R"({"drop_answers": 1})");
    CHECK(store.call(StoreCompareAndSwap { "k", "v", 0, {} }).status == StoreStatus::Unknown);
    CHECK(store.call(StoreGet { "k" }).value == "v");
    store.setFaults(R"({"delay_ms": 400})");
    CHECK(store.call(StoreCompareAndSwap { "late", "v", 0, {} }, std::chrono::milliseconds(100)).status
        == StoreStatus::Unknown);
}

TEST_CASE("A key under a lease is locked against other leases and deleted with its lease")
{
    StoreFixture store;
    const LeaseId first = store.call(LeaseCreate { std::chrono::seconds(10) }).value;
    const LeaseId second = store.call(LeaseCreate { std::chrono::seconds(10) }).value;
    REQUIRE(first != second);
    CHECK(store.call(StoreCompareAndSwap { "owner", "1", 0, first }).status == StoreStatus::Ok);
    CHECK(store.call(StoreCompareAndSwap { "owner", "2", 0, second }).status == StoreStatus::Conflict);
    CHECK(store.call(LeaseRenew { first }).status == StoreStatus::Ok);
    CHECK(store.call(LeaseRead { first }).status == StoreStatus::Ok);
    CHECK(store.call(LeaseRevoke { first }).status == StoreStatus::Ok);
    CHECK(store.call(LeaseRead { first }).status == StoreStatus::NotFound);
    CHECK(store.call(LeaseRenew { first }).status == StoreStatus::NotFound);
    CHECK(store.call(StoreCompareAndSwap { "owner", "2", 0, second }).status == StoreStatus::Ok);
}

TEST_CASE("A watch replies with a change or after its wait time")
{
    StoreFixture store;
    const StoreReply created = store.call(StoreCompareAndSwap { "w", "1", 0, {} });
    CHECK(store.call(StoreWatch { "w", 0, std::chrono::seconds(5) }).value == "1");
    const StoreReply unchanged = store.call(StoreWatch { "w", created.version, std::chrono::seconds(1) });
    CHECK(unchanged.version == created.version);
}
