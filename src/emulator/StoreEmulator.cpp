#include <catkinwell/emulator/StoreEmulator.h>

#include "emulator/EmulatedKeyValueStore.h"
#include "http/PercentEncoding.h"
#include "store/Base64.h"
#include <algorithm>
#include <catkinwell/http/CallerListener.h>
#include <charconv>
#include <list>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    const HeaderList jsonHeaders { { "Content-Type", "application/json" } };

    std::uint64_t numberIn(const std::string& text, const std::string& name)
    {
        const std::size_t start = text.find(name + "=");
        std::uint64_t value = 0;
        if (start != std::string::npos) {
            const char* first = text.data() + start + name.size() + 1;
            std::from_chars(first, text.data() + text.size(), value);
        }
        return value;
    }

    Json entryJson(const std::string& key, const EmulatedKeyValueStore::Entry& entry)
    {
        Json object { { "Key", key }, { "Value", base64Encoded(entry.value) }, { "ModifyIndex", entry.version },
            { "CreateIndex", entry.version }, { "LockIndex", 0 }, { "Flags", 0 } };
        if (!entry.session.empty())
            object["Session"] = entry.session;
        return object;
    }

    struct Faults {
        bool down = false;
        std::uint64_t droppedAnswers = 0;
        Duration delay {};
    };

} // namespace

class StoreEmulator::Implementation {
public:
    Implementation(EventLoop& loop, std::string address)
        : m_loop(loop)
        , m_listener(loop, listenerSettings(std::move(address)), 0)
    {
        m_listener.signalRequest().connect([this](const RequestArrived& request) { handle(request); });
        m_listener.signalCallerLeft().connect([this](const CallerLeft& left) {
            m_watches.remove_if([&left](const Watch& watch) { return watch.id == left.id; });
        });
        m_loop.callEvery(std::chrono::milliseconds(50), [this] {
            m_store.expireSessions(m_clock.monotonicNow());
            answerWatches();
        });
    }

    CallerListener& listener() { return m_listener; }

private:
    struct Watch {
        RequestId id;
        std::string key;
        std::uint64_t afterVersion = 0;
        MonotonicTime deadline;
    };

    static ListenerSettings listenerSettings(std::string address)
    {
        ListenerSettings settings;
        settings.address = std::move(address);
        settings.maximumBodyBytes = 8 * 1024 * 1024;
        return settings;
    }

    void handle(const RequestArrived&);
    void handleFaults(const RequestArrived&);
    void handleKeyValue(const RequestArrived&);
    void handleTransaction(const RequestArrived&);
    void handleSession(const RequestArrived&);
    void answer(RequestId, int status, std::string body);
    void answerRead(RequestId, const std::string& key);
    void answerWatches();

    EventLoop& m_loop;
    SystemClock m_clock;
    CallerListener m_listener;
    EmulatedKeyValueStore m_store;
    std::list<Watch> m_watches;
    Faults m_faults;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

void StoreEmulator::Implementation::handle(const RequestArrived& request)
{
    if (request.path.starts_with("/emulator/")) {
        handleFaults(request);
        return;
    }
    if (m_faults.down) {
        m_listener.execute(AbortResponse { request.id });
        return;
    }
    if (request.path.starts_with("/v1/kv/"))
        handleKeyValue(request);
    else if (request.path == "/v1/txn")
        handleTransaction(request);
    else if (request.path.starts_with("/v1/session/"))
        handleSession(request);
    else
        answer(request.id, 404, "unknown route");
}

void StoreEmulator::Implementation::handleFaults(const RequestArrived& request)
{
    if (request.method == "PUT") {
        const Json body = Json::parse(request.body, nullptr, false);
        if (body.is_object()) {
            m_faults.down = body.value("down", m_faults.down);
            m_faults.droppedAnswers = body.value("drop_answers", m_faults.droppedAnswers);
            m_faults.delay = std::chrono::milliseconds(body.value("delay_ms", std::int64_t { 0 }));
            if (body.value("save_copy", false))
                m_store.saveCopy();
            if (body.value("restore", false))
                m_store.restore(m_clock.monotonicNow());
        }
    }
    const Json statistics { { "reads", m_reads }, { "writes", m_writes }, { "waiting_watches", m_watches.size() },
        { "keys", m_store.entries().size() } };
    m_listener.execute(SendWholeResponse { request.id, 200, jsonHeaders, statistics.dump() });
}

void StoreEmulator::Implementation::answer(RequestId id, int status, std::string body)
{
    if (m_faults.droppedAnswers > 0) {
        --m_faults.droppedAnswers;
        m_listener.execute(AbortResponse { id });
        return;
    }
    SendWholeResponse response { id, status, jsonHeaders, std::move(body) };
    if (m_faults.delay == Duration::zero()) {
        m_listener.execute(response);
        return;
    }
    m_loop.callLater(m_faults.delay, [this, response = std::move(response)] { m_listener.execute(response); });
}

void StoreEmulator::Implementation::handleKeyValue(const RequestArrived& request)
{
    ++m_reads;
    const std::string key = percentDecoded(request.path.substr(std::string("/v1/kv/").size()));
    if (request.query.find("recurse") != std::string::npos) {
        Json found = Json::array();
        for (const auto& [name, entry] : m_store.entries()) {
            if (name.starts_with(key))
                found.push_back(entryJson(name, entry));
        }
        answer(request.id, found.empty() ? 404 : 200, found.empty() ? "" : found.dump());
        return;
    }
    const std::uint64_t afterVersion = numberIn(request.query, "index");
    const auto* entry = m_store.find(key);
    const std::uint64_t wait = numberIn(request.query, "wait");
    if (wait == 0 || (entry ? entry->version > afterVersion : afterVersion > 0)) {
        answerRead(request.id, key);
        return;
    }
    m_watches.push_back({ request.id, key, afterVersion, m_clock.monotonicNow() + std::chrono::seconds(wait) });
}

void StoreEmulator::Implementation::answerRead(RequestId id, const std::string& key)
{
    const auto* entry = m_store.find(key);
    if (entry)
        answer(id, 200, Json::array({ entryJson(key, *entry) }).dump());
    else
        answer(id, 404, "");
}

void StoreEmulator::Implementation::answerWatches()
{
    const MonotonicTime now = m_clock.monotonicNow();
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const auto* entry = m_store.find(watch->key);
        const bool changed = entry ? entry->version > watch->afterVersion : watch->afterVersion > 0;
        if (changed || now >= watch->deadline) {
            const Watch due = *watch;
            watch = m_watches.erase(watch);
            answerRead(due.id, due.key);
        } else {
            ++watch;
        }
    }
}

