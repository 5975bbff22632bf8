#include "fleet/CallerLoad.h"

#include <catkinwell/core/RandomGenerator.h>

namespace Catkinwell::Testing {

namespace {

    using namespace std::chrono_literals;

    // The minimum time between orders of two hosts to one engine.
    constexpr Duration minimumHolderGap = 3s;

    constexpr auto repeatingPatience = 2s;
    // How long callers read on beyond the time that they stated.
    constexpr auto lateAnswerTime = 1s;
    constexpr auto pauseBetweenRequests = 15ms;
    constexpr unsigned eventsPerStream = 5;
    // Time in which the caller notices that its stream broke.
    constexpr auto pauseBeforeResumption = 100ms;

    // Returns whether the status guarantees that the request did not run.
    bool guaranteesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

    // Returns the software version that the first event of an answer states; empty if there is no event.
    std::string versionOf(const CallerRequest& request)
    {
        const std::string before = "data: " + request.id + " ";
        const std::size_t start = request.answer.body.find(before);
        if (start == std::string::npos)
            return "";
        const std::size_t end = request.answer.body.find('\n', start);
        return request.answer.body.substr(start + before.size(), end - start - before.size());
    }

    std::string expectedBody(const CallerRequest& request)
    {
        if (request.path != "/note/")
            return "answer to " + request.id;
        std::string events;
        for (unsigned event = std::min(request.lastEvent + 1, eventsPerStream); event <= eventsPerStream; ++event)
            events += "id: " + std::to_string(event) + "\ndata: " + request.id + " " + versionOf(request) + "\n\n";
        return events;
    }

    // Returns the number of complete events of an answer.
    unsigned eventsOf(const std::string& body)
    {
        unsigned events = 0;
        for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", end + 2))
            ++events;
        return events;
    }

    // An answer that broke off holds the beginning of the expected one.
    bool hasExpectedBody(const CallerRequest& request)
    {
        const std::string expected = expectedBody(request);
        if (request.path != "/note/" || request.answer.complete)
            return !request.answer.complete || request.answer.body == expected;
        return expected.starts_with(request.answer.body);
    }

    void checkVersions(const std::vector<CallerRequest>& requests, std::vector<std::string>& broken)
    {
        std::map<std::string, std::string> versions;
        for (const CallerRequest& request : requests) {
            if (request.path == "/note/" && request.resumes.empty())
                versions[request.id] = versionOf(request);
        }
        for (const CallerRequest& request : requests) {
            const std::string version = versionOf(request);
            if (!request.resumes.empty() && !version.empty() && version != versions[request.resumes])
                broken.push_back("the stream of " + request.resumes + " began at " + versions[request.resumes]
                    + " and goes on at " + version);
        }
    }

