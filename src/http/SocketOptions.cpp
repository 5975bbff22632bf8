#include "http/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Catkinwell {

namespace {

    constexpr int keepAliveIdleSeconds = 2;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 2;
    void setOption(int socket, int level, int option, int value)
    {
        setsockopt(socket, level, option, &value, sizeof(value));
    }

} // namespace

void setConnectionOptions(int socket, Duration longestSilence)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    // Bounds an idle connection as well, whatever the number of probes.
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(millisecondsOf(longestSilence)));
}

void resetOnClose(int socket)
{
    const linger immediately { 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
}

void closeInOrder(int socket)
{
    const linger byDefault { 0, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &byDefault, sizeof(byDefault));
}

} // namespace Catkinwell
