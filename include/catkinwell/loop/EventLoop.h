#pragma once

#include <catkinwell/core/Clock.h>
#include <memory>
#include <sigc++/sigc++.h>

struct event_base;

namespace Catkinwell {

// The single libevent loop of a process. All adapters and the reducer run on its
// thread. Not thread safe.
class EventLoop {
public:
    // Makes the process ignore SIGPIPE.
    // Errors: throws std::runtime_error when the operating system has no event mechanism.
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    event_base* base() const { return m_base; }

    // Runs until stop() is called.
    void run();
    void stop();

    // Calls the slot once per period until the loop is destroyed.
    void callEvery(Duration period, sigc::slot<void()> slot);
    // Calls the slot once, after the delay. With a delay of zero it is called after the current callback has returned.
    void callLater(Duration delay, sigc::slot<void()> slot);
    // Calls the slot each time the process receives the signal.
    void onSignal(int signalNumber, sigc::slot<void()> slot);

private:
    struct Registration;

    void addRegistration(std::unique_ptr<Registration>);

    event_base* m_base;
    struct Registrations;
    std::unique_ptr<Registrations> m_registrations;
};

} // namespace Catkinwell
