#include "requests/RequestIntake.h"

#include <catkinwell/core/Digest.h>
#include <catkinwell/requests/RequestFlow.h>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view modelsPath = "/v1/models";
    constexpr int lowestPriority = 0;
    constexpr int highestPriority = 9;
    constexpr Duration shortestDeadline = std::chrono::milliseconds(1);

    // The list of the models, or one of them.
    bool isModelsPath(const std::string& path)
    {
        return path == modelsPath || path.starts_with(std::string(modelsPath) + '/');
    }

    std::optional<std::int64_t> parseInteger(const std::string& text)
    {
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    Json modelJson(const ModelSettings& model)
    {
        return { { "id", model.id.value }, { "object", "model" }, { "created", 0 }, { "owned_by", model.pool } };
    }

} // namespace

bool isCompletionPath(const std::string& path) { return path == "/v1/completions" || path == "/v1/chat/completions"; }

void RequestFlow::handle(const RequestArrived& arrived, MonotonicTime now, EffectList& effects)
{
    if (!arrived.rejection.empty()) {
        const bool tooLarge = arrived.rejection.starts_with("the body has");
        refuse(arrived.id, AccountId(),
            { tooLarge ? ApiErrorCode::BodyTooLarge : ApiErrorCode::InvalidRequest, arrived.rejection }, effects);
        return;
    }
    if (answerBuiltIn(arrived, effects))
        return;
    if (m_shuttingDown) {
        refuse(arrived.id, AccountId(), { ApiErrorCode::ShuttingDown, "this host is shutting down" }, effects);
        return;
    }
    Intake intake;
    intake.request = std::make_unique<ActiveRequest>();
    intake.request->id = arrived.id;
    intake.request->arrivedAt = now;
    const RouteSettings* route = isCompletionPath(arrived.path) ? nullptr : findRoute(arrived.path);
    if (!route && !isCompletionPath(arrived.path) && !isModelsPath(arrived.path)) {
        refuse(arrived.id, AccountId(), { ApiErrorCode::UnknownRoute, "no route serves the path " + arrived.path },
            effects);
        return;
    }
    intake.open = route && route->access == RouteAccess::Open;
    if (!intake.open && !authenticate(arrived, intake, effects))
        return;
    if (isModelsPath(arrived.path) && !route) {
        answerModels(arrived, effects);
        return;
    }
    const bool prepared
        = route ? prepareServiceRequest(arrived, intake, *route, effects) : prepareCompletion(arrived, intake, effects);
    if (!prepared || !readLimits(arrived, intake, now, effects))
        return;
    ActiveRequest& request = *intake.request;
    if (isQuarantined(request, now)) {
        refuse(request.id, request.account,
            { ApiErrorCode::RequestQuarantined, "this request crashed the endpoints that ran it" }, effects);
        return;
    }
    m_retries.requestStarted(now);
    // The host that serves it counts a relayed request.
    if (!request.model.value.empty() && !needsRelay(request))
        ++m_arrivals[request.model];
    m_deadlines.emplace(request.deadline, request.id);
    m_requests.emplace(request.id, std::move(intake.request));
    reserve(request, now, effects);
}

bool RequestFlow::answerBuiltIn(const RequestArrived& arrived, EffectList& effects)
{
    if (arrived.path != "/healthz" && arrived.path != "/readyz")
        return false;
    const bool ready = arrived.path == "/healthz" || !m_shuttingDown;
    effects.push_back(SendWholeResponse {
        arrived.id, ready ? 200 : 503, { { "Content-Type", "text/plain" } }, ready ? "ok\n" : "shutting down\n" });
    return true;
}

bool RequestFlow::authenticate(const RequestArrived& arrived, Intake& intake, EffectList& effects)
{
    const auto& keys = m_modules.configuration.effective().keys;
    // The lookup compares digests, so its timing reveals nothing about the key. The match is confirmed in constant
    // time.
    const auto found = keys.find(arrived.keyDigest);
    if (found == keys.end() || !equalInConstantTime(found->second.sha256Hex, arrived.keyDigest)) {
        effects.push_back(LogEntry { LogEvent::AuthenticationFailed,
            { { "request", std::to_string(arrived.id.value) },
                { "presented", arrived.keyDigest.empty() ? "no key" : "unknown key" } } });
        effects.push_back(RecordMetric { Metric::AuthenticationFailuresTotal, "caller" });
        refuse(arrived.id, AccountId(),
            { ApiErrorCode::InvalidApiKey,
                arrived.keyDigest.empty() ? "the request has no API key" : "the API key is not known" },
            effects);
        return false;
    }
    intake.request->account = found->second.account;
    intake.request->keyDigest = arrived.keyDigest;
    return true;
}

