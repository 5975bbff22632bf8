#include <catch2/catch.hpp>
#include <catkinwell/admin/UsageAccounting.h>
#include <tuple>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

const EndpointId endpoint("engine-1");
const ModelId notes("notes-7b");
const ModelId idleModel("rare-1b");
const AccountId quay("quay-3");
const AccountId mill("mill-1");
const MonotonicTime start { 1h };
// 2026-12-04T00:00:00Z
const WallTime wallStart { 20791 * 24h };

std::vector<LogEvent> eventsIn(const EffectList& effects)
{
    std::vector<LogEvent> events;
    for (const Effect& effect : effects)
        events.push_back(std::get<LogEntry>(effect).event);
    return events;
}

} // namespace

// Guards against a report that counts idle time as busy, or a replica twice.
TEST_CASE("loaded, busy and idle accelerator hours add up")
{
    UsageAccounting usage(HostId("host-1"), start, wallStart);
    usage.replicaLoaded(endpoint, notes, ReplicaOrigin::LoadedNow, start, 2);
    usage.replicaLoaded(endpoint, notes, ReplicaOrigin::LoadedNow, start + 1h, 2);
    usage.setReplicaBusy(endpoint, notes, true, start + 1h);
    usage.setReplicaBusy(endpoint, notes, true, start + 2h);
    usage.setReplicaBusy(endpoint, notes, false, start + 3h);
    usage.replicaLoaded(endpoint, idleModel, ReplicaOrigin::FoundLoaded, start + 3h);
    usage.replicaUnloaded(endpoint, notes, start + 4h);
    usage.setReplicaBusy(endpoint, notes, true, start + 4h);
    usage.tokensUsed(quay, notes, 300);
    usage.tokensUsed(mill, notes, 100);
    usage.coldStart(quay, notes);
    usage.requestRefused(mill, notes, "over_rate");
    const UsageReport report = usage.report(start + 5h, wallStart + 5h);
    CHECK(report.models.at(notes).loadedHours == Approx(8));
    CHECK(report.models.at(notes).busyHours == Approx(4));
    CHECK(report.models.at(notes).loads == 1);
    CHECK(report.models.at(idleModel).loads == 0);
    CHECK(report.models.at(idleModel).loadedHours == Approx(2));
    CHECK(report.monthHours == Approx(10));
    CHECK(report.meanAccelerators == Approx(2));
    CHECK(forecastMonthHours(report) == Approx(2 * 24 * 31));
    const auto shares = accountSharesOf(report);
    CHECK(shares.at(quay).loadedHours == Approx(6));
    CHECK(shares.at(quay).idleHours == Approx(3));
    CHECK(shares.at(mill).loads == Approx(0.25));
    CHECK(shares.at(AccountId()).loadedHours == Approx(2));
    CHECK(report.accounts.at(mill).refusals.at("over_rate") == 1);
}

// Guards against accelerator hours that are lost or counted twice when the placement owner changes, and against a
// merge through JSON that differs from the hosts' figures.
TEST_CASE("reports of hosts that owned the placement in turn add up")
{
    UsageAccounting first(HostId("host-1"), start, wallStart);
    UsageAccounting second(HostId("host-2"), start, wallStart);
    first.replicaLoaded(endpoint, notes, ReplicaOrigin::LoadedNow, start);
    first.setReplicaBusy(endpoint, notes, true, start);
    first.stopCountingReplicas(start + 3h);
    second.replicaLoaded(endpoint, notes, ReplicaOrigin::FoundLoaded, start + 3h);
    first.tokensUsed(quay, notes, 10);
    second.tokensUsed(quay, notes, 5);
    std::vector<UsageReport> reports;
    for (UsageAccounting* host : { &first, &second }) {
        auto parsed = parseUsageReport(usageReportToJson(host->report(start + 8h, wallStart + 8h)));
        REQUIRE(!isError(parsed));
        reports.push_back(takeValue(std::move(parsed)));
    }
    const UsageReport merged = mergeUsageReports(reports);
    CHECK(merged.models.at(notes).loadedHours == Approx(8));
    CHECK(merged.models.at(notes).busyHours == Approx(3));
    CHECK(merged.models.at(notes).loads == 1);
    CHECK(merged.accounts.at(quay).tokens.at(notes) == 15);
    CHECK(merged.meanAccelerators == Approx(1));
    CHECK(merged.periods.size() == 2);
    CHECK(isError(parseUsageReport("{}")));
}

