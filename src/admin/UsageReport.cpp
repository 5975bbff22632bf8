#include <catkinwell/admin/UsageReport.h>

#include <algorithm>
#include <catkinwell/core/WallTimeText.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view explanation
        = "Hosts keep no state: the figures of a host cover the period given for it, and start from zero when it "
          "restarts. Accelerator hours and loads are counted by the host that owns the placement of a data centre, all "
          "other figures by the host that served the request; merge the reports of all hosts for the fleet. "
          "forecast_month_hours is the mean number of loaded accelerators over the last 24 hours (or since the start) "
          "times the hours of the calendar month in UTC. Accelerator hours and loads of a model are divided among "
          "accounts in proportion to their tokens.";

    TokenCount tokensOf(const AccountUsage& usage)
    {
        TokenCount sum = 0;
        for (const auto& [model, tokens] : usage.tokens)
            sum += tokens;
        return sum;
    }

    void addAll(std::map<std::string, std::uint64_t>& sums, const std::map<std::string, std::uint64_t>& values)
    {
        for (const auto& [reason, count] : values)
            sums[reason] += count;
    }

    std::map<ModelId, TokenCount> tokensByModel(const UsageReport& report)
    {
        std::map<ModelId, TokenCount> sums;
        for (const auto& [id, account] : report.accounts) {
            for (const auto& [model, tokens] : account.tokens)
                sums[model] += tokens;
        }
        return sums;
    }

    Json modelsToJson(const UsageReport& report)
    {
        const auto tokens = tokensByModel(report);
        Json models = Json::object();
        for (const auto& [id, usage] : report.models) {
            const auto sum = tokens.find(id);
            models[id.value] = { { "loaded_hours", usage.loadedHours }, { "busy_hours", usage.busyHours },
                { "idle_hours", usage.loadedHours - usage.busyHours }, { "loads", usage.loads },
                { "cold_starts", usage.coldStarts }, { "tokens", sum == tokens.end() ? 0 : sum->second },
                { "refusals", usage.refusals } };
        }
        return models;
    }

    Json accountsToJson(const UsageReport& report)
    {
        Json accounts = Json::object();
        for (const auto& [id, share] : accountSharesOf(report)) {
            const auto found = report.accounts.find(id);
            const AccountUsage usage = found == report.accounts.end() ? AccountUsage {} : found->second;
            Json tokens = Json::object();
            for (const auto& [model, count] : usage.tokens)
                tokens[model.value] = count;
            accounts[id.value] = { { "loaded_hours", share.loadedHours }, { "idle_hours", share.idleHours },
                { "loads", share.loads }, { "cold_starts", usage.coldStarts }, { "tokens", share.tokens },
                { "tokens_by_model", tokens }, { "refusals", usage.refusals } };
        }
        return accounts;
    }

    UsagePeriod periodFromJson(const Json& json)
    {
        const auto since = parseWallTime(json.at("since").get<std::string>());
        const auto until = parseWallTime(json.at("until").get<std::string>());
        if (!since || !until)
            throw std::invalid_argument("since and until must be UTC times such as 2026-12-04T10:30:00Z");
        return { HostId(json.at("host").get<std::string>()), *since, *until };
    }

    UsageReport reportFromJson(const Json& json)
    {
        UsageReport report;
        for (const Json& period : json.at("hosts"))
            report.periods.push_back(periodFromJson(period));
        for (const auto& [id, model] : json.at("models").items()) {
            report.models[ModelId(id)] = { model.at("loaded_hours").get<double>(), model.at("busy_hours").get<double>(),
                model.at("loads").get<std::uint64_t>(), model.at("cold_starts").get<std::uint64_t>(),
                model.at("refusals").get<std::map<std::string, std::uint64_t>>() };
        }
        for (const auto& [id, account] : json.at("accounts").items()) {
            // The figures without an account are under the empty name; they are computed again, not read.
            if (id.empty())
                continue;
            AccountUsage& usage = report.accounts[AccountId(id)];
            usage.coldStarts = account.at("cold_starts").get<std::uint64_t>();
            usage.refusals = account.at("refusals").get<std::map<std::string, std::uint64_t>>();
            for (const auto& [model, tokens] : account.at("tokens_by_model").items())
                usage.tokens[ModelId(model)] = tokens.get<TokenCount>();
        }
        report.monthHours = json.at("month_hours").get<double>();
        report.meanAccelerators = json.at("mean_accelerators").get<double>();
        report.monthlyBudgetHours = json.at("monthly_budget_hours").get<double>();
        return report;
    }

} // namespace

