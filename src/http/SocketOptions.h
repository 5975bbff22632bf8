#pragma once

#include <catkinwell/core/Clock.h>

namespace Catkinwell {

// A sound peer may fall silent for a second or two and go on.
inline constexpr Duration longestPeerSilence = std::chrono::milliseconds(2500);

// Disables Nagle's algorithm and lets the kernel detect a peer that disappeared without closing: by keep-alive probes
// on an idle connection, and by a timeout for unacknowledged data on an active one. The kernel gives up the connection
// after this time without a sign of the peer, and also when the peer reads nothing for this time while there is
// something to send. Thread safe.
void setConnectionOptions(int socket, Duration longestSilence = longestPeerSilence);

// Makes close() reset the connection and discard undelivered data. Thread safe.
void resetOnClose(int socket);

// Makes close() deliver what was written and end the connection in order, as by default. Thread safe.
void closeInOrder(int socket);

} // namespace Catkinwell
