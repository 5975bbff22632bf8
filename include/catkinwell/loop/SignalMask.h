#pragma once

namespace Catkinwell {

// Keeps the signal until passHeldSignal(), so that it cannot end the process before it is handled. Threads that start
// afterwards keep it as well.
void holdSignal(int signalNumber);
// Delivers the signal, also one that has arrived meanwhile. EventLoop::onSignal() calls this once it handles the
// signal.
void passHeldSignal(int signalNumber);

} // namespace Catkinwell