void StoreEmulator::Implementation::handleTransaction(const RequestArrived& request)
{
    ++m_writes;
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_array() || body.size() != 1 || !body[0].contains("KV")) {
        answer(request.id, 400, "the transaction must have exactly one KV operation");
        return;
    }
    const Json& operation = body[0]["KV"];
    const std::string verb = operation.value("Verb", "");
    const std::string key = operation.value("Key", "");
    std::optional<std::uint64_t> version;
    if (verb == "cas")
        version = m_store.compareAndSwap(
            key, base64Decoded(operation.value("Value", "")), operation.value("Index", std::uint64_t { 0 }));
    else if (verb == "lock")
        version = m_store.lock(key, base64Decoded(operation.value("Value", "")), operation.value("Session", ""));
    else if (verb == "delete-cas" && m_store.deleteCompared(key, operation.value("Index", std::uint64_t { 0 })))
        version = 0;
    if (!version) {
        answer(request.id, 409,
            Json { { "Errors", Json::array({ { { "OpIndex", 0 }, { "What", "compare failed" } } }) } }.dump());
        return;
    }
    Json results = Json::array();
    if (*version != 0)
        results.push_back({ { "KV", { { "Key", key }, { "ModifyIndex", *version } } } });
    answer(request.id, 200, Json { { "Results", results }, { "Errors", nullptr } }.dump());
    answerWatches();
}

void StoreEmulator::Implementation::handleSession(const RequestArrived& request)
{
    const MonotonicTime now = m_clock.monotonicNow();
    const std::string session = request.path.substr(request.path.rfind('/') + 1);
    if (request.path.starts_with("/v1/session/info/")) {
        ++m_reads;
        Json found = Json::array();
        if (m_store.hasSession(session))
            found.push_back({ { "ID", session } });
        answer(request.id, 200, found.dump());
        return;
    }
    ++m_writes;
    if (request.path == "/v1/session/create") {
        const Json body = Json::parse(request.body, nullptr, false);
        const std::string ttlText = body.is_object() ? body.value("TTL", "10s") : "10s";
        const std::uint64_t ttl = std::max<std::uint64_t>(1, numberIn("ttl=" + ttlText, "ttl"));
        answer(request.id, 200, Json { { "ID", m_store.createSession(std::chrono::seconds(ttl), now) } }.dump());
    } else if (request.path.starts_with("/v1/session/renew/")) {
        const bool renewed = m_store.renewSession(session, now);
        answer(request.id, renewed ? 200 : 404, renewed ? "[]" : "");
    } else if (request.path.starts_with("/v1/session/destroy/")) {
        m_store.destroySession(session);
        answer(request.id, 200, "true");
        answerWatches();
    } else {
        answer(request.id, 404, "unknown session route");
    }
}

StoreEmulator::StoreEmulator(EventLoop& loop, std::string address)
    : m_implementation(std::make_unique<Implementation>(loop, std::move(address)))
{
}

StoreEmulator::~StoreEmulator() = default;

Status StoreEmulator::start() { return m_implementation->listener().start(); }

std::uint16_t StoreEmulator::port() const { return m_implementation->listener().port(); }

} // namespace Catkinwell
