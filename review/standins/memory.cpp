// Case "memory": more clients than usual, all on slow links, get long answers at once, while others send orders over
// channels that they keep. The platform ends a process that exceeds its memory, as DEPLOY.md says.
#include "servers.h"

using namespace Review;

namespace {

constexpr std::size_t answerBytes = 4'000'000;
constexpr int timeLimitMs = 60000;
// A link of 1.6 Mbit/s with the usual segments of Ethernet: an answer takes 20 s.
constexpr std::size_t bytesPerSecond = 200'000;
constexpr int clientBuffer = 32 * 1024;
constexpr int segmentBytes = 1460;
// Answers come at 333 Mbit/s, and at 800 Mbit/s in the burst, of the 1,500 Mbit/s that the machine's link has.
constexpr int usualClients = 60;
constexpr Milliseconds usualInterval { 96 };
// The largest burst of the site file multiplies the traffic by 2.4.
constexpr int burstClients = 144;
constexpr Milliseconds burstInterval { 40 };
constexpr int orderingClients = 10;
constexpr long memoryLimitMb = 390;
constexpr long bytesPerMb = 1024 * 1024;

long residentMb(pid_t process)
{
    std::ifstream statm("/proc/" + std::to_string(process) + "/statm");
    long size = 0;
    long resident = 0;
    statm >> size >> resident;
    return resident * sysconf(_SC_PAGESIZE) / bytesPerMb;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 2)
        return couldNotRun;
    Record record(arguments[1]);
    TemporaryFolder folder;
    Store store;
    const std::string body(answerBytes, 'x');
    std::mutex mutex;
    std::set<std::string> ran;
    // A plain server. An order takes 300 ms, a document 30 ms.
    Server server([&](const Request& request, Channel& channel) {
        const std::string id = request.header("Catkinwell-Request-Id");
        if (request.path == "/health")
            return channel.send(responseText(200, { { "Catkinwell-Instance-Id", "server-1" } }, ""));
        if (request.header("Catkinwell-Expect-Instance") != "server-1")
            return channel.send(responseText(421, { { "Catkinwell-Instance-Id", "server-1" } }, ""));
        const bool isOrder = request.path.rfind("/order/", 0) == 0;
        {
            const std::lock_guard lock(mutex);
            ran.insert(id);
        }
        record("server server-1: runs request " + id);
        std::this_thread::sleep_for(Milliseconds(isOrder ? 300 : 30));
        return channel.send(responseText(200,
            { { "Catkinwell-Request-Id", id }, { "Catkinwell-Response-Seal", "seal-" + id },
                { "Content-Type", "application/octet-stream" } },
            isOrder ? std::string_view("accepted") : std::string_view(body)));
    });
    store.put("op/config",
        manifestJson(Json::array({ routeJson("order", "unsafe", "counter", 5000),
                         routeJson("document", "unsafe", "counter", timeLimitMs) }),
            Json::array({ { { "name", "counter" }, { "health_path", "/health" }, { "max_conns", 360 },
                { "protocol", "h1" }, { "tls", false } } }))
            .dump());
    std::atomic<bool> isRunning = true;
    std::thread checkIns([&] {
        for (int sequence = 1; isRunning; ++sequence) {
            store.put("servers/server-1",
                Json { { "service", "counter" }, { "address", "127.0.0.1:" + std::to_string(server.port()) },
                    { "zone", "zone-a" }, { "version", "v1" }, { "slots", 64 }, { "state", "ready" },
                    { "cold_remaining_ms", 0 }, { "sequence", sequence }, { "born", 1700000000000 } }
                    .dump());
            for (int i = 0; i < 24 && isRunning; ++i)
                std::this_thread::sleep_for(Milliseconds(50));
        }
    });
    Gateway gateway(folder, "front-a", "zone-a", store.open());
    gateway.start();
    bool couldRun = gateway.waitUntilReady();
    // The machine is in touch from 3 s after its start.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    std::atomic<int> answered = 0;
    std::atomic<int> unanswered = 0;
    std::vector<std::thread> clients;
    for (int client = 0; client < orderingClients && couldRun; ++client)
        clients.emplace_back([&, client] {
            const int socket = connectTo(gateway.ports().caller);
            Channel channel(socket);
            for (int i = 0; isRunning && socket >= 0; ++i) {
                const std::string id = "order-" + std::to_string(client) + "-" + std::to_string(i);
                if (!channel.send(requestText("POST", "/order/" + id, clientHeaders(id, 5000), "{}")))
                    break;
                record("client: sends request " + id);
                const Response response = readResponse(channel, Clock::now() + std::chrono::seconds(5));
                if (response.isComplete) {
                    ++answered;
                    record("client: request " + id + " -> " + std::to_string(response.status));
                    continue;
                }
                const std::lock_guard lock(mutex);
                if (i > 0 && ran.count(id)) {
                    ++unanswered;
                    record("client: request " + id + " on a kept channel has run and got no answer (" + response.error + ")");
                }
                break;
            }
        });
    const int wanted = hasTrouble() ? burstClients : usualClients;
    std::atomic<int> whole = 0;
    std::atomic<int> cut = 0;
    std::atomic<int> done = 0;
    for (int client = 0; client < wanted && couldRun; ++client)
        clients.emplace_back([&, client] {
            std::this_thread::sleep_for((hasTrouble() ? burstInterval : usualInterval) * client);
            const std::string id = "document-" + std::to_string(client);
            const int socket = connectTo(gateway.ports().caller, clientBuffer, segmentBytes);
            Channel channel(socket);
            record("client: sends request " + id);
            if (socket >= 0 && channel.send(requestText("POST", "/document/" + id, clientHeaders(id, timeLimitMs), "{}"))) {
                const Response response = readResponse(channel, Clock::now() + Milliseconds(timeLimitMs), bytesPerSecond);
                whole += response.isComplete && response.status == 200 ? 1 : 0;
                cut += response.isComplete ? 0 : 1;
                record("client: request " + id + " -> " + std::to_string(response.status) + ", " + std::to_string(response.body.size())
                    + " bytes" + (response.isComplete ? "" : ", " + response.error));
            }
            ++done;
        });
    record(std::to_string(wanted) + " clients ask for a document of " + std::to_string(answerBytes) + " bytes each");
    long most = 0;
    bool isEnded = false;
    const auto until = Clock::now() + std::chrono::seconds(60);
    while (couldRun && !isEnded && done < wanted && Clock::now() < until) {
        std::this_thread::sleep_for(Milliseconds(20));
        most = std::max(most, residentMb(gateway.pid()));
        if (most <= memoryLimitMb)
            continue;
        record("platform: the process uses " + std::to_string(most) + " MB of memory; memory_mb is "
            + std::to_string(memoryLimitMb) + ", so it is killed");
        gateway.kill();
        isEnded = true;
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    isRunning = false;
    for (std::thread& client : clients)
        client.join();
    checkIns.join();
    gateway.kill();
    record("the process used " + std::to_string(most) + " MB at most; " + std::to_string(whole) + " documents arrived whole, "
        + std::to_string(cut) + " were cut off; " + std::to_string(answered) + " orders were answered, "
        + std::to_string(unanswered) + " had run and were not");
    if (!couldRun || answered == 0) {
        record("the case could not run");
        return couldNotRun;
    }
    const bool isBroken = isEnded && unanswered > 3;
    record(isBroken ? "LOST is broken" : "LOST held");
    return isBroken ? ruleBroken : ruleHeld;
}
