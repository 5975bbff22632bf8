// Stand-ins of the servers of PROTOCOL.md: model servers and plain services.
#pragma once

#include "record.h"
#include "store.h"
#include <cmath>

namespace Review {

struct ModelSettings {
    std::string name;
    double weightsMb = 0;
    double adapterMb = 0;
    unsigned adapters = 0;
};

struct EngineSettings {
    std::string service = "writer";
    std::vector<ModelSettings> models;
    double memoryMb = 0;
    unsigned adapterSlots = 8;
    Milliseconds loadTime { 300 };
    Milliseconds adapterTime { 10 };
    // Requests that it runs at once, and that wait for a place; it turns others away.
    unsigned places = 64;
    unsigned queue = 192;
    unsigned events = 10;
    Milliseconds eventTime { 20 };
    std::vector<std::string> loaded;
    // How long a run is preempted after its fifth event, and how many of the first runs, the newest ones, are.
    Milliseconds pause {};
    unsigned firstRuns = 3;
    unsigned preempted = 0;
    // Whether a run goes on when its channel is closed. "Most servers drop a request when its channel closes."
    bool dropsClosed = true;
};

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Streams events, and loads and unloads models as it is ordered to. An order to load more than its memory or its places
// for adapters hold crashes it.
class Engine {
public:
    struct Order {
        long at = 0;
        std::string holder;
        std::uint64_t fence = 0;
        int status = 0;
        std::string text;
    };

    // A request at work.
    struct Run {
        std::string id;
        unsigned firstEvent = 1;
        long from = 0;
        // -1 while it is at work.
        long to = -1;
        bool isComplete = false;
        unsigned events = 0;
    };

    Engine(Store& store, Record& record, std::string id, EngineSettings settings)
        : m_store(store)
        , m_record(record)
        , m_id(std::move(id))
        , m_settings(std::move(settings))
        , m_born(unixMilliseconds())
        , m_server([this](const Request& request, Channel& channel) { return handle(request, channel); })
    {
        for (const std::string& model : m_settings.loaded)
            m_loaded[model];
        m_thread = std::thread([this] { work(); });
    }
    ~Engine()
    {
        m_isRunning = false;
        m_thread.join();
        m_server.stop();
    }

    const std::string& id() const { return m_id; }
    bool hasCrashed() const { return m_hasCrashed; }
    std::vector<Order> orders() const
    {
        const std::lock_guard lock(m_mutex);
        return m_orders;
    }

    std::vector<Run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runLog;
    }
    bool isIdle() const
    {
        const std::lock_guard lock(m_mutex);
        return m_running == 0;
    }

private:
    const ModelSettings* settingsOf(const std::string& model) const
    {
        for (const ModelSettings& settings : m_settings.models) {
            if (settings.name == model)
                return &settings;
        }
        return nullptr;
    }
    Json modelsJson() const
    {
        Json models = Json::array();
        for (const auto& [name, adapters] : m_loaded)
            models.push_back({ { "name", name }, { "version", 1 }, { "adapters", adapters } });
        return models;
    }
    double usedMb() const
    {
        double used = 0;
        for (const auto& [name, adapters] : m_loaded) {
            const ModelSettings* settings = settingsOf(name);
            used += settings->weightsMb + settings->adapterMb * static_cast<double>(adapters.size());
            for (const auto& [adapter, readyAt] : m_coming)
                used += adapter.first == name ? settings->adapterMb : 0;
        }
        return used;
    }
    unsigned usedSlots() const
    {
        std::size_t used = m_coming.size();
        for (const auto& [name, adapters] : m_loaded)
            used += adapters.size();
        return static_cast<unsigned>(used);
    }

