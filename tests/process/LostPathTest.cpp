#include "process/FleetFixture.h"
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <set>
#include <thread>

using namespace Catkinwell::Testing;
using Json = nlohmann::json;

namespace {

constexpr std::size_t cutHost = 0;
constexpr std::size_t otherHost = 2;
constexpr int rounds = 8;
// From this time after the cut on, its callers must be served.
constexpr std::chrono::milliseconds recoveryTime { 3000 };

struct LostPathCase {
    const char* name;
    LinkState state;
    // Whether only the plain service is out of reach, or all endpoints.
    bool isServiceOnly;
    // How many hosts lose their links, the first ones.
    std::size_t hosts;
    // Whether the links break one after the other, with requests between them.
    bool isGradual = false;
};

struct Outcomes {
    int sent = 0;
    int served = 0;
    int quarantined = 0;
    std::string failures;

    std::string text() const { return std::to_string(served) + " of " + std::to_string(sent); }
    void add(const HttpAnswer& answer)
    {
        ++sent;
        const bool isServed
            = answer.status == 200 && answer.complete && answer.body.find("\"error\"") == std::string::npos;
        served += isServed ? 1 : 0;
        quarantined += answer.status == 422 ? 1 : 0;
        if (!isServed)
            failures += std::to_string(answer.status) + " " + answer.body.substr(0, 160) + "\n";
    }
};

// Three hosts whose links to the endpoints can break. Each round sends the same sound requests, so that a host which
// takes its broken links for crashes would refuse them.
class LostPathFixture {
public:
    LostPathFixture()
        : m_fleet(options())
    {
        for (std::size_t host = 0; host < 3; ++host)
            REQUIRE(send(m_fleet.completion("notes", "warm up", false, host)).status == 200);
    }

    void cut(const LostPathCase& test)
    {
        for (std::size_t host = 0; host < test.hosts; ++host) {
            if (test.isServiceOnly)
                m_fleet.setServiceLink(host, test.state);
            else if (test.isGradual)
                cutGradually(host, test.state);
            else
                m_fleet.setEndpointLinks(host, test.state);
        }
    }

    void heal(const LostPathCase& test)
    {
        for (std::size_t host = 0; host < test.hosts; ++host)
            m_fleet.setEndpointLinks(host, LinkState::Open);
    }

    // One of each kind of request: plain, streamed, a keyed order and a lookup.
    Outcomes sendRound(std::size_t host)
    {
        const std::string order = "order " + std::to_string(++m_orders);
        std::vector<HttpCall> calls { m_fleet.completion("notes", "a question", false, host),
            m_fleet.completion("notes", "a question", true, host), m_fleet.order(order, "key-" + order, host),
            { m_fleet.callerPort(host), "GET", "/stock/1" } };
        Outcomes outcomes;
        for (HttpCall& call : calls)
            call.headers["X-Request-Deadline-Ms"] = "2000";
        for (const HttpAnswer& answer : sendTogether(calls))
            outcomes.add(answer);
        return outcomes;
    }

    Outcomes sendRounds(std::size_t host, int count)
    {
        Outcomes all;
        for (int i = 0; i < count; ++i) {
            const Outcomes round = sendRound(host);
            all.sent += round.sent;
            all.served += round.served;
            all.quarantined += round.quarantined;
            all.failures += round.failures;
        }
        return all;
    }

    bool ranTwice() const
    {
        std::set<std::string> bodies;
        const Json executions = m_fleet.serviceExecutions();
        for (const Json& execution : executions) {
            const std::string body = execution["body"].get<std::string>();
            if (!body.empty() && !bodies.insert(body).second)
                return true;
        }
        return false;
    }

private:
    static FleetOptions options()
    {
        FleetOptions options;
        options.hosts = 3;
        options.hasEndpointLinks = true;
        return options;
    }

    // The endpoints that are still in reach answer between two breaks, as they would if the others had died.
    void cutGradually(std::size_t host, LinkState state)
    {
        for (std::size_t endpoint = 0; endpoint < m_fleet.endpointLinkCount(); ++endpoint) {
            m_fleet.setEndpointLink(host, endpoint, state);
            sendRounds(host, 3);
        }
    }

    FleetFixture m_fleet;
    int m_orders = 0;
};

} // namespace

// Guards against callers that are refused because the host which they reached has lost its links to the endpoints.
TEST_CASE("A serving process without a path to endpoints has its callers served")
{
    const auto test = GENERATE(values<LostPathCase>({
        { "silent", LinkState::Silent, false, 1 },
        { "reset", LinkState::Refused, false, 1 },
        { "new connections silent", LinkState::SilentWhenNew, false, 1 },
        { "new connections reset", LinkState::RefusedWhenNew, false, 1 },
        { "the plain service alone", LinkState::Refused, true, 1 },
        { "two hosts, reset", LinkState::Refused, false, 2 },
        { "reset one after the other", LinkState::Refused, false, 1, true },
    }));
    LostPathFixture fixture;
    fixture.cut(test);
    const auto cutAt = std::chrono::steady_clock::now();
    int quarantined = 0;
    while (std::chrono::steady_clock::now() - cutAt < recoveryTime)
        quarantined += fixture.sendRounds(cutHost, 1).quarantined + fixture.sendRounds(otherHost, 1).quarantined;
    const Outcomes cut = fixture.sendRounds(cutHost, rounds);
    const Outcomes other = fixture.sendRounds(otherHost, rounds);
    quarantined += cut.quarantined + other.quarantined;
    fixture.heal(test);
    std::this_thread::sleep_for(recoveryTime);
    const Outcomes after = fixture.sendRounds(cutHost, 2);
    std::vector<std::string> broken;
    if (3 * cut.served * other.sent < 2 * other.served * cut.sent)
        broken.push_back("the host without a path served " + cut.text() + ", another one " + other.text());
    if (quarantined > 0)
        broken.push_back(std::to_string(quarantined) + " sound requests were quarantined");
    if (after.served != after.sent)
        broken.push_back("after the cut " + after.text() + " were served");
    if (fixture.ranTwice())
        broken.emplace_back("an order ran twice");
    INFO("broken links: " << test.name << "\n" << cut.failures << after.failures);
    CHECK(broken == std::vector<std::string> {});
}

// Guards against streams that are cut because the host that serves them for another one is stopped.
TEST_CASE("A planned stop of a host completes the requests that it serves for another host")
{
    FleetOptions options;
    options.hosts = 2;
    options.hasEndpointLinks = true;
    options.tokenMilliseconds = 500;
    FleetFixture fleet(options);
    for (std::size_t host = 0; host < 2; ++host)
        REQUIRE(send(fleet.completion("notes", "warm up", false, host)).status == 200);
    fleet.setEndpointLinks(cutHost, LinkState::Refused);
    const HttpCall stream = fleet.completion("notes", "a long answer", true, cutHost);
    REQUIRE(eventually([&] { return send(stream).status == 200; }, recoveryTime));
    std::future<HttpAnswer> answer = std::async(std::launch::async, [&stream] { return send(stream); });
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    fleet.host(1).signal(SIGTERM);
    const HttpAnswer received = answer.get();
    INFO(received.status << " " << received.body);
    CHECK(received.status == 200);
    CHECK(received.complete);
    CHECK(received.body.find("[DONE]") != std::string::npos);
    CHECK(fleet.host(1).waitForExit(std::chrono::seconds(20)) == 0);
}
