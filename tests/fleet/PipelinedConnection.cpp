#include "fleet/PipelinedConnection.h"

#include "fleet/KeptConnection.h"
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace Catkinwell::Testing {

PipelinedConnection::PipelinedConnection(std::uint16_t port, int receiveBuffer)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    // Before the connection is made, as the window is agreed on then.
    setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    if (!connectToLoopback(m_socket, port))
        close();
}

PipelinedConnection::~PipelinedConnection() { close(); }

void PipelinedConnection::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

void PipelinedConnection::write(CallerRequest request, const HttpCall& call)
{
    const std::string text = textOf(call);
    // A failed write says nothing about answers that have arrived before; read() tells how the connection ends.
    m_hasWriteFailed = send(m_socket, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size());
    if (!m_hasWriteFailed)
        m_pending.push_back(std::move(request));
}

void PipelinedConnection::read(std::size_t size)
{
    std::string bytes(size, '\0');
    const ssize_t received = recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (received <= 0)
        endAll(true);
    else
        consume({ bytes.data(), static_cast<std::size_t>(received) });
}

void PipelinedConnection::consume(std::string_view bytes)
{
    while (!bytes.empty() && !m_pending.empty()) {
        bytes.remove_prefix(m_reader.consume(bytes));
        if (m_reader.hasFailed()) {
            endAll(true);
            return;
        }
        if (m_reader.hasEnded())
            endFirst();
    }
}

bool PipelinedConnection::headRead(MessageHead head)
{
    HttpAnswer& answer = m_pending.front().answer;
    answer.status = head.status;
    answer.headers = { head.headers.begin(), head.headers.end() };
    m_isCloseAnnounced = !head.keepAlive || head.endsWithConnection;
    return true;
}

void PipelinedConnection::endFirst()
{
    CallerRequest& first = m_pending.front();
    first.answer.complete = true;
    first.endedAt = SystemClock().monotonicNow();
    m_ended.push_back(std::move(first));
    m_pending.pop_front();
    if (!m_pending.empty())
        m_pending.front().firstAt = m_ended.back().endedAt;
    m_reader.restart();
}

void PipelinedConnection::endAll(bool wasClosed)
{
    // A host answers one request after the other, so only the first one that has no answer must have been read.
    bool mayBeUnread = m_isCloseAnnounced && !m_reader.hasBegun();
    for (CallerRequest& request : m_pending) {
        request.endedAt = SystemClock().monotonicNow();
        request.wasClosed = wasClosed;
        request.mayBeUnread = std::exchange(mayBeUnread, true);
        m_ended.push_back(std::move(request));
    }
    m_pending.clear();
    close();
}

void PipelinedConnection::giveUp() { endAll(false); }

} // namespace Catkinwell::Testing
