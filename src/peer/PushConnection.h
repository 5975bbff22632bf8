#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Error.h>
#include <catkinwell/peer/PeerAuthenticator.h>
#include <memory>
#include <nng/nng.h>
#include <optional>

namespace Catkinwell {

// One nng push socket that dials one peer and sends without blocking. Not thread safe.
class PushConnection {
public:
    // Returns nullptr if the address cannot be used or a limit of the process is reached.
    static std::unique_ptr<PushConnection> open(const std::string& address, int sendBufferMessages, MonotonicTime now);
    ~PushConnection();
    PushConnection(const PushConnection&) = delete;
    PushConnection& operator=(const PushConnection&) = delete;

    // Puts the frame into nng's bounded send buffer. Returns the reason if the frame was dropped.
    std::optional<PeerDropReason> send(std::string_view frame, MonotonicTime now);

    // Whether the connection should be closed, because its buffer has been full for long or because it has reached its
    // maximum age and is unused.
    bool shouldClose(MonotonicTime now) const;
    MonotonicTime lastUse() const { return m_lastUse; }

private:
    PushConnection(nng_socket socket, MonotonicTime now);

    nng_socket m_socket;
    MonotonicTime m_openedAt;
    MonotonicTime m_lastUse;
    std::optional<MonotonicTime> m_fullSince;
};

} // namespace Catkinwell
