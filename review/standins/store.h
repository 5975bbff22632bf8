// A stand-in of the platform's metadata store, as PROTOCOL.md describes it: items, ranges, watches, changes under a
// condition, and leases. Answers take 4 ms. Each machine of the system has a port of its own, so that the store can turn
// single machines away.
#pragma once

#include "http.h"
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace Review {

using Json = nlohmann::json;

inline std::string base64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[value >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

inline std::string fromBase64(const std::string& text)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    unsigned value = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t digit = digits.find(c);
        if (digit == std::string_view::npos)
            break;
        value = value << 6 | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(value >> bits & 255);
        }
    }
    return bytes;
}

class Store {
public:
    // What becomes of a call.
    struct Fate {
        enum Kind {
            // It is carried out and answered.
            Served,
            // Nothing is done and nothing is answered.
            Silent,
            // It is carried out after the delay, if its condition then holds, and not answered.
            Late,
        } kind
            = Served;
        Milliseconds delay {};
    };
    // Decides on the call of a machine, which counts from 0 in the order of open().
    using Judge = std::function<Fate(std::size_t machine, const Request&, const Json& body)>;

    Store()
        : m_sweeper([this] { sweep(); })
    {
    }
    ~Store()
    {
        m_isRunning = false;
        m_changed.notify_all();
        m_sweeper.join();
        for (auto& server : m_servers)
            server->stop();
        while (m_lateCalls > 0)
            std::this_thread::sleep_for(Milliseconds(5));
    }

    // Opens one more port and returns it.
    int open()
    {
        const std::size_t machine = m_servers.size();
        m_servers.push_back(std::make_unique<Server>(
            [this, machine](const Request& request, Channel& channel) { return handle(machine, request, channel); }));
        return m_servers.back()->port();
    }
    void setJudge(Judge judge)
    {
        const std::lock_guard lock(m_judgeMutex);
        m_judge = std::move(judge);
    }