    void checkHolders(const EndpointHistory& records, std::vector<std::string>& broken)
    {
        std::map<std::string, ReceivedOrder> last;
        for (const ReceivedOrder& order : records.orders) {
            const auto former = last.find(order.endpoint);
            if (former != last.end() && former->second.holder != order.holder
                && order.at - former->second.at < minimumHolderGap)
                broken.push_back("orders of " + former->second.holder + " and " + order.holder + " to " + order.endpoint
                    + " are "
                    + std::to_string(
                        std::chrono::duration_cast<std::chrono::milliseconds>(order.at - former->second.at).count())
                    + " ms apart");
            last[order.endpoint] = order;
        }
    }

} // namespace

HttpCall callOf(
    const CallerRequest& request, std::uint16_t port, const std::string& model, std::chrono::milliseconds patience)
{
    HttpCall call { port, "POST", request.path + request.id,
        { { "Host", "test.example" }, { "Catkinwell-Request-Id", request.id },
            { "Catkinwell-Deadline-Ms", std::to_string(patience.count()) },
            { "Authorization", "Bearer key-" + request.account } },
        "body of " + request.id, patience + lateAnswerTime };
    if (request.path == "/note/")
        call.headers["Catkinwell-Model"] = model;
    if (!request.resumes.empty()) {
        call.headers["Resumes"] = request.resumes;
        call.headers["Last-Event-Id"] = std::to_string(request.lastEvent);
    }
    return call;
}

CallerLoad::CallerLoad(GatewayFleet& fleet, std::size_t callers, std::uint64_t seed, std::chrono::milliseconds patience)
    : m_fleet(fleet)
    , m_patience(patience)
    , m_requests(callers)
{
    for (std::size_t i = 0; i < callers; ++i)
        m_threads.emplace_back([this, i, seed] { run(i, seed * 1000 + i); });
}

CallerLoad::~CallerLoad() { stop(); }

void CallerLoad::run(std::size_t caller, std::uint64_t seed)
{
    RandomGenerator random(seed);
    const char* const paths[] { "/order/", "/order/", "/read/", "/note/", "/note/" };
    const char* const models[] { "m1", "m2", "m3", "m4" };
    for (unsigned number = 0; !m_isStopping; ++number) {
        CallerRequest request;
        request.id = "c" + std::to_string(caller) + "-" + std::to_string(number);
        request.path = paths[random.below(5)];
        request.account = random.unit() < 0.5 ? "a" : "b";
        request.host = random.below(m_fleet.hostCount());
        request.sentAt = SystemClock().monotonicNow();
        const char* const model = models[random.below(4)];
        request.answer = send(callOf(request, m_fleet.callerPort(request.host), model, m_patience));
        m_requests[caller].push_back(std::move(request));
        resume(caller, model, random.below(m_fleet.hostCount()));
        std::this_thread::sleep_for(pauseBetweenRequests);
    }
}

// Takes up the caller's last stream if it broke after an event.
void CallerLoad::resume(std::size_t caller, const std::string& model, std::size_t host)
{
    const CallerRequest& last = m_requests[caller].back();
    const unsigned events = eventsOf(last.answer.body);
    if (last.path != "/note/" || last.answer.status != 200 || last.answer.complete || events == 0)
        return;
    CallerRequest next;
    next.id = last.id + "-again";
    next.path = last.path;
    next.account = last.account;
    next.host = host;
    next.resumes = last.id;
    next.lastEvent = events;
    std::this_thread::sleep_for(pauseBeforeResumption);
    next.sentAt = SystemClock().monotonicNow();
    next.answer = send(callOf(next, m_fleet.callerPort(next.host), model, m_patience));
    m_requests[caller].push_back(std::move(next));
}

std::vector<CallerRequest> CallerLoad::stop()
{
    m_isStopping = true;
    for (std::thread& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
    std::vector<CallerRequest> all;
    for (const auto& list : m_requests)
        all.insert(all.end(), list.begin(), list.end());
    return all;
}

RepeatingCaller::RepeatingCaller(
    GatewayFleet& fleet, std::string path, std::chrono::milliseconds pause, std::uint64_t seed)
    : m_fleet(fleet)
    , m_path(std::move(path))
    , m_thread([this, pause, seed] { run(pause, seed); })
{
}

RepeatingCaller::~RepeatingCaller() { stop(); }

void RepeatingCaller::run(std::chrono::milliseconds pause, std::uint64_t seed)
{
    RandomGenerator random(seed);
    while (!m_isStopping) {
        CallerRequest request;
        request.id = "again-" + std::to_string(seed) + "-" + std::to_string(m_requests.size());
        request.path = m_path;
        request.account = "a";
        request.host = random.below(m_fleet.hostCount());
        request.sentAt = SystemClock().monotonicNow();
        HttpCall call = callOf(request, m_fleet.callerPort(request.host), "m1", repeatingPatience);
        call.target = m_path;
        call.body = "the same body";
        if (m_path.starts_with("/note/"))
            call.headers["Catkinwell-Model"] = "m1";
        request.answer = send(call);
        m_requests.push_back(std::move(request));
        std::this_thread::sleep_for(pause);
    }
}

std::vector<CallerRequest> RepeatingCaller::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
    return m_requests;
}

std::vector<std::string> findViolations(
    const std::vector<CallerRequest>& requests, const EndpointHistory& records, GatewayFleet& fleet)
{
    std::vector<std::string> broken;
    std::map<std::string, std::vector<Execution>> executions;
    for (const Execution& execution : records.executions)
        executions[execution.request].push_back(execution);
    for (const CallerRequest& request : requests) {
        const std::vector<Execution>& runs = executions[request.id];
        const std::string name = request.path + request.id + " (status " + std::to_string(request.answer.status) + ")";
        if (request.path == "/order/" && runs.size() > 1)
            broken.push_back(name + " ran " + std::to_string(runs.size()) + " times");
        if (guaranteesNotRun(request.answer.status) && !runs.empty())
            broken.push_back(name + " ran, though its answer says that it did not");
        for (const Execution& run : runs) {
            if (run.account != request.account)
                broken.push_back(name + " of account " + request.account + " ran for \"" + run.account + "\"");
        }
        if (request.answer.status != 200)
            continue;
        if (runs.empty())
            broken.push_back(name + " has an answer, though no endpoint ran it");
        if (!hasExpectedBody(request))
            broken.push_back(name + " has the body \"" + request.answer.body + "\"");
    }
    checkVersions(requests, broken);
    checkHolders(records, broken);
    fleet.onLoop([&fleet, &broken] {
        for (std::size_t i = 0; i < fleet.endpointCount(); ++i) {
            if (FakeEngine* engine = fleet.endpoint(i).engine())
                broken.insert(broken.end(), engine->violations().begin(), engine->violations().end());
        }
    });
    return broken;
}

} // namespace Catkinwell::Testing
