#include <catkinwell/admin/AdminApi.h>

#include <admin/AdminAuthenticator.h>
#include <admin/AdminCall.h>
#include <admin/AdminChanges.h>
#include <admin/AdminReads.h>
#include <algorithm>
#include <charconv>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;
    using Answer = std::optional<AdminAnswer>;

    // Whether the path contains the identifier of an object.
    enum class TargetRule {
        None,
        Required,
    };

    std::uint64_t fingerprintOf(const std::string& text)
    {
        std::uint64_t fingerprint = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), fingerprint, 16);
        return result.ec == std::errc() && result.ptr == text.data() + text.size() ? fingerprint : 0;
    }

    AdminAnswer getOnly()
    {
        return problemAnswer(
            AdminProblem { 405, "method_not_allowed", "this resource supports only GET", "method", "use GET" });
    }

    Json plannedChange(const std::string& path, const Json& before, const Json& after)
    {
        return { { "dry_run", true },
            { "changes", Json::array({ { { "path", path }, { "old", before }, { "new", after } } }) } };
    }

} // namespace

struct AdminApi::State {
    using Handler = Answer (State::*)(const AdminCall&, EffectList&);

    struct Operation {
        std::string_view resource;
        std::string_view method;
        TargetRule target;
        AdminRole role;
        Handler handler;
    };

    State(AdminApiSettings settings, AdminDependencies dependencies)
        : needs(dependencies)
        , authenticator(std::move(settings.credentials), settings.maximumFailuresPerWindow, settings.failureWindow)
        , changes(dependencies.configuration, settings.maximumPendingChanges, settings.changeTimeout)
    {
    }

    Answer read(const AdminCall& call, EffectList&) { return answerRead(call, needs, changes.audit()); }
    Answer putDocument(const AdminCall& call, EffectList& effects)
    {
        return changes.submit(call, replaceDocument, effects);
    }
    Answer putDefaults(const AdminCall& call, EffectList& effects)
    {
        return changes.submit(call, replaceDefaults, effects);
    }
    Answer putItem(const AdminCall& call, EffectList& effects) { return changes.submit(call, putSectionItem, effects); }
    Answer removeItem(const AdminCall& call, EffectList& effects)
    {
        return changes.submit(call, removeSectionItem, effects);
    }
    Answer addException(const AdminCall& call, EffectList& effects)
    {
        return changes.submit(call, putException, effects);
    }
    Answer deleteException(const AdminCall& call, EffectList& effects)
    {
        return changes.submit(call, removeException, effects);
    }
    Answer grant(const AdminCall& call, EffectList& effects)
    {
        return changes.submit(
            call,
            [this](const AdminCall& grantCall, const FleetConfiguration& accepted) {
                return grantKey(grantCall, accepted, needs.secrets);
            },
            effects);
    }
    Answer deleteKey(const AdminCall& call, EffectList& effects) { return changes.submit(call, removeKey, effects); }
    Answer revoke(const AdminCall& call, EffectList& effects);
    Answer drain(const AdminCall& call, EffectList& effects) { return setDraining(call, true, effects); }
    Answer undrain(const AdminCall& call, EffectList& effects) { return setDraining(call, false, effects); }
    Answer setDraining(const AdminCall& call, bool draining, EffectList& effects);
    Answer release(const AdminCall& call, EffectList& effects);

    Answer answerMonitor(const RequestArrived& request, MonotonicTime now) const;
    Answer answer(const RequestArrived& request, MonotonicTime now, WallTime wallNow, EffectList& effects);
    Answer dispatch(const AdminCall& call, EffectList& effects);

    static const std::vector<Operation>& operations();

    AdminDependencies needs;
    AdminAuthenticator authenticator;
    AdminChanges changes;
};

