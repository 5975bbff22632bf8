#pragma once

namespace Catkinwell {

// Blocks the signal in the calling thread, and in threads that it starts afterwards, so that the signal cannot end the
// process before it is handled. Thread safe.
void blockSignal(int signalNumber);
// Unblocks the signal in the calling thread, which gets one that has arrived meanwhile. EventLoop::onSignal() calls
// this once it handles the signal. Thread safe.
void unblockSignal(int signalNumber);

} // namespace Catkinwell
