#include "fleet/FaultChecks.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// Whose answers a row breaks on their way to the hosts.
enum class Sender {
    PlainEndpoint,
    Engine,
    // Host 1, which serves the requests of host 0.
    Host,
    Store,
};

struct InvalidCase {
    const char* name;
    std::vector<Sender> senders;
    std::string text;
    std::string replacement;
};

constexpr std::size_t plainEndpoints = 3;
constexpr auto soundTime = 500ms;
constexpr auto brokenTime = 2s;
// Time in which hosts return to what was broken.
constexpr auto recoveryTime = 1s;

FaultProxy& linkOf(GatewayFleet& fleet, Sender sender)
{
    switch (sender) {
    case Sender::PlainEndpoint:
        return fleet.endpointLink(0);
    case Sender::Engine:
        return fleet.endpointLink(plainEndpoints);
    case Sender::Host:
        return fleet.relayLink(1);
    case Sender::Store:
        break;
    }
    return fleet.storeLink(0);
}

void replaceAnswers(
    GatewayFleet& fleet, const std::vector<Sender>& senders, const std::string& text, const std::string& replacement)
{
    fleet.onLoop([&] {
        for (const Sender sender : senders)
            linkOf(fleet, sender).setReplacement(text, replacement);
    });
}

bool hasLoggedInvalidResponse(GatewayFleet& fleet)
{
    for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
        if (fleet.process(host).output().find("\"name\":\"response_invalid\"") != std::string::npos)
            return true;
    }
    return false;
}

// Returns what callers got of broken answers.
std::vector<std::string> findPassedOn(const std::vector<CallerRequest>& requests)
{
    std::vector<std::string> passedOn;
    for (const CallerRequest& request : requests) {
        // The caller's own reader takes no status beyond these.
        if (request.answer.status != 200 && request.answer.status < 400)
            passedOn.push_back(request.id + " got status " + std::to_string(request.answer.status));
        for (const auto& [name, value] : request.answer.headers) {
            if (name.find_first_of(" \t") != std::string::npos)
                passedOn.push_back(request.id + " got the field \"" + name + "\"");
        }
    }
    return passedOn;
}

} // namespace

// Guards against broken answers of endpoints, of hosts that serve for others, and of the store, that a host passes on
// or acts on.
TEST_CASE("No part of an invalid answer reaches callers, and the other endpoints and hosts serve")
{
    using enum Sender;
    const auto test = GENERATE(values<InvalidCase>({
        { "status of endpoints", { PlainEndpoint, Engine }, "HTTP/1.1 200", "HTTP/1.1 000" },
        { "name of a field of endpoints", { PlainEndpoint, Engine },
            "Catkinwell-Request-Id:", "Catkinwell-Request Id:" },
        { "chunks of an engine's streams", { Engine }, "\n\n\r\n", "\n\nXX" },
        { "last chunk of an engine's streams", { Engine }, "0\r\n\r\n", "0\r\n\r!" },
        { "status of a host", { Host }, "HTTP/1.1 200", "HTTP/1.1 000" },
        { "name of a field of a host", { Host }, "Relay-Outcome:", "Relay Outcome:" },
        { "status of the store", { Store }, "HTTP/1.1 200", "HTTP/1.1 000" },
    }));
    INFO(test.name);
    GatewayFleet fleet({ 2, plainEndpoints, 4, 5 });
    fleet.waitUntilConnected();
    CallerLoad load(fleet, 12, 31);
    std::this_thread::sleep_for(soundTime);
    replaceAnswers(fleet, test.senders, test.text, test.replacement);
    if (test.senders.front() == Host)
        fleet.setPath(0, LinkState::Refused);
    std::this_thread::sleep_for(brokenTime);
    const bool hasLogged = hasLoggedInvalidResponse(fleet);
    replaceAnswers(fleet, test.senders, "", "");
    fleet.setPath(0, std::nullopt);
    std::this_thread::sleep_for(recoveryTime);
    const auto requests = load.stop();
    const auto served = static_cast<std::size_t>(std::count_if(
        requests.begin(), requests.end(), [](const CallerRequest& request) { return request.answer.status == 200; }));
    for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
        const auto allEnded = [&fleet, host] {
            const RequestAccounts accounts = fleet.accounts(host, "after the load");
            return accounts.read > 0 && accounts.read == accounts.ended;
        };
        CHECK(eventually(allEnded, 3s));
    }
    INFO(served << " of " << requests.size() << " requests served");
    CHECK(findPassedOn(requests) == std::vector<std::string> {});
    CHECK(findViolations(requests, fleet.records(), fleet) == std::vector<std::string> {});
    CHECK(served * 2 > requests.size());
    CHECK(hasLogged);
}