std::map<AccountId, AccountCharge> accountSharesOf(const UsageReport& report)
{
    const auto sums = tokensByModel(report);
    std::map<AccountId, AccountCharge> shares;
    const auto add = [&](const AccountId& account, const ModelUsage& model, double part) {
        AccountCharge& share = shares[account];
        share.loadedHours += part * model.loadedHours;
        share.idleHours += part * (model.loadedHours - model.busyHours);
        share.loads += part * static_cast<double>(model.loads);
    };
    for (const auto& [id, account] : report.accounts) {
        shares[id].tokens = tokensOf(account);
        for (const auto& [model, tokens] : account.tokens) {
            const auto usage = report.models.find(model);
            if (usage != report.models.end())
                add(id, usage->second, static_cast<double>(tokens) / static_cast<double>(sums.at(model)));
        }
    }
    for (const auto& [id, usage] : report.models) {
        if (!sums.contains(id) && (usage.loadedHours > 0 || usage.loads > 0))
            add(AccountId(), usage, 1);
    }
    return shares;
}

double forecastMonthHours(const UsageReport& report)
{
    if (report.periods.empty())
        return 0;
    const auto latest = std::max_element(report.periods.begin(), report.periods.end(),
        [](const UsagePeriod& left, const UsagePeriod& right) { return left.until < right.until; });
    const std::chrono::year_month_day date(std::chrono::floor<std::chrono::days>(latest->until));
    const std::chrono::year_month_day_last lastDay(date.year() / date.month() / std::chrono::last);
    constexpr double hoursPerDay = 24;
    return report.meanAccelerators * hoursPerDay * static_cast<unsigned>(lastDay.day());
}

UsageReport mergeUsageReports(const std::vector<UsageReport>& reports)
{
    UsageReport merged;
    for (const UsageReport& report : reports) {
        merged.periods.insert(merged.periods.end(), report.periods.begin(), report.periods.end());
        for (const auto& [id, model] : report.models) {
            ModelUsage& sum = merged.models[id];
            sum.loadedHours += model.loadedHours;
            sum.busyHours += model.busyHours;
            sum.loads += model.loads;
            sum.coldStarts += model.coldStarts;
            addAll(sum.refusals, model.refusals);
        }
        for (const auto& [id, account] : report.accounts) {
            AccountUsage& sum = merged.accounts[id];
            sum.coldStarts += account.coldStarts;
            addAll(sum.refusals, account.refusals);
            for (const auto& [model, tokens] : account.tokens)
                sum.tokens[model] += tokens;
        }
        merged.monthHours += report.monthHours;
        merged.meanAccelerators += report.meanAccelerators;
        merged.monthlyBudgetHours = std::max(merged.monthlyBudgetHours, report.monthlyBudgetHours);
    }
    return merged;
}

std::string usageReportToJson(const UsageReport& report)
{
    Json hosts = Json::array();
    for (const UsagePeriod& period : report.periods) {
        hosts.push_back({ { "host", period.host.value }, { "since", formatWallTime(period.since) },
            { "until", formatWallTime(period.until) } });
    }
    const double forecast = forecastMonthHours(report);
    const double budget = report.monthlyBudgetHours;
    const Json json = { { "hosts", hosts }, { "models", modelsToJson(report) }, { "accounts", accountsToJson(report) },
        { "month_hours", report.monthHours }, { "mean_accelerators", report.meanAccelerators },
        { "forecast_month_hours", forecast }, { "monthly_budget_hours", budget },
        { "budget_exceeded", budget > 0 && report.monthHours > budget },
        { "forecast_exceeds_budget", budget > 0 && forecast > budget }, { "explanation", explanation } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<UsageReport> parseUsageReport(std::string_view text)
{
    try {
        return reportFromJson(Json::parse(text));
    } catch (const std::exception& problem) {
        return Error { ErrorKind::InvalidMessage,
            std::string("the text is not a catkinwell usage report: ") + problem.what() };
    }
}

} // namespace Catkinwell
