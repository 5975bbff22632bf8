#include <catkinwell/replay/ReplayReport.h>

#include <cstdio>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    constexpr double busyStore = 0.6;
    constexpr double busySlots = 0.5;

    template <typename... Values> std::string formatted(const char* format, Values... values)
    {
        char line[256];
        std::snprintf(line, sizeof(line), format, values...);
        return line;
    }

} // namespace

double ReplayReport::inGoalShare() const
{
    unsigned asked = 0;
    unsigned inGoal = 0;
    for (const KindReport& kind : kinds) {
        asked += kind.asked;
        inGoal += kind.inGoal;
    }
    return asked == 0 ? 0 : static_cast<double>(inGoal) / asked;
}

double ReplayReport::servedShare() const
{
    unsigned asked = 0;
    unsigned served = 0;
    for (const KindReport& kind : kinds) {
        asked += kind.asked;
        served += kind.inGoal + kind.late;
    }
    return asked == 0 ? 0 : static_cast<double>(served) / asked;
}

std::string ReplayReport::bound() const
{
    unsigned refused = 0;
    unsigned late = 0;
    for (const KindReport& kind : kinds) {
        refused += kind.refused;
        late += kind.late;
    }
    if (refusedBelowLimit * 2 > refused + late)
        return "limits of accounts that were not used to the full";
    if (busiestSlotUse > busySlots && busiestSlotUse > meanSlotUse * 3)
        return "one engine, while others were idle";
    if (storeBusyShare > busyStore)
        return "the weight store";
    if (meanSlotUse > busySlots)
        return "the engines' slots";
    return refused + late == 0 ? "nothing" : "no single part";
}

std::string replayReportText(const ReplayReport& report)
{
    std::string text = formatted("%-14s seed %llu: %.1f%% in goal\n", report.pattern.c_str(),
        static_cast<unsigned long long>(report.seed), report.inGoalShare() * 100);
    text += formatted("  %-10s %6s %7s %6s %8s %7s %9s %9s %12s\n", "kind", "asked", "in goal", "late", "refused",
        "failed", "p50 ms", "p95 ms", "refusal ms");
    for (const KindReport& kind : report.kinds)
        text += formatted("  %-10s %6u %7u %6u %8u %7u %9.0f %9.0f %12.0f\n", kind.name.c_str(), kind.asked,
            kind.inGoal, kind.late, kind.refused, kind.failed, kind.medianFirstPieceMs, kind.p95FirstPieceMs,
            kind.meanRefusalMs);
    text += formatted("  loads: %u from the weight store, %u from disk; orders: %u, %u refused; preempted: %u\n",
        report.loadsFromStore, report.loadsFromDisk, report.orders, report.refusedOrders, report.preemptions);
    text += formatted("  weight store busy %.0f%% of the time; slots in use %.1f%%, busiest engine %.1f%%\n",
        report.storeBusyShare * 100, report.meanSlotUse * 100, report.busiestSlotUse * 100);
    for (const auto& [reason, count] : report.refusals)
        text += formatted("  refused for %s: %u\n", reason.c_str(), count);
    if (report.refusedBelowLimit > 0)
        text += formatted("  of them below the limit of the account: %u\n", report.refusedBelowLimit);
    return text + "  bound by " + report.bound() + "\n";
}

std::string replayReportJson(const ReplayReport& report)
{
    nlohmann::json kinds = nlohmann::json::array();
    for (const KindReport& kind : report.kinds)
        kinds.push_back({ { "kind", kind.name }, { "asked", kind.asked }, { "in_goal", kind.inGoal },
            { "late", kind.late }, { "refused", kind.refused }, { "failed", kind.failed },
            { "first_piece_ms_p50", kind.medianFirstPieceMs }, { "first_piece_ms_p95", kind.p95FirstPieceMs },
            { "refusal_ms_mean", kind.meanRefusalMs } });
    nlohmann::json refusals = nlohmann::json::object();
    for (const auto& [reason, count] : report.refusals)
        refusals[reason] = count;
    return nlohmann::json {
        { "pattern", report.pattern }, { "seed", report.seed }, { "kinds", kinds }, { "refusals", refusals },
        { "loads_from_store", report.loadsFromStore }, { "loads_from_disk", report.loadsFromDisk },
        { "orders", report.orders }, { "orders_refused", report.refusedOrders }, { "preemptions", report.preemptions },
        { "overfills", report.overfills }, { "refused_below_limit", report.refusedBelowLimit },
        { "store_busy_share", report.storeBusyShare }, { "slot_use_mean", report.meanSlotUse },
        { "slot_use_busiest", report.busiestSlotUse }, { "in_goal_share", report.inGoalShare() },
        { "bound", report.bound() }
    }.dump();
}

} // namespace Catkinwell
