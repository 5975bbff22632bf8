#include <catch2/catch.hpp>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/gateway/FleetQuota.h>
#include <deque>

using namespace Catkinwell;

namespace {

constexpr double rate = 1000;
constexpr double burst = 1000;
constexpr Duration window = std::chrono::seconds(8);
const AccountId account("a");

std::map<AccountId, GatewayAccount> accounts(double unitsPerSecond = rate)
{
    GatewayAccount settings;
    settings.id = account;
    settings.unitsPerSecond = unitsPerSecond;
    settings.burst = burst;
    settings.countsTokens = true;
    return { { account, settings } };
}

struct FleetCase {
    int hosts;
    // Requests of 50 units per second, to all hosts together.
    int requestsPerSecond;
    // The hosts receive no reports between these seconds.
    int partitionFrom;
    int partitionUntil;
    // Minimum fraction of the rate that must be admitted.
    double minimumShare;
    // Report interval of the hosts, in steps of 10 ms.
    int reportSteps = 20;
    // Requests arrive in bursts of this many steps of 10 ms, each followed by a pause of this many steps.
    int burstSteps = 1;
    int pauseSteps = 0;
};

// Hosts that exchange their usage at the report interval. Sums the admitted units.
class Fleet {
public:
    explicit Fleet(const FleetCase& settings)
        : m_settings(settings)
        , m_now(std::chrono::hours(1))
    {
        std::set<HostId> names;
        for (int i = 0; i < settings.hosts; ++i)
            names.insert(HostId(std::to_string(i)));
        for (const HostId& name : names) {
            m_quotas.emplace_back(name);
            std::set<HostId> others = names;
            others.erase(name);
            m_quotas.back().configure(accounts(), m_now);
            m_quotas.back().setPeers(others, m_now);
            m_quotas.back().setReportInterval(std::chrono::milliseconds(10) * settings.reportSteps);
        }
    }

    void run(int seconds)
    {
        const MonotonicTime start = m_now;
        for (int step = 0; step < seconds * 100; ++step) {
            m_now += std::chrono::milliseconds(10);
            const double second = std::chrono::duration<double>(m_now - start).count();
            const bool isPartitioned = second >= m_settings.partitionFrom && second < m_settings.partitionUntil;
            for (FleetQuota& quota : m_quotas)
                quota.tick(m_now);
            if (step % m_settings.reportSteps == 0 && !isPartitioned)
                exchange();
            const bool isPause = step % (m_settings.burstSteps + m_settings.pauseSteps) >= m_settings.burstSteps;
            m_due += isPause ? 0 : m_settings.requestsPerSecond / 100.0;
            for (; m_due >= 1; m_due -= 1)
                sendOne();
        }
    }

    double maximumInWindow() const { return m_maximumInWindow; }
    double total() const { return m_total; }

private:
    void exchange()
    {
        for (std::size_t i = 0; i < m_quotas.size(); ++i) {
            for (std::size_t k = 0; k < m_quotas.size(); ++k) {
                if (i != k)
                    m_quotas[k].merge(HostId(std::to_string(i)), 1, m_quotas[i].ownUsage(), m_now);
            }
        }
    }

    void sendOne()
    {
        constexpr double units = 50;
        FleetQuota& quota = m_quotas[m_random.below(m_quotas.size())];
        if (!quota.admit(account, units, m_now).isAdmitted)
            return;
        m_total += units;
        m_admitted.emplace_back(m_now, units);
        m_inWindow += units;
        while (m_now - m_admitted.front().first > window) {
            m_inWindow -= m_admitted.front().second;
            m_admitted.pop_front();
        }
        m_maximumInWindow = std::max(m_maximumInWindow, m_inWindow);
    }

    FleetCase m_settings;
    MonotonicTime m_now;
    std::deque<FleetQuota> m_quotas;
    RandomGenerator m_random { 7 };
    std::deque<std::pair<MonotonicTime, double>> m_admitted;
    double m_due = 0;
    double m_inWindow = 0;
    double m_maximumInWindow = 0;
    double m_total = 0;
};

} // namespace

