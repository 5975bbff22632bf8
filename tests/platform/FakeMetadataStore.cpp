#include "platform/FakeMetadataStore.h"

#include "http/PercentEncoding.h"
#include "store/Base64.h"
#include <charconv>
#include <stdexcept>

namespace Catkinwell::Testing {

namespace {

    using Json = nlohmann::json;

    constexpr Duration sweepInterval = std::chrono::milliseconds(20);
    // Keeps request identifiers distinct over all addresses.
    constexpr std::uint64_t identifiersPerAddress = 1ULL << 32;

    std::string queryField(const std::string& query, const std::string& name)
    {
        std::size_t start = 0;
        while (start < query.size()) {
            const std::size_t end = std::min(query.find('&', start), query.size());
            const std::string pair = query.substr(start, end - start);
            if (pair.starts_with(name + "="))
                return percentDecoded(pair.substr(name.size() + 1));
            start = end + 1;
        }
        return "";
    }

    std::uint64_t numberOf(const std::string& text)
    {
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    std::uint64_t lastPartOf(const std::string& path) { return numberOf(path.substr(path.rfind('/') + 1)); }

} // namespace

FakeMetadataStore::FakeMetadataStore(EventLoop& loop)
    : m_loop(loop)
{
    m_loop.callEvery(sweepInterval, [this] {
        expireLeases();
        answerWatches();
    });
}

std::uint16_t FakeMetadataStore::open()
{
    ListenerSettings settings;
    settings.address = "127.0.0.1:0";
    settings.idleTimeout = std::chrono::seconds(60);
    m_addresses.push_back(
        std::make_unique<Address>(m_loop, settings, identifiersPerAddress * (m_addresses.size() + 1)));
    Address& address = *m_addresses.back();
    address.listener.signalRequest().connect(
        [this, &address](const RequestArrived& request) { receive(address, request); });
    address.listener.signalCallerLeft().connect([this](const CallerLeft& left) {
        m_watches.remove_if([&left](const Watch& watch) { return watch.id == left.id; });
    });
    if (isError(address.listener.start()))
        throw std::runtime_error("the fake store found no free port");
    return address.listener.port();
}

void FakeMetadataStore::receive(Address& address, const RequestArrived& request)
{
    ++m_calls;
    if (address.faults.isDown) {
        address.listener.execute(AbortResponse { request.id });
        return;
    }
    if (address.faults.delay == Duration::zero())
        handle(address, request);
    else
        m_loop.callLater(address.faults.delay, [this, &address, request] { handle(address, request); });
}

void FakeMetadataStore::handle(Address& address, const RequestArrived& request)
{
    const Json body = request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
    if (request.path == "/kv-key") {
        const auto item = m_state.items.find(queryField(request.query, "key"));
        Answer answer;
        if (item == m_state.items.end())
            answer.status = 404;
        else
            answer.body = itemJson(item->first, item->second);
        answer.body["store_revision"] = m_state.revision;
        reply(address, request.id, answer);
    } else if (request.path == "/kv-range") {
        reply(address, request.id, range(queryField(request.query, "prefix")));
    } else if (request.path == "/kv-watch") {
        if (address.faults.lostHistories > 0) {
            --address.faults.lostHistories;
            reply(address, request.id, { 410 });
            return;
        }
        if (numberOf(queryField(request.query, "after")) > m_state.revision) {
            reply(address, request.id, { 410 });
            return;
        }
        const auto wait = std::chrono::milliseconds(numberOf(queryField(request.query, "wait_ms")));
        m_watches.push_back({ &address, request.id, queryField(request.query, "prefix"),
            numberOf(queryField(request.query, "after")), m_clock.monotonicNow() + wait });
        answerWatches();
    } else if (request.path == "/kv-txn") {
        reply(address, request.id, transact(body));
    } else if (request.path == "/kv-lease") {
        reply(address, request.id, createLease(body));
    } else if (request.path.starts_with("/kv-keep/")) {
        reply(address, request.id, keepLease(lastPartOf(request.path)));
    } else if (request.path.starts_with("/kv-lease-end/")) {
        endLease(lastPartOf(request.path));
        reply(address, request.id, {});
    } else {
        reply(address, request.id, { 404 });
    }
}

void FakeMetadataStore::reply(Address& address, RequestId id, const Answer& answer)
{
    if (address.faults.lostAnswers > 0) {
        --address.faults.lostAnswers;
        address.listener.execute(AbortResponse { id });
        return;
    }
    address.listener.execute(SendWholeResponse { id, answer.status,
        { { "Content-Type", "application/json" }, { "Store-Era", std::to_string(m_era) } }, answer.body.dump() });
}

Json FakeMetadataStore::itemJson(const std::string& key, const Item& item) const
{
    return { { "key", key }, { "value", base64Encoded(item.value) }, { "revision", item.revision },
        { "create_revision", item.createRevision }, { "lease", item.lease } };
}

FakeMetadataStore::Answer FakeMetadataStore::range(const std::string& prefix) const
{
    Json items = Json::array();
    for (const auto& [key, item] : m_state.items) {
        if (key.starts_with(prefix))
            items.push_back(itemJson(key, item));
    }
    return { 200, { { "items", std::move(items) }, { "truncated", false }, { "store_revision", m_state.revision } } };
}

FakeMetadataStore::Answer FakeMetadataStore::transact(const Json& body)
{
    for (const Json& expected : body.value("expected", Json::array())) {
        const auto item = m_state.items.find(expected.value("key", ""));
        const std::uint64_t revision = item == m_state.items.end() ? 0 : item->second.revision;
        if (revision != expected.value("revision", std::uint64_t { 0 }))
            return { 412, { { "items", Json::array() } } };
    }
    for (const Json& write : body.value("writes", Json::array())) {
        const auto lease = write.value("lease", std::uint64_t { 0 });
        if (lease != 0 && !m_state.leases.contains(lease))
            return { 404 };
    }
    for (const Json& entry : body.value("writes", Json::array()))
        write(
            entry.value("key", ""), base64Decoded(entry.value("value", "")), entry.value("lease", std::uint64_t { 0 }));
    for (const Json& key : body.value("deletes", Json::array()))
        remove(key.get<std::string>());
    return { 200, { { "revision", m_state.revision } } };
}

FakeMetadataStore::Answer FakeMetadataStore::createLease(const Json& body)
{
    const auto ttl = std::chrono::milliseconds(body.value("ttl_ms", 1000));
    m_state.leases[++m_state.lastLease] = { ttl, m_clock.monotonicNow() + ttl };
    return { 200, { { "lease", m_state.lastLease }, { "ttl_ms", ttl.count() } } };
}

FakeMetadataStore::Answer FakeMetadataStore::keepLease(std::uint64_t lease)
{
    const auto found = m_state.leases.find(lease);
    if (found == m_state.leases.end())
        return { 404 };
    found->second.expiresAt = m_clock.monotonicNow() + found->second.ttl;
    return {};
}

void FakeMetadataStore::endLease(std::uint64_t lease)
{
    if (m_state.leases.erase(lease) == 0)
        return;
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_state.items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const std::string& key : keys)
        remove(key);
}

void FakeMetadataStore::expireLeases()
{
    const MonotonicTime now = m_clock.monotonicNow();
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : m_state.leases) {
        if (now >= lease.expiresAt)
            ended.push_back(id);
    }
    for (const std::uint64_t id : ended)
        endLease(id);
}

