#pragma once

#include <nng/nng.h>

namespace Catkinwell {

// Closes the socket on a thread of its own and returns at once. nng_close() of a socket with many connections can wait
// for ever, as threads of nng 1.5 then wait for each other; neither the event loop nor the end of the process may wait
// with it. If no thread can be started, the socket stays open. Thread safe.
void closeInBackground(nng_socket);

} // namespace Catkinwell
