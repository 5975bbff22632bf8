// Measures the cost of rate shares at different numbers of hosts and accounts: the time from a simultaneous start of
// all hosts until 90% of every account's rate is held, the store calls of the whole fleet, and the bytes and processor
// time per second of each host, with a least-squares fit over hosts and accounts. Each host serves 20 requests per
// second from a set of preferred accounts that changes over time.
#include "FleetSimulation.h"

#include <array>
#include <cstdio>
#include <cstdlib>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr int dataCentres = 7;
constexpr double requestsPerHost = 20;
constexpr TokenCount largestRequest = 500;
constexpr Duration measured = 60s;
// The estimated size of a store call's headers with its reply, and of an authenticated peer message.
constexpr double callBytes = 200;
constexpr double messageBytes = 150;

struct Sample {
    double hosts = 0;
    double accounts = 0;
    std::array<double, 8> values {};
};

constexpr std::array<const char*, 8> columns { "start s", "writes/s", "reads/s", "lease reads/s", "value KB",
    "bytes/s/host", "us cpu/s/host", "refused %" };

class Load {
public:
    Load(int hosts, int accounts)
        : m_hosts(static_cast<std::uint64_t>(hosts))
        , m_accounts(static_cast<std::uint64_t>(accounts))
        , m_fleet(options())
    {
        for (int i = 0; i < accounts; ++i) {
            // Demand is 70% of the rate of an average account.
            const double rate = requestsPerHost * hosts * largestRequest / 2 / accounts / 0.7;
            m_ids.emplace_back("account" + std::to_string(i));
            m_fleet.configure(
                { m_ids.back(), static_cast<TokenCount>(rate), static_cast<TokenCount>(10 * rate), 1 }, 0s);
        }
        for (int i = 0; i < hosts; ++i) {
            m_fleet.addHost(i % dataCentres, "host" + std::to_string(i), false);
            m_shift.push_back(m_random.below(m_accounts));
        }
        m_fleet.updatePeers();
        m_fleet.onDecision = [this](RequestId request, bool granted, ShareRefusal) {
            ++(granted ? m_granted : m_refused);
            if (granted)
                m_fleet.at(m_fleet.now() + 2s, [this, request] { m_fleet.settle(request, 1); });
        };
    }

    Sample run()
    {
        // Long enough for every host to register for every account within the write budget.
        const double warmUp = 60 + 1.3 * static_cast<double>(m_hosts * m_accounts) / 50;
        const MonotonicTime start = m_fleet.now();
        while (heldFraction() < 0.9 && m_fleet.now() < start + 10min)
            serve(500ms, requestsPerHost);
        const double startSeconds = std::chrono::duration<double>(m_fleet.now() - start).count();
        serve(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(warmUp)), requestsPerHost / 10);
        serve(20s, requestsPerHost);
        const FleetSimulation::Counters before = m_fleet.counters();
        const Duration timeBefore = m_fleet.managerTime;
        m_granted = m_refused = 0;
        serve(measured, requestsPerHost);
        const FleetSimulation::Counters& after = m_fleet.counters();
        const double seconds = std::chrono::duration<double>(measured).count();
        const auto perSecond
            = [&](std::uint64_t from, std::uint64_t to) { return static_cast<double>(to - from) / seconds; };
        const double writes = perSecond(before.writes, after.writes);
        const double reads = perSecond(before.reads, after.reads);
        const double leaseReads = perSecond(before.leaseReads, after.leaseReads);
        const double bytes = perSecond(before.storeBytes, after.storeBytes) + callBytes * (writes + reads + leaseReads)
            + messageBytes * perSecond(before.messages, after.messages);
        const double hosts = static_cast<double>(m_hosts);
        const double time = std::chrono::duration<double, std::micro>(m_fleet.managerTime - timeBefore).count();
        return { hosts, static_cast<double>(m_accounts),
            { startSeconds, writes, reads, leaseReads, static_cast<double>(after.maxValueBytes) / 1000, bytes / hosts,
                time / seconds / hosts,
                100.0 * static_cast<double>(m_refused) / static_cast<double>(m_granted + m_refused) } };
    }

