#include "process/FleetFixture.h"
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Catkinwell::Testing;
using Json = nlohmann::json;

namespace {

constexpr int pollMilliseconds = 20;

// A plain service whose answers have neither a length nor chunks. Like a process that ends, it closes its listening
// socket and its connections in order after an answer; or it goes on.
class UnframedService {
public:
    explicit UnframedService(bool endsAfterAnswer)
        : m_endsAfterAnswer(endsAfterAnswer)
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(listen(m_listener, 16) == 0);
        REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }
    ~UnframedService()
    {
        m_isStopping = true;
        m_thread.join();
    }
    UnframedService(const UnframedService&) = delete;
    UnframedService& operator=(const UnframedService&) = delete;

    std::uint16_t port() const { return m_port; }
    int answers() const { return m_answers; }

private:
    void serve()
    {
        bool hasEnded = false;
        while (!m_isStopping && !hasEnded) {
            pollfd listening { m_listener, POLLIN, 0 };
            if (poll(&listening, 1, pollMilliseconds) <= 0)
                continue;
            const int connection = accept(m_listener, nullptr, nullptr);
            hasEnded = answer(connection) && m_endsAfterAnswer;
            if (hasEnded)
                close(m_listener);
            close(connection);
        }
        if (!hasEnded)
            close(m_listener);
    }

    // Answers one request. Returns whether it was one of a caller.
    bool answer(int connection)
    {
        std::string request(4096, '\0');
        pollfd readable { connection, POLLIN, 0 };
        if (poll(&readable, 1, 1000) <= 0)
            return false;
        request.resize(
            static_cast<std::size_t>(std::max<ssize_t>(0, read(connection, request.data(), request.size()))));
        const bool isOfCaller
            = request.find(" /orders") != std::string::npos || request.find("/stock/") != std::string::npos;
        const std::string text = isOfCaller ? "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart of an answer"
                                            : "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
        m_answers += isOfCaller ? 1 : 0;
        CHECK(send(connection, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
        return isOfCaller;
    }

    bool m_endsAfterAnswer;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<int> m_answers = 0;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

struct UnframedCase {
    bool endsAfterAnswer;
    bool isOrder;
};

} // namespace

// Guards against an answer of a plain service that broke off when the service ended and looks complete to its caller.
TEST_CASE("An answer that ends with its connection is passed on only if its service still runs")
{
    const auto test
        = GENERATE(values<UnframedCase>({ { true, true }, { true, false }, { false, true }, { false, false } }));
    UnframedService service(test.endsAfterAnswer);
    FleetOptions options;
    options.engines = 1;
    options.adjust = [&service](Json& document) {
        for (Json& endpoint : document["endpoints"]) {
            if (endpoint.value("kind", "") == "service")
                endpoint["address"] = "127.0.0.1:" + std::to_string(service.port());
        }
    };
    FleetFixture fleet(options);
    const HttpAnswer answer
        = send(test.isOrder ? fleet.order("an order", "key-1") : HttpCall { fleet.callerPort(), "GET", "/stock/1" });
    INFO((test.isOrder ? "order: " : "lookup: ") << answer.status << ' ' << answer.body);
    CHECK(service.answers() >= 1);
    if (test.endsAfterAnswer) {
        CHECK_FALSE((answer.status == 200 && answer.complete));
        CHECK(answer.status != 0);
    } else {
        CHECK(answer.status == 200);
        CHECK(answer.body == "part of an answer");
    }
}