// Guards against an account that exceeds its rate and burst by sending to many hosts, also while they are partitioned,
// and against admitting much less than the limit allows.
TEST_CASE("In any window all hosts together admit no more than rate and burst")
{
    const auto test = GENERATE(values<FleetCase>({
        { 1, 100, 0, 0, 0.95 },
        { 4, 100, 0, 0, 0.90 },
        { 4, 400, 0, 0, 0.90 },
        { 4, 100, 10, 25, 0.75 },
        { 34, 200, 0, 0, 0.85 },
        // Reports of a large fleet are rare; each host admits by its share of the demand.
        { 34, 200, 0, 0, 0.60, 170 },
        // Bursts of 1,330 units in 400 ms, one every 1.4 s, which fit completely into burst and rate.
        { 4, 66, 0, 0, 0.92, 20, 40, 100 },
    }));
    Fleet fleet(test);
    fleet.run(40);
    const double allowed = rate * std::chrono::duration<double>(window).count() + burst;
    INFO(test.hosts << " hosts, " << test.requestsPerSecond << " requests a second");
    CHECK(fleet.maximumInWindow() <= allowed * 1.1);
    CHECK(fleet.total() >= rate * 40 * test.minimumShare);
}

namespace {

struct CutCase {
    const char* name;
    // How long after the cut the other hosts no longer count the host as live; it comes back later.
    int droppedAfterSeconds;
    bool saidSo;
    // Bounds on the fraction of the rate that the other hosts admit while they do not count it.
    double minimumShare;
    double maximumShare;
};

} // namespace

// Guards against an account that exceeds its rate because a host serves on behind a cut, and against a part of the rate
// that is kept for a host that has ended.
TEST_CASE("The part of a host that is no longer heard is kept for it unless it has ended")
{
    const auto test = GENERATE(values<CutCase>({
        { "a cut", 1, false, 0.65, 0.8 },
        { "a planned stop", 1, true, 0.9, 1.02 },
    }));
    INFO(test.name);
    const HostId cut("cut");
    MonotonicTime now { std::chrono::hours(1) };
    std::vector<HostId> names { cut, HostId("b"), HostId("c"), HostId("d") };
    std::deque<FleetQuota> quotas;
    for (const HostId& name : names) {
        quotas.emplace_back(name).configure(accounts(), now);
        quotas.back().setPeers({ names.begin(), names.end() }, now);
        quotas.back().removePeer(name, now);
    }
    RandomGenerator random(7);
    double byOthers = 0;
    double byCut = 0;
    constexpr int cutAt = 10;
    constexpr int seconds = 40;
    const int droppedAt = cutAt + test.droppedAfterSeconds;
    for (int step = 0; step < seconds * 100; ++step) {
        now += std::chrono::milliseconds(10);
        const int second = step / 100;
        for (FleetQuota& quota : quotas)
            quota.tick(now);
        if (step == droppedAt * 100) {
            for (std::size_t i = 1; i < quotas.size(); ++i) {
                std::set<HostId> live { names.begin() + 1, names.end() };
                live.erase(names[i]);
                quotas[i].setPeers(live, now);
                if (test.saidSo)
                    quotas[i].removePeer(cut, now);
            }
        }
        for (std::size_t from = 0; step % 20 == 0 && from < quotas.size(); ++from) {
            for (std::size_t to = 0; to < quotas.size(); ++to) {
                const bool isCut = second >= cutAt && (from == 0 || to == 0);
                if (from != to && !isCut)
                    quotas[to].merge(names[from], 1, quotas[from].ownUsage(), now);
            }
        }
        for (int i = 0; i < 4; ++i) {
            const std::size_t host = random.below(quotas.size());
            const bool isEnded = host == 0 && test.saidSo && second >= cutAt;
            if (!isEnded && quotas[host].admit(account, 50, now).isAdmitted && second >= droppedAt + 5)
                (host == 0 ? byCut : byOthers) += 50;
        }
    }
    const double allowed = rate * (seconds - droppedAt - 5);
    CHECK(byOthers >= allowed * test.minimumShare);
    CHECK(byOthers <= allowed * test.maximumShare);
    CHECK(byOthers + byCut <= allowed * 1.05);
}

