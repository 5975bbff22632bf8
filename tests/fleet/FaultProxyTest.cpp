#include "fleet/FaultProxy.h"
#include "process/ProcessHarness.h"
#include <array>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void runFor(EventLoop& loop, Duration duration)
{
    loop.callLater(duration, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace

// Guards against a proxy that itself mixes up the bytes of an answer when a fault ends.
TEST_CASE("Bytes that follow delayed ones do not overtake them")
{
    EventLoop loop;
    const std::uint16_t port = freePort();
    const int server = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in serverAddress = loopback(port);
    REQUIRE(bind(server, reinterpret_cast<const sockaddr*>(&serverAddress), sizeof(serverAddress)) == 0);
    REQUIRE(listen(server, 1) == 0);
    FaultProxy proxy(loop, port);
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in proxyAddress = loopback(proxy.port());
    REQUIRE(connect(client, reinterpret_cast<const sockaddr*>(&proxyAddress), sizeof(proxyAddress)) == 0);
    runFor(loop, 20ms);
    proxy.setState(LinkState::Delayed);
    REQUIRE(write(client, "a", 1) == 1);
    runFor(loop, 50ms);
    proxy.setState(LinkState::Open);
    REQUIRE(write(client, "b", 1) == 1);
    runFor(loop, 500ms);
    const int accepted = accept(server, nullptr, nullptr);
    std::array<char, 8> bytes {};
    CHECK(read(accepted, bytes.data(), bytes.size()) == 2);
    CHECK(std::string(bytes.data()) == "ab");
    for (const int socket : { accepted, client, server })
        close(socket);
}

// Guards against a proxy that itself mixes up the events of a stream, when several wait whose delays end together.
TEST_CASE("Delayed bytes keep their order")
{
    EventLoop loop;
    const std::uint16_t port = freePort();
    const int server = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in serverAddress = loopback(port);
    REQUIRE(bind(server, reinterpret_cast<const sockaddr*>(&serverAddress), sizeof(serverAddress)) == 0);
    REQUIRE(listen(server, 1) == 0);
    FaultProxy proxy(loop, port);
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in proxyAddress = loopback(proxy.port());
    REQUIRE(connect(client, reinterpret_cast<const sockaddr*>(&proxyAddress), sizeof(proxyAddress)) == 0);
    runFor(loop, 20ms);
    proxy.setState(LinkState::Delayed);
    std::string sent;
    for (char letter = 'a'; letter <= 'z'; ++letter) {
        sent += letter;
        REQUIRE(write(client, &letter, 1) == 1);
        runFor(loop, 0ms);
    }
    runFor(loop, 500ms);
    const int accepted = accept(server, nullptr, nullptr);
    std::array<char, 64> bytes {};
    CHECK(read(accepted, bytes.data(), bytes.size()) == static_cast<ssize_t>(sent.size()));
    CHECK(std::string(bytes.data()) == sent);
    for (const int socket : { accepted, client, server })
        close(socket);
}
