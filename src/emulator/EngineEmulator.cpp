#include <catkinwell/emulator/EngineEmulator.h>

#include "emulator/EmulatedModels.h"
#include "endpoint/EngineProtocol.h"
#include <catkinwell/http/CallerListener.h>
#include <cstdlib>
#include <deque>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint64_t tokensBeforeCrash = 3;

    constexpr std::size_t maximumRecordedExecutions = 200'000;
    const HeaderList jsonHeaders { { "Content-Type", "application/json" } };

    std::string contentOf(const Json& body)
    {
        if (body.contains("prompt") && body["prompt"].is_string())
            return body["prompt"].get<std::string>();
        return body.contains("messages") ? body["messages"].dump() : std::string();
    }

} // namespace

class EngineEmulator::Implementation {
public:
    Implementation(EventLoop& loop, EngineEmulatorSettings settings)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_models(m_settings.memoryBytes)
        , m_listener(loop, listenerSettings(m_settings), 0)
    {
        for (const std::string& model : m_settings.loadedModels)
            m_models.addLoaded(ModelId(model));
        m_listener.signalRequest().connect([this](const RequestArrived& request) { handle(request); });
        m_listener.signalCallerLeft().connect([this](const CallerLeft& left) { cancel(left.id); });
    }

    CallerListener& listener() { return m_listener; }

private:
    struct Generation {
        RequestId id;
        bool chat = false;
        bool stream = false;
        bool includeUsage = false;
        bool truncate = false;
        bool crashLate = false;
        std::string model;
        std::uint64_t promptTokens = 0;
        std::uint64_t wanted = 0;
        std::uint64_t produced = 0;
        std::string text;
    };

    static ListenerSettings listenerSettings(const EngineEmulatorSettings& settings)
    {
        ListenerSettings listener;
        listener.address = settings.address;
        listener.maximumBodyBytes = 16 * 1024 * 1024;
        listener.idleTimeout = std::chrono::seconds(5);
        listener.allowedHeaders = { "content-type", "accept", "x-request-id", "authorization", "x-api-key", "cookie" };
        return listener;
    }

    void handle(const RequestArrived&);
    void answer(RequestId id, int status, const Json& body)
    {
        m_listener.execute(SendWholeResponse { id, status, jsonHeaders, body.dump() });
    }
    void handleRepository(const RequestArrived&);
    void handleCompletion(const RequestArrived&);
    void handleService(const RequestArrived&);
    void handleEmulator(const RequestArrived&);
    void record(const RequestArrived&);
    void admitWaiting();
    void beginGeneration(const std::shared_ptr<Generation>&);
    void step(const std::shared_ptr<Generation>&);
    void emitToken(Generation&);
    void complete(Generation&);
    void cancel(RequestId);
    Json chunk(const Generation&, const std::string& text) const;
    Json usage(const Generation&) const;

    EventLoop& m_loop;
    EngineEmulatorSettings m_settings;
    EmulatedModels m_models;
    CallerListener m_listener;
    std::deque<std::shared_ptr<Generation>> m_waiting;
    std::unordered_map<RequestId, std::shared_ptr<Generation>> m_running;
    std::vector<Json> m_executions;
    bool m_leaving = false;
};

void EngineEmulator::Implementation::handle(const RequestArrived& request)
{
    if (request.path.starts_with("/v2/repository/"))
        handleRepository(request);
    else if (request.path.starts_with("/emulator/"))
        handleEmulator(request);
    else if (request.path == "/v1/completions" || request.path == "/v1/chat/completions")
        handleCompletion(request);
    else
        handleService(request);
}

