// A plain server and a model server, as PROTOCOL.md describes them, and a client.
#pragma once

#include "stand.h"
#include <deque>

namespace Stand {

// What ran where, as the servers saw it.
struct Run {
    std::string id;
    std::string server;
    std::int64_t at = 0;
    std::string target;
    std::string method = {};
    std::string body = {};
};

// Serves the requests of a service without models: works for a while and answers.
class PlainServer {
public:
    PlainServer(Loop& loop, Store& store, Record& record, std::vector<Run>& runs, std::string id, std::string service,
        std::string zone)
        : m_loop(loop)
        , m_store(store)
        , m_record(record)
        , m_runs(runs)
        , id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
    {
        port = serveHttp(loop, 0, [this](ConnectionPtr c, const Message& m) { handle(c, m); });
        checkIn();
    }
    std::int64_t workMs = 30;
    std::uint16_t port = 0;

private:
    void checkIn()
    {
        const Json entry { { "service", m_service }, { "address", "127.0.0.1:" + std::to_string(port) },
            { "zone", m_zone }, { "version", "v1" }, { "slots", slots }, { "state", "ready" }, { "cold_remaining_ms", 0 },
            { "sequence", ++m_sequence }, { "born", 1700000000000 } };
        m_store.put("servers/" + id, entry.dump());
        m_loop.after(1200, [this] { checkIn(); });
    }
    void handle(const ConnectionPtr& c, const Message& m)
    {
        const std::string expected = m.header("Catkinwell-Expect-Instance");
        if (!expected.empty() && expected != id)
            return c->write(wholeAnswer(421, { { "Catkinwell-Instance-Id", id } }, ""));
        if (m.word(1) == "/health")
            return c->write(wholeAnswer(200, { { "Catkinwell-Instance-Id", id } }, "ok"));
        if (m_running >= slots && m_queue.size() >= queueLength)
            return c->write(wholeAnswer(503,
                { { "Catkinwell-Request-Id", m.header("Catkinwell-Request-Id") }, { "Catkinwell-Not-Executed", "1" } },
                ""));
        m_queue.emplace_back(c, m);
        runNext();
    }
    void runNext()
    {
        while (m_running < slots && !m_queue.empty()) {
            const auto [c, m] = m_queue.front();
            m_queue.pop_front();
            // The server drops a request whose channel has closed.
            if (c->isOpen())
                run(c, m);
        }
    }
    void run(const ConnectionPtr& c, const Message& m)
    {
        const std::string request = m.header("Catkinwell-Request-Id");
        ++m_running;
        m_runs.push_back({ request, id, nowMs(), m.word(1), m.word(0), m.body });
        m_record.line("run " + request + " at " + id);
        m_loop.after(workMs, [c, request, this] {
            --m_running;
            if (c->isOpen())
                c->write(wholeAnswer(200,
                    { { "Catkinwell-Request-Id", request }, { "Catkinwell-Response-Seal", "seal-" + request } },
                    "done " + request));
            runNext();
        });
    }

