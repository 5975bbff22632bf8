#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <catkinwell/http/CallerListener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t longBody = 3 * 1024 * 1024;

// Writes the whole request before it reads, as simple clients do. Returns what it received until the connection ended,
// followed by "<reset>" if it did not end in order.
std::string exchangeBlocking(std::uint16_t port, const std::string& request)
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    std::string received;
    if (connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
        for (std::size_t sent = 0; sent < request.size();) {
            const ssize_t size = send(connection, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                break;
            sent += static_cast<std::size_t>(size);
        }
        std::array<char, 4096> bytes {};
        ssize_t size = 0;
        while ((size = recv(connection, bytes.data(), bytes.size(), 0)) > 0)
            received.append(bytes.data(), static_cast<std::size_t>(size));
        received += size < 0 ? "<reset>" : "";
    }
    close(connection);
    return received;
}

struct RefusalCase {
    const char* what;
    std::string head;
    const char* expectedStatus;
};

} // namespace

// Guards against callers that see a broken connection instead of the refusal, because bytes of theirs were still on the
// way when it was closed.
TEST_CASE("A caller that sends its whole request first gets the refusal of a part of it")
{
    const auto test = GENERATE(values<RefusalCase>({
        { "a body over the limit, with a length",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(longBody) + "\r\n\r\n", "413 " },
        { "a head that is not valid", "POST /a HTTP/1.1\r\nHost: h\r\nBad Name: 1\r\n\r\n", "400 " },
        { "a head over the limit", "POST /a HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(40000, 'x'), "431 " },
    }));
    INFO(test.what);
    EventLoop loop;
    ListenerSettings settings;
    settings.address = "127.0.0.1:0";
    settings.maximumBodyBytes = 1024;
    CallerListener listener(loop, settings, 0);
    REQUIRE_FALSE(isError(listener.start()));
    std::string received;
    std::thread caller(
        [&, port = listener.port()] { received = exchangeBlocking(port, test.head + std::string(longBody, 'x')); });
    loop.callLater(2s, [&loop] { loop.stop(); });
    loop.run();
    listener.stopAccepting();
    caller.join();
    INFO(received);
    CHECK(received.find(test.expectedStatus) != std::string::npos);
    CHECK_FALSE(received.ends_with("<reset>"));
}
