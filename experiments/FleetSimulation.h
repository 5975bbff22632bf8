#pragma once

#include "WindowChecker.h"

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/shares/ShareManager.h>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>

namespace Catkinwell {

struct SimulationOptions {
    std::uint64_t seed = 1;
    ShareOptions shares;
    // Probabilities of a fault for each call or message.
    double lostReply = 0;
    double lateWrite = 0;
    double lostMessage = 0;
    double duplicateMessage = 0;
    double lateMessage = 0;
    // Makes all hosts peers of each other, with message delays of up to 3 ms.
    bool lendsAcrossDataCentres = false;
    // Host faults that the checker must detect.
    bool ignoresLeaseEnd = false;
    bool creditsDuplicateLoans = false;
    bool startsFull = false;
    bool measuresTime = false;
};

// Runs several ShareManagers against a small store with faults, in simulated time, and records admissions.
class FleetSimulation {
public:
    using Decide = std::function<void(RequestId, bool granted, ShareRefusal)>;

    struct Counters {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t conflicts = 0;
        std::uint64_t leaseReads = 0;
        std::uint64_t storeBytes = 0;
        std::uint64_t messages = 0;
        std::uint64_t maxValueBytes = 0;
    };

    explicit FleetSimulation(const SimulationOptions& options)
        : m_options(options)
        , m_random(m_options.seed)
    {
    }

    MonotonicTime now() const { return m_now; }
    bool isOut = false;
    Decide onDecision = [](RequestId, bool, ShareRefusal) {};
    const Counters& counters() const { return m_counters; }
    const std::vector<Admission>& record(const AccountId& account) { return m_record[account]; }
    std::size_t hostCount() const { return m_hosts.size(); }
    bool isAlive(std::size_t host) const { return m_hosts[host]->isAlive; }
    ShareManager& manager(std::size_t host) { return *m_hosts[host]->manager; }

    // If update is false, the caller must call updatePeers() afterwards.
    std::size_t addHost(int dataCentre, const std::string& name, bool update = true)
    {
        auto host = std::make_unique<Host>();
        host->id = HostId(name);
        host->dataCentre = dataCentre;
        host->manager
            = std::make_unique<ShareManager>(host->id, ++m_incarnation, m_random.next(), m_now, m_options.shares);
        host->isAlive = true;
        m_hosts.push_back(std::move(host));
        const std::size_t index = m_hosts.size() - 1;
        m_indexes[HostId(name)] = index;
        if (update)
            updatePeers();
        configureHost(index);
        at(m_now + randomTime(20'000'000), index, [this, index] { tickHost(index); });
        at(m_now, index, [this, index] { keepLease(index); });
        return index;
    }

    void configure(const ClientAccount& account, Duration spread)
    {
        m_accounts[account.id] = account;
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            at(m_now + randomTime(spread.count() + 1), i, [this, i] { configureHost(i); });
    }

    void pause(std::size_t host, Duration time) { m_hosts[host]->pausedUntil = m_now + time; }

    // Starts or ends a partition between one host and the store. The other hosts do not count a host as live while it
    // is cut off.
    void cutOff(std::size_t host, bool isCutOff)
    {
        m_hosts[host]->isCutOff = isCutOff;
        updatePeers();
    }
    bool isCutOff(std::size_t host) const { return m_hosts[host]->isCutOff; }

    void crash(std::size_t host)
    {
        m_hosts[host]->isAlive = false;
        updatePeers();
    }

    void shutDown(std::size_t host)
    {
        m_hosts[host]->isStopping = true;
        m_hosts[host]->manager->beginShutdown(m_now);
    }
    bool isStopping(std::size_t host) const { return m_hosts[host]->isStopping; }

    // Requests tokens from the host. The result is passed to onDecision, possibly before this function returns.
    RequestId reserve(std::size_t index, const AccountId& account, TokenCount tokens, Duration timeout)
    {
        const RequestId request(++m_lastRequest);
        Host& host = *m_hosts[index];
        m_requests[request.value] = { index, account, tokens, 0 };
        EffectList effects;
        ShareResult result;
        measure([&] { result = host.manager->reserve(request, account, tokens, m_now + timeout, m_now, effects); });
        execute(index, std::move(effects));
        decide(request, result);
        return request;
    }

