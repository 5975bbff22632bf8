// Measures how many keyed requests per second are possible at a given rate of store writes, for 1 to 4 hosts, with and
// without grouping and forwarding, and how the size of a shard's value depends on the retention. Runs in simulated time
// with a store without faults that answers after 2 to 4 ms, and peers that answer after 1 ms.

#include "orders/ShardValue.h"

#include <algorithm>
#include <catkinwell/core/Digest.h>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/orders/ClaimManager.h>
#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

struct Variant {
    std::size_t hosts = 1;
    bool grouping = true;
    bool forwarding = true;
    double writesPerSecond = 240;
    double ordersPerSecond = 100;
    std::uint32_t shards = 64;
};

struct Measured {
    std::vector<double> waits;
    std::size_t asked = 0;
    std::size_t refused = 0;
    std::size_t conflicts = 0;
    std::size_t writes = 0;
    std::size_t reads = 0;
    std::size_t unwritten = 0;
};

class Run {
public:
    explicit Run(const Variant& variant)
        : m_variant(variant)
    {
        std::vector<LiveHost> live;
        for (std::size_t i = 0; i < variant.hosts; ++i)
            live.push_back({ HostId("host-" + std::to_string(i)), 1 });
        for (std::size_t i = 0; i < variant.hosts; ++i) {
            m_hosts.push_back(std::make_unique<ClaimManager>(i));
            ClaimSettings settings { .self = live[i].host, .incarnation = 1 };
            settings.storeWritesPerSecond = variant.writesPerSecond / static_cast<double>(variant.hosts);
            settings.maximumUpdatesPerWrite = variant.grouping ? 256 : 1;
            settings.forwarding = variant.forwarding;
            settings.shardCount = variant.shards;
            m_hosts[i]->configure(settings, live);
            tick(i);
        }
    }

    Measured run(Duration length)
    {
        const auto end = m_now + length;
        arrive(end);
        while (!m_queue.empty() && m_queue.top().at <= end + 10s) {
            const Item next = m_queue.top();
            m_queue.pop();
            m_now = next.at;
            next.action();
        }
        for (const auto& host : m_hosts)
            m_measured.unwritten += host->counts().unwritten;
        return m_measured;
    }

private:
    struct Item {
        MonotonicTime at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Item& other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
    };

    void after(Duration delay, std::function<void()> action)
    {
        m_queue.push({ m_now + delay, ++m_order, std::move(action) });
    }

    void act(std::size_t host, const std::function<void(ClaimManager&, EffectList&)>& action)
    {
        EffectList effects;
        action(*m_hosts[host], effects);
        for (auto& effect : effects) {
            if (auto* call = std::get_if<StoreCall>(&effect))
                callStore(host, std::move(*call));
            else if (auto* message = std::get_if<SendToPeer>(&effect))
                sendToPeer(host, *message);
        }
        for (auto& decision : m_hosts[host]->takeDecisions())
            decided(host, decision);
    }

    void tick(std::size_t host)
    {
        act(host, [this](auto& manager, auto& effects) {
            manager.tick(m_now,
                WallTime(24h * 365) + std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()),
                effects);
        });
        after(20ms, [this, host] { tick(host); });
    }

    void arrive(MonotonicTime end)
    {
        if (m_now >= end)
            return;
        const auto host = m_random.below(m_hosts.size());
        const RequestId request(++m_measured.asked);
        m_askedAt.push_back(m_now);
        act(host, [&](auto& manager, auto& effects) {
            manager.claim(
                request, AccountId("account"), std::to_string(request.value), "body", m_now + 5s, m_now, effects);
        });
        const double gap = -std::log(1 - m_random.unit()) / m_variant.ordersPerSecond;
        after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)), [this, end] { arrive(end); });
    }

    void decided(std::size_t host, const ClaimDecision& decision)
    {
        if (!std::holds_alternative<ClaimRun>(decision.verdict)) {
            ++m_measured.refused;
            return;
        }
        const auto wait = m_now - m_askedAt[decision.request.value - 1];
        m_measured.waits.push_back(std::chrono::duration<double, std::milli>(wait).count());
        after(50ms, [this, host, request = decision.request] {
            act(host, [&](auto& manager, auto& effects) {
                manager.recordOutcome(
                    request, 200, { { "content-type", "application/json" } }, std::string(200, 'x'), m_now, effects);
            });
        });
    }

    void sendToPeer(std::size_t from, const SendToPeer& message)
    {
        for (std::size_t to = 0; to < m_hosts.size(); ++to) {
            if (message.to != HostId("host-" + std::to_string(to)))
                continue;
            after(1ms, [this, from, to, sent = message.message] {
                act(to, [&](auto& manager, auto& effects) {
                    const HostId sender("host-" + std::to_string(from));
                    if (const auto* claim = std::get_if<ForwardedClaim>(&sent))
                        manager.handle(sender, *claim, m_now, effects);
                    else if (const auto* result = std::get_if<ForwardedClaimResult>(&sent))
                        manager.handle(sender, *result, m_now, effects);
                });
            });
        }
    }

    void callStore(std::size_t host, StoreCall call)
    {
        const auto oneWay = [this] { return 1ms + std::chrono::microseconds(m_random.below(1000)); };
        after(oneWay(), [this, host, oneWay, sent = std::move(call)] {
            StoreReply reply { .id = sent.id, .status = StoreStatus::Ok };
            if (const auto* get = std::get_if<StoreGet>(&sent.operation)) {
                ++m_measured.reads;
                const auto& entry = m_store[get->key];
                reply.status = entry.version ? StoreStatus::Ok : StoreStatus::NotFound;
                reply.value = entry.value;
                reply.version = entry.version;
            } else if (const auto* write = std::get_if<StoreCompareAndSwap>(&sent.operation)) {
                ++m_measured.writes;
                auto& entry = m_store[write->key];
                if (entry.version == write->expectedVersion) {
                    entry = { write->key, write->value, ++m_version };
                    reply.version = m_version;
                } else {
                    reply.status = StoreStatus::Conflict;
                    ++m_measured.conflicts;
                }
            }
            after(oneWay(), [this, host, reply] {
                act(host, [&](auto& manager, auto& effects) { manager.handle(reply, m_now, effects); });
            });
        });
    }

    Variant m_variant;
    RandomGenerator m_random { 20261204 };
    MonotonicTime m_now { 1h };
    std::priority_queue<Item> m_queue;
    std::uint64_t m_order = 0;
    std::vector<std::unique_ptr<ClaimManager>> m_hosts;
    std::map<std::string, StoreEntry> m_store;
    StoreVersion m_version = 0;
    std::vector<MonotonicTime> m_askedAt;
    Measured m_measured;
};

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

