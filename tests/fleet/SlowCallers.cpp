#include "fleet/SlowCallers.h"

namespace Catkinwell::Testing {

namespace {

    using namespace std::chrono_literals;

    constexpr auto pauseAfterRefusedConnection = 50ms;
    constexpr auto readInterval = 10ms;
    // How long callers read on beyond the time that they stated.
    constexpr auto lateAnswerTime = 1s;
    constexpr std::uint64_t shallowest = 8;
    constexpr std::uint64_t depthSpread = 72;
    constexpr std::uint64_t slowest = 60;
    constexpr std::uint64_t paceSpread = 240;
    constexpr std::uint64_t smallestBuffer = 1024;
    constexpr std::uint64_t bufferSpread = 8192;

    SlowHabits drawHabits(RandomGenerator& random)
    {
        SlowHabits habits;
        habits.depth = shallowest + random.below(depthSpread);
        habits.pace = slowest + random.below(paceSpread);
        habits.receiveBuffer = static_cast<int>(smallestBuffer + random.below(bufferSpread));
        habits.isPlain = random.unit() < 0.5;
        return habits;
    }

} // namespace

SlowCallers::SlowCallers(GatewayFleet& fleet, std::size_t callers, std::uint64_t seed,
    std::chrono::milliseconds patience, std::optional<SlowHabits> habits)
    : m_fleet(fleet)
    , m_patience(patience)
    , m_habits(habits)
{
    for (std::size_t i = 0; i < callers; ++i) {
        m_callers.push_back({ "s" + std::to_string(i) + "-", RandomGenerator(seed * 1000 + i) });
        m_threads.emplace_back([this, &caller = m_callers.back()] { run(caller); });
    }
}

SlowCallers::~SlowCallers() { stop(); }

// Writes as many requests as the caller keeps under way.
void SlowCallers::fill(Caller& caller, PipelinedConnection& connection, std::size_t host, const SlowHabits& habits)
{
    const char* const paths[] { "/order/", "/read/", "/note/" };
    const char* const models[] { "m1", "m2", "m3", "m4" };
    while (!m_isStopping && connection.mayWrite() && connection.pending() < habits.depth) {
        CallerRequest request;
        request.id = caller.name + std::to_string(caller.number++);
        request.path = paths[caller.random.below(habits.isPlain ? 2 : 3)];
        request.account = caller.random.unit() < 0.5 ? "a" : "b";
        request.host = host;
        request.sentAt = SystemClock().monotonicNow();
        const char* const model = models[caller.random.below(4)];
        const HttpCall call = callOf(request, m_fleet.callerPort(host), model, m_patience);
        connection.write(std::move(request), call);
    }
}

void SlowCallers::useConnection(Caller& caller)
{
    const std::size_t host = caller.random.below(m_fleet.hostCount());
    const SlowHabits habits = m_habits ? *m_habits : drawHabits(caller.random);
    PipelinedConnection connection(m_fleet.callerPort(host), habits.receiveBuffer);
    if (!connection.isOpen())
        std::this_thread::sleep_for(pauseAfterRefusedConnection);
    while (connection.isOpen() && (!m_isStopping || connection.pending() > 0)) {
        fill(caller, connection, host, habits);
        std::this_thread::sleep_for(readInterval);
        connection.read(habits.pace);
        const bool isWaiting = connection.isOpen() && connection.pending() > 0;
        if (isWaiting && SystemClock().monotonicNow() > connection.waitsSince() + m_patience + lateAnswerTime)
            connection.giveUp();
        for (CallerRequest& request : connection.takeEnded())
            caller.requests.push_back(std::move(request));
    }
}

void SlowCallers::run(Caller& caller)
{
    while (!m_isStopping)
        useConnection(caller);
}

std::vector<CallerRequest> SlowCallers::stop()
{
    m_isStopping = true;
    for (std::thread& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
    std::vector<CallerRequest> all;
    for (const Caller& caller : m_callers)
        all.insert(all.end(), caller.requests.begin(), caller.requests.end());
    return all;
}

} // namespace Catkinwell::Testing