void EngineEmulator::Implementation::handleRepository(const RequestArrived& request)
{
    if (request.path == engineReportTarget) {
        EndpointReport report;
        report.leaving = m_leaving;
        report.running = static_cast<std::uint32_t>(m_running.size());
        report.waiting = static_cast<std::uint32_t>(m_waiting.size());
        report.capacity = m_settings.capacity;
        m_models.fill(report);
        m_listener.execute(SendWholeResponse { request.id, 200, jsonHeaders, engineReportToJson(report) });
        return;
    }
    auto parsed = parseCommandBody(request.body);
    const auto target = EmulatedModels::parseTarget(request.path);
    if (isError(parsed) || !target) {
        answer(request.id, 400, { { "error", "malformed command" } });
        return;
    }
    PlacementCommand command = takeValue(std::move(parsed));
    command.model = target->first;
    command.action = target->second;
    if (m_settings.fencing == FencingSupport::Enforced && !m_models.acceptFencingToken(command.fencingToken)) {
        answer(request.id, 412, { { "error", "the fencing token is lower than the highest one received" } });
        return;
    }
    const auto refusal = m_models.begin(command);
    if (refusal) {
        answer(request.id, 409, { { "error", *refusal } });
        return;
    }
    const bool load = command.action == PlacementAction::Load;
    const Duration time = !load           ? std::chrono::milliseconds(20)
        : command.baseModel.value.empty() ? m_settings.modelLoadTime
                                          : m_settings.adapterLoadTime;
    m_loop.callLater(time, [this, command, id = request.id] {
        m_models.complete(command);
        answer(id, 200, { { "name", command.model.value } });
    });
}

void EngineEmulator::Implementation::record(const RequestArrived& request)
{
    if (m_executions.size() >= maximumRecordedExecutions)
        return;
    Json headers = Json::object();
    for (const auto& [name, value] : request.headers)
        headers[name] = value;
    m_executions.push_back({ { "path", request.path }, { "query", request.query },
        { "body", request.body.substr(0, 200) }, { "headers", headers }, { "key_digest", request.keyDigest } });
}

void EngineEmulator::Implementation::handleEmulator(const RequestArrived& request)
{
    if (request.path == "/emulator/leave")
        m_leaving = true;
    answer(request.id, 200, { { "executions", m_executions }, { "leaving", m_leaving } });
}

void EngineEmulator::Implementation::handleService(const RequestArrived& request)
{
    record(request);
    if (request.body.find("emulate-crash") != std::string::npos)
        std::_Exit(3);
    if (request.body.find("emulate-silence") != std::string::npos)
        return;
    m_loop.callLater(m_settings.timeToFirstToken, [this, request, number = m_executions.size()] {
        answer(request.id, 200, { { "path", request.path }, { "query", request.query }, { "execution", number } });
    });
}

void EngineEmulator::Implementation::handleCompletion(const RequestArrived& request)
{
    record(request);
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object() || !body.contains("model")) {
        answer(request.id, 400, { { "error", { { "message", "the body is not a completion request" } } } });
        return;
    }
    const std::string content = contentOf(body);
    if (content.find("emulate-crash") != std::string::npos)
        std::_Exit(3);
    if (content.find("emulate-silence") != std::string::npos)
        return;
    auto generation = std::make_shared<Generation>();
    generation->id = request.id;
    generation->chat = request.path == "/v1/chat/completions";
    generation->stream = body.value("stream", false);
    generation->includeUsage = body.contains("stream_options") && body["stream_options"].value("include_usage", false);
    generation->truncate = content.find("emulate-truncation") != std::string::npos;
    generation->crashLate = content.find("emulate-late-crash") != std::string::npos;
    generation->model = body["model"].get<std::string>();
    generation->promptTokens = content.size() / 4 + 1;
    generation->wanted = body.value("max_tokens", std::uint64_t { 16 });
    if (!m_models.isLoaded(ModelId(generation->model))) {
        answer(request.id, 404,
            { { "error", { { "message", "the model is not loaded" }, { "code", "model_not_found" } } } });
        return;
    }
    m_waiting.push_back(std::move(generation));
    admitWaiting();
}

void EngineEmulator::Implementation::admitWaiting()
{
    while (!m_waiting.empty() && m_running.size() < m_settings.capacity) {
        auto generation = m_waiting.front();
        m_waiting.pop_front();
        m_running[generation->id] = generation;
        if (m_settings.timeToFirstToken == Duration::zero())
            beginGeneration(generation);
        else
            m_loop.callLater(m_settings.timeToFirstToken, [this, generation] { beginGeneration(generation); });
    }
}

