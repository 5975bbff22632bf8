#include <admin/AdminChanges.h>

#include <admin/DocumentDiff.h>
#include <algorithm>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maximumFinished = 256;
    constexpr std::size_t maximumAuditPaths = 20;

    AdminAnswer withVersion(AdminAnswer answer, ConfigurationVersion version)
    {
        answer.headers.emplace_back("ETag", "\"" + std::to_string(version) + "\"");
        return answer;
    }

    AdminAnswer conflictAnswer(const std::string& message, ConfigurationVersion current)
    {
        AdminAnswer answer = problemAnswer(AdminProblem { 409, "conflict", message, "expected_version",
            "read the resource again, apply the change to it and send the new version" });
        Json body = Json::parse(answer.body);
        body["current_version"] = current;
        answer.body = jsonText(body);
        return withVersion(answer, current);
    }

    Json changesBetween(const FleetConfiguration& before, const FleetConfiguration& after)
    {
        Json old = Json::parse(fleetConfigurationToJson(before));
        Json fresh = Json::parse(fleetConfigurationToJson(after));
        // The version differs after every change and is reported separately.
        old.erase("version");
        fresh.erase("version");
        return diffDocuments(old, fresh);
    }

    bool sameKeys(const FleetConfiguration& left, const FleetConfiguration& right)
    {
        return std::equal(left.keys.begin(), left.keys.end(), right.keys.begin(), right.keys.end(),
            [](const auto& one, const auto& other) {
                return one.first == other.first && one.second.account == other.second.account
                    && one.second.label == other.second.label;
            });
    }

    bool hasRole(const AdminCredential& who, AdminRole role)
    {
        return std::find(who.roles.begin(), who.roles.end(), role) != who.roles.end();
    }

    AuditOutcome outcomeOf(int status)
    {
        if (status < 300)
            return AuditOutcome::Accepted;
        return status == 504 ? AuditOutcome::Unknown : AuditOutcome::Refused;
    }

    LogEvent eventOf(AuditOutcome outcome)
    {
        switch (outcome) {
        case AuditOutcome::Accepted:
            return LogEvent::AdminChangeAccepted;
        case AuditOutcome::Refused:
            return LogEvent::AdminChangeRefused;
        case AuditOutcome::Unknown:
            return LogEvent::AdminChangeUnknown;
        }
        return LogEvent::AdminChangeUnknown;
    }

} // namespace

AdminChanges::AdminChanges(ConfigurationAccess& configuration, std::size_t maximumPending, Duration timeout)
    : m_configuration(configuration)
    , m_maximumPending(maximumPending)
    , m_timeout(timeout)
{
}

std::optional<AdminAnswer> AdminChanges::submit(const AdminCall& call, const Edit& edit, EffectList& effects)
{
    if (auto answer = answerRetry(call))
        return answer;
    if (auto answer = checkBase(call))
        return answer;
    const FleetConfiguration& accepted = m_configuration.accepted();
    EditResult edited = edit(call, accepted);
    if (const auto* problem = std::get_if<AdminProblem>(&edited))
        return problemAnswer(*problem);
    auto& [document, answer] = std::get<ConfigurationEdit>(edited);
    if (!sameKeys(accepted, document) && !hasRole(call.who, AdminRole::GrantKeys))
        return problemAnswer(AdminProblem { 403, "forbidden", "the change grants or removes keys", "keys",
            "use a token with the role grant_keys, or leave the keys as they are" });
    answer["changes"] = changesBetween(accepted, document);
    answer["changed"] = !answer["changes"].empty();
    answer["version"] = accepted.version;
    if (call.dryRun) {
        answer["dry_run"] = true;
        answer.erase("key");
        return withVersion(jsonAnswer(200, answer), accepted.version);
    }
    if (answer["changes"].empty())
        return withVersion(jsonAnswer(200, answer), accepted.version);
    if (m_pending.size() >= m_maximumPending)
        return problemAnswer(
            AdminProblem { 503, "limit_reached", "too many changes are waiting for the store; nothing was changed", "",
                "repeat the change in a few seconds" });
    const std::uint64_t ticket = ++m_lastTicket;
    // Without an identifier from the caller, one that is unique among the requests of this process is enough.
    const std::string changeId = call.changeId.empty() ? "request-" + std::to_string(call.id.value) + "-"
            + call.contentDigest.substr(0, 16) + "-" + std::to_string(call.wallNow.time_since_epoch().count())
                                                       : call.changeId;
    answer["change_id"] = changeId;
    const auto pending = m_pending.emplace(ticket, PendingChange { call, answer, call.now + m_timeout }).first;
    pending->second.call.body = nullptr;
    m_configuration.propose(ticket, *call.expectedVersion, document, changeId, call.now, effects);
    return std::nullopt;
}

void AdminChanges::poll(MonotonicTime now, EffectList& effects)
{
    for (const ProposalResult& result : m_configuration.takeProposalResults()) {
        const auto pending = m_pending.find(result.ticket);
        // The request is answered at the deadline; a later result is ignored.
        if (pending == m_pending.end())
            continue;
        finish(pending->second, result.result, effects);
        m_pending.erase(pending);
    }
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (now < pending->second.deadline) {
            ++pending;
            continue;
        }
        finish(pending->second, Error { ErrorKind::Timeout, "the store did not confirm the change in time" }, effects);
        pending = m_pending.erase(pending);
    }
}