    bool handle(const Request& request, Channel& channel)
    {
        if (m_hasCrashed)
            return false;
        const std::string expected = request.header("Catkinwell-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return channel.send(responseText(421, { { "Catkinwell-Instance-Id", m_id } }, ""));
        if (request.path == "/report")
            return report(channel);
        if (request.path == "/order")
            return order(request, channel);
        if (request.path == "/health")
            return channel.send(responseText(200, { { "Catkinwell-Instance-Id", m_id } }, ""));
        return run(request, channel);
    }

    bool report(Channel& channel)
    {
        Json body;
        {
            const std::lock_guard lock(m_mutex);
            Json atWork = Json::array();
            for (const Run& run : m_runLog) {
                if (run.to < 0)
                    atWork.push_back(Json::array({ run.id, 100 + run.events, run.events, 5 }));
            }
            const bool isShort = m_settings.preempted > 0 && m_running > 0;
            body = { { "stage", "prefill_decode" }, { "models", modelsJson() }, { "busy", !m_busyWith.empty() },
                { "sequence", m_sequence }, { "waiting", m_queued }, { "running", m_running },
                { "kv_used", isShort ? 100000 : m_running * 100 },
                { "kv_total", 100000 }, { "handles", 0 }, { "born", m_born },
                { "runs", atWork }, { "at_hand", { { "in_memory", m_onDisk }, { "on_disk", m_onDisk } } } };
        }
        return channel.send(responseText(200, { { "Content-Type", "application/json" } }, body.dump()));
    }

    bool order(const Request& request, Channel& channel)
    {
        const Json body = Json::parse(request.body, nullptr, false);
        int status = 400;
        bool isTooMuch = false;
        {
            const std::lock_guard lock(m_mutex);
            const double usedBefore = usedMb();
            const unsigned slotsBefore = usedSlots();
            status = take(body, isTooMuch);
            Order order { m_record.milliseconds(), body.value("holder", ""), body.value("fence", std::uint64_t { 0 }),
                status, body.dump() };
            m_record("server " + m_id + ": order " + order.text + " -> " + std::to_string(status));
            m_orders.push_back(order);
            if (isTooMuch) {
                m_record("server " + m_id + ": ordered to load more than it holds (" + std::to_string(std::lround(usedBefore))
                    + " of " + std::to_string(std::lround(m_settings.memoryMb)) + " MB and " + std::to_string(slotsBefore) + " of "
                    + std::to_string(m_settings.adapterSlots) + " places used before this order); it crashes with "
                    + std::to_string(m_running) + " requests at work");
                m_hasCrashed = true;
            }
        }
        if (isTooMuch) {
            channel.reset();
            return false;
        }
        return channel.send(responseText(status, {}, ""));
    }

    int take(const Json& body, bool& isTooMuch)
    {
        const std::string type = body.value("op_type", "");
        const std::string model = body.value("model", "");
        const std::string adapter = body.value("adapter", "");
        const ModelSettings* settings = settingsOf(model);
        if (!body.contains("holder") || !body.contains("fence") || !settings || (type != "loading" && type != "unloading"))
            return 400;
        if (!m_busyWith.empty() || (body.contains("expected") && body["expected"] != m_sequence))
            return 409;
        const bool isLoaded = m_loaded.count(model) > 0;
        if (!adapter.empty())
            return takeAdapter(type, *settings, adapter, isLoaded, isTooMuch);
        if (isLoaded == (type == "loading"))
            return 200;
        ++m_sequence;
        if (type == "loading") {
            isTooMuch = usedMb() + settings->weightsMb > m_settings.memoryMb;
            m_busyUntil = Clock::now() + m_settings.loadTime;
        }
        m_busyWith = { type, model };
        return 202;
    }

    int takeAdapter(const std::string& type, const ModelSettings& model, const std::string& adapter, bool isLoaded,
        bool& isTooMuch)
    {
        if (!isLoaded)
            return 400;
        std::set<std::string>& adapters = m_loaded[model.name];
        const bool isLeaving = m_leaving.count({ model.name, adapter }) > 0;
        const bool isHeld = adapters.count(adapter) > 0 || m_coming.count({ model.name, adapter }) > 0;
        if (!isLeaving && isHeld == (type == "loading"))
            return 200;
        ++m_sequence;
        if (isLeaving) {
            if (type == "loading")
                m_leaving.erase({ model.name, adapter });
            return 202;
        }
        if (type == "unloading") {
            // One that a request uses goes when its runs have finished, and keeps its place until then.
            if (m_adapterRuns[{ model.name, adapter }] > 0) {
                m_leaving.insert({ model.name, adapter });
                return 202;
            }
            adapters.erase(adapter);
            return 200;
        }
        isTooMuch = usedMb() + model.adapterMb > m_settings.memoryMb || usedSlots() + 1 > m_settings.adapterSlots;
        m_coming[{ model.name, adapter }] = Clock::now() + m_settings.adapterTime;
        return 202;
    }

    bool run(const Request& request, Channel& channel)
    {
        const std::string id = request.header("Catkinwell-Request-Id");
        const std::string wanted = request.header("Catkinwell-Model");
        const std::string model = wanted.substr(0, wanted.find('/'));
        const std::string adapter = wanted.find('/') == std::string::npos ? "" : wanted.substr(wanted.find('/') + 1);
        const std::string last = request.header("Last-Event-Id");
        const unsigned firstEvent = last.empty() ? 1 : static_cast<unsigned>(std::stoul(last)) + 1;
        int refusal = 0;
        std::size_t run = 0;
        {
            std::unique_lock lock(m_mutex);
            // The server queues a few more than it runs.
            if (m_running >= m_settings.places && m_queued < m_settings.queue) {
                ++m_queued;
                while (m_running >= m_settings.places && m_isRunning && !m_hasCrashed && !channel.hasPeerLeft()) {
                    lock.unlock();
                    std::this_thread::sleep_for(Milliseconds(5));
                    lock.lock();
                }
                --m_queued;
                if (channel.hasPeerLeft())
                    return false;
            }
            const bool isOrdered = (!m_busyWith.empty() && m_busyWith[1] == model) || m_coming.count({ model, adapter });
            const auto loaded = m_loaded.find(model);
            if (isOrdered)
                refusal = 503;
            else if (loaded == m_loaded.end() || (!adapter.empty() && !loaded->second.count(adapter)))
                refusal = 421;
            else if (m_leaving.count({ model, adapter }))
                refusal = 503;
            else if (m_running >= m_settings.places)
                refusal = 503;
            else {
                ++m_runs[model];
                ++m_adapterRuns[{ model, adapter }];
                ++m_running;
                run = m_runLog.size();
                m_runLog.push_back({ id, firstEvent, m_record.milliseconds() });
            }
        }
        if (refusal != 0)
            m_record("server " + m_id + ": does not run request " + id + " from event " + std::to_string(firstEvent) + " -> "
                + std::to_string(refusal));
        if (refusal != 0)
            return channel.send(responseText(refusal, { { "Catkinwell-Request-Id", id }, { "Catkinwell-Not-Executed", "1" } }, ""));
        m_record("server " + m_id + ": runs request " + id + " for " + wanted + " from event " + std::to_string(firstEvent));
        bool isGood = channel.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                                   "Catkinwell-Request-Id: "
            + id + "\r\nCatkinwell-Response-Seal: seal-" + id + "\r\n\r\n");
        const auto goesOn = [&] { return (isGood || !m_settings.dropsClosed) && !m_hasCrashed && m_isRunning; };
        const bool isPreempted = run < m_settings.firstRuns && run + m_settings.preempted >= m_settings.firstRuns;
        unsigned event = firstEvent;
        for (; event <= m_settings.events && goesOn(); ++event) {
            std::this_thread::sleep_for(m_settings.eventTime);
            if (isPreempted && firstEvent == 1 && event == 6) {
                m_record("server " + m_id + ": request " + id + " is preempted after 5 events");
                for (const auto until = Clock::now() + m_settings.pause; Clock::now() < until && goesOn();) {
                    std::this_thread::sleep_for(Milliseconds(10));
                    isGood = isGood && !channel.hasPeerLeft();
                }
            }
            {
                const std::lock_guard lock(m_mutex);
                m_runLog[run].events = event;
            }
            const std::string text = "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            isGood = isGood && !channel.hasPeerLeft() && channel.send(size + text + "\r\n");
        }
        {
            const std::lock_guard lock(m_mutex);
            m_runLog[run].to = m_record.milliseconds();
            m_runLog[run].isComplete = event > m_settings.events;
            --m_runs[model];
            if (--m_adapterRuns[{ model, adapter }] == 0 && m_leaving.erase({ model, adapter }) > 0)
                m_loaded[model].erase(adapter);
            --m_running;
        }
        if (m_hasCrashed) {
            m_record("server " + m_id + ": request " + id + " is cut off by its crash");
            channel.reset();
            return false;
        }
        return isGood && channel.send("0\r\n\r\n");
    }