void EngineEmulator::Implementation::beginGeneration(const std::shared_ptr<Generation>& generation)
{
    if (!m_running.contains(generation->id))
        return;
    if (generation->stream)
        m_listener.execute(SendResponseHead { generation->id, 200, { { "Content-Type", "text/event-stream" } } });
    step(generation);
}

void EngineEmulator::Implementation::step(const std::shared_ptr<Generation>& generation)
{
    if (!m_running.contains(generation->id))
        return;
    const bool allAtOnce = m_settings.tokenInterval == Duration::zero();
    do {
        if (generation->truncate && generation->produced * 2 >= generation->wanted) {
            m_running.erase(generation->id);
            m_listener.execute(AbortResponse { generation->id });
            admitWaiting();
            return;
        }
        if (generation->crashLate && generation->produced >= tokensBeforeCrash)
            std::_Exit(3);
        emitToken(*generation);
    } while (allAtOnce && generation->produced < generation->wanted);
    if (generation->produced >= generation->wanted) {
        complete(*generation);
        return;
    }
    m_loop.callLater(m_settings.tokenInterval, [this, generation] { step(generation); });
}

Json EngineEmulator::Implementation::usage(const Generation& generation) const
{
    return { { "prompt_tokens", generation.promptTokens }, { "completion_tokens", generation.produced },
        { "total_tokens", generation.promptTokens + generation.produced } };
}

Json EngineEmulator::Implementation::chunk(const Generation& generation, const std::string& text) const
{
    Json choice { { "index", 0 }, { "finish_reason", nullptr } };
    if (generation.chat)
        choice["delta"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    return { { "id", "emulated-" + std::to_string(generation.id.value) },
        { "object", generation.chat ? "chat.completion.chunk" : "text_completion" }, { "created", 0 },
        { "model", generation.model }, { "choices", Json::array({ choice }) } };
}

void EngineEmulator::Implementation::emitToken(Generation& generation)
{
    const std::string token = "t" + std::to_string(generation.produced++) + " ";
    if (generation.stream)
        m_listener.execute(SendResponseData { generation.id, "data: " + chunk(generation, token).dump() + "\n\n" });
    else
        generation.text += token;
}

void EngineEmulator::Implementation::complete(Generation& generation)
{
    m_running.erase(generation.id);
    if (generation.stream) {
        if (generation.includeUsage) {
            Json last = chunk(generation, "");
            last["choices"] = Json::array();
            last["usage"] = usage(generation);
            m_listener.execute(SendResponseData { generation.id, "data: " + last.dump() + "\n\n" });
        }
        m_listener.execute(SendResponseData { generation.id, "data: [DONE]\n\n" });
        m_listener.execute(FinishResponse { generation.id });
    } else {
        Json choice { { "index", 0 }, { "finish_reason", "length" } };
        if (generation.chat)
            choice["message"] = { { "role", "assistant" }, { "content", generation.text } };
        else
            choice["text"] = generation.text;
        answer(generation.id, 200,
            { { "id", "emulated-" + std::to_string(generation.id.value) },
                { "object", generation.chat ? "chat.completion" : "text_completion" }, { "created", 0 },
                { "model", generation.model }, { "choices", Json::array({ choice }) },
                { "usage", usage(generation) } });
    }
    admitWaiting();
}

void EngineEmulator::Implementation::cancel(RequestId id)
{
    m_running.erase(id);
    std::erase_if(m_waiting, [id](const auto& generation) { return generation->id == id; });
    admitWaiting();
}

EngineEmulator::EngineEmulator(EventLoop& loop, EngineEmulatorSettings settings)
    : m_implementation(std::make_unique<Implementation>(loop, std::move(settings)))
{
}

EngineEmulator::~EngineEmulator() = default;

Status EngineEmulator::start() { return m_implementation->listener().start(); }

std::uint16_t EngineEmulator::port() const { return m_implementation->listener().port(); }

} // namespace Catkinwell