    void settle(RequestId request, TokenCount used)
    {
        const Request& entry = m_requests.at(request.value);
        if (!m_hosts[entry.host]->isAlive || m_hosts[entry.host]->pausedUntil > m_now)
            return;
        measure([&] { m_hosts[entry.host]->manager->settle(request, used, m_now); });
        m_record[entry.account][entry.index].tokens = std::min(used, entry.tokens);
    }

    void at(MonotonicTime time, std::function<void()> action) { push(time, noHost, std::move(action)); }

    void runUntil(MonotonicTime end)
    {
        while (!m_queue.empty() && m_queue.top().time <= end) {
            Item item = m_queue.top();
            m_queue.pop();
            if (item.host != noHost && m_hosts[item.host]->pausedUntil > item.time) {
                item.time = m_hosts[item.host]->pausedUntil;
                m_queue.push(std::move(item));
                continue;
            }
            m_now = std::max(m_now, item.time);
            if (item.host == noHost || m_hosts[item.host]->isAlive)
                item.action();
        }
        m_now = std::max(m_now, end);
    }

    // Processor time spent in the managers, if the options enable its measurement.
    Duration managerTime {};

    void updatePeers()
    {
        std::size_t live = 0;
        for (const auto& host : m_hosts)
            live += host->isAlive && !host->isCutOff ? 1 : 0;
        for (const auto& host : m_hosts) {
            std::vector<HostId> peers;
            for (const auto& other : m_hosts) {
                if (other->isAlive && other != host
                    && (other->dataCentre == host->dataCentre || m_options.lendsAcrossDataCentres))
                    peers.push_back(other->id);
            }
            if (host->isAlive)
                host->manager->setPeers(std::move(peers), live + (host->isCutOff ? 1 : 0), m_now);
        }
    }

private:
    static constexpr std::size_t noHost = ~std::size_t { 0 };
    static constexpr Duration ttl = std::chrono::seconds(10);

    struct Host {
        HostId id;
        int dataCentre = 0;
        std::unique_ptr<ShareManager> manager;
        MonotonicTime pausedUntil {};
        bool isAlive = false;
        bool isStopping = false;
        bool isCutOff = false;
        LeaseId lease;
        std::map<AccountId, std::uint32_t> ppm;
    };
    struct Request {
        std::size_t host = 0;
        AccountId account;
        TokenCount tokens = 0;
        std::size_t index = 0;
    };
    struct Item {
        MonotonicTime time;
        std::uint64_t order = 0;
        std::size_t host = noHost;
        std::function<void()> action;
        friend bool operator<(const Item& left, const Item& right)
        {
            return std::pair(left.time, left.order) > std::pair(right.time, right.order);
        }
    };