void measureRates()
{
    std::puts("hosts grouping forwarding offered/s  run/s  writes/order reads/order conflicts  wait p50 ms  p99 ms  "
              "refused  unwritten");
    constexpr Duration length = 20s;
    for (const std::size_t hosts : { 1, 2, 3, 4 }) {
        for (const auto& [grouping, forwarding] : { std::pair(false, false), { true, false }, { true, true } }) {
            if (hosts == 1 && forwarding)
                continue;
            for (const double offered : { 5.0, 50.0, 100.0, 200.0, 400.0, 800.0 }) {
                const Variant variant { hosts, grouping, forwarding, 240, offered, 64 };
                const auto result = Run(variant).run(length);
                const double runs = std::max<double>(1, static_cast<double>(result.waits.size()));
                std::printf("%5zu %8s %10s %9.0f %6.1f %13.2f %11.2f %9zu %12.1f %7.1f %8zu %10zu\n", hosts,
                    grouping ? "yes" : "no", forwarding ? "yes" : "no", offered, runs / 20,
                    static_cast<double>(result.writes) / runs, static_cast<double>(result.reads) / runs,
                    result.conflicts, quantile(result.waits, 0.5), quantile(result.waits, 0.99), result.refused,
                    result.unwritten);
            }
        }
    }
}

double millisecondsOf(const std::function<void()>& action)
{
    constexpr int repeats = 20;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < repeats; ++i)
        action();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count() / repeats;
}

// Every read and write transfers the whole value, so the number of shards determines the bytes per order. With more
// shards, fewer updates are combined in one write.
void measureShardCounts()
{
    constexpr double entryBytes = 208;
    std::puts("\nshards offered/s  run/s  writes/order reads/order  p50 ms  p99 ms  refused  kB/value and kB/order "
              "after 24 h at 1 order/s");
    for (const std::uint32_t shards : { 64U, 512U, 4096U }) {
        for (const double offered : { 5.0, 50.0, 100.0, 400.0 }) {
            const auto result = Run({ 4, true, false, 240, offered, shards }).run(20s);
            const auto runs = std::max<double>(1, static_cast<double>(result.waits.size()));
            const double callsPerOrder = static_cast<double>(result.writes + result.reads) / runs;
            const double valueBytes = 86400 * entryBytes / shards;
            std::printf("%6u %9.0f %6.1f %13.2f %11.2f %7.1f %7.1f %8zu %10.1f %10.1f\n", shards, offered, runs / 20,
                static_cast<double>(result.writes) / runs, static_cast<double>(result.reads) / runs,
                quantile(result.waits, 0.5), quantile(result.waits, 0.99), result.refused, valueBytes / 1000,
                callsPerOrder * valueBytes / 1000);
        }
    }
}

void measureSizes()
{
    std::puts(
        "\noutcome bytes  bytes/entry  entries in 900 kB  orders/s over 64 shards at 24 h  at 1 h  edit ms  decode ms");
    for (const std::size_t bytes : { 0, 100, 256, 1000, 4000 }) {
        ShardValue::Changes changes;
        std::size_t size = 0;
        while (true) {
            ClaimEntry entry;
            entry.key = shortDigestOf("key " + std::to_string(changes.size()));
            entry.body = shortDigestOf("body");
            entry.state = EntryState::Done;
            entry.owner = { HostId("entry-host-01"), 1'764'800'000'000, 100'000 + changes.size() };
            entry.outcome
                = { 200, { { "content-type", "application/json" } }, std::string(bytes, 'x'), BodyStorage::Inline, {} };
            size += encodedSize(entry);
            if (size > 900'000)
                break;
            changes.emplace(entry.key, std::move(entry));
        }
        const auto value = ShardValue().edited(changes, 0);
        const auto count = static_cast<double>(value.entryCount());
        const ShardValue::Changes one { *changes.begin() };
        std::printf("%13zu %12.0f %18.0f %31.2f %7.1f %8.2f %10.2f\n", bytes,
            static_cast<double>(value.text().size()) / count, count, 64 * count / 86400, 64 * count / 3600,
            millisecondsOf([&] { value.edited(one, 0); }), millisecondsOf([&] { ShardValue::decode(value.text()); }));
    }
}

} // namespace

int main()
{
    measureRates();
    measureShardCounts();
    measureSizes();
}
