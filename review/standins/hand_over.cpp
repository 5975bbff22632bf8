// Not a case (see REPORT.md), "hand-over": the store turns away first one machine, then the other, and the first again. A write that the second
// machine got no answer to is carried out four seconds later.
#include "servers.h"

using namespace Review;

namespace {

constexpr long leaseMs = 3000;
constexpr Milliseconds lateTime { 4000 };

} // namespace

int main(int count, char** arguments)
{
    if (count != 2)
        return couldNotRun;
    Record record(arguments[1]);
    TemporaryFolder folder;
    Store store;
    EngineSettings settings;
    settings.memoryMb = 80000;
    settings.loadTime = Milliseconds(250);
    for (int i = 0; i < 6; ++i)
        settings.models.push_back({ "model-" + std::to_string(i), 70000, 0, 0 });
    settings.loaded = { "model-0" };
    store.put("op/config",
        manifestJson(Json::array({ routeJson("write", "streaming", "writer", 15000) }),
            Json::array({ { { "name", "writer" }, { "health_path", "/health" }, { "max_conns", 360 },
                { "protocol", "h1" }, { "tls", false }, { "engine", engineJson(settings, 0.25, 100) } } }))
            .dump());
    Engine first(store, record, "server-1", settings);
    Engine second(store, record, "server-2", settings);
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const char* name : { "front-a", "front-b" }) {
        gateways.push_back(std::make_unique<Gateway>(folder, name, "zone-a", store.open()));
        gateways.back()->start();
    }
    for (const auto& gateway : gateways) {
        if (!gateway->waitUntilReady()) {
            record("a machine did not become ready");
            return couldNotRun;
        }
    }
    // Clients ask for one model after the other, at both machines.
    std::atomic<bool> isRunning = true;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> clients;
    for (int client = 0; client < 8; ++client)
        clients.emplace_back([&, client] {
            for (int i = 0; isRunning; ++i) {
                const std::string id = "r" + std::to_string(client) + "-" + std::to_string(i);
                const Gateway& gateway = *gateways[static_cast<std::size_t>(client % 2)];
                const std::string model = "model-" + std::to_string((client + i) % 6);
                Headers headers = clientHeaders(id, 8000);
                headers.emplace_back("Catkinwell-Model", model);
                headers.emplace_back("Catkinwell-Token-Usage", "100,30");
                headers.emplace_back("Catkinwell-Prompt-Prefix", "5c1e07a2:100");
                headers.emplace_back("Connection", "close");
                const int socket = connectTo(gateway.ports().caller);
                if (socket < 0) {
                    std::this_thread::sleep_for(Milliseconds(100));
                    continue;
                }
                Channel channel(socket);
                ++sent;
                channel.send(requestText("POST", "/write/note", headers, "{}"));
                const Response response = readResponse(channel, Clock::now() + std::chrono::seconds(8));
                served += response.status == 200 && response.isComplete ? 1 : 0;
                record("client: request " + id + " for " + model + " at " + gateway.name() + " -> "
                    + std::to_string(response.status) + (response.isComplete ? "" : " incomplete, " + response.error));
                std::this_thread::sleep_for(Milliseconds(response.status == 200 ? 20 : 150));
            }
        });
    const auto owner = [&store] {
        const std::string value = store.value("catkinwell/owner");
        return value.substr(0, value.find('\n'));
    };
    const auto waitFor = [](const std::function<bool()>& holds, int seconds) {
        for (const auto until = Clock::now() + std::chrono::seconds(seconds); Clock::now() < until;) {
            if (holds())
                return true;
            std::this_thread::sleep_for(Milliseconds(5));
        }
        return false;
    };
    bool couldRun = waitFor([&] { return !owner().empty(); }, 10);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    record("the store names as the owner: " + owner());
    if (couldRun && hasTrouble()) {
        const std::size_t a = owner() == "front-a" ? 0 : 1;
        const std::size_t b = 1 - a;
        // The machine that the store leaves without any answer.
        std::atomic<std::size_t> away = a;
        std::atomic<bool> wasLate = false;
        record("the store no longer answers " + gateways[a]->name());
        store.setJudge([&](std::size_t machine, const Request&, const Json& body) {
            bool isRecord = false;
            if (body.is_object() && body.contains("writes") && !body["writes"].empty())
                isRecord = body["writes"][0]["key"] == "catkinwell/last-owner";
            if (machine == b && isRecord && !wasLate.exchange(true)) {
                away = b;
                record("the store gets a write from " + gateways[b]->name()
                    + "; it no longer answers that machine, and again answers " + gateways[a]->name());
                return Store::Fate { Store::Fate::Late, lateTime };
            }
            return Store::Fate { machine == away ? Store::Fate::Silent : Store::Fate::Served, {} };
        });
        couldRun = waitFor([&] { return wasLate.load(); }, 12);
        couldRun = couldRun && waitFor([&] { return owner() == gateways[a]->name(); }, 8);
        record("the store names as the owner: " + owner());
        couldRun = couldRun
            && waitFor([&] { return store.value("catkinwell/last-owner").rfind(gateways[b]->name(), 0) == 0; }, 8);
        record("the write without an answer has been carried out");
        std::this_thread::sleep_for(std::chrono::seconds(1));
        away = a;
        record("the store no longer answers " + gateways[a]->name() + ", and again answers " + gateways[b]->name());
        couldRun = couldRun && waitFor([&] { return owner() == gateways[b]->name(); }, 8);
        record("the store names as the owner: " + owner());
        std::this_thread::sleep_for(std::chrono::seconds(5));
        isRunning = false;
        for (std::thread& client : clients)
            client.join();
        store.setJudge(nullptr);
    } else {
        std::this_thread::sleep_for(std::chrono::seconds(15));
        isRunning = false;
        for (std::thread& client : clients)
            client.join();
    }
    for (const auto& gateway : gateways)
        gateway->kill();
    record("clients sent " + std::to_string(sent) + " requests, " + std::to_string(served) + " were served");
    bool isBroken = false;
    std::size_t orders = 0;
    for (const Engine* engine : { &first, &second }) {
        const std::vector<Engine::Order> all = engine->orders();
        orders += all.size();
        for (std::size_t i = 1; i < all.size(); ++i) {
            const long gap = all[i].at - all[i - 1].at;
            if (all[i].holder == all[i - 1].holder)
                continue;
            record(engine->id() + ": orders of " + all[i - 1].holder + " at " + std::to_string(all[i - 1].at)
                + " ms and of " + all[i].holder + " at " + std::to_string(all[i].at) + " ms, " + std::to_string(gap)
                + " ms apart; lease_ms is " + std::to_string(leaseMs));
            isBroken = isBroken || gap < leaseMs;
        }
    }
    if (!couldRun || orders == 0 || served == 0) {
        record("the case could not run");
        return couldNotRun;
    }
    record(isBroken ? "orders of two holders came within lease_ms of each other" : "orders of two holders stayed lease_ms apart");
    return isBroken ? ruleBroken : ruleHeld;
}
