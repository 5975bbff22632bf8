#include "peer/PushConnection.h"
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

// Accepts connections as a receiver of nng does and closes each of them, at once or soon after.
class ClosingPeer {
public:
    ClosingPeer()
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        REQUIRE(listen(m_listener, SOMAXCONN) == 0);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        for (std::thread& thread : m_threads)
            thread = std::thread([this] { run(); });
    }

    ~ClosingPeer()
    {
        shutdown(m_listener, SHUT_RDWR);
        for (std::thread& thread : m_threads)
            thread.join();
        close(m_listener);
    }

    const std::string& address() const { return m_address; }
    unsigned accepted() const { return m_accepted; }

private:
    void run()
    {
        // The receiver's greeting: protocol 0x51.
        constexpr std::array<unsigned char, 8> greeting { 0, 'S', 'P', 0, 0, 0x51, 0, 0 };
        while (true) {
            const int connection = accept(m_listener, nullptr, nullptr);
            if (connection < 0)
                return;
            const unsigned number = ++m_accepted;
            send(connection, greeting.data(), greeting.size(), MSG_NOSIGNAL);
            if (number % 2 == 0)
                std::this_thread::sleep_for(std::chrono::microseconds(number * 37 % 20000));
            const linger reset { 1, 0 };
            if (number % 3 != 0)
                setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            close(connection);
        }
    }

    int m_listener;
    std::string m_address;
    std::atomic<unsigned> m_accepted = 0;
    std::array<std::thread, 4> m_threads;
};

} // namespace

// Guards against a process that ends because nng sends on a connection that was closed while it was established.
TEST_CASE("Connections that peers close at any moment are replaced")
{
    constexpr std::size_t connectionCount = 120;
    constexpr auto duration = 6s;
    ClosingPeer peer;
    const SystemClock clock;
    std::vector<std::unique_ptr<PushConnection>> connections(connectionCount);
    const std::string frame(300, 'x');
    unsigned lost = 0;
    for (const MonotonicTime end = clock.monotonicNow() + duration; clock.monotonicNow() < end;) {
        for (auto& connection : connections) {
            const MonotonicTime now = clock.monotonicNow();
            if (connection && connection->shouldClose(now)) {
                ++lost;
                connection.reset();
            }
            if (!connection)
                connection = PushConnection::open(peer.address(), 64, now);
            REQUIRE(connection);
            connection->send(frame, now);
        }
        std::this_thread::sleep_for(5ms);
    }
    INFO("accepted " << peer.accepted() << ", lost " << lost);
    CHECK(lost > connectionCount);
}
