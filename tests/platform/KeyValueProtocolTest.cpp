#include "platform/KeyValueProtocol.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Catkinwell;

namespace {

struct RequestCase {
    StoreOperation operation;
    const char* method;
    const char* target;
};

struct StatusCase {
    int httpStatus;
    StoreStatus expected;
};

} // namespace

TEST_CASE("Store operations map to the platform's HTTP calls")
{
    const auto test = GENERATE(values<RequestCase>({
        { StoreGet { "a/b c" }, "GET", "/kv-key?key=a/b%20c" },
        { StoreList { "p/" }, "GET", "/kv-range?prefix=p/" },
        { StoreList { "p/", "p/x" }, "GET", "/kv-range?prefix=p/&after=p/x" },
        { StoreWatchPrefix { "p/", 7, std::chrono::seconds(2) }, "GET", "/kv-watch?prefix=p/&after=7&wait_ms=2000" },
        { StoreWatchPrefix { "p/", 7, std::chrono::hours(1) }, "GET", "/kv-watch?prefix=p/&after=7&wait_ms=30000" },
        { StoreCompareAndSwap { "k", "v", 3, "12" }, "POST", "/kv-txn" },
        { StoreDelete { "k", 3 }, "POST", "/kv-txn" },
        { LeaseCreate { std::chrono::seconds(2) }, "POST", "/kv-lease" },
        { LeaseRenew { "12" }, "POST", "/kv-keep/12" },
        { LeaseRevoke { "12" }, "DELETE", "/kv-lease-end/12" },
    }));
    const HttpExchange exchange = KeyValueProtocol().requestOf(test.operation);
    CHECK(exchange.method == test.method);
    CHECK(exchange.target == test.target);
}

TEST_CASE("A write carries the expected revision and its lease")
{
    const HttpExchange exchange = KeyValueProtocol().requestOf(StoreCompareAndSwap { "k", "v", 3, "12" });
    const auto body = nlohmann::json::parse(exchange.body);
    CHECK(body["expected"] == nlohmann::json::parse(R"([{"key":"k","revision":3}])"));
    CHECK(body["writes"] == nlohmann::json::parse(R"([{"key":"k","value":"dg==","lease":12}])"));
}

// Guards against a refused write reported as a success, and an unknown outcome reported as a refusal.
TEST_CASE("Each status code of the store maps to one store status")
{
    const auto test = GENERATE(values<StatusCase>({
        { 200, StoreStatus::Ok },
        { 404, StoreStatus::NotFound },
        { 410, StoreStatus::HistoryLost },
        { 412, StoreStatus::Conflict },
        { 429, StoreStatus::RateLimited },
        { 403, StoreStatus::Unavailable },
        { 503, StoreStatus::Unavailable },
        { 500, StoreStatus::Unknown },
        { 502, StoreStatus::Unknown },
    }));
    const StoreReply reply = KeyValueProtocol().replyOf(StoreDelete { "k", 1 }, test.httpStatus, R"({"revision":9})");
    INFO(test.httpStatus);
    CHECK(nameOf(reply.status) == nameOf(test.expected));
}

TEST_CASE("Items, events and leases are parsed")
{
    const KeyValueProtocol protocol;
    const StoreReply list = protocol.replyOf(StoreList { "p/" }, 200,
        R"({"items":[{"key":"p/a","value":"dg==","revision":4}],"truncated":true,"store_revision":9})");
    CHECK(list.isWholeList);
    CHECK(list.isTruncated);
    CHECK(list.version == 9);
    REQUIRE(list.entries.size() == 1);
    CHECK(list.entries[0].value == "v");
    const StoreReply watch = protocol.replyOf(StoreWatchPrefix { "p/", 1, {} }, 200,
        R"({"events":[{"key":"p/a","revision":5,"deleted":true}],"store_revision":5})");
    REQUIRE(watch.entries.size() == 1);
    CHECK(watch.entries[0].isDeleted);
    CHECK(protocol.replyOf(LeaseCreate {}, 200, R"({"lease":77120,"ttl_ms":3000})").value == "77120");
    CHECK(nameOf(protocol.replyOf(LeaseCreate {}, 200, "nonsense").status) == nameOf(StoreStatus::Unknown));
}