const std::vector<AdminApi::State::Operation>& AdminApi::State::operations()
{
    using enum TargetRule;
    using enum AdminRole;
    static const std::vector<Operation> table = [] {
        std::vector<Operation> operations {
            { "configuration", "GET", None, Read, &State::read },
            { "configuration", "PUT", None, Operate, &State::putDocument },
            { "defaults", "GET", None, Read, &State::read },
            { "defaults", "PUT", None, Operate, &State::putDefaults },
            { "exceptions", "GET", None, Read, &State::read },
            { "exceptions", "GET", Required, Read, &State::read },
            { "exceptions", "PUT", Required, Operate, &State::addException },
            { "exceptions", "DELETE", Required, Operate, &State::deleteException },
            { "keys", "GET", None, Read, &State::read },
            { "keys", "GET", Required, Read, &State::read },
            { "keys", "POST", None, GrantKeys, &State::grant },
            { "keys", "DELETE", Required, GrantKeys, &State::deleteKey },
            { "revocations", "POST", None, GrantKeys, &State::revoke },
            { "drains", "GET", None, Read, &State::read },
            { "drains", "PUT", Required, Operate, &State::drain },
            { "drains", "DELETE", Required, Operate, &State::undrain },
            { "quarantine", "GET", None, Read, &State::read },
            { "quarantine", "DELETE", Required, Operate, &State::release },
            { "status", "GET", Required, Read, &State::read },
            { "explain", "GET", Required, Read, &State::read },
            { "report", "GET", None, Read, &State::read },
            { "audit", "GET", None, Read, &State::read },
        };
        for (const std::string_view section :
            { "accounts", "models", "adapters", "endpoints", "routes", "evacuations" }) {
            operations.push_back({ section, "GET", None, Read, &State::read });
            operations.push_back({ section, "GET", Required, Read, &State::read });
            operations.push_back({ section, "PUT", Required, Operate, &State::putItem });
            operations.push_back({ section, "DELETE", Required, Operate, &State::removeItem });
        }
        return operations;
    }();
    return table;
}

Answer AdminApi::State::revoke(const AdminCall& call, EffectList& effects)
{
    if (!call.body.is_object() || call.body.size() != 1 || !call.body.contains("key") || !call.body["key"].is_string())
        return problemAnswer(invalidRequest("key", "the body must be an object with only the field key",
            "send the label, at least 8 digits of the digest, or all 64 digits of a key that this host does not know"));
    std::string digest = call.body["key"].get<std::string>();
    const auto found = findKeyDigest(needs.configuration.accepted(), digest);
    const bool isWholeDigest = digest.size() == 64 && digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (const auto* known = std::get_if<std::string>(&found))
        digest = *known;
    else if (!isWholeDigest)
        return problemAnswer(std::get<AdminProblem>(found));
    if (call.dryRun)
        return jsonAnswer(200, plannedChange("/keys/" + digest, "valid", "revoked"));
    needs.configuration.revokeKeyLocally(digest, call.now, effects);
    return jsonAnswer(200,
        { { "revoked", digest },
            { "notice",
                "The key is revoked on this host now, and on other hosts when they receive the message about it; "
                "remove it from the configuration as well." } });
}

Answer AdminApi::State::setDraining(const AdminCall& call, bool draining, EffectList& effects)
{
    const EndpointId endpoint(call.target);
    const auto current = needs.drains.draining();
    const bool isDraining = std::find(current.begin(), current.end(), endpoint) != current.end();
    if (draining && !needs.configuration.accepted().endpoints.contains(endpoint))
        return problemAnswer(notFound(call));
    if (call.dryRun)
        return jsonAnswer(200, plannedChange("/drains/" + call.target, isDraining, draining));
    const Status status = needs.drains.setDraining(endpoint, draining, call.reason, call.now, effects);
    if (isError(status))
        return problemAnswer(errorOf(status), "path", "check the endpoint with GET /admin/v1/status/endpoints");
    return jsonAnswer(
        200, { { "endpoint", call.target }, { "draining", draining }, { "changed", isDraining != draining } });
}

Answer AdminApi::State::release(const AdminCall& call, EffectList& effects)
{
    const std::uint64_t fingerprint = fingerprintOf(call.target);
    const auto entries = needs.quarantine.quarantined();
    const bool known = std::any_of(entries.begin(), entries.end(),
        [fingerprint](const QuarantinedRequest& entry) { return entry.fingerprint == fingerprint; });
    if (!known)
        return problemAnswer(notFound(call));
    if (call.dryRun)
        return jsonAnswer(200, plannedChange("/quarantine/" + call.target, "refused", "admitted"));
    const Status status = needs.quarantine.release(fingerprint, call.now, effects);
    if (isError(status))
        return problemAnswer(errorOf(status), "path", "list the entries with GET /admin/v1/quarantine");
    return jsonAnswer(200, { { "released", call.target } });
}

Answer AdminApi::State::answerMonitor(const RequestArrived& request, MonotonicTime now) const
{
    if (request.path != "/healthz" && request.path != "/readyz")
        return std::nullopt;
    if (request.method != "GET" && request.method != "HEAD")
        return getOnly();
    if (request.path == "/healthz")
        return textAnswer(200, "ok\n");
    const std::string reason = needs.readiness.reasonNotReady(now);
    return reason.empty() ? textAnswer(200, "ready\n") : textAnswer(503, "not ready: " + reason + "\n");
}