namespace {

struct NewcomerCase {
    const char* name;
    // Number of hosts that start while one is behind a cut, and of those that have seen it before.
    std::size_t newcomers;
    std::size_t witnesses;
};

} // namespace

// Guards against an account that exceeds its rate because hosts that started during a cut do not know whom it cut off.
TEST_CASE("Hosts that start during a cut keep the part of the host behind it")
{
    const auto test = GENERATE(values<NewcomerCase>({
        { "one witness, one newcomer", 1, 1 },
        { "one witness, three newcomers", 3, 1 },
        { "three witnesses, one newcomer", 1, 3 },
    }));
    INFO(test.name);
    MonotonicTime now { std::chrono::hours(1) };
    const HostId cut("cut");
    std::set<HostId> serving;
    for (std::size_t i = 0; i < test.witnesses + test.newcomers; ++i)
        serving.insert(HostId("h" + std::to_string(i)));
    std::map<HostId, FleetQuota> quotas;
    for (const HostId& host : serving) {
        FleetQuota& quota = quotas.emplace(host, host).first->second;
        quota.configure(accounts(), now);
        std::set<HostId> others = serving;
        others.erase(host);
        const bool isWitness = quotas.size() <= test.witnesses;
        if (isWitness)
            quota.setPeers({ cut }, now);
        quota.setPeers(others, now);
    }
    RandomGenerator random(7);
    double admitted = 0;
    constexpr int seconds = 40;
    constexpr int settled = 10;
    for (int step = 0; step < seconds * 100; ++step) {
        now += std::chrono::milliseconds(10);
        for (auto& [host, quota] : quotas)
            quota.tick(now);
        for (auto& [from, sender] : quotas) {
            for (auto& [to, receiver] : quotas) {
                if (step % 20 != 0 || from == to)
                    continue;
                receiver.merge(from, 1, sender.ownUsage(), now);
                receiver.noteMissing(sender.missingHosts(now), now);
            }
        }
        // All requests reach the newcomers.
        for (int i = 0; i < 4; ++i) {
            const std::size_t at = test.witnesses + random.below(test.newcomers);
            FleetQuota& quota = std::next(quotas.begin(), static_cast<std::ptrdiff_t>(at))->second;
            if (quota.admit(account, 50, now).isAdmitted && step >= settled * 100)
                admitted += 50;
        }
    }
    const double kept = rate / static_cast<double>(serving.size() + 1);
    const double allowed = (rate - kept) * (seconds - settled);
    CHECK(admitted <= allowed * 1.05);
    CHECK(admitted >= allowed * 0.9);
}

namespace {

constexpr Duration longestKept = std::chrono::minutes(90);

struct ReportCase {
    const char* name;
    // What the host knows itself of the one that its peer misses.
    enum class Own { Nothing, Live, Heard, Missing, Left, Returned, Itself } own;
    Duration missingFor;
    // For how long the host keeps the part; zero if it does not.
    Duration kept;
};

} // namespace

