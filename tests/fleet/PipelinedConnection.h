#pragma once

#include "fleet/CallerLoad.h"
#include "http/MessageReader.h"
#include <deque>

namespace Catkinwell::Testing {

// A connection to 127.0.0.1 with a small receive buffer, on which a caller writes requests without waiting for answers,
// and reads as many bytes at a time as it wants. Not thread safe.
class PipelinedConnection final : private MessageObserver {
public:
    PipelinedConnection(std::uint16_t port, int receiveBuffer);
    ~PipelinedConnection() override;
    PipelinedConnection(const PipelinedConnection&) = delete;
    PipelinedConnection& operator=(const PipelinedConnection&) = delete;

    bool isOpen() const { return m_socket >= 0; }
    // Requests that were written and not answered yet.
    std::size_t pending() const { return m_pending.size(); }
    // Since when the host has had only the first of them to answer. Precondition: pending() > 0.
    MonotonicTime waitsSince() const { return std::max(m_pending.front().sentAt, m_pending.front().firstAt); }
    // Whether no write has failed and no answer has announced that the peer closes the connection.
    bool mayWrite() const { return isOpen() && !m_isCloseAnnounced && !m_hasWriteFailed; }
    // Precondition: isOpen(). A request that could not be written whole is not pending.
    void write(CallerRequest, const HttpCall&);
    // Reads at most that many bytes of those that have arrived. Once the peer has closed the connection and all is
    // read, what is pending ends.
    void read(std::size_t bytes);
    // Ends what is pending without an answer. Its connection was not closed by the peer.
    void giveUp();
    // Returns the requests that have ended since the last call.
    std::vector<CallerRequest> takeEnded() { return std::exchange(m_ended, {}); }

private:
    bool headRead(MessageHead) override;
    void bodyRead(std::string_view data) override { m_pending.front().answer.body += data; }
    void messageEnded() override { }

    void consume(std::string_view);
    void endFirst();
    void endAll(bool wasClosed);
    void close();

    int m_socket = -1;
    std::deque<CallerRequest> m_pending;
    std::vector<CallerRequest> m_ended;
    MessageReader m_reader { MessageReader::Kind::Response, *this };
    bool m_isCloseAnnounced = false;
    bool m_hasWriteFailed = false;
};

} // namespace Catkinwell::Testing