    // A write of the operator or of a server; it has no condition.
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, base64(value), 0);
    }
    void erase(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        remove(key);
    }
    // Returns the value of the key; empty if there is none.
    std::string value(const std::string& key) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_items.find(key);
        return found == m_items.end() ? "" : fromBase64(found->second.value);
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        Milliseconds ttl {};
        Clock::time_point endsAt;
    };
    struct Answer {
        int status = 200;
        Json body = Json::object();
    };

    bool handle(std::size_t machine, const Request& request, Channel& channel)
    {
        const Json body = request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
        Fate fate;
        {
            const std::lock_guard lock(m_judgeMutex);
            if (m_judge)
                fate = m_judge(machine, request, body);
        }
        if (fate.kind != Fate::Served) {
            if (fate.kind == Fate::Late) {
                ++m_lateCalls;
                std::thread([this, request, body, delay = fate.delay] {
                    for (const auto at = Clock::now() + delay; Clock::now() < at && m_isRunning;)
                        std::this_thread::sleep_for(Milliseconds(5));
                    if (m_isRunning)
                        carryOut(request, body);
                    --m_lateCalls;
                }).detach();
            }
            // A channel on which a response is lost returns nothing further.
            while (m_isRunning && !channel.hasPeerLeft())
                std::this_thread::sleep_for(Milliseconds(20));
            return false;
        }
        const Answer answer = request.path == "/kv-watch" ? watch(request, channel) : carryOut(request, body);
        std::this_thread::sleep_for(Milliseconds(4));
        return channel.send(responseText(answer.status, { { "Content-Type", "application/json" } }, answer.body.dump()));
    }

    Answer carryOut(const Request& request, const Json& body)
    {
        const std::lock_guard lock(m_mutex);
        if (request.path == "/kv-key") {
            const auto found = m_items.find(request.queryField("key"));
            Answer answer { found == m_items.end() ? 404 : 200 };
            if (found != m_items.end())
                answer.body = jsonOf(found->first, found->second);
            answer.body["store_revision"] = m_revision;
            return answer;
        }
        if (request.path == "/kv-range") {
            Json items = Json::array();
            const std::string prefix = request.queryField("prefix");
            const std::string after = request.queryField("after");
            for (const auto& [key, item] : m_items) {
                if (key.rfind(prefix, 0) == 0 && key > after)
                    items.push_back(jsonOf(key, item));
            }
            return { 200, { { "items", items }, { "truncated", false }, { "store_revision", m_revision } } };
        }
        if (request.path == "/kv-txn")
            return transact(body);
        if (request.path == "/kv-lease") {
            const Milliseconds ttl(body.value("ttl_ms", 1000));
            m_leases[++m_lastLease] = { ttl, Clock::now() + ttl };
            return { 200, { { "lease", m_lastLease }, { "ttl_ms", ttl.count() } } };
        }
        const std::uint64_t lease = std::strtoull(request.path.substr(request.path.rfind('/') + 1).c_str(), nullptr, 10);
        if (request.path.rfind("/kv-keep/", 0) == 0) {
            const auto found = m_leases.find(lease);
            if (found == m_leases.end())
                return { 404 };
            found->second.endsAt = Clock::now() + found->second.ttl;
            return { 200, { { "ttl_ms", found->second.ttl.count() } } };
        }
        if (request.path.rfind("/kv-lease-end/", 0) == 0) {
            endLease(lease);
            return {};
        }
        return { 404 };
    }

    Answer transact(const Json& body)
    {
        for (const Json& expected : body.at("expected")) {
            const auto found = m_items.find(expected.at("key").get<std::string>());
            if ((found == m_items.end() ? 0 : found->second.revision) != expected.at("revision").get<std::uint64_t>())
                return { 412, { { "items", Json::array() } } };
        }
        for (const Json& entry : body.at("writes")) {
            const auto lease = entry.value("lease", std::uint64_t { 0 });
            if (lease != 0 && !m_leases.count(lease))
                return { 404 };
        }
        for (const Json& entry : body.at("writes"))
            write(entry.at("key"), entry.at("value"), entry.value("lease", std::uint64_t { 0 }));
        for (const Json& key : body.at("deletes"))
            remove(key);
        return { 200, { { "revision", m_revision } } };
    }

    Answer watch(const Request& request, Channel& channel)
    {
        const std::string prefix = request.queryField("prefix");
        const auto after = std::strtoull(request.queryField("after").c_str(), nullptr, 10);
        const auto until = Clock::now() + Milliseconds(std::stol(request.queryField("wait_ms")));
        std::unique_lock lock(m_mutex);
        while (true) {
            Json events = Json::array();
            for (const Json& event : m_events) {
                if (event["revision"] > after && event["key"].get_ref<const std::string&>().rfind(prefix, 0) == 0)
                    events.push_back(event);
            }
            if (!events.empty() || Clock::now() >= until || !m_isRunning || channel.hasPeerLeft())
                return { 200, { { "events", events }, { "store_revision", m_revision } } };
            m_changed.wait_until(lock, std::min(until, Clock::now() + Milliseconds(100)));
        }
    }

    static Json jsonOf(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision },
            { "create_revision", item.created }, { "lease", item.lease } };
    }
    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        Item& item = m_items[key];
        item = { value, ++m_revision, item.created == 0 ? m_revision : item.created, lease };
        m_events.push_back(jsonOf(key, item));
        m_changed.notify_all();
    }
    void remove(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        m_events.push_back({ { "key", key }, { "revision", ++m_revision }, { "deleted", true } });
        m_changed.notify_all();
    }
    void endLease(std::uint64_t lease)
    {
        if (m_leases.erase(lease) == 0)
            return;
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            remove(key);
    }
    void sweep()
    {
        while (m_isRunning) {
            {
                const std::lock_guard lock(m_mutex);
                std::vector<std::uint64_t> ended;
                for (const auto& [id, lease] : m_leases) {
                    if (Clock::now() >= lease.endsAt)
                        ended.push_back(id);
                }
                for (const std::uint64_t id : ended)
                    endLease(id);
            }
            std::this_thread::sleep_for(Milliseconds(10));
        }
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<Json> m_events;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    std::mutex m_judgeMutex;
    Judge m_judge;
    std::atomic<bool> m_isRunning = true;
    std::atomic<int> m_lateCalls = 0;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::thread m_sweeper;
};

} // namespace Review