bool RequestFlow::prepareCompletion(const RequestArrived& arrived, Intake& intake, EffectList& effects)
{
    ActiveRequest& request = *intake.request;
    const FleetConfiguration& configuration = m_modules.configuration.effective();
    if (arrived.method != "POST") {
        refuse(arrived.id, request.account,
            { ApiErrorCode::MethodNotAllowed, "completions must be requested with POST" }, effects);
        return false;
    }
    const auto parsed = parseCompletionRequest(arrived.body, [&configuration](const std::string& name) {
        const auto known = configuration.models.find(ModelId(name));
        return known == configuration.models.end() ? ModelSettings().defaultMaxTokens : known->second.defaultMaxTokens;
    });
    if (std::holds_alternative<ApiError>(parsed)) {
        refuse(arrived.id, request.account, std::get<ApiError>(parsed), effects);
        return false;
    }
    const auto& completion = std::get<CompletionRequest>(parsed);
    const auto model = configuration.models.find(ModelId(completion.model));
    if (model == configuration.models.end()) {
        refuse(arrived.id, request.account,
            { ApiErrorCode::ModelNotFound, "the model \"" + completion.model.substr(0, 100) + "\" does not exist",
                RunOutcome::NotRun, "model" },
            effects);
        return false;
    }
    request.model = model->first;
    request.pool = model->second.pool;
    request.method = "POST";
    request.target = arrived.path;
    request.headers = arrived.headers;
    request.body = completion.engineBody;
    request.stream = completion.stream;
    request.prefixHash = completion.prefixHash;
    request.fingerprint = stableHash(request.account.value + '\n' + std::to_string(completion.contentHash));
    request.promptParts = completion.promptParts;
    request.promptParts.insert(request.fingerprint);
    const auto bytesPerToken = std::max<std::size_t>(1, model->second.bytesPerToken);
    request.promptReservation = static_cast<TokenCount>((completion.promptBytes + bytesPerToken - 1) / bytesPerToken);
    request.reservedTokens = request.promptReservation + completion.maxTokens * completion.choices;
    if (completion.stream)
        request.filter = std::make_unique<StreamFilter>(!completion.wantsStreamUsage);
    return true;
}

bool RequestFlow::prepareServiceRequest(
    const RequestArrived& arrived, Intake& intake, const RouteSettings& route, EffectList&)
{
    ActiveRequest& request = *intake.request;
    request.pool = route.pool;
    request.method = arrived.method;
    request.target = arrived.path + (arrived.query.empty() ? "" : "?" + arrived.query);
    request.headers = arrived.headers;
    request.body = arrived.body;
    request.idempotent = route.idempotent;
    request.idempotencyKey = route.idempotent ? "" : arrived.idempotencyKey;
    request.reservedTokens = intake.open ? 0 : route.cost;
    request.fingerprint = stableHash(request.account.value + '\n' + request.target + '\n' + arrived.body);
    request.promptParts = { request.fingerprint };
    return true;
}

bool RequestFlow::readLimits(const RequestArrived& arrived, Intake& intake, MonotonicTime now, EffectList& effects)
{
    ActiveRequest& request = *intake.request;
    Duration allowed = m_modules.configuration.effective().defaults.requestDeadline;
    if (!arrived.deadlineHeader.empty()) {
        const auto milliseconds = parseInteger(arrived.deadlineHeader);
        if (!milliseconds || *milliseconds < 1 || *milliseconds > 86'400'000) {
            refuse(arrived.id, request.account,
                { ApiErrorCode::InvalidRequest, "X-Request-Deadline-Ms must be an integer from 1 to 86400000" },
                effects);
            return false;
        }
        allowed = std::min<Duration>(allowed, std::chrono::milliseconds(*milliseconds));
    }
    request.deadline = now + std::max(allowed, shortestDeadline);
    request.priority = defaultRequestPriority;
    if (!arrived.priorityHeader.empty()) {
        const auto priority = parseInteger(arrived.priorityHeader);
        if (!priority || *priority < lowestPriority || *priority > highestPriority) {
            refuse(arrived.id, request.account,
                { ApiErrorCode::InvalidRequest, "X-Request-Priority must be an integer from 0 (low) to 9 (high)" },
                effects);
            return false;
        }
        request.priority = static_cast<int>(*priority);
    }
    return true;
}

const RouteSettings* RequestFlow::findRoute(const std::string& path) const
{
    const RouteSettings* longest = nullptr;
    for (const RouteSettings& route : m_modules.configuration.effective().routes) {
        if (path.starts_with(route.pathPrefix) && (!longest || route.pathPrefix.size() > longest->pathPrefix.size()))
            longest = &route;
    }
    return longest;
}

void RequestFlow::answerModels(const RequestArrived& arrived, EffectList& effects)
{
    const auto& models = m_modules.configuration.effective().models;
    const HeaderList headers { { "Content-Type", "application/json" } };
    if (arrived.method != "GET" && arrived.method != "HEAD") {
        refuse(arrived.id, AccountId(), { ApiErrorCode::MethodNotAllowed, "models must be listed with GET" }, effects);
        return;
    }
    if (arrived.path == modelsPath) {
        Json list = Json::array();
        for (const auto& [id, model] : models)
            list.push_back(modelJson(model));
        effects.push_back(
            SendWholeResponse { arrived.id, 200, headers, Json { { "object", "list" }, { "data", list } }.dump() });
        return;
    }
    const std::string name = arrived.path.substr(std::min(arrived.path.size(), modelsPath.size() + 1));
    const auto found = models.find(ModelId(name));
    if (found == models.end()) {
        refuse(arrived.id, AccountId(),
            { ApiErrorCode::ModelNotFound, "the model \"" + name.substr(0, 100) + "\" does not exist" }, effects);
        return;
    }
    effects.push_back(SendWholeResponse { arrived.id, 200, headers, modelJson(found->second).dump() });
}

} // namespace Catkinwell
