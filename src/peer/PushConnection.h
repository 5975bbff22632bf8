#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Error.h>
#include <catkinwell/peer/PeerAuthenticator.h>
#include <memory>
#include <mutex>
#include <nng/nng.h>
#include <optional>

namespace Catkinwell {

// One nng push socket that dials one peer and sends without blocking. It carries one connection: after this has broken,
// isLost() holds and nothing is sent any more. A push socket of nng may keep a pointer to a pipe that ended while the
// pipe became ready to send, and would use it for the next message or when another pipe becomes ready.
// Not thread safe.
class PushConnection {
public:
    // Returns nullptr if the address cannot be used or a limit of the process is reached.
    static std::unique_ptr<PushConnection> open(const std::string& address, int sendBufferMessages, MonotonicTime now);
    ~PushConnection();
    PushConnection(const PushConnection&) = delete;
    PushConnection& operator=(const PushConnection&) = delete;

    // Puts the frame into nng's bounded send buffer. Returns the reason if the frame was dropped. The frames in the
    // buffer are lost with the connection.
    std::optional<PeerDropReason> send(std::string_view frame, MonotonicTime now);

    // Whether the connection should be closed, because it is lost, because its buffer has been full for long or because
    // it has reached its maximum age and is unused.
    bool shouldClose(MonotonicTime now) const;
    // Whether the connection broke after it was established.
    bool isLost() const;
    MonotonicTime openedAt() const { return m_openedAt; }
    MonotonicTime lastUse() const { return m_lastUse; }

private:
    PushConnection(nng_socket socket, MonotonicTime now);

    // What nng reported of the socket's pipes.
    struct PipeState {
        // Held while a frame is handed to nng, which frees a pipe only after it has reported its end.
        std::mutex mutex;
        bool wasEstablished = false;
        bool isLost = false;
    };

    // Called on threads of nng with a PipeState.
    static void pipeChanged(nng_pipe, nng_pipe_ev, void* context);

    nng_socket m_socket;
    std::shared_ptr<PipeState> m_pipe = std::make_shared<PipeState>();
    MonotonicTime m_openedAt;
    MonotonicTime m_lastUse;
    std::optional<MonotonicTime> m_fullSince;
};

} // namespace Catkinwell
