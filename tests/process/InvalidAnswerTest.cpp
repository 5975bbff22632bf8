#include "http/HeaderText.h"
#include "http/RawSockets.h"
#include "process/FleetFixture.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using Json = nlohmann::json;
using namespace std::chrono_literals;

namespace {

struct InvalidAnswer {
    const char* name;
    std::string bytes;
};

const std::vector<InvalidAnswer>& invalidAnswers()
{
    static const std::string body = "Content-Length: 6\r\n\r\nbroken";
    static const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    static const std::vector<InvalidAnswer> answers {
        { "status 000", "HTTP/1.1 000 OK\r\n" + body },
        { "status 999", "HTTP/1.1 999 OK\r\n" + body },
        { "blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + body },
        { "blank before a colon", "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n" + body },
        { "control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + body },
        { "blank in the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 6\r\n\r\nbroken" },
        { "blank in the name of the encoding",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n" },
        { "control byte in a value", "HTTP/1.1 200 OK\r\nX-Odd: \x01\r\n" + body },
        { "another version", "HTTP/2.0 200 OK\r\n" + body },
        { "an unknown encoding",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n" },
        { "a chunk that is longer than its size", chunkedHead + "6\r\nbroken!\r\n0\r\n\r\n" },
        { "blank in the name of a trailer", chunkedHead + "6\r\nbroken\r\n0\r\nX Odd: 1\r\n\r\n" },
    };
    return answers;
}

const std::string soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

// A plain service that answers a path that ends with a number with that invalid answer, or soundly if it always does,
// and counts these requests.
class PlainService {
public:
    explicit PlainService(bool isSound)
        : m_isSound(isSound)
    {
    }

    std::uint16_t port() const { return m_server.port(); }
    int requests() const { return m_requests; }

private:
    ScriptedServer::Step answerTo(const std::string& head)
    {
        const std::string target = head.substr(0, head.find(" HTTP/"));
        const std::string last = target.substr(target.rfind('/') + 1);
        if (target.find("/stock/") == std::string::npos && target.find("/orders/") == std::string::npos)
            return { "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n" };
        if (last == "sound")
            return { soundAnswer };
        ++m_requests;
        return { m_isSound ? soundAnswer : invalidAnswers().at(std::stoul(last)).bytes };
    }

    bool m_isSound;
    std::atomic<int> m_requests = 0;
    ScriptedServerThread m_server { [this](const std::string& head) { return answerTo(head); } };
};

// Puts the services in the place of the emulated one.
FleetOptions optionsFor(const std::vector<const PlainService*>& services)
{
    FleetOptions options;
    options.engines = 1;
    options.adjust = [services](Json& document) {
        Json endpoints = Json::array();
        for (const Json& endpoint : document["endpoints"]) {
            if (endpoint.value("kind", "") != "service") {
                endpoints.push_back(endpoint);
                continue;
            }
            for (std::size_t i = 0; i < services.size(); ++i) {
                Json copy = endpoint;
                copy["id"] = "desk-" + std::to_string(i);
                copy["address"] = "127.0.0.1:" + std::to_string(services[i]->port());
                endpoints.push_back(copy);
            }
        }
        document["endpoints"] = endpoints;
    };
    return options;
}

HttpAnswer lookUp(const FleetFixture& fleet, const std::string& name)
{
    return send({ fleet.callerPort(), "GET", "/stock/" + name });
}

HttpAnswer order(const FleetFixture& fleet, std::size_t index)
{
    HttpCall call = fleet.order("an order", "key-" + std::to_string(index));
    call.target += "/" + std::to_string(index);
    return send(call);
}

// Waits until the service is tried again after a failure.
bool isServed(const FleetFixture& fleet)
{
    return eventually([&] { return lookUp(fleet, "sound").status == 200; }, 10s);
}

// Checks that nothing of the service's answer reached the caller, and that the refusal is true.
void checkRefused(const HttpAnswer& answer)
{
    CHECK(answer.status == 502);
    CHECK(answer.complete);
    CHECK(Json::parse(answer.body, nullptr, false).is_object());
    CHECK(answer.body.find("\"not_run\"") == std::string::npos);
    CHECK(answer.body.find("broken") == std::string::npos);
    for (const auto& [name, value] : answer.headers)
        CHECK(toLowerCase(name).find("odd") == std::string::npos);
}

} // namespace

// Guards against a broken answer of a service that its caller gets as an answer.
TEST_CASE("An invalid answer of the only endpoint is refused, logged and counted")
{
    PlainService broken(false);
    FleetFixture fleet(optionsFor({ &broken }));
    const bool isOrder = GENERATE(true, false);
    for (std::size_t i = 0; i < invalidAnswers().size(); ++i) {
        REQUIRE(isServed(fleet));
        const int before = broken.requests();
        const HttpAnswer answer = isOrder ? order(fleet, i) : lookUp(fleet, std::to_string(i));
        INFO((isOrder ? "order, " : "lookup, ")
            << invalidAnswers()[i].name << ": " << answer.status << ' ' << answer.body);
        checkRefused(answer);
        CHECK(broken.requests() > before);
        if (isOrder)
            CHECK(broken.requests() == before + 1);
    }
    const std::string log = fleet.host().output();
    CHECK(log.find("\"name\":\"attempt_failed\"") != std::string::npos);
    CHECK(log.find("the peer sent an invalid HTTP response: ") != std::string::npos);
    CHECK(log.find("\"name\":\"response_invalid\"") != std::string::npos);
    const std::string metrics = send(fleet.admin("GET", "/metrics")).body;
    CHECK(metrics.find("invalid_responses_total{peer=\"127.0.0.1:" + std::to_string(broken.port()) + "\"}")
        != std::string::npos);
}

// Guards against an endpoint in trouble whose broken answers reach callers although another one is sound.
TEST_CASE("A lookup whose answer is invalid is served by another endpoint, and an order is not repeated")
{
    PlainService broken(false);
    PlainService sound(true);
    FleetFixture fleet(optionsFor({ &broken, &sound }));
    for (std::size_t i = 0; i < invalidAnswers().size(); ++i) {
        INFO(invalidAnswers()[i].name);
        const HttpAnswer answer = lookUp(fleet, std::to_string(i));
        CHECK(answer.status == 200);
        CHECK(answer.body == "sound");
        const int before = broken.requests() + sound.requests();
        const HttpAnswer ordered = order(fleet, i);
        CHECK(((ordered.status == 200 && ordered.body == "sound") || ordered.status == 502));
        CHECK(broken.requests() + sound.requests() == before + 1);
    }
    CHECK(broken.requests() >= 1);
}