    Loop& m_loop;
    Store& m_store;
    Record& m_record;
    std::vector<Run>& m_runs;
    std::uint64_t m_sequence = 0;
    static constexpr std::size_t slots = 6;
    static constexpr std::size_t queueLength = 24;
    std::size_t m_running = 0;
    std::deque<std::pair<ConnectionPtr, Message>> m_queue;

public:
    std::string id;

private:
    std::string m_service;
    std::string m_zone;
};

// Runs streams of the models that it holds, and carries out orders.
class ModelServer {
public:
    ModelServer(Loop& loop, Store& store, Record& record, std::vector<Run>& runs, std::string id, std::string service,
        std::string zone, const std::vector<std::string>& models)
        : m_loop(loop)
        , m_store(store)
        , m_record(record)
        , m_runs(runs)
        , id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
    {
        for (const std::string& model : models)
            m_models[model];
        listen(0);
        checkIn();
    }
    std::uint16_t port = 0;
    int events = 20;
    std::int64_t eventMs = 30;
    std::int64_t firstMs = 60;
    int orders = 0;
    // The adapters that a model has.
    std::map<std::string, int> adapterCount;

private:
    void listen(std::uint16_t wanted)
    {
        port = serveHttp(
            m_loop, wanted,
            [this](ConnectionPtr c, const Message& m) {
                m_open.insert(c);
                handle(c, m);
            },
            [this](ConnectionPtr c) { m_open.erase(c); }, &m_listener);
    }
    Json modelList() const
    {
        Json list = Json::array();
        for (const auto& [model, adapters] : m_models)
            list.push_back({ { "name", model }, { "version", 1 }, { "adapters", adapters } });
        return list;
    }
    void checkIn()
    {
        writeEntry();
        m_loop.after(1200, [this] { checkIn(); });
    }
    void writeEntry()
    {
        const Json entry { { "service", m_service }, { "address", "127.0.0.1:" + std::to_string(port) },
            { "zone", m_zone }, { "version", "v1" }, { "slots", slots }, { "state", "ready" }, { "cold_remaining_ms", 0 },
            { "stage", "prefill_decode" }, { "models", modelList() }, { "sequence", m_sequence },
            { "born", 1700000000000 }, { "at_hand", { { "in_memory", Json::array() }, { "on_disk", m_disk } } } };
        m_store.put("servers/" + id, entry.dump());
    }
    Json runList() const
    {
        Json list = Json::array();
        for (const auto& [request, made] : m_made)
            list.push_back(Json::array({ request, 1000, made, 5 }));
        return list;
    }
    void handle(const ConnectionPtr& c, const Message& m)
    {
        const std::string expected = m.header("Catkinwell-Expect-Instance");
        if (!expected.empty() && expected != id)
            return c->write(wholeAnswer(421, { { "Catkinwell-Instance-Id", id } }, ""));
        const std::string path = m.word(1);
        if (path == "/health")
            c->write(wholeAnswer(200, { { "Catkinwell-Instance-Id", id } }, "ok"));
        else if (path == "/report")
            c->write(jsonAnswer(200,
                { { "stage", "prefill_decode" }, { "models", modelList() }, { "busy", m_isBusy },
                    { "sequence", m_sequence }, { "waiting", 0 }, { "running", m_running }, { "kv_used", m_running * 1000 },
                    { "kv_total", 121735 }, { "handles", 0 }, { "born", 1700000000000 }, { "runs", runList() },
                    { "at_hand", { { "in_memory", Json::array() }, { "on_disk", m_disk } } } }));
        else if (path == "/order")
            order(c, m);
        else
            stream(c, m);
    }
    void order(const ConnectionPtr& c, const Message& m)
    {
        const Json order = Json::parse(m.body, nullptr, false);
        ++orders;
        m_record.line("order at " + id + ": " + m.body.substr(0, 200));
        if (!order.is_object() || !order.contains("holder") || !order.contains("fence"))
            return c->write(jsonAnswer(400, Json::object()));
        if (m_isBusy || (order.contains("expected") && order["expected"] != m_sequence))
            return c->write(jsonAnswer(409, Json::object()));
        const std::string model = order.value("model", "");
        const std::string adapter = order.value("adapter", "");
        const bool isLoad = order.value("op_type", "") == "loading";
        if (!adapter.empty()) {
            const int number = adapter[0] == 'a' ? std::atoi(adapter.c_str() + 1) : 0;
            if (!m_models.contains(model) || number < 1 || number > adapterCount[model])
                return c->write(jsonAnswer(400, Json::object()));
            ++m_sequence;
            if (!isLoad) {
                m_models[model].erase(adapter);
                return c->write(jsonAnswer(200, Json::object()));
            }
            m_loop.after(15, [this, model, adapter] {
                if (m_models.contains(model))
                    m_models[model].insert(adapter);
            });
            return c->write(jsonAnswer(202, Json::object()));
        }
        ++m_sequence;
        m_isBusy = true;
        if (!isLoad)
            m_models.erase(model);
        m_loop.after(!isLoad ? 50 : (m_disk.contains(model) ? 1700 : 6900), [this, isLoad, model] {
            m_isBusy = false;
            if (isLoad)
                m_models[model];
            writeEntry();
        });
        c->write(jsonAnswer(202, Json::object()));
    }
    void stream(const ConnectionPtr& c, const Message& m)
    {
        const std::string request = m.header("Catkinwell-Request-Id");
        const std::string variant = m.header("Catkinwell-Model");
        const std::string model = variant.substr(0, variant.find('/'));
        const std::string adapter = variant.find('/') == std::string::npos ? "" : variant.substr(variant.find('/') + 1);
        if (!m_models.contains(model) || (!adapter.empty() && !m_models[model].contains(adapter)))
            return c->write(wholeAnswer(421, { { "Catkinwell-Request-Id", request } }, ""));
        if (m_running >= slots)
            return c->write(
                wholeAnswer(503, { { "Catkinwell-Request-Id", request }, { "Catkinwell-Not-Executed", "1" } }, ""));
        m_runs.push_back({ request, id, nowMs(), m.word(1), m.word(0), m.body });
        m_record.line("run " + request + " at " + id + " model " + variant);
        ++m_running;
        const int first = std::atoi(m.header("Last-Event-Id").c_str()) + 1;
        m_loop.after(firstMs, [this, c, request, first] {
            if (c->isOpen())
                c->write(headText("HTTP/1.1 200 OK",
                    { { "Content-Type", "text/event-stream" }, { "Catkinwell-Request-Id", request },
                        { "Catkinwell-Response-Seal", "seal-" + request }, { "Catkinwell-Weight-Versions", "1" },
                        { "Transfer-Encoding", "chunked" } }));
            next(c, request, first);
        });
    }
    void next(const ConnectionPtr& c, const std::string& request, int number)
    {
        if (!c->isOpen() || number > events) {
            --m_running;
            m_made.erase(request);
        }
        if (!c->isOpen())
            return;
        if (number > events) {
            c->write("0\r\n\r\n");
            return;
        }
        const std::string event = "id: " + std::to_string(number) + "\ndata: " + request + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        c->write(size + event + "\r\n");
        m_made[request] = number;
        m_loop.after(eventMs, [this, c, request, number] { next(c, request, number + 1); });
    }

