// Case "adapters": demand moves from a model with small adapters to one with large adapters.
#include "servers.h"

using namespace Review;

namespace {

constexpr unsigned rareAdapters = 16;
constexpr unsigned clientCount = 22;
// The time in which the demand moves.
constexpr Milliseconds shiftTime { 6000 };

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
    settings.adapterSlots = 8;
    settings.events = 40;
    settings.eventTime = Milliseconds(25);
    settings.models = { { "busy-model", 100000, 12, 0 }, { "next-model", 99000, 200, rareAdapters } };
    settings.loaded = { "busy-model" };
    store.put("op/config",
        manifestJson(Json::array({ routeJson("write", "streaming", "writer", 15000) }),
            Json::array({ { { "name", "writer" }, { "health_path", "/health" }, { "max_conns", 360 },
                { "protocol", "h1" }, { "tls", false }, { "engine", engineJson(settings, 0.3, 3) } } }))
            .dump());
    Engine first(store, record, "server-1", settings);
    Engine second(store, record, "server-2", settings);
    Gateway gateway(folder, "front-a", "zone-a", store.open());
    gateway.start();
    if (!gateway.waitUntilReady()) {
        record("the machine did not become ready");
        return couldNotRun;
    }
    std::atomic<bool> isRunning = true;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> cut = 0;
    const auto ask = [&](const std::string& id, const std::string& model) {
        Headers headers = clientHeaders(id, 15000);
        headers.emplace_back("Catkinwell-Model", model);
        headers.emplace_back("Catkinwell-Token-Usage", "100,120");
        headers.emplace_back("Catkinwell-Prompt-Prefix", "5c1e07a2:100");
        const int socket = connectTo(gateway.ports().caller);
        if (socket < 0)
            return;
        Channel channel(socket);
        ++sent;
        record("client: sends request " + id + " for " + model);
        channel.send(requestText("POST", "/write/note", headers, "{}"));
        const Response response = readResponse(channel, Clock::now() + std::chrono::seconds(15));
        served += response.status == 200 && response.isComplete ? 1 : 0;
        cut += response.status == 200 && !response.isComplete ? 1 : 0;
        record("client: request " + id + " for " + model + " -> " + std::to_string(response.status)
            + (response.isComplete ? " whole" : " cut off, " + response.error));
        if (response.status != 200)
            std::this_thread::sleep_for(Milliseconds(200));
    };
    std::vector<std::thread> clients;
    const auto shiftAt = Clock::now() + std::chrono::seconds(5);
    for (unsigned client = 0; client < clientCount; ++client)
        clients.emplace_back([&, client] {
            const auto movesAt = shiftAt + shiftTime * client / clientCount;
            for (int i = 0; isRunning; ++i) {
                const bool hasMoved = hasTrouble() && Clock::now() >= movesAt;
                ask("note" + std::to_string(client) + "-" + std::to_string(i),
                    hasMoved ? "next-model/a" + std::to_string(client % rareAdapters + 1) : "busy-model");
            }
        });
    std::this_thread::sleep_until(shiftAt);
    if (hasTrouble())
        record("the demand begins to move to the next model");
    for (const auto until = Clock::now() + std::chrono::seconds(20); Clock::now() < until;) {
        std::this_thread::sleep_for(Milliseconds(50));
        if (first.hasCrashed() || second.hasCrashed())
            break;
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    isRunning = false;
    for (std::thread& client : clients)
        client.join();
    gateway.kill();
    record("clients sent " + std::to_string(sent) + " requests; " + std::to_string(served) + " were served whole and "
        + std::to_string(cut) + " cut off");
    if (served == 0) {
        record("the case could not run");
        return couldNotRun;
    }
    const bool isBroken = first.hasCrashed() || second.hasCrashed();
    record(isBroken ? "LIMIT is broken" : "LIMIT held");
    return isBroken ? ruleBroken : ruleHeld;
}