    // Ends orders, crashes, and checks in with the store.
    void work()
    {
        auto nextCheckIn = Clock::now();
        while (m_isRunning) {
            if (m_hasCrashed) {
                m_server.stop();
                // Its entry goes after three check-in intervals of silence.
                for (const auto until = Clock::now() + Milliseconds(3600); Clock::now() < until && m_isRunning;)
                    std::this_thread::sleep_for(Milliseconds(20));
                m_store.erase("servers/" + m_id);
                return;
            }
            bool hasChanged = false;
            {
                const std::lock_guard lock(m_mutex);
                if (!m_busyWith.empty() && m_busyWith[0] == "loading" && Clock::now() >= m_busyUntil) {
                    m_loaded[m_busyWith[1]];
                    m_onDisk.insert(m_busyWith[1]);
                    m_busyWith.clear();
                    hasChanged = true;
                } else if (!m_busyWith.empty() && m_busyWith[0] == "unloading" && m_runs[m_busyWith[1]] == 0) {
                    m_loaded.erase(m_busyWith[1]);
                    m_busyWith.clear();
                    hasChanged = true;
                }
                for (auto coming = m_coming.begin(); coming != m_coming.end();) {
                    if (Clock::now() < coming->second) {
                        ++coming;
                        continue;
                    }
                    m_loaded[coming->first.first].insert(coming->first.second);
                    coming = m_coming.erase(coming);
                }
            }
            if (hasChanged || Clock::now() >= nextCheckIn) {
                nextCheckIn = Clock::now() + Milliseconds(1200);
                checkIn();
            }
            std::this_thread::sleep_for(Milliseconds(5));
        }
    }
    void checkIn()
    {
        Json entry;
        {
            const std::lock_guard lock(m_mutex);
            entry = { { "service", m_settings.service }, { "address", "127.0.0.1:" + std::to_string(m_server.port()) },
                { "zone", "zone-a" }, { "version", "v1" }, { "slots", 64 }, { "state", "ready" },
                { "cold_remaining_ms", 0 }, { "stage", "prefill_decode" }, { "models", modelsJson() },
                { "sequence", ++m_checkIns }, { "born", m_born },
                { "at_hand", { { "in_memory", m_onDisk }, { "on_disk", m_onDisk } } } };
        }
        m_store.put("servers/" + m_id, entry.dump());
    }

