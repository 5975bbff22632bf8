// Case "slow-reader": a machine is stopped as planned while a client reads a long answer as fast as its link allows.
#include "servers.h"

using namespace Review;

namespace {

constexpr std::size_t answerBytes = 4'000'000;
constexpr int timeLimitMs = 20000;
// A link of 4.8 Mbit/s with the usual segments of Ethernet: the answer takes 6.7 s.
constexpr std::size_t bytesPerSecond = 600'000;
constexpr int clientBuffer = 32 * 1024;
constexpr int segmentBytes = 1460;
constexpr long graceMs = 8000;

} // namespace

int main(int count, char** arguments)
{
    if (count != 2)
        return couldNotRun;
    Record record(arguments[1]);
    TemporaryFolder folder;
    Store store;
    const std::string body(answerBytes, 'x');
    std::atomic<int> runs = 0;
    // A plain server: it answers each request within 30 ms.
    Server server([&](const Request& request, Channel& channel) {
        const std::string id = request.header("Catkinwell-Request-Id");
        if (request.path == "/health")
            return channel.send(responseText(200, { { "Catkinwell-Instance-Id", "server-1" } }, ""));
        if (request.header("Catkinwell-Expect-Instance") != "server-1")
            return channel.send(responseText(421, { { "Catkinwell-Instance-Id", "server-1" } }, ""));
        ++runs;
        record("server server-1: runs request " + id);
        std::this_thread::sleep_for(Milliseconds(30));
        return channel.send(responseText(200, { { "Catkinwell-Request-Id", id }, { "Catkinwell-Response-Seal", "seal-" + id },
            { "Content-Type", "application/octet-stream" } }, body));
    });
    store.put("op/config",
        manifestJson(Json::array({ routeJson("order", "unsafe", "counter", timeLimitMs) }),
            Json::array({ { { "name", "counter" }, { "health_path", "/health" }, { "max_conns", 100 },
                { "protocol", "h1" }, { "tls", false } } }))
            .dump());
    std::atomic<bool> isRunning = true;
    std::thread checkIns([&] {
        for (int sequence = 1; isRunning; ++sequence) {
            store.put("servers/server-1", Json { { "service", "counter" }, { "address", "127.0.0.1:" + std::to_string(server.port()) },
                { "zone", "zone-a" }, { "version", "v1" }, { "slots", 6 }, { "state", "ready" }, { "cold_remaining_ms", 0 },
                { "sequence", sequence }, { "born", 1700000000000 } }.dump());
            for (int i = 0; i < 24 && isRunning; ++i)
                std::this_thread::sleep_for(Milliseconds(50));
        }
    });
    Gateway gateway(folder, "front-a", "zone-a", store.open());
    gateway.start();
    bool couldRun = gateway.waitUntilReady();
    int broken = 0;
    if (couldRun) {
        std::this_thread::sleep_for(std::chrono::seconds(4));
        std::vector<std::thread> clients;
        std::atomic<int> cut = 0;
        std::atomic<int> whole = 0;
        std::atomic<long> stoppedAt = -1;
        for (int client = 0; client < 4; ++client)
            clients.emplace_back([&, client] {
                const std::string id = "order-" + std::to_string(client);
                Channel channel(connectTo(gateway.ports().caller, clientBuffer, segmentBytes));
                record("client: sends request " + id);
                channel.send(requestText("POST", "/order/answer", clientHeaders(id, timeLimitMs), "{}"));
                const Response response
                    = readResponse(channel, Clock::now() + Milliseconds(timeLimitMs), bytesPerSecond);
                const long at = record.milliseconds();
                record("client: request " + id + " -> " + std::to_string(response.status) + ", " + std::to_string(response.body.size())
                    + " of " + std::to_string(answerBytes) + " bytes" + (response.isComplete ? "" : ", " + response.error));
                const bool isInPlannedStop = stoppedAt >= 0 && at - stoppedAt < graceMs + 1000;
                whole += response.isComplete && response.body == body ? 1 : 0;
                cut += !response.isComplete && isInPlannedStop ? 1 : 0;
            });
        std::this_thread::sleep_for(Milliseconds(500));
        if (hasTrouble()) {
            record("platform: SIGTERM");
            stoppedAt = record.milliseconds();
            gateway.signal(SIGTERM);
            int status = 0;
            while (record.milliseconds() - stoppedAt < graceMs && !gateway.hasEnded(&status))
                std::this_thread::sleep_for(Milliseconds(10));
            gateway.kill();
            record("platform: the process ended " + std::to_string(record.milliseconds() - stoppedAt)
                + " ms after SIGTERM, wait status " + std::to_string(status));
        }
        for (std::thread& client : clients)
            client.join();
        broken = cut;
        record(std::to_string(runs) + " requests ran, " + std::to_string(whole) + " answers arrived whole, "
            + std::to_string(cut) + " were cut off in the planned stop");
        couldRun = runs == 4 && whole + cut == 4;
    }
    isRunning = false;
    checkIns.join();
    gateway.kill();
    if (!couldRun) {
        record("the case could not run");
        return couldNotRun;
    }
    record(broken > 0 ? "LOST is broken" : "LOST held");
    return broken > 0 ? ruleBroken : ruleHeld;
}
