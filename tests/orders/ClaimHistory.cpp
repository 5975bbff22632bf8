#include "orders/ClaimHistory.h"

#include <algorithm>
#include <map>
#include <set>

namespace Catkinwell {

namespace {

    using Kind = ClaimRecord::Kind;

    std::string describe(const ClaimRecord& record, const std::string& what)
    {
        return what + ": key " + record.key + ", request " + std::to_string(record.request) + " on " + record.host
            + " at " + std::to_string(record.at.time_since_epoch().count() / 1000000) + " ms"
            + (record.verdict ? ", decision " + std::string(nameOf(*record.verdict)) : "");
    }

} // namespace

std::string checkAtMostOneRun(const ClaimHistory& history)
{
    std::set<std::string> sent;
    for (const auto& record : history) {
        if (record.kind == Kind::Sent && !sent.insert(record.key).second)
            return describe(record, "second run");
    }
    return {};
}

std::string checkOnlyRunIsSent(const ClaimHistory& history)
{
    std::set<std::uint64_t> sent;
    for (const auto& record : history) {
        if (record.kind == Kind::Sent)
            sent.insert(record.request);
    }
    for (const auto& record : history) {
        if (record.kind == Kind::Decided && !std::holds_alternative<ClaimRun>(*record.verdict)
            && sent.contains(record.request))
            return describe(record, "a request was sent although its decision is not run");
    }
    return {};
}

std::string checkRepeatsReturnFirstOutcome(const ClaimHistory& history)
{
    std::map<std::string, ClaimRecord> outcomes;
    std::set<std::string> crashedHosts;
    std::map<std::uint64_t, ClaimRecord> requestedRecords;
    for (const auto& record : history) {
        const auto outcome = outcomes.find(record.key);
        if (record.kind == Kind::Requested)
            requestedRecords.emplace(record.request, record);
        else if (record.kind == Kind::HostCrashed)
            crashedHosts.insert(record.host);
        else if (record.kind == Kind::OutcomeRecorded && outcome == outcomes.end())
            outcomes.emplace(record.key, record);
        if (record.kind != Kind::Decided)
            continue;
        if (const auto* repeat = std::get_if<ClaimRepeat>(&*record.verdict)) {
            if (outcome == outcomes.end())
                return describe(record, "repeat without a recorded outcome");
            if (repeat->body != outcome->second.body || repeat->status != 201 || repeat->headers.size() != 1)
                return describe(record, "outcome differs from the recorded one");
            continue;
        }
        if (outcome == outcomes.end())
            continue;
        const auto& requested = requestedRecords.at(record.request);
        const bool isMismatch = std::holds_alternative<ClaimBodyMismatch>(*record.verdict);
        const bool isSameHost = requested.host == outcome->second.host && requested.at >= outcome->second.at;
        if (requested.isFinalProbe && !isMismatch && !crashedHosts.contains(outcome->second.host))
            return describe(record, "the recorded outcome was not returned");
        const bool isStale = std::holds_alternative<ClaimRun>(*record.verdict)
            || std::holds_alternative<ClaimInProgress>(*record.verdict);
        if (isSameHost && isStale)
            return describe(record, "the host that recorded the outcome did not return it");
    }
    return {};
}

std::string checkEveryRequestIsDecided(const ClaimHistory& history, MonotonicTime end)
{
    std::map<std::uint64_t, ClaimRecord> open;
    for (const auto& record : history) {
        if (record.kind == Kind::Requested)
            open.emplace(record.request, record);
        else if (record.kind == Kind::HostPaused) {
            for (auto& [request, requested] : open) {
                if (requested.host == record.host && record.at <= requested.latestDecision)
                    requested.latestDecision = std::max(requested.latestDecision, record.latestDecision);
            }
        } else if (record.kind == Kind::HostCrashed)
            std::erase_if(open, [&](const auto& item) {
                return item.second.host == record.host && record.at <= item.second.latestDecision;
            });
        if (record.kind != Kind::Decided)
            continue;
        const auto requested = open.find(record.request);
        if (requested == open.end())
            return describe(record, "second decision");
        if (record.at > requested->second.latestDecision)
            return describe(record, "late decision");
        open.erase(requested);
    }
    for (const auto& [request, record] : open) {
        if (record.latestDecision < end)
            return describe(record, "no decision");
    }
    return {};
}

} // namespace Catkinwell
