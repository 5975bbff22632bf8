#include "http/RawSockets.h"
#include <catch2/catch.hpp>
#include <catkinwell/store/ConsulStoreClient.h>
#include <optional>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

struct ReplyCase {
    const char* name;
    std::string answer;
};

StoreStatus statusOf(const StoreOperation& operation, const std::string& answer)
{
    EventLoop loop;
    const SystemClock clock;
    HttpClient http(loop);
    ScriptedServer server(loop, { { answer } });
    ConsulStoreClient store(loop, http, clock, "127.0.0.1:" + std::to_string(server.port()));
    std::optional<StoreStatus> status;
    store.signalReply().connect([&](const StoreReply& reply) {
        status = reply.status;
        loop.stop();
    });
    store.execute(StoreCall { StoreCallId(1), operation, std::chrono::seconds(2) });
    loop.run();
    return status.value();
}

} // namespace

// Guards against a broken reply of the store that counts as a confirmed write or as an absent value.
TEST_CASE("A broken reply of the store leaves the outcome unknown")
{
    const std::string length = "Content-Length: 4\r\n";
    const auto test = GENERATE_COPY(values<ReplyCase>({
        { "status 000", "HTTP/1.1 000 OK\r\n" + length + "\r\ntrue" },
        { "status 999", "HTTP/1.1 999 OK\r\n" + length + "\r\ntrue" },
        { "blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + length + "\r\ntrue" },
        { "blank in the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ntrue" },
        { "control byte in a value", "HTTP/1.1 200 OK\r\nX-Odd: \x01\r\n" + length + "\r\ntrue" },
        { "blank in a name, not found", "HTTP/1.1 404 Not Found\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n" },
        { "a chunk that is longer than its size",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntrue!\r\n0\r\n\r\n" },
    }));
    const auto operation = GENERATE(values<StoreOperation>({ StoreCompareAndSwap { "key", "value", 1, {} },
        StoreGet { "key" }, StoreDelete { "key", 1 }, StoreList { "keys/" } }));
    INFO(test.name << ", operation " << operation.index());
    CHECK(statusOf(operation, test.answer) == StoreStatus::Unknown);
}
