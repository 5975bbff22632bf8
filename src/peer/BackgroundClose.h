#pragma once

#include <memory>
#include <nng/nng.h>

namespace Catkinwell {

// Closes the socket on a thread of its own and returns at once. nng_close() of a socket with many connections can wait
// for ever, as threads of nng 1.5 then wait for each other; neither the event loop nor the end of the process may wait
// with it. What the socket's callbacks use is kept until the socket is closed. If no thread can be started, both stay.
// Thread safe.
void closeInBackground(nng_socket, std::shared_ptr<const void> usedByCallbacks = nullptr);

} // namespace Catkinwell