    Loop& m_loop;
    Store& m_store;
    Record& m_record;
    std::vector<Run>& m_runs;
    std::map<std::string, std::set<std::string>> m_models;
    std::uint64_t m_sequence = 0;
    bool m_isBusy = false;
    int m_listener = -1;
    static constexpr int slots = 64;
    int m_running = 0;
    std::set<ConnectionPtr> m_open;
    std::set<std::string> m_disk;
    // The events that the running requests have made.
    std::map<std::string, int> m_made;

public:
    std::string id;

private:
    std::string m_service;
    std::string m_zone;
};

// One request of a client on a channel of its own, or on one that is kept.
struct Call {
    std::string id;
    std::string method = "POST";
    std::string path;
    Headers headers;
    std::string body;
    std::int64_t timeoutMs = 2500;
};

struct Answer {
    // 0: the channel ended, or the time limit passed, without a whole answer.
    int status = 0;
    Message message;
    bool wasClosed = false;
    bool wasReset = false;
    bool wasSent = false;
    // When the request was written to its open channel.
    std::int64_t sentAt = 0;
};

inline void call(Loop& loop, std::uint16_t port, const Call& call, std::function<void(const Answer&)> done)
{
    auto c = loop.connect(port);
    auto reader = std::make_shared<Reader>();
    auto isDone = std::make_shared<bool>(false);
    auto sentAt = std::make_shared<std::int64_t>(0);
    const auto end = [isDone, done, sentAt](Answer answer) {
        if (std::exchange(*isDone, true))
            return;
        answer.wasSent = *sentAt > 0;
        answer.sentAt = *sentAt;
        done(answer);
    };
    c->onOpen = [call, sentAt](Connection& open) {
        Headers headers { { "Host", "ficu95.example" }, { "Catkinwell-Request-Id", call.id },
            { "Catkinwell-Deadline-Ms", std::to_string(call.timeoutMs) } };
        headers.insert(headers.end(), call.headers.begin(), call.headers.end());
        if (call.method != "GET")
            headers.emplace_back("Content-Length", std::to_string(call.body.size()));
        open.write(headText(call.method + " " + call.path + " HTTP/1.1", headers) + call.body);
        *sentAt = nowMs();
    };
    c->onData = [reader, end](Connection& open) {
        if (reader->read(open.in, true)) {
            Answer answer;
            answer.status = reader->message.status();
            answer.message = reader->message;
            open.close();
            end(answer);
        }
    };
    c->onClosed = [reader, end](Connection&, bool wasReset) {
        Answer answer;
        answer.message = reader->message;
        answer.wasClosed = true;
        answer.wasReset = wasReset;
        end(answer);
    };
    loop.after(call.timeoutMs, [c, end, isDone] {
        if (*isDone)
            return;
        c->close();
        end(Answer {});
    });
}

inline Json route(const std::string& name, const std::string& prefix, const std::string& type,
    const std::string& service, int timeoutMs, int aimMs, int priority, int attempts, bool resumable = false)
{
    return { { "name", name }, { "host", "ficu95.example" }, { "prefix", prefix }, { "route_type", type },
        { "timeout_ms", timeoutMs }, { "target_latency_ms", aimMs }, { "priority", priority }, { "service", service },
        { "max_attempts", attempts }, { "public", false }, { "sticky", type == "streaming" },
        { "resumable", resumable }, { "gap_aim_ms", 300 } };
}

inline Json model(const std::string& name, int adapters)
{
    return { { "name", name }, { "weights_mb", 72700.0 }, { "load_time_s", 6.9 }, { "adapters", adapters },
        { "adapter_mb", 66.0 }, { "warm_s", 0.81 }, { "disk_s", 1.7 } };
}

inline Json tenant(const std::string& name, const std::string& key)
{
    return { { "name", name }, { "api_keys", { key } }, { "priority", 1 }, { "unit", "token_count" },
        { "plain_tokens", 200 }, { "rate_per_s", 35953 }, { "burst", 35953 } };
}

// A manifest with a service of model servers and one of plain servers.
inline Json manifest(int version)
{
    return { { "version", version },
        { "routes",
            { route("shift-note", "/note/", "streaming", "notewriter", 15000, 600, 1, 2, true),
                route("grease-order", "/order/", "unsafe", "rampdesk", 1500, 150, 2, 2),
                route("log-lookup", "/log/", "safe", "rampdesk", 1500, 150, 2, 2) } },
        { "services",
            { { { "name", "notewriter" }, { "health_path", "/health" }, { "max_conns", 360 }, { "protocol", "h1" },
                  { "tls", false },
                  { "engine",
                      { { "slots", 64 }, { "kv_capacity", 121735 }, { "weights_mb", 220000.0 }, { "adapter_slots", 8 },
                          { "loads_per_s", 2.8 }, { "models", { model("m0", 42), model("m1", 0), model("m2", 16), model("m3", 0) } } } } },
                { { "name", "rampdesk" }, { "health_path", "/health" }, { "max_conns", 100 }, { "protocol", "h1" },
                    { "tls", false } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "tenants",
            { tenant("hule930", "i9n73hh2b9wu3fexd9dn"), tenant("dako114", "q4m81zt6c0xw7pyeh2us"),
                tenant("sefwi602", "b7k35rn9v1jd8agot4lx") } } };
}

inline Headers withKey(Headers headers = {}, const std::string& key = "i9n73hh2b9wu3fexd9dn")
{
    headers.emplace_back("Authorization", "Bearer " + key);
    return headers;
}

// A small installation: four gateways in three zones, two with 390 MB and two with 520 MB as on the site, three plain
// servers and three model servers.
class Installation {
public:
    Installation(Loop& loop, Record& record, const std::string& folder, int gatewayCount = 4, int modelServers = 3)
        : store(loop)
        , m_loop(loop)
        , m_folder(folder)
    {
        const char* const zones[] { "akosombo", "kpong", "ada" };
        store.put("op/config", manifest(7).dump());
        for (int i = 0; i < 3; ++i) {
            plain.push_back(std::make_unique<PlainServer>(
                loop, store, record, runs, "i-plain" + std::to_string(i), "rampdesk", zones[i]));
        }
        for (int i = 0; i < modelServers; ++i) {
            models.push_back(std::make_unique<ModelServer>(loop, store, record, runs, "i-model" + std::to_string(i),
                "notewriter", zones[i % 3], std::vector<std::string> { "m0", i == 0 ? "m1" : "m2" }));
            models.back()->adapterCount = { { "m0", 42 }, { "m2", 16 } };
        }
        for (int i = 0; i < gatewayCount; ++i) {
            gateways.push_back(makeGateway(
                folder, std::string("front-") + zones[i % 3] + "-" + std::to_string(i), zones[i % 3], store.port,
                i % 3 == 0 ? 390 : 520));
            gateways.back().start(folder);
        }
    }
    ~Installation()
    {
        for (Gateway& gateway : gateways)
            gateway.killAndWait();
    }
    // Waits until all gateways say that they are ready; returns whether they did.
    bool waitUntilReady(std::int64_t timeoutMs)
    {
        const std::int64_t until = nowMs() + timeoutMs;
        while (nowMs() < until) {
            int ready = 0;
            for (Gateway& gateway : gateways)
                call(m_loop, gateway.ready, { "probe", "GET", "/ready", {}, "", 400 },
                    [&ready](const Answer& answer) { ready += answer.status == 200 ? 1 : 0; });
            m_loop.run(nowMs() + 500);
            if (ready == static_cast<int>(gateways.size()))
                return true;
        }
        return false;
    }
    Store store;
    std::vector<Run> runs;
    std::vector<std::unique_ptr<PlainServer>> plain;
    std::vector<std::unique_ptr<ModelServer>> models;
    std::vector<Gateway> gateways;

private:
    Loop& m_loop;
    std::string m_folder;
};

} // namespace Stand