Answer AdminApi::State::answer(const RequestArrived& request, MonotonicTime now, WallTime wallNow, EffectList& effects)
{
    if (!request.rejection.empty())
        return problemAnswer(invalidRequest("", request.rejection, "send a well-formed HTTP request"));
    if (auto monitor = answerMonitor(request, now))
        return monitor;
    const AdminCredential* who = authenticator.find(request.keyDigest);
    if (!who) {
        const std::string remedy = "send the header Authorization: Bearer with a configured token";
        if (authenticator.countFailure(now, request.path, effects))
            return problemAnswer(
                AdminProblem { 401, "unauthorized", "the request has no valid token", "Authorization", remedy });
        return problemAnswer(
            AdminProblem { 429, "limit_reached", "too many requests without a valid token", "Authorization", remedy });
    }
    if (!isPermitted(*who, AdminRole::Read))
        return problemAnswer(AdminProblem { 403, "forbidden", "the token has no role", "Authorization",
            "assign a role to the token in the process settings" });
    if (request.path == "/metrics") {
        if (request.method != "GET")
            return getOnly();
        AdminAnswer metrics { 200, { { "Content-Type", "text/plain; version=0.0.4; charset=utf-8" } }, {} };
        metrics.body = needs.metrics.renderText();
        return metrics;
    }
    if (!request.path.starts_with(adminPathPrefix))
        return problemAnswer(AdminProblem { 404, "not_found", "the path does not exist", "path",
            "use /metrics, /healthz, /readyz or a resource under /admin/v1" });
    const auto call = parseAdminCall(request, *who, now, wallNow);
    if (const auto* problem = std::get_if<AdminProblem>(&call))
        return problemAnswer(*problem);
    return dispatch(std::get<AdminCall>(call), effects);
}

Answer AdminApi::State::dispatch(const AdminCall& call, EffectList& effects)
{
    const Operation* found = nullptr;
    std::string methods;
    const TargetRule rule = call.target.empty() ? TargetRule::None : TargetRule::Required;
    for (const Operation& operation : operations()) {
        if (operation.resource != call.resource || operation.target != rule)
            continue;
        methods.append(methods.empty() ? "" : ", ").append(operation.method);
        if (operation.method == call.method)
            found = &operation;
    }
    if (methods.empty())
        return problemAnswer(AdminProblem { 404, "not_found", "the path does not exist", "path",
            "see docs/api.md for the resources; most need the form resource or resource/identifier" });
    if (!found) {
        AdminAnswer answer = problemAnswer(AdminProblem { 405, "method_not_allowed",
            "the method " + call.method + " is not supported for this resource", "method", "use " + methods });
        answer.headers.emplace_back("Allow", methods);
        return answer;
    }
    const bool isWrite = found->method != "GET";
    Answer answer;
    if (!isPermitted(call.who, found->role))
        answer = problemAnswer(
            AdminProblem { 403, "forbidden", "the token lacks the role " + std::string(nameOf(found->role)),
                "Authorization", "use a token with this role" });
    else if (isWrite && call.reason.empty())
        answer = problemAnswer(invalidRequest("X-Audit-Reason", "a change needs a reason",
            "give the reason in the header X-Audit-Reason or the field reason"));
    else
        answer = (this->*found->handler)(call, effects);
    if (isWrite && answer && !call.dryRun)
        changes.record(call, *answer, effects);
    return answer;
}

AdminApi::AdminApi(AdminApiSettings settings, AdminDependencies dependencies)
    : m_state(std::make_unique<State>(std::move(settings), dependencies))
{
}

AdminApi::~AdminApi() = default;

void AdminApi::handle(const AdminRequestArrived& event, MonotonicTime now, WallTime wallNow, EffectList& effects)
{
    const Answer answer = m_state->answer(event.request, now, wallNow, effects);
    if (answer)
        effects.emplace_back(SendWholeResponse { event.request.id, answer->status, answer->headers, answer->body });
}

void AdminApi::poll(MonotonicTime now, EffectList& effects) { m_state->changes.poll(now, effects); }

std::size_t AdminApi::pendingChanges() const { return m_state->changes.pending(); }

const AuditLog& AdminApi::audit() const { return m_state->changes.audit(); }

} // namespace Catkinwell
