// Case "paused-stream": a server stands still in the middle of resumable streams and then goes on with them.
#include "servers.h"
#include <algorithm>

using namespace Review;

namespace {

// "A request goes on at another server while the server before still works on it 400 ms later."
constexpr long toleratedOverlapMs = 400;
constexpr Milliseconds pauseTime { 1500 };
constexpr unsigned eventCount = 60;
constexpr unsigned requestCount = 9;
constexpr unsigned serverCount = 3;

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
    settings.events = eventCount;
    settings.eventTime = Milliseconds(50);
    settings.models = { { "model-0", 65000, 12, 0 } };
    settings.loaded = { "model-0" };
    settings.pause = pauseTime;
    settings.firstRuns = requestCount / serverCount;
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
    // Most servers drop a request when its channel closes; the first one does not.
    std::vector<std::unique_ptr<Engine>> engines;
    for (unsigned i = 0; i < serverCount; ++i) {
        settings.dropsClosed = i > 0;
        // Only the first one is short of memory.
        settings.preempted = hasTrouble() && i == 0 ? 2 : 0;
        engines.push_back(std::make_unique<Engine>(store, record, "server-" + std::to_string(i + 1), settings));
    }
    Gateway gateway(folder, "front-a", "zone-a", store.open());
    gateway.start();
    if (!gateway.waitUntilReady()) {
        record("the machine did not become ready");
        return couldNotRun;
    }
    // The machine is in touch from 3 s after its start.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::atomic<int> whole = 0;
    std::vector<std::thread> clients;
    for (unsigned client = 0; client < requestCount; ++client)
        clients.emplace_back([&, client] {
            std::this_thread::sleep_for(Milliseconds(40 * client));
            const std::string id = "dossier-" + std::to_string(client);
            Headers headers = clientHeaders(id, 30000);
            headers.emplace_back("Catkinwell-Model", "model-0");
            headers.emplace_back("Catkinwell-Token-Usage", "100,180");
            headers.emplace_back("Catkinwell-Prompt-Prefix", "5c1e07a2:60,91bd3f0" + std::to_string(client) + ":40");
            Channel channel(connectTo(gateway.ports().caller));
            record("client: sends request " + id);
            channel.send(requestText("POST", "/dossier/" + id, headers, "{}"));
            const Response response = readResponse(channel, Clock::now() + std::chrono::seconds(30));
            std::size_t events = 0;
            for (std::size_t at = response.body.find("id: "); at != std::string::npos; at = response.body.find("id: ", at + 1))
                ++events;
            whole += response.status == 200 && response.isComplete && events == eventCount ? 1 : 0;
            record("client: request " + id + " -> " + std::to_string(response.status) + ", " + std::to_string(events)
                + " events" + (response.isComplete ? "" : ", " + response.error));
        });
    for (std::thread& client : clients)
        client.join();
    for (int i = 0; i < 200 && std::any_of(engines.begin(), engines.end(), [](const auto& one) { return !one->isIdle(); }); ++i)
        std::this_thread::sleep_for(Milliseconds(50));
    gateway.kill();
    bool isBroken = false;
    std::size_t runs = 0;
    for (const auto& before : engines) {
        for (const Engine::Run& run : before->runs()) {
            ++runs;
            for (const auto& after : engines) {
                for (const Engine::Run& next : after->runs()) {
                    if (after == before || next.id != run.id || next.from <= run.from)
                        continue;
                    const long overlap = run.to - next.from;
                    record("request " + run.id + " was at work at " + before->id() + " from " + std::to_string(run.from)
                        + " to " + std::to_string(run.to) + " ms and, from event " + std::to_string(next.firstEvent)
                        + ", at " + after->id() + " from " + std::to_string(next.from) + " ms: " + std::to_string(overlap)
                        + " ms at both");
                    isBroken = isBroken || overlap > toleratedOverlapMs;
                }
            }
        }
    }
    record(std::to_string(requestCount) + " requests, " + std::to_string(whole) + " whole answers, " + std::to_string(runs) + " runs");
    if (runs < requestCount) {
        record("the case could not run");
        return couldNotRun;
    }
    record(isBroken ? "TWICE is broken" : "TWICE held");
    return isBroken ? ruleBroken : ruleHeld;
}
