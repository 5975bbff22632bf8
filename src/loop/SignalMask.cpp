#include <catkinwell/loop/SignalMask.h>

#include <csignal>

namespace Catkinwell {

namespace {

    void changeMask(int how, int signalNumber)
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, signalNumber);
        pthread_sigmask(how, &signals, nullptr);
    }

} // namespace

void blockSignal(int signalNumber) { changeMask(SIG_BLOCK, signalNumber); }

void unblockSignal(int signalNumber) { changeMask(SIG_UNBLOCK, signalNumber); }

} // namespace Catkinwell