// Guards against a part of the rate that is kept for a host that serves or has ended, or for longer than a cut lasts.
TEST_CASE("What a host has heard itself comes before what its peers miss")
{
    using Own = ReportCase::Own;
    const auto test = GENERATE(values<ReportCase>({
        { "an unknown host", Own::Nothing, std::chrono::minutes(10), std::chrono::minutes(80) },
        { "an unknown host that is missing for very long", Own::Nothing, longestKept, Duration::zero() },
        { "a live host", Own::Live, std::chrono::minutes(10), Duration::zero() },
        { "a host that was heard", Own::Heard, std::chrono::minutes(10), Duration::zero() },
        { "a host that is missing here as well", Own::Missing, std::chrono::minutes(10), longestKept },
        { "a host that said that it leaves", Own::Left, std::chrono::minutes(10), Duration::zero() },
        { "a host that left and came back", Own::Returned, std::chrono::minutes(10), Duration::zero() },
        { "the host itself", Own::Itself, std::chrono::minutes(10), Duration::zero() },
    }));
    INFO(test.name);
    const MonotonicTime now { std::chrono::hours(10) };
    const HostId other("other");
    FleetQuota quota(test.own == Own::Itself ? other : HostId("self"));
    quota.configure(accounts(), now);
    if (test.own != Own::Nothing && test.own != Own::Itself)
        quota.setPeers({ other }, now);
    if (test.own == Own::Missing)
        quota.setPeers({}, now);
    if (test.own == Own::Left || test.own == Own::Returned)
        quota.removePeer(other, now);
    if (test.own == Own::Heard || test.own == Own::Returned)
        quota.merge(other, 1, {}, now);
    const std::vector<MissingHost> report { { other, test.missingFor } };
    quota.noteMissing(report, now);
    // A peer whose clock started later may still list the host when its time is over here.
    const Duration step = std::chrono::minutes(1);
    Duration kept {};
    for (MonotonicTime at = now; at < now + 2 * longestKept; at += step) {
        quota.tick(at);
        const std::vector<MissingHost> missing = quota.missingHosts(at);
        CHECK(missing.size() == quota.missingPeers());
        kept += missing.empty() ? Duration::zero() : step;
        if (!missing.empty()) {
            CHECK(missing[0].host == other);
            CHECK(missing[0].missingFor < longestKept);
        }
        if (at == now + test.kept && test.kept > Duration::zero())
            quota.noteMissing({ { other, longestKept - step } }, at);
    }
    CHECK(kept == test.kept);
}

// Guards against lists that grow with the number of names that were ever used.
TEST_CASE("The list of missing hosts is bounded")
{
    const MonotonicTime now { std::chrono::hours(10) };
    std::vector<MissingHost> report;
    for (std::size_t i = 0; i < 3 * maximumMissingHosts; ++i)
        report.push_back({ HostId(std::to_string(i)), std::chrono::minutes(1) });
    FleetQuota quota(HostId("self"));
    quota.noteMissing(report, now);
    CHECK(quota.missingHosts(now).size() == maximumMissingHosts);
    CHECK(quota.missingPeers() == maximumMissingHosts);
}

// Guards against losing the units of each request that did not run.
TEST_CASE("Refunded units can be used again")
{
    const MonotonicTime now { std::chrono::hours(1) };
    FleetQuota quota(HostId("self"));
    quota.configure(accounts(), now);
    const double level = quota.level(account);
    REQUIRE(quota.admit(account, 100, now).isAdmitted);
    CHECK(quota.level(account) == Approx(level - 100));
    quota.refund(account, 100, now);
    CHECK(quota.level(account) == Approx(level));
    CHECK(quota.ownUsage().at(account).admitted == Approx(0));
}

// Guards against a refusal whose Retry-After is too short, or after which the request never succeeds.
TEST_CASE("A refusal states when enough units will be available")
{
    const MonotonicTime now { std::chrono::hours(1) };
    FleetQuota quota(HostId("self"));
    quota.configure(accounts(), now);
    while (quota.admit(account, 100, now).isAdmitted) { }
    const QuotaDecision decision = quota.admit(account, 200, now);
    REQUIRE_FALSE(decision.isAdmitted);
    CHECK(quota.admit(account, 200, now + decision.retryAfter + std::chrono::milliseconds(1)).isAdmitted);
}