void FakeMetadataStore::write(const std::string& key, const std::string& value, std::uint64_t lease)
{
    Item& item = m_state.items[key];
    item.value = value;
    item.revision = ++m_state.revision;
    item.createRevision = item.createRevision == 0 ? m_state.revision : item.createRevision;
    item.lease = lease;
    recordEvent(itemJson(key, item));
}

void FakeMetadataStore::remove(const std::string& key)
{
    if (m_state.items.erase(key) == 0)
        return;
    recordEvent({ { "key", key }, { "revision", ++m_state.revision }, { "deleted", true } });
}

void FakeMetadataStore::recordEvent(Json event) { m_state.history.push_back(std::move(event)); }

Json FakeMetadataStore::eventsSince(const std::string& prefix, std::uint64_t after) const
{
    Json events = Json::array();
    for (const Json& event : m_state.history) {
        if (event["revision"].get<std::uint64_t>() > after
            && event["key"].get_ref<const std::string&>().starts_with(prefix))
            events.push_back(event);
    }
    return events;
}

void FakeMetadataStore::answerWatches()
{
    const MonotonicTime now = m_clock.monotonicNow();
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        Json events = eventsSince(watch->prefix, watch->after);
        const bool isCut = watch->address->faults.isDown;
        if (events.empty() && now < watch->deadline && !isCut) {
            ++watch;
            continue;
        }
        const Watch ended = *watch;
        watch = m_watches.erase(watch);
        if (isCut)
            ended.address->listener.execute(AbortResponse { ended.id });
        else
            reply(*ended.address, ended.id,
                { 200, { { "events", std::move(events) }, { "store_revision", m_state.revision } } });
    }
}

void FakeMetadataStore::restore()
{
    m_state = m_copy;
    for (auto& [id, lease] : m_state.leases)
        lease.expiresAt = m_clock.monotonicNow() + lease.ttl;
    ++m_era;
    for (const Watch& watch : std::exchange(m_watches, {}))
        watch.address->listener.execute(AbortResponse { watch.id });
}

void FakeMetadataStore::put(const std::string& key, const std::string& value)
{
    write(key, value, 0);
    answerWatches();
}

void FakeMetadataStore::erase(const std::string& key)
{
    remove(key);
    answerWatches();
}

std::string FakeMetadataStore::value(const std::string& key) const
{
    const auto found = m_state.items.find(key);
    return found == m_state.items.end() ? "" : found->second.value;
}

bool FakeMetadataStore::hasKey(const std::string& prefix) const
{
    const auto found = m_state.items.lower_bound(prefix);
    return found != m_state.items.end() && found->first.starts_with(prefix);
}

} // namespace Catkinwell::Testing
