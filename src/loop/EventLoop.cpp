#include <catkinwell/loop/EventLoop.h>

#include <catkinwell/loop/Timeval.h>
#include <csignal>
#include <event2/event.h>
#include <list>
#include <stdexcept>

namespace Catkinwell {

namespace {

    struct OneShot {
        sigc::slot<void()> slot;
    };

} // namespace

struct EventLoop::Registration {
    sigc::slot<void()> slot;
    event* handle = nullptr;
};

struct EventLoop::Registrations {
    std::list<std::unique_ptr<Registration>> entries;
};

EventLoop::EventLoop()
    : m_base(event_base_new())
    , m_registrations(std::make_unique<Registrations>())
{
    // A write to a connection that the peer has closed is an error of that connection.
    std::signal(SIGPIPE, SIG_IGN);
    if (!m_base)
        throw std::runtime_error("libevent found no usable event mechanism on this system");
}

EventLoop::~EventLoop()
{
    for (auto& registration : m_registrations->entries)
        event_free(registration->handle);
    event_base_free(m_base);
}

void EventLoop::run() { event_base_dispatch(m_base); }

void EventLoop::stop() { event_base_loopbreak(m_base); }

void EventLoop::callEvery(Duration period, sigc::slot<void()> slot)
{
    auto registration = std::make_unique<Registration>();
    registration->slot = std::move(slot);
    registration->handle = event_new(
        m_base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* context) { static_cast<Registration*>(context)->slot(); }, registration.get());
    const timeval interval = toTimeval(period);
    event_add(registration->handle, &interval);
    addRegistration(std::move(registration));
}

void EventLoop::callLater(Duration delay, sigc::slot<void()> slot)
{
    const timeval interval = toTimeval(delay);
    auto call = std::make_unique<OneShot>(OneShot { std::move(slot) });
    event_base_once(
        m_base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* context) {
            const std::unique_ptr<OneShot> owned(static_cast<OneShot*>(context));
            owned->slot();
        },
        call.release(), &interval);
}

void EventLoop::onSignal(int signalNumber, sigc::slot<void()> slot)
{
    auto registration = std::make_unique<Registration>();
    registration->slot = std::move(slot);
    registration->handle = evsignal_new(
        m_base, signalNumber,
        [](evutil_socket_t, short, void* context) { static_cast<Registration*>(context)->slot(); }, registration.get());
    event_add(registration->handle, nullptr);
    addRegistration(std::move(registration));
}

void EventLoop::addRegistration(std::unique_ptr<Registration> registration)
{
    m_registrations->entries.push_back(std::move(registration));
}

} // namespace Catkinwell