// Guards against a budget that is exceeded without a prior warning, or that is warned of on every tick.
TEST_CASE("the budget is warned of before it is exceeded, once a month")
{
    UsageAccounting usage(HostId("host-1"), start, wallStart);
    EffectList effects;
    usage.replicaLoaded(endpoint, notes, ReplicaOrigin::LoadedNow, start);
    // The forecast of 744 hours is below this budget, so that only the used part causes the warning.
    const double budget = 800;
    const auto tickAt = [&](std::chrono::hours hour) {
        usage.tick(start + hour, wallStart + hour, { 4 * budget, 0.25 }, effects);
    };
    tickAt(2h);
    CHECK(eventsIn(effects).empty());
    usage.tick(start + 2h, wallStart + 2h, { 700 }, effects);
    CHECK(eventsIn(effects) == std::vector { LogEvent::BudgetNearlyExceeded });
    // The next month begins after 672 hours, and 801 hours of it exceed the budget.
    for (int hour = 3; hour <= 672; ++hour)
        tickAt(std::chrono::hours(hour));
    CHECK(eventsIn(effects).size() == 1);
    usage.replicaLoaded(EndpointId("engine-2"), notes, ReplicaOrigin::LoadedNow, start + 672h);
    for (int hour = 673; hour <= 672 + 410; ++hour)
        tickAt(std::chrono::hours(hour));
    CHECK(eventsIn(effects)
        == std::vector { LogEvent::BudgetNearlyExceeded, LogEvent::BudgetNearlyExceeded, LogEvent::BudgetExceeded });
}

// Guards against a host that compares the hours of one data centre with the budget of the whole fleet.
TEST_CASE("a data centre's part of the budget follows its engines' memory")
{
    FleetConfiguration configuration;
    for (const auto& [id, dataCentre, memory] :
        { std::tuple("a", "east", 30U), std::tuple("b", "west", 10U), std::tuple("c", "west", 20U) }) {
        EndpointSettings& settings = configuration.endpoints[EndpointId(id)];
        settings.dataCentre = DataCentreId(dataCentre);
        settings.memoryBytes = memory;
    }
    configuration.endpoints[EndpointId("b")].kind = EndpointKind::Service;
    CHECK(engineFraction(configuration, DataCentreId("west")) == Approx(0.4));
    CHECK(engineFraction(configuration, DataCentreId("north")) == 0);
    CHECK(engineFraction(FleetConfiguration(), DataCentreId("west")) == 0);
}

// Guards against unbounded memory growth with the number of distinct names in requests and configuration.
TEST_CASE("models, accounts and reasons beyond the bounds are counted under other")
{
    UsageAccounting usage(HostId("host-1"), start, wallStart);
    const std::size_t calls = UsageAccounting::maximumModels + 10;
    for (std::size_t i = 0; i < calls; ++i) {
        const std::string name = std::to_string(i);
        usage.tokensUsed(AccountId(name), ModelId(name), 1);
        usage.requestRefused(quay, notes, name);
    }
    const UsageReport report = usage.report(start, wallStart);
    CHECK(report.models.size() <= UsageAccounting::maximumModels + 1);
    CHECK(report.accounts.size() <= UsageAccounting::maximumAccounts + 1);
    CHECK(report.models.at(notes).refusals.size() == UsageAccounting::maximumReasons + 1);
    std::size_t pairs = 0;
    for (std::size_t i = 0; i < UsageAccounting::maximumPairs; ++i) {
        usage.tokensUsed(AccountId("0"), ModelId(std::to_string(i)), 1);
        usage.tokensUsed(AccountId("1"), ModelId(std::to_string(i)), 1);
    }
    for (const auto& [account, accountUsage] : usage.report(start, wallStart).accounts)
        pairs += accountUsage.tokens.size();
    CHECK(pairs <= UsageAccounting::maximumPairs + UsageAccounting::maximumAccounts + 1);
    TokenCount tokens = 0;
    for (const auto& [account, share] : accountSharesOf(report))
        tokens += share.tokens;
    CHECK(tokens == static_cast<TokenCount>(calls));
}
