#include <catkinwell/emulator/LoadGenerator.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    double millisecondsBetween(MonotonicTime from, MonotonicTime to)
    {
        return std::chrono::duration<double, std::milli>(to - from).count();
    }

    std::string requestBody(const LoadSettings& settings)
    {
        return Json {
            { "model", settings.model }, { "prompt", std::string(settings.promptBytes, 'x') },
            { "max_tokens", settings.maxTokens }, { "stream", settings.stream }
        }.dump();
    }

    Json summary(const std::vector<double>& samples)
    {
        return { { "count", samples.size() }, { "p50", quantile(samples, 0.5) }, { "p95", quantile(samples, 0.95) },
            { "p99", quantile(samples, 0.99) }, { "max", quantile(samples, 1.0) } };
    }

} // namespace

struct LoadGenerator::Request {
    MonotonicTime startedAt {};
    MonotonicTime lastTokenAt {};
    int status = 0;
    std::uint64_t tokens = 0;
    std::string tail;
    bool done = false;
};

double quantile(std::vector<double> samples, double fraction)
{
    if (samples.empty())
        return 0;
    const auto last = static_cast<double>(samples.size() - 1);
    const auto index = static_cast<std::ptrdiff_t>(std::min(last, fraction * static_cast<double>(samples.size())));
    std::nth_element(samples.begin(), samples.begin() + index, samples.end());
    return samples[static_cast<std::size_t>(index)];
}

LoadGenerator::LoadGenerator(EventLoop& loop, HttpClient& client, const Clock& clock, LoadSettings settings)
    : m_loop(loop)
    , m_client(client)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_body(requestBody(m_settings))
{
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::start()
{
    m_startedAt = m_clock.monotonicNow();
    if (m_settings.rate > 0) {
        m_loop.callEvery(std::chrono::milliseconds(1), [this] { launchByRate(); });
        return;
    }
    const std::uint64_t first = std::min<std::uint64_t>(m_settings.concurrency, m_settings.requests);
    for (std::uint64_t i = 0; i < first; ++i)
        launch();
}

void LoadGenerator::launchByRate()
{
    const double elapsed = std::chrono::duration<double>(m_clock.monotonicNow() - m_startedAt).count();
    const auto due = static_cast<std::uint64_t>(elapsed * m_settings.rate);
    while (m_started < std::min(due, m_settings.requests) && m_started - m_ended < m_settings.concurrency)
        launch();
}

void LoadGenerator::launch()
{
    ++m_started;
    auto request = std::make_shared<Request>();
    request->startedAt = m_clock.monotonicNow();
    HttpExchange exchange;
    exchange.address = m_settings.address;
    exchange.method = "POST";
    exchange.target = "/v1/completions";
    exchange.headers = { { "Content-Type", "application/json" }, { "Authorization", "Bearer " + m_settings.key } };
    exchange.body = m_body;
    exchange.silenceTimeout = m_settings.timeout;
    HttpExchangeObserver observer;
    observer.onHead = [request](int status, const HeaderList&) { request->status = status; };
    observer.onData = [this, request](const std::string& data) { noteTokens(*request, data); };
    observer.onFinished = [this, request] {
        const bool complete = request->status == 200 && (!m_settings.stream || request->done);
        finished(request, complete, "status " + std::to_string(request->status));
    };
    observer.onFailed = [this, request](AttemptOutcome, AttemptFailure, const std::string& reason) {
        finished(request, false, reason);
    };
    m_client.start(exchange, std::move(observer));
}

void LoadGenerator::noteTokens(Request& request, std::string_view data)
{
    const MonotonicTime now = m_clock.monotonicNow();
    if (request.tokens == 0 && request.lastTokenAt == MonotonicTime {} && request.status == 200)
        m_result.firstTokenTimes.push_back(millisecondsBetween(request.startedAt, now));
    else if (m_settings.stream && request.status == 200)
        m_result.tokenGaps.push_back(millisecondsBetween(request.lastTokenAt, now));
    request.lastTokenAt = now;
    if (!m_settings.stream)
        return;
    for (std::size_t at = data.find("\"text\""); at != std::string_view::npos; at = data.find("\"text\"", at + 1))
        ++request.tokens;
    request.tail.append(data.substr(data.size() > 64 ? data.size() - 64 : 0));
    request.done = request.tail.find("data: [DONE]") != std::string::npos;
    if (request.tail.size() > 128)
        request.tail.erase(0, request.tail.size() - 64);
}

void LoadGenerator::finished(const std::shared_ptr<Request>& request, bool complete, const std::string& failure)
{
    const MonotonicTime now = m_clock.monotonicNow();
    ++m_ended;
    if (complete) {
        ++m_result.completed;
        m_result.latencies.push_back(millisecondsBetween(request->startedAt, now));
        m_result.tokens += m_settings.stream ? request->tokens : m_settings.maxTokens;
    } else {
        ++m_result.failed;
        ++m_result.failures[failure];
    }
    m_result.seconds = std::chrono::duration<double>(now - m_startedAt).count();
    if (m_ended == m_settings.requests)
        m_loop.stop();
    else if (m_settings.rate <= 0 && m_started < m_settings.requests)
        launch();
}

std::string loadResultToJson(const LoadResult& result)
{
    const double seconds = std::max(result.seconds, 1e-9);
    const Json document { { "completed", result.completed }, { "failed", result.failed },
        { "failures", result.failures }, { "seconds", result.seconds },
        { "requests_per_second", static_cast<double>(result.completed) / seconds },
        { "tokens_per_second", static_cast<double>(result.tokens) / seconds },
        { "latency_ms", summary(result.latencies) }, { "first_byte_ms", summary(result.firstTokenTimes) },
        { "token_gap_ms", summary(result.tokenGaps) } };
    return document.dump(2);
}

} // namespace Catkinwell
