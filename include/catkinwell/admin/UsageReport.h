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
    // Accelerator hours of loaded replicas, and of replicas that were running requests.
    double loadedHours = 0;
    double busyHours = 0;
    std::uint64_t loads = 0;
    std::uint64_t coldStarts = 0;
    // Refused requests by reason.
    std::map<std::string, std::uint64_t> refusals;
};

struct AccountUsage {
    std::uint64_t coldStarts = 0;
    std::map<std::string, std::uint64_t> refusals;
    // Tokens by model.
    std::map<ModelId, TokenCount> tokens;
};

// The period that the figures of one host cover. Hosts keep no state, so the period begins at the host's start.
struct UsagePeriod {
    HostId host;
    WallTime since {};
    WallTime until {};
};

// The figures of one host, or of several after mergeUsageReports().
struct UsageReport {
    std::vector<UsagePeriod> periods;
    std::map<ModelId, ModelUsage> models;
    std::map<AccountId, AccountUsage> accounts;
    // Accelerator hours counted in the current calendar month (UTC).
    double monthHours = 0;
    // Mean number of loaded accelerators over the last 24 hours, or since the start if that is later.
    double meanAccelerators = 0;
    // The fleet's monthly budget in accelerator hours; 0 means no budget.
    double monthlyBudgetHours = 0;
};

// The part of the accelerator hours and loads that is attributed to one account. Those of a model
// are divided among its accounts in proportion to their tokens.
struct AccountCharge {
    double loadedHours = 0;
    double idleHours = 0;
    double loads = 0;
    TokenCount tokens = 0;
};

// Returns the share of each account. Models without tokens appear under the empty account. Thread safe.
std::map<AccountId, AccountCharge> accountSharesOf(const UsageReport&);

// Returns the forecast for the calendar month (UTC) in which the report ends: the accelerator hours
// at the mean rate of the last 24 hours. Thread safe.
double forecastMonthHours(const UsageReport&);

// Adds the figures of several hosts. Only one host counts a replica at any time, so the sum does not
// count its hours twice. Precondition: at most one report of each host. Thread safe.
UsageReport mergeUsageReports(const std::vector<UsageReport>&);

// Returns the JSON document of GET /admin/v1/report. Thread safe.
std::string usageReportToJson(const UsageReport&);

// Parses the output of usageReportToJson(). Errors: InvalidMessage. Thread safe.
Result<UsageReport> parseUsageReport(std::string_view json);

} // namespace Catkinwell
