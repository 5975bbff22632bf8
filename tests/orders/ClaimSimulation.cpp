#include "orders/ClaimSimulation.h"

namespace Catkinwell {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t hostCount = 3;
    constexpr int keyCount = 10;
    constexpr Duration storeTimeout = 200ms;

    template <typename... Handlers> struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

ClaimSimulation::ClaimSimulation(std::uint64_t seed, Defect defect)
    : m_random(seed)
    , m_defect(defect)
    , m_hosts(hostCount)
{
    for (std::size_t i = 0; i < hostCount; ++i) {
        m_hosts[i].id = HostId("host-" + std::to_string(i));
        start(i);
    }
}

std::vector<LiveHost> ClaimSimulation::liveHosts() const
{
    std::vector<LiveHost> live;
    for (const auto& host : m_hosts) {
        if (host.isAlive)
            live.push_back({ host.id, host.incarnation });
    }
    return live;
}

void ClaimSimulation::start(std::size_t index)
{
    Host& host = m_hosts[index];
    if (host.incarnation == 0 || m_defect != Defect::SameIncarnation)
        ++host.incarnation;
    ++host.process;
    host.isAlive = true;
    host.manager = std::make_unique<ClaimManager>(m_random.next());
    ClaimSettings settings { .self = host.id, .incarnation = host.incarnation };
    settings.shardCount = 2;
    settings.forwarding = m_random.below(4) != 0;
    host.manager->configure(settings, liveHosts());
    EffectList effects;
    host.manager->tick(m_now, WallTime(24h * 365 * 50), effects);
    tickLoop(index);
}

void ClaimSimulation::crash(std::size_t index)
{
    if (!m_hosts[index].isAlive)
        return;
    m_hosts[index].isAlive = false;
    m_hosts[index].manager.reset();
    addRecord(ClaimRecord::Kind::HostCrashed, index, 0, {});
    at(upTo(3000), [this, index] { start(index); });
}

void ClaimSimulation::onHost(std::size_t index, Duration delay, std::function<void(ClaimManager&, EffectList&)> action)
{
    at(delay, [this, index, process = m_hosts[index].process, action = std::move(action)] {
        Host& host = m_hosts[index];
        if (!host.isAlive || host.process != process)
            return;
        if (host.pausedUntil > m_now)
            return onHost(index, host.pausedUntil - m_now, action);
        EffectList effects;
        action(*host.manager, effects);
        perform(index, std::move(effects));
    });
}

void ClaimSimulation::tickLoop(std::size_t index)
{
    onHost(index, 20ms, [this, index](ClaimManager& manager, EffectList& effects) {
        manager.setLiveHosts(liveHosts());
        if (m_defect != Defect::NoTicks)
            manager.tick(m_now,
                WallTime(24h * 365 * 50) + std::chrono::duration_cast<WallTime::duration>(m_now - MonotonicTime(1h)),
                effects);
        tickLoop(index);
    });
}

void ClaimSimulation::perform(std::size_t index, EffectList effects)
{
    for (auto& effect : effects) {
        if (auto* call = std::get_if<StoreCall>(&effect))
            callStore(index, *call);
        auto* message = std::get_if<SendToPeer>(&effect);
        if (!message || (m_faulty && chance(10)))
            continue;
        const int copies = m_faulty && chance(15) ? 2 : 1;
        for (std::size_t to = 0; to < hostCount; ++to) {
            for (int i = 0; i < copies && m_hosts[to].id == message->to && m_hosts[to].isAlive; ++i) {
                const Duration delay = m_faulty && chance(10) ? upTo(2500) : upTo(4);
                onHost(to, delay, [this, from = m_hosts[index].id, sent = message->message](auto& manager, auto& out) {
                    std::visit(
                        Overloaded { [&](const ForwardedClaim& claim) { manager.handle(from, claim, m_now, out); },
                            [&](const ForwardedClaimResult& result) { manager.handle(from, result, m_now, out); },
                            [](const auto&) {} },
                        sent);
                });
            }
        }
    }
    if (!m_hosts[index].isAlive)
        return;
    for (const auto& decision : m_hosts[index].manager->takeDecisions()) {
        // Handling an earlier decision may have stopped the host.
        if (m_hosts[index].isAlive)
            decided(index, decision);
    }
}

void ClaimSimulation::callStore(std::size_t index, const StoreCall& call)
{
    const auto reply = [this, index](Duration delay, StoreReply answer) {
        onHost(index, delay, [this, answer](auto& manager, auto& out) { manager.handle(answer, m_now, out); });
    };
    const bool isWrite = std::holds_alternative<StoreCompareAndSwap>(call.operation);
    const bool reportsDone = m_defect == Defect::UnknownWriteAsDone && isWrite;
    const auto lost = reportsDone ? StoreStatus::Ok : StoreStatus::Unknown;
    if (m_outage && chance(50))
        return reply(1ms, { .id = call.id, .status = StoreStatus::Unavailable });
    if (m_outage || (m_faulty && chance(10))) {
        // The reply is lost; the call takes effect at once, late or never.
        reply(reportsDone ? 2ms : storeTimeout, { .id = call.id, .status = lost });
        if (chance(70))
            at(chance(50) ? upTo(3) : upTo(3000), [this, call] { m_store.apply(call); });
        return;
    }
    if (m_defect == Defect::LostWrites && isWrite && chance(10))
        return reply(2ms, { .id = call.id, .status = StoreStatus::Ok });
    at(upTo(3), [this, call, reply] { reply(upTo(3), m_store.apply(call)); });
}

void ClaimSimulation::addRecord(
    ClaimRecord::Kind kind, std::size_t index, std::uint64_t request, const std::string& key)
{
    const Host& host = m_hosts[index];
    m_history.push_back({ .kind = kind,
        .at = m_now,
        .host = host.id.value + '#' + std::to_string(host.incarnation),
        .request = request,
        .key = key });
}

void ClaimSimulation::startRequest(std::size_t index, const std::string& key, bool otherBody, bool isFinalProbe)
{
    onHost(index, 0ms, [=, this](ClaimManager& manager, EffectList& effects) {
        const RequestId request(++m_lastRequest);
        m_keys[request.value] = key;
        m_probes[request.value] = isFinalProbe;
        const auto deadline = m_now + (isFinalProbe ? 1s : 100ms) + upTo(1500);
        addRecord(ClaimRecord::Kind::Requested, index, request.value, key);
        m_history.back().latestDecision = deadline + 20ms;
        m_history.back().isFinalProbe = isFinalProbe;
        manager.claim(request, AccountId("quay"), key, otherBody ? "other" : "body", deadline, m_now, effects);
        if (m_defect == Defect::SendBeforeConfirmation)
            addRecord(ClaimRecord::Kind::Sent, index, request.value, key);
    });
}

void ClaimSimulation::decided(std::size_t index, const ClaimDecision& decision)
{
    const auto request = decision.request.value;
    addRecord(ClaimRecord::Kind::Decided, index, request, m_keys[request]);
    m_history.back().verdict = decision.verdict;
    if (!std::holds_alternative<ClaimRun>(decision.verdict))
        return;
    const bool isNotSent = m_probes[request] || chance(15);
    if (m_faulty && !isNotSent && chance(8))
        return crash(index);
    onHost(index, isNotSent ? upTo(50) : 0ms, [=, this](ClaimManager& manager, EffectList& effects) {
        if (isNotSent)
            return manager.recordNotSent(RequestId(request), m_now, effects);
        send(index, RequestId(request));
    });
}

void ClaimSimulation::send(std::size_t index, RequestId request)
{
    addRecord(ClaimRecord::Kind::Sent, index, request.value, m_keys[request.value]);
    ++m_runs;
    if (m_faulty && chance(10))
        at(upTo(200), [this, index] { crash(index); });
    onHost(index, upTo(300), [=, this](ClaimManager& manager, EffectList& effects) {
        if (chance(15)) {
            if (m_defect == Defect::UnknownAsNotSent)
                return manager.recordNotSent(request, m_now, effects);
            return manager.recordUnknown(request, m_now, effects);
        }
        const std::size_t size = chance(20) ? 6000 : 20;
        const std::string body = "outcome of " + std::to_string(request.value) + std::string(size, '.');
        addRecord(ClaimRecord::Kind::OutcomeRecorded, index, request.value, m_keys[request.value]);
        m_history.back().body = body;
        manager.recordOutcome(request, 201, { { "content-type", "text/plain" } }, body, m_now, effects);
    });
}

void ClaimSimulation::run()
{
    constexpr int requestCount = 70;
    for (int i = 0; i < requestCount; ++i) {
        const Duration when = upTo(9000);
        const std::string key = "key-" + std::to_string(m_random.below(keyCount));
        const bool isPair = chance(30);
        at(when, [=, this] {
            startRequest(m_random.below(hostCount), key, chance(5), false);
            if (isPair)
                startRequest(m_random.below(hostCount), key, false, false);
        });
    }
    for (int i = 0; i < 4; ++i) {
        const Duration when = upTo(9000);
        at(when, [this] { m_outage = true; });
        at(when + upTo(900), [this] { m_outage = false; });
        at(upTo(9000), [this] {
            const auto index = m_random.below(hostCount);
            auto& until = m_hosts[index].pausedUntil;
            until = std::max(until, m_now + upTo(600));
            addRecord(ClaimRecord::Kind::HostPaused, index, 0, {});
            m_history.back().latestDecision = until + 20ms;
        });
        at(upTo(9000), [this] { crash(m_random.below(hostCount)); });
    }
    at(10s, [this] { m_faulty = m_outage = false; });
    at(40s, [this] {
        for (int key = 0; key < keyCount * static_cast<int>(hostCount); ++key)
            startRequest(key % hostCount, "key-" + std::to_string(key / hostCount), false, true);
    });
    const auto end = m_now + 45s;
    while (!m_queue.empty() && m_queue.begin()->first <= end) {
        auto next = m_queue.extract(m_queue.begin());
        m_now = next.key();
        next.mapped()();
    }
}

} // namespace Catkinwell