void AdminChanges::record(const AdminCall& call, const AdminAnswer& answer, EffectList& effects)
{
    const Json body = Json::parse(answer.body, nullptr, false);
    AuditEntry entry { 0, call.wallNow, call.who.name, call.method + " " + call.resource, call.reason,
        outcomeOf(answer.status), 0, {} };
    if (!call.target.empty())
        entry.action += "/" + call.target;
    std::string detail;
    if (body.contains("error"))
        detail = body["error"]["message"].get<std::string>();
    else if (body.contains("version") && body.value("changed", false))
        entry.version = body["version"].get<ConfigurationVersion>();
    if (body.contains("changes")) {
        for (const Json& change : body["changes"]) {
            if (entry.paths.size() < maximumAuditPaths)
                entry.paths.push_back(change["path"].get<std::string>());
        }
    }
    std::string paths;
    for (const std::string& path : entry.paths)
        paths.append(paths.empty() ? "" : " ").append(path);
    effects.emplace_back(LogEntry { eventOf(entry.outcome),
        { { "who", entry.who }, { "action", entry.action }, { "reason", entry.reason },
            { "version", std::to_string(entry.version) }, { "paths", paths }, { "detail", detail } } });
    // Refused changes are not listed: a caller without the role could otherwise displace the accepted changes
    // from the bounded list.
    if (entry.outcome != AuditOutcome::Refused)
        m_audit.add(std::move(entry));
}

std::optional<AdminAnswer> AdminChanges::checkBase(const AdminCall& call) const
{
    const ConfigurationVersion current = m_configuration.accepted().version;
    if (!call.expectedVersion)
        return withVersion(problemAnswer(AdminProblem { 428, "version_required",
                               "the request does not give the version that it is based on", "expected_version",
                               "send the version from the last answer in If-Match or expected_version" }),
            current);
    // A retry after a lost answer gives the version before its own change; the change identifier recognises it.
    const bool mayBeRetry = !call.changeId.empty() && *call.expectedVersion < current;
    if (*call.expectedVersion == current || mayBeRetry)
        return std::nullopt;
    const std::string expected = std::to_string(*call.expectedVersion);
    if (*call.expectedVersion > current)
        return conflictAnswer("this host does not know version " + expected + " yet; it has version "
                + std::to_string(current) + ", and nothing was changed",
            current);
    return conflictAnswer(
        "the configuration is at version " + std::to_string(current) + ", not " + expected + "; nothing was changed",
        current);
}

std::optional<AdminAnswer> AdminChanges::answerRetry(const AdminCall& call) const
{
    if (call.changeId.empty() || call.dryRun)
        return std::nullopt;
    const AdminProblem reused { 409, "change_id_reused", "the change identifier belongs to another change", "change_id",
        "choose a new change identifier" };
    for (const auto& [ticket, pending] : m_pending) {
        if (pending.call.changeId != call.changeId)
            continue;
        if (pending.call.contentDigest != call.contentDigest)
            return problemAnswer(reused);
        return problemAnswer(AdminProblem { 409, "in_progress", "the same change is waiting for the store", "change_id",
            "repeat the request in a few seconds to learn the outcome" });
    }
    const auto finished = std::find_if(m_finished.begin(), m_finished.end(),
        [&](const FinishedChange& change) { return change.changeId == call.changeId; });
    if (finished == m_finished.end())
        return std::nullopt;
    if (finished->contentDigest != call.contentDigest)
        return problemAnswer(reused);
    return withVersion(jsonAnswer(200,
                           { { "changed", true }, { "repeated", true }, { "version", finished->version },
                               { "change_id", call.changeId } }),
        finished->version);
}

void AdminChanges::finish(const PendingChange& pending, const Result<ConfigurationVersion>& result, EffectList& effects)
{
    AdminAnswer answer;
    if (!isError(result)) {
        const ConfigurationVersion version = valueOf(result);
        Json body = pending.answer;
        body["version"] = version;
        answer = withVersion(jsonAnswer(200, body), version);
        if (!pending.call.changeId.empty())
            m_finished.push_back({ pending.call.changeId, pending.call.contentDigest, version });
        if (m_finished.size() > maximumFinished)
            m_finished.pop_front();
    } else if (errorOf(result).kind == ErrorKind::Conflict) {
        answer = conflictAnswer(errorOf(result).message, m_configuration.accepted().version);
    } else if (errorOf(result).kind == ErrorKind::Unavailable) {
        answer
            = problemAnswer(errorOf(result), "", "nothing was changed; repeat the request when the store is reachable");
        answer.headers.emplace_back("Retry-After", "5");
    } else if (errorOf(result).kind == ErrorKind::Timeout) {
        const bool isGrant = pending.answer.contains("key");
        answer = problemAnswer(errorOf(result), "",
            isGrant ? "the change may have taken effect; list the keys, remove the one with this label if it is there, "
                      "and grant again"
                    : "the change may have taken effect; read the resource, or repeat the request with X-Change-Id: "
                    + pending.answer["change_id"].get<std::string>());
    } else {
        answer
            = problemAnswer(errorOf(result), "", "nothing was changed; correct the fault that the message describes");
    }
    record(pending.call, answer, effects);
    effects.emplace_back(SendWholeResponse { pending.call.id, answer.status, answer.headers, answer.body });
}

} // namespace Catkinwell
