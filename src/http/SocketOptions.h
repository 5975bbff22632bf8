#pragma once

namespace Catkinwell {

// Sends small writes at once and makes the kernel notice a peer that is gone without a word: through keep-alive probes
// on a quiet connection, and through unacknowledged data on a busy one. Thread safe.
void setConnectionOptions(int socket);

// Makes the next close() reset the connection and drop what was not delivered. Thread safe.
void resetOnClose(int socket);

} // namespace Catkinwell
