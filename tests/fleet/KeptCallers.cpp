#include "fleet/KeptCallers.h"

#include "fleet/KeptConnection.h"
#include <catkinwell/core/RandomGenerator.h>
#include <optional>

namespace Catkinwell::Testing {

namespace {

    using namespace std::chrono_literals;

    constexpr auto pauseBetweenRequests = 5ms;
    constexpr auto pauseAfterRefusedConnection = 50ms;

} // namespace

KeptCallers::KeptCallers(
    GatewayFleet& fleet, std::size_t callers, std::uint64_t seed, std::chrono::milliseconds patience, KeptHabit habit)
    : m_fleet(fleet)
    , m_patience(patience)
    , m_habit(habit)
    , m_requests(callers)
{
    for (std::size_t i = 0; i < callers; ++i)
        m_threads.emplace_back([this, i, seed] { run(i, seed * 1000 + i); });
}

KeptCallers::~KeptCallers() { stop(); }

void KeptCallers::run(std::size_t caller, std::uint64_t seed)
{
    RandomGenerator random(seed);
    const char* const paths[] { "/order/", "/read/", "/note/" };
    const char* const models[] { "m1", "m2", "m3", "m4" };
    const SystemClock clock;
    const bool stays = m_habit == KeptHabit::StaysUntilGone;
    std::optional<KeptConnection> connection;
    std::size_t host = 0;
    bool isGone = true;
    for (unsigned number = 0; !m_isStopping;) {
        if (!connection || !connection->isOpen()) {
            if (!stays || isGone)
                host = random.below(m_fleet.hostCount());
            connection.emplace(
                m_fleet.callerPort(host), stays ? CloseAnnouncement::Ignored : CloseAnnouncement::Followed);
            isGone = !connection->isOpen();
            if (isGone) {
                std::this_thread::sleep_for(pauseAfterRefusedConnection);
                continue;
            }
        }
        CallerRequest request;
        request.id = (stays ? "g" : "k") + std::to_string(caller) + "-" + std::to_string(number++);
        request.path = paths[random.below(3)];
        request.account = random.unit() < 0.5 ? "a" : "b";
        request.host = host;
        request.mayBeUnread = connection->isCloseAnnounced();
        request.sentAt = clock.monotonicNow();
        const HttpCall call = callOf(request, m_fleet.callerPort(host), models[random.below(4)], m_patience);
        KeptExchange exchange = connection->exchange(call);
        request.endedAt = clock.monotonicNow();
        request.wasClosed = exchange.end == ExchangeEnd::Closed;
        request.answer = std::move(exchange.answer);
        if (exchange.end != ExchangeEnd::NotSent)
            m_requests[caller].push_back(std::move(request));
        std::this_thread::sleep_for(pauseBetweenRequests);
    }
}

std::vector<CallerRequest> KeptCallers::stop()
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

} // namespace Catkinwell::Testing
