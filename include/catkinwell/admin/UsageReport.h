#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Error.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/TokenAmount.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

struct ModelUsage {
    // Accelerator hours during which replicas were loaded, and of these while they ran requests.
    double loadedHours = 0;
    double busyHours = 0;
    std::uint64_t loads = 0;
    std::uint64_t coldStarts = 0;
    // Requests refused, by reason.
    std::map<std::string, std::uint64_t> refusals;
};

struct AccountUsage {
    std::uint64_t coldStarts = 0;
    std::map<std::string, std::uint64_t> refusals;
    // Tokens by model.
    std::map<ModelId, TokenCount> tokens;
};

// The period for which one run of one host counted. Hosts keep no state, so a restart begins anew.
struct UsagePeriod {
    HostId host;
    WallTime since {};
    WallTime until {};
};

// Figures of one host, or of several after mergeUsageReports.
struct UsageReport {
    std::vector<UsagePeriod> periods;
    std::map<ModelId, ModelUsage> models;
    std::map<AccountId, AccountUsage> accounts;
    // Accelerator hours loaded in the current calendar month (UTC), as far as they were counted.
    double monthHours = 0;
    // Mean number of loaded accelerators over the last 24 hours, or since the start if that is later.
    double meanAccelerators = 0;
    // The budget of the fleet; 0 means none.
    double monthlyBudgetHours = 0;
};

// What an account caused. Accelerator hours and loads of a model are divided among
// its accounts in proportion to their tokens.
struct AccountCharge {
    double loadedHours = 0;
    double idleHours = 0;
    double loads = 0;
    TokenCount tokens = 0;
};

// Returns the share of each account. Models without tokens appear under the empty account. Thread safe.
std::map<AccountId, AccountCharge> accountSharesOf(const UsageReport&);

// Returns the accelerator hours of the whole calendar month (UTC) of the end of the report, if the
// mean of the last 24 hours held for all of it. Thread safe.
double forecastMonthHours(const UsageReport&);

// Adds the figures of several hosts. Each replica's time is counted by one host at a
// time, so sums do not count it twice. Precondition: at most one report of each host. Thread safe.
UsageReport mergeUsageReports(const std::vector<UsageReport>&);

// Writes the document of GET /admin/v1/report. Thread safe.
std::string usageReportToJson(const UsageReport&);

// Reads what usageReportToJson wrote. Errors: InvalidMessage. Thread safe.
Result<UsageReport> parseUsageReport(std::string_view json);

} // namespace Catkinwell