    Store& m_store;
    Record& m_record;
    std::string m_id;
    EngineSettings m_settings;
    std::int64_t m_born;
    mutable std::mutex m_mutex;
    std::map<std::string, std::set<std::string>> m_loaded;
    std::map<std::pair<std::string, std::string>, Clock::time_point> m_coming;
    std::set<std::string> m_onDisk;
    std::map<std::string, unsigned> m_runs;
    std::map<std::pair<std::string, std::string>, unsigned> m_adapterRuns;
    // Adapters that are unloaded when their runs have finished.
    std::set<std::pair<std::string, std::string>> m_leaving;
    unsigned m_running = 0;
    unsigned m_queued = 0;
    // The kind and the model of the order that is being carried out; empty if there is none.
    std::vector<std::string> m_busyWith;
    Clock::time_point m_busyUntil;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_checkIns = 0;
    std::vector<Order> m_orders;
    std::vector<Run> m_runLog;
    std::atomic<bool> m_hasCrashed = false;
    std::atomic<bool> m_isRunning = true;
    Server m_server;
    std::thread m_thread;
};

// The engine part of a service in the manifest.
inline Json engineJson(const EngineSettings& settings, double loadSeconds, double loadsPerSecond)
{
    Json models = Json::array();
    for (const ModelSettings& model : settings.models)
        models.push_back({ { "name", model.name }, { "weights_mb", model.weightsMb }, { "load_time_s", loadSeconds },
            { "adapters", model.adapters }, { "adapter_mb", model.adapterMb }, { "warm_s", loadSeconds },
            { "disk_s", loadSeconds } });
    return { { "slots", 64 }, { "kv_capacity", 100000 }, { "models", models }, { "weights_mb", settings.memoryMb },
        { "adapter_slots", settings.adapterSlots }, { "loads_per_s", loadsPerSecond } };
}

inline Json routeJson(const std::string& name, const std::string& type, const std::string& service, int timeoutMs)
{
    return { { "name", name }, { "host", "clients.example" }, { "prefix", "/" + name + "/" }, { "route_type", type },
        { "timeout_ms", timeoutMs }, { "target_latency_ms", 500 }, { "priority", 1 }, { "service", service },
        { "max_attempts", 1 }, { "public", false }, { "sticky", type == "streaming" }, { "resumable", false },
        { "gap_aim_ms", 250 } };
}

inline Json manifestJson(Json routes, Json services)
{
    return { { "version", 7 }, { "routes", std::move(routes) }, { "services", std::move(services) },
        { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                        { "idle_timeout_ms", 15000 } } },
        { "tenants", Json::array({ { { "name", "tenant-a" }, { "api_keys", { "key-of-tenant-a" } }, { "priority", 1 },
            { "unit", "token_count" }, { "plain_tokens", 200 }, { "rate_per_s", 1000000 }, { "burst", 1000000 } } }) } };
}

inline Headers clientHeaders(const std::string& id, int deadlineMs)
{
    return { { "Host", "clients.example" }, { "Catkinwell-Request-Id", id },
        { "Catkinwell-Deadline-Ms", std::to_string(deadlineMs) }, { "Authorization", "Bearer key-of-tenant-a" } };
}

} // namespace Review
