#include "PushConnection.h"

#include "peer/BackgroundClose.h"
#include <nng/protocol/pipeline0/push.h>
#include <utility>

namespace Catkinwell {

namespace {

    using namespace std::chrono_literals;

    constexpr nng_duration minimumReconnectMilliseconds = 100;
    constexpr nng_duration maximumReconnectMilliseconds = 3000;
    // An established connection may stop carrying data without an error, so connections older than this are replaced.
    constexpr Duration maximumAge = 120s;
    // Closing discards messages that nng still buffers; after this time without use, an intact connection has sent
    // them.
    constexpr Duration unusedBeforeClose = 1s;
    constexpr Duration maximumFullTime = 3s;

} // namespace

std::unique_ptr<PushConnection> PushConnection::open(
    const std::string& address, int sendBufferMessages, MonotonicTime now)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_push0_open(&socket) != 0)
        return nullptr;
    std::unique_ptr<PushConnection> connection(new PushConnection(socket, now));
    const bool ready = nng_pipe_notify(socket, NNG_PIPE_EV_ADD_PRE, pipeChanged, connection->m_pipe.get()) == 0
        && nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, pipeChanged, connection->m_pipe.get()) == 0
        && nng_socket_set_int(socket, NNG_OPT_SENDBUF, sendBufferMessages) == 0
        && nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, minimumReconnectMilliseconds) == 0
        && nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, maximumReconnectMilliseconds) == 0
        && nng_dial(socket, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK) == 0;
    return ready ? std::move(connection) : nullptr;
}

PushConnection::PushConnection(nng_socket socket, MonotonicTime now)
    : m_socket(socket)
    , m_openedAt(now)
    , m_lastUse(now)
{
}

// nng's threads may still use the state while the socket is closed.
PushConnection::~PushConnection() { closeInBackground(m_socket, m_pipe); }

void PushConnection::pipeChanged(nng_pipe pipe, nng_pipe_ev event, void* context)
{
    auto& state = *static_cast<PipeState*>(context);
    bool isRejected = false;
    {
        const std::lock_guard lock(state.mutex);
        if (event == NNG_PIPE_EV_REM_POST)
            state.isLost = true;
        else
            isRejected = std::exchange(state.wasEstablished, true);
    }
    if (isRejected)
        nng_pipe_close(pipe);
}

bool PushConnection::isLost() const
{
    const std::lock_guard lock(m_pipe->mutex);
    return m_pipe->isLost;
}

std::optional<PeerDropReason> PushConnection::send(std::string_view frame, MonotonicTime now)
{
    m_lastUse = now;
    const std::lock_guard lock(m_pipe->mutex);
    if (m_pipe->isLost)
        return PeerDropReason::SendFailed;
    // nng_send copies the frame and does not change it.
    const int result = nng_send(m_socket, const_cast<char*>(frame.data()), frame.size(), NNG_FLAG_NONBLOCK);
    if (result == 0) {
        m_fullSince.reset();
        return std::nullopt;
    }
    if (result != NNG_EAGAIN)
        return PeerDropReason::SendFailed;
    if (!m_fullSince)
        m_fullSince = now;
    return PeerDropReason::SendBufferFull;
}

bool PushConnection::shouldClose(MonotonicTime now) const
{
    const bool isOld = now - m_openedAt >= maximumAge && now - m_lastUse >= unusedBeforeClose;
    return isLost() || isOld || (m_fullSince && now - *m_fullSince >= maximumFullTime);
}

} // namespace Catkinwell
