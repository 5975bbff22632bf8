#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <catkinwell/http/CallerListener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Catkinwell;
using namespace std::chrono_literals;

namespace {

// More than the kernel's buffers of both ends hold.
constexpr std::size_t answerBytes = 12 * 1024 * 1024;
constexpr int receiveBufferBytes = 64 * 1024;

// Answers each request with the same long body.
class LongAnswerFixture {
public:
    explicit LongAnswerFixture(Duration idleTimeout)
        : listener(loop, settingsWith(idleTimeout), 0)
    {
        REQUIRE_FALSE(isError(listener.start()));
        listener.signalRequest().connect([this](const RequestArrived& request) {
            listener.execute(SendWholeResponse { request.id, 200, {}, std::string(answerBytes, 'x') });
        });
    }

    EventLoop loop;
    CallerListener listener;

private:
    static ListenerSettings settingsWith(Duration idleTimeout)
    {
        ListenerSettings settings;
        settings.address = "127.0.0.1:0";
        settings.idleTimeout = idleTimeout;
        return settings;
    }
};

// Sends one request and reads the answer in parts, at its own speed.
class SlowCaller {
public:
    explicit SlowCaller(std::uint16_t port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        REQUIRE(connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        REQUIRE(write(m_socket, request.data(), request.size()) > 0);
    }
    ~SlowCaller() { close(m_socket); }

    // Reads at most this many bytes of what has arrived.
    void read(std::size_t most)
    {
        std::array<char, 64 * 1024> bytes {};
        while (most > 0) {
            const ssize_t size = recv(m_socket, bytes.data(), std::min(most, bytes.size()), MSG_DONTWAIT);
            m_isReset = m_isReset || (size < 0 && errno == ECONNRESET);
            if (size <= 0)
                return;
            m_received += static_cast<std::size_t>(size);
            most -= static_cast<std::size_t>(size);
        }
    }

    std::size_t received() const { return m_received; }
    bool isReset() const { return m_isReset; }

private:
    int m_socket;
    std::size_t m_received = 0;
    bool m_isReset = false;
};

struct SlownessCase {
    const char* what;
    Duration idleTimeout;
    // Time before the first byte is read, and the speed after it.
    Duration pause;
    std::size_t bytesPerStep;
    bool isServed;
};

} // namespace

// Guards against answers that are cut although their callers go on reading them.
TEST_CASE("A caller that reads slowly, or pauses, gets its whole answer")
{
    const auto test = GENERATE(values<SlownessCase>({
        { "pauses for longer than a connection may be silent", 20s, 4s, answerBytes, true },
        { "takes longer than the idle timeout, and reads all the time", 500ms, 0s, 512 * 1024, true },
        { "reads nothing for longer than the idle timeout", 500ms, 2s, answerBytes, false },
    }));
    INFO(test.what);
    constexpr Duration step = 50ms;
    constexpr Duration timeForAll = 4s;
    LongAnswerFixture fixture(test.idleTimeout);
    SlowCaller caller(fixture.listener.port());
    const auto isDone = [&caller] { return caller.isReset() || caller.received() >= answerBytes; };
    fixture.loop.callLater(test.pause, [&] {
        fixture.loop.callEvery(step, [&] {
            caller.read(test.bytesPerStep);
            if (isDone())
                fixture.loop.stop();
        });
    });
    fixture.loop.callLater(test.pause + timeForAll, [&] { fixture.loop.stop(); });
    fixture.loop.run();
    CHECK((caller.received() >= answerBytes) == test.isServed);
}
