// Not a case (see REPORT.md), "used-adapter": a model has more adapters than a server has places, and streams of all of them are asked for.
#include "servers.h"

using namespace Review;

namespace {

constexpr unsigned places = 8;
constexpr unsigned adapters = 12;

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
    settings.adapterSlots = places;
    // Streams of 57 events, as long as those of the site's `fit-query`, and up to 2.6 s.
    settings.events = 57;
    settings.eventTime = Milliseconds(45);
    settings.models = { { "model-0", 34300, 40, adapters } };
    settings.loaded = { "model-0" };
    store.put("op/config",
        manifestJson(Json::array({ routeJson("write", "streaming", "writer", 15000) }),
            Json::array({ { { "name", "writer" }, { "health_path", "/health" }, { "max_conns", 360 },
                { "protocol", "h1" }, { "tls", false }, { "engine", engineJson(settings, 6, 3) } } }))
            .dump());
    Engine server(store, record, "server-1", settings);
    Gateway gateway(folder, "front-a", "zone-a", store.open());
    gateway.start();
    if (!gateway.waitUntilReady()) {
        record("the machine did not become ready");
        return couldNotRun;
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::atomic<bool> isRunning = true;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> cut = 0;
    // The usual demand is for as many adapters as the server has places; the other ones are rare.
    const unsigned wanted = hasTrouble() ? adapters : places;
    std::vector<std::thread> clients;
    for (unsigned client = 1; client <= wanted; ++client)
        clients.emplace_back([&, client] {
            std::this_thread::sleep_for(Milliseconds(client > places ? 1500 : 20 * client));
            for (int i = 0; isRunning; ++i) {
                const std::string id = "note" + std::to_string(client) + "-" + std::to_string(i);
                const std::string model = "model-0/a" + std::to_string(client);
                Headers headers = clientHeaders(id, 15000);
                headers.emplace_back("Catkinwell-Model", model);
                headers.emplace_back("Catkinwell-Token-Usage", "100,171");
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
                record("client: request " + id + " -> " + std::to_string(response.status)
                    + (response.isComplete ? " whole" : " cut off, " + response.error));
                std::this_thread::sleep_for(Milliseconds(100));
            }
        });
    for (const auto until = Clock::now() + std::chrono::seconds(20); Clock::now() < until && !server.hasCrashed();)
        std::this_thread::sleep_for(Milliseconds(50));
    isRunning = false;
    for (std::thread& client : clients)
        client.join();
    gateway.kill();
    record("clients sent " + std::to_string(sent) + " requests; " + std::to_string(served) + " were served whole and "
        + std::to_string(cut) + " cut off");
    if (server.runs().empty()) {
        record("the case could not run");
        return couldNotRun;
    }
    record(server.hasCrashed() ? "LIMIT is broken" : "LIMIT held");
    return server.hasCrashed() ? ruleBroken : ruleHeld;
}
