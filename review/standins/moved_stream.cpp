// Case "moved-stream": resumable streams stand still for a while, at servers that have no place for another request,
// while their machine is stopped as planned.
#include "servers.h"

using namespace Review;

namespace {

constexpr Milliseconds pauseTime { 1500 };
constexpr unsigned eventCount = 20;
// Six run and four wait, so that both servers are full.
constexpr unsigned requestCount = 10;
constexpr unsigned placeCount = 3;
constexpr unsigned queueLength = 2;
constexpr long graceMs = 8000;

} // namespace

int main(int count, char** arguments)
{
    if (count != 2)
        return couldNotRun;
    Record record(arguments[1]);
    TemporaryFolder folder;
    Store store;
    EngineSettings settings;
    settings.memoryMb = 200000;
    settings.places = placeCount;
    settings.queue = queueLength;
    settings.events = eventCount;
    settings.eventTime = Milliseconds(50);
    settings.models = { { "model-0", 65000, 12, 0 } };
    settings.loaded = { "model-0" };
    if (hasTrouble()) {
        settings.pause = pauseTime;
        settings.preempted = 2;
    }
    Json route = routeJson("dossier", "streaming", "writer", 30000);
    route["resumable"] = true;
    route["max_attempts"] = 2;
    route["target_latency_ms"] = 4000;
    Json engine = engineJson(settings, 6, 3);
    engine["slots"] = settings.places;
    store.put("op/config",
        manifestJson(Json::array({ route }),
            Json::array({ { { "name", "writer" }, { "health_path", "/health" }, { "max_conns", 360 },
                { "protocol", "h1" }, { "tls", false }, { "engine", engine } } }))
            .dump());
    Engine first(store, record, "server-1", settings);
    Engine second(store, record, "server-2", settings);
    Gateway gateway(folder, "front-a", "zone-a", store.open());
    gateway.start();
    if (!gateway.waitUntilReady()) {
        record("the machine did not become ready");
        return couldNotRun;
    }
    // The machine is in touch from 3 s after its start.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::atomic<int> whole = 0;
    std::atomic<int> cut = 0;
    std::atomic<int> refused = 0;
    std::atomic<long> stoppedAt = -1;
    std::vector<std::thread> clients;
    for (unsigned client = 0; client < requestCount; ++client)
        clients.emplace_back([&, client] {
            std::this_thread::sleep_for(Milliseconds(30 * client));
            const std::string id = "dossier-" + std::to_string(client);
            Headers headers = clientHeaders(id, 30000);
            headers.emplace_back("Catkinwell-Model", "model-0");
            headers.emplace_back("Catkinwell-Token-Usage", "100,90");
            headers.emplace_back("Catkinwell-Prompt-Prefix", "5c1e07a2:60,91bd3f0" + std::to_string(client) + ":40");
            Channel channel(connectTo(gateway.ports().caller));
            record("client: sends request " + id);
            channel.send(requestText("POST", "/dossier/" + id, headers, "{}"));
            const Response response = readResponse(channel, Clock::now() + std::chrono::seconds(30));
            std::size_t events = 0;
            for (std::size_t at = response.body.find("id: "); at != std::string::npos; at = response.body.find("id: ", at + 1))
                ++events;
            const bool isInStop = stoppedAt >= 0 && record.milliseconds() - stoppedAt < graceMs + 1000;
            whole += response.status == 200 && response.isComplete && events == eventCount ? 1 : 0;
            cut += !response.isComplete && isInStop ? 1 : 0;
            refused += response.isComplete && response.status != 200 ? 1 : 0;
            record("client: request " + id + " -> " + std::to_string(response.status) + ", " + std::to_string(events) + " of "
                + std::to_string(eventCount) + " events" + (response.isComplete ? "" : ", " + response.error));
        });
    std::this_thread::sleep_for(Milliseconds(400));
    if (hasTrouble()) {
        record("platform: SIGTERM");
        stoppedAt = record.milliseconds();
        gateway.signal(SIGTERM);
    }
    for (std::thread& client : clients)
        client.join();
    if (hasTrouble()) {
        while (record.milliseconds() - stoppedAt < graceMs && !gateway.hasEnded())
            std::this_thread::sleep_for(Milliseconds(10));
        record("platform: the process ended " + std::to_string(record.milliseconds() - stoppedAt) + " ms after SIGTERM");
    }
    gateway.kill();
    record(std::to_string(requestCount) + " requests: " + std::to_string(whole) + " whole answers, " + std::to_string(cut)
        + " cut off in the planned stop, " + std::to_string(refused) + " refused");
    if (first.runs().empty() || second.runs().empty() || whole + cut + refused != static_cast<int>(requestCount)) {
        record("the case could not run");
        return couldNotRun;
    }
    record(cut > 0 ? "LOST is broken" : "LOST held");
    return cut > 0 ? ruleBroken : ruleHeld;
}
