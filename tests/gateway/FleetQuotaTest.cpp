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
        quotas.back().removePeer(name);
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
                    quotas[i].removePeer(cut);
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