    void push(MonotonicTime time, std::size_t host, std::function<void()> action)
    {
        m_queue.push({ time, ++m_order, host, std::move(action) });
    }
    void at(MonotonicTime time, std::size_t host, std::function<void()> action) { push(time, host, std::move(action)); }
    Duration randomTime(std::int64_t nanoseconds)
    {
        return Duration(m_random.below(static_cast<std::uint64_t>(std::max<std::int64_t>(1, nanoseconds))));
    }
    template <typename Call> void measure(const Call& call)
    {
        if (!m_options.measuresTime) {
            call();
            return;
        }
        timespec before {};
        timespec after {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
        call();
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
        managerTime += std::chrono::seconds(after.tv_sec - before.tv_sec)
            + std::chrono::nanoseconds(after.tv_nsec - before.tv_nsec);
    }
    bool happens(double probability) { return probability > 0 && m_random.unit() < probability; }

    void configureHost(std::size_t index)
    {
        EffectList effects;
        m_hosts[index]->manager->configure(m_accounts, m_now, effects);
        execute(index, std::move(effects));
    }

    void tickHost(std::size_t index)
    {
        Host& host = *m_hosts[index];
        EffectList effects;
        measure([&] { host.manager->tick(m_now, effects); });
        execute(index, std::move(effects));
        if (host.isStopping && host.manager->isReleased()) {
            crash(index);
            return;
        }
        at(m_now + std::chrono::milliseconds(20), index, [this, index] { tickHost(index); });
    }

    void decide(RequestId request, const ShareResult& result)
    {
        if (std::holds_alternative<SharePending>(result))
            return;
        Request& entry = m_requests.at(request.value);
        const bool isGranted = std::holds_alternative<ShareGranted>(result);
        if (isGranted) {
            auto& record = m_record[entry.account];
            entry.index = record.size();
            record.push_back({ m_now, entry.tokens });
        }
        onDecision(request, isGranted, isGranted ? ShareRefusal {} : std::get<ShareRefused>(result).reason);
    }

    void execute(std::size_t index, EffectList effects)
    {
        for (Effect& effect : effects) {
            if (auto* call = std::get_if<StoreCall>(&effect))
                send(index, std::move(*call));
            else if (auto* message = std::get_if<SendToPeer>(&effect))
                sendMessage(index, *message);
        }
        for (const ShareDecision& decision : m_hosts[index]->manager->takeDecisions())
            decide(decision.request, decision.result);
        if (m_options.startsFull)
            admitAcquiredCapacity(*m_hosts[index]);
    }

    // A host whose bucket starts full admits the newly acquired capacity immediately.
    void admitAcquiredCapacity(Host& host)
    {
        for (const ShareStatus& status : host.manager->status(m_now)) {
            std::uint32_t& known = host.ppm[status.account];
            if (status.floatingPpm > known)
                m_record[status.account].push_back(
                    { m_now, m_accounts.at(status.account).burst * (status.floatingPpm - known) / 1'000'000 });
            known = status.floatingPpm;
        }
    }

    void sendMessage(std::size_t from, const SendToPeer& message)
    {
        ++m_counters.messages;
        const std::size_t to = m_indexes.at(message.to);
        if (!m_hosts[to]->isAlive || happens(m_options.lostMessage))
            return;
        const Duration usual(m_options.lendsAcrossDataCentres ? 3'000'000 : 1'000'000);
        const Duration delay = randomTime(happens(m_options.lateMessage) ? 500'000'000 : usual.count());
        deliver(m_now + delay, from, to, message.message, false);
        if (happens(m_options.duplicateMessage))
            deliver(m_now + delay + randomTime(200'000'000), from, to, message.message, true);
    }

    void deliver(MonotonicTime time, std::size_t from, std::size_t to, const PeerMessage& message, bool isDuplicate)
    {
        at(time, to, [this, from, to, message, isDuplicate] {
            EffectList effects;
            if (const auto* borrow = std::get_if<BorrowTokens>(&message))
                m_hosts[to]->manager->handle(m_hosts[from]->id, *borrow, m_now, effects);
            if (const auto* lend = std::get_if<LendTokens>(&message)) {
                m_hosts[to]->manager->handle(m_hosts[from]->id, *lend, m_now, effects);
                if (isDuplicate && m_options.creditsDuplicateLoans)
                    m_record[lend->account].push_back({ m_now, lend->tokens });
            }
            execute(to, std::move(effects));
        });
    }

    void send(std::size_t index, StoreCall call)
    {
        StoreReply reply;
        reply.id = call.id;
        reply.sentAt = m_now;
        if (isOut || m_hosts[index]->isCutOff) {
            reply.status = happens(0.5) ? StoreStatus::Unknown : StoreStatus::Unavailable;
            answer(index, m_now + call.timeout, reply);
            return;
        }
        const bool isWrite = std::holds_alternative<StoreCompareAndSwap>(call.operation);
        const bool isLate = isWrite && happens(m_options.lateWrite);
        const bool isLost = isLate || happens(m_options.lostReply);
        const MonotonicTime arrival
            = m_now + (isLate ? call.timeout + randomTime(5'000'000'000) : Duration(200'000) + randomTime(800'000));
        if (isLost) {
            reply.status = StoreStatus::Unknown;
            answer(index, m_now + call.timeout, reply);
        }
        push(arrival, noHost, [this, index, isLost, call = std::move(call), reply]() mutable {
            apply(call.operation, reply);
            if (!isLost)
                answer(index, m_now + Duration(200'000) + randomTime(800'000), reply);
        });
    }

    void answer(std::size_t index, MonotonicTime time, const StoreReply& reply)
    {
        at(time, index, [this, index, reply] {
            if (StoreCallIds::userOf(reply.id) == StoreUser::HostLease) {
                takeLease(index, reply);
                return;
            }
            EffectList effects;
            measure([&] { m_hosts[index]->manager->handle(reply, m_now, effects); });
            execute(index, std::move(effects));
        });
    }

    void apply(const StoreOperation& operation, StoreReply& reply)
    {
        reply.status = StoreStatus::Ok;
        if (const auto* get = std::get_if<StoreGet>(&operation)) {
            ++m_counters.reads;
            const auto& entry = m_values[get->key];
            reply.status = entry.version == 0 ? StoreStatus::NotFound : StoreStatus::Ok;
            reply.version = entry.version;
            reply.value = entry.value;
            m_counters.storeBytes += entry.value.size();
        } else if (const auto* write = std::get_if<StoreCompareAndSwap>(&operation)) {
            ++m_counters.writes;
            m_counters.storeBytes += write->value.size();
            m_counters.maxValueBytes = std::max<std::uint64_t>(m_counters.maxValueBytes, write->value.size());
            auto& entry = m_values[write->key];
            if (entry.version != write->expectedVersion) {
                ++m_counters.conflicts;
                reply.status = StoreStatus::Conflict;
                return;
            }
            entry = { write->key, write->value, ++m_version };
            reply.version = m_version;
        } else if (std::holds_alternative<LeaseCreate>(operation)) {
            std::string digits = std::to_string(100'000'000'000 + ++m_version);
            reply.value = "00000000-0000-4000-8000-" + digits;
            m_leases[reply.value] = leaseEnd();
        } else if (const auto* renew = std::get_if<LeaseRenew>(&operation)) {
            if (m_leases.contains(renew->lease) && m_leases[renew->lease] > m_now)
                m_leases[renew->lease] = leaseEnd();
            else
                reply.status = StoreStatus::NotFound;
        } else if (const auto* read = std::get_if<LeaseRead>(&operation)) {
            ++m_counters.leaseReads;
            if (!m_leases.contains(read->lease) || m_leases[read->lease] <= m_now)
                reply.status = StoreStatus::NotFound;
        }
    }

    // A lease expires between one and two TTLs after its last renewal.
    MonotonicTime leaseEnd() { return m_now + ttl + randomTime(ttl.count()); }

    void keepLease(std::size_t index)
    {
        Host& host = *m_hosts[index];
        const StoreCallId id = m_leaseCalls.next();
        if (host.lease.empty())
            send(index, { id, LeaseCreate { ttl } });
        else
            send(index, { id, LeaseRenew { host.lease } });
        at(m_now + ttl / 3, index, [this, index] { keepLease(index); });
    }

    void takeLease(std::size_t index, const StoreReply& reply)
    {
        Host& host = *m_hosts[index];
        if (reply.status == StoreStatus::Ok) {
            if (!reply.value.empty())
                host.lease = reply.value;
            const LeaseStatus status { host.lease, reply.sentAt,
                m_options.ignoresLeaseEnd ? MonotonicTime::max() : reply.sentAt + ttl - ttl / 10 };
            host.manager->setLease(status, m_now);
        } else if (reply.status == StoreStatus::NotFound && !m_options.ignoresLeaseEnd) {
            host.lease.clear();
            host.manager->setLease({}, m_now);
        }
    }

    SimulationOptions m_options;
    RandomGenerator m_random;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::priority_queue<Item> m_queue;
    std::uint64_t m_order = 0;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<HostId, std::size_t> m_indexes;
    std::map<AccountId, ClientAccount> m_accounts;
    std::map<std::string, StoreEntry> m_values;
    std::map<LeaseId, MonotonicTime> m_leases;
    StoreVersion m_version = 0;
    StoreCallIds m_leaseCalls { StoreUser::HostLease };
    Incarnation m_incarnation = 0;
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, Request> m_requests;
    std::map<AccountId, std::vector<Admission>> m_record;
    Counters m_counters;
};

} // namespace Catkinwell