private:
    static SimulationOptions options()
    {
        SimulationOptions options;
        options.seed = 20261204;
        options.measuresTime = true;
        return options;
    }

    // Returns the smallest fraction of an account's rate that the hosts hold together.
    double heldFraction()
    {
        std::map<AccountId, double> held;
        for (std::size_t i = 0; i < m_hosts; ++i) {
            for (const ShareStatus& status : m_fleet.manager(i).status(m_fleet.now()))
                held[status.account] += status.floatingPpm + status.standingPpm;
        }
        double least = 1e6;
        for (const auto& [account, ppm] : held)
            least = std::min(least, ppm);
        return held.empty() ? 0 : least / 1e6;
    }

    void serve(Duration time, double perHost)
    {
        const MonotonicTime end = m_fleet.now() + time;
        const double gap = 1 / (perHost * static_cast<double>(m_hosts));
        while (m_fleet.now() < end) {
            m_fleet.runUntil(m_fleet.now()
                + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(2 * m_random.unit() * gap)));
            const std::size_t host = m_random.below(m_hosts);
            // A host changes its preferred accounts every 1000 requests, which is every 50 s at full load.
            if (m_random.below(1000) == 0)
                m_shift[host] = m_random.below(m_accounts);
            const double favourite = m_random.unit() * m_random.unit();
            const std::size_t account
                = (static_cast<std::size_t>(favourite * static_cast<double>(m_accounts)) + m_shift[host]) % m_accounts;
            m_fleet.reserve(host, m_ids[account], static_cast<TokenCount>(1 + m_random.below(largestRequest)), 1s);
        }
    }

    std::uint64_t m_hosts;
    std::uint64_t m_accounts;
    RandomGenerator m_random { 7 };
    FleetSimulation m_fleet;
    std::vector<AccountId> m_ids;
    std::vector<std::size_t> m_shift;
    std::uint64_t m_granted = 0;
    std::uint64_t m_refused = 0;
};

// Solves the normal equations of value = a + b × hosts + c × accounts.
std::array<double, 3> fit(const std::vector<Sample>& samples, std::size_t column)
{
    double matrix[3][4] {};
    for (const Sample& sample : samples) {
        const double terms[3] { 1, sample.hosts, sample.accounts };
        for (int row = 0; row < 3; ++row) {
            for (int i = 0; i < 3; ++i)
                matrix[row][i] += terms[row] * terms[i];
            matrix[row][3] += terms[row] * sample.values[column];
        }
    }
    for (int pivot = 0; pivot < 3; ++pivot) {
        for (int row = 0; row < 3; ++row) {
            const double factor = row == pivot ? 0 : matrix[row][pivot] / matrix[pivot][pivot];
            for (int i = 0; i < 4; ++i)
                matrix[row][i] -= factor * matrix[pivot][i];
        }
    }
    return { matrix[0][3] / matrix[0][0], matrix[1][3] / matrix[1][1], matrix[2][3] / matrix[2][2] };
}

} // namespace

// Usage: ShareSlopes [largest number of hosts [largest number of accounts, at least 20]]
int main(int argc, char** argv)
{
    const int largest = argc > 1 ? std::atoi(argv[1]) : 400;
    const int mostAccounts = argc > 2 ? std::atoi(argv[2]) : 50;
    std::printf("%6s %9s", "hosts", "accounts");
    for (const char* column : columns)
        std::printf(" %14s", column);
    std::printf("\n");
    std::vector<Sample> samples;
    for (const int hosts : { 4, 16, 64, 200, 400 }) {
        for (const int accounts : { 5, 20, 50 }) {
            if (hosts > largest || accounts > mostAccounts)
                continue;
            samples.push_back(Load(hosts, accounts).run());
            std::printf("%6d %9d", hosts, accounts);
            for (const double value : samples.back().values)
                std::printf(" %14.2f", value);
            std::printf("\n");
            std::fflush(stdout);
        }
    }
    for (std::size_t column = 0; column < columns.size(); ++column) {
        const auto [constant, perHost, perAccount] = fit(samples, column);
        std::printf("%s = %.3f + %.4f x hosts + %.4f x accounts\n", columns[column], constant, perHost, perAccount);
    }
    return 0;
}
