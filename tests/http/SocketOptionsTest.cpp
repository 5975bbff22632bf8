#include "http/SocketOptions.h"
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Catkinwell;

namespace {

constexpr int millisecondsPerSecond = 1000;
// A peer that answers nothing for so long and then goes on is sound.
constexpr int longestSoundSilence = 2 * millisecondsPerSecond;
// One that is gone is noticed within this time.
constexpr int longestDetection = 5 * millisecondsPerSecond;

int optionOf(int socket, int option)
{
    int value = 0;
    socklen_t size = sizeof(value);
    REQUIRE(getsockopt(socket, IPPROTO_TCP, option, &value, &size) == 0);
    return value;
}

} // namespace

// Guards against connections that break because a sound endpoint falls silent for a moment. The kernel gives up
// unacknowledged data after the user timeout; it gives up an idle connection with the first probe that finds the user
// timeout passed since the last byte, whatever the number of probes.
TEST_CASE("A peer that falls silent for a moment keeps its connections")
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    setConnectionOptions(connection);
    const int userTimeout = optionOf(connection, TCP_USER_TIMEOUT);
    const int firstProbe = optionOf(connection, TCP_KEEPIDLE) * millisecondsPerSecond;
    const int interval = optionOf(connection, TCP_KEEPINTVL) * millisecondsPerSecond;
    CHECK(userTimeout > longestSoundSilence);
    CHECK(userTimeout < longestDetection);
    const int secondProbe = firstProbe + interval;
    const int idleEnd = std::max(secondProbe, userTimeout);
    CHECK(idleEnd > longestSoundSilence);
    CHECK(idleEnd + interval < longestDetection);
    close(connection);
}
