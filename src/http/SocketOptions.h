#pragma once

namespace Catkinwell {

// Disables Nagle's algorithm and lets the kernel detect a peer that disappeared without closing: by keep-alive probes
// on an idle connection, and by a timeout for unacknowledged data on an active one. Thread safe.
void setConnectionOptions(int socket);

// Makes close() reset the connection and discard undelivered data. Thread safe.
void resetOnClose(int socket);

// Makes close() deliver what was written and end the connection in order, as by default. Thread safe.
void closeInOrder(int socket);

} // namespace Catkinwell
