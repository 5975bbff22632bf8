#include <catkinwell/loop/EventLoop.h>

#include <catkinwell/loop/SignalMask.h>
#include <catkinwell/loop/Timeval.h>
#include <csignal>
#include <event2/event.h>
#include <list>
#include <stdexcept>

namespace Catkinwell {

struct EventLoop::Registration {
    sigc::slot<void()> slot;
    event* handle = nullptr;
};

struct EventLoop::Registrations {
    // A pending callLater(). It stores its position in the list, from which it is removed before the call.
    struct OneShot {
        Registrations* owner = nullptr;
        sigc::slot<void()> slot;
        event* handle = nullptr;
        std::list<OneShot>::iterator position;
    };

    static void call(evutil_socket_t, short, void* context)
    {
        auto* shot = static_cast<OneShot*>(context);
        const sigc::slot<void()> slot = std::move(shot->slot);
        event_free(shot->handle);
        shot->owner->oneShots.erase(shot->position);
        slot();
    }

    std::list<std::unique_ptr<Registration>> entries;
    std::list<OneShot> oneShots;
};

EventLoop::EventLoop()
    : m_base(event_base_new())
    , m_registrations(std::make_unique<Registrations>())
{
    // A write to a connection that the peer has closed then fails with an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    if (!m_base)
        throw std::runtime_error("libevent found no usable event mechanism on this system");
}

EventLoop::~EventLoop()
{
    for (auto& registration : m_registrations->entries)
        event_free(registration->handle);
    for (auto& shot : m_registrations->oneShots)
        event_free(shot.handle);
    // The slots may own objects that use the event base.
    m_registrations.reset();
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
    auto& shots = m_registrations->oneShots;
    const auto position = shots.emplace(shots.end());
    position->owner = m_registrations.get();
    position->slot = std::move(slot);
    position->position = position;
    position->handle = event_new(m_base, -1, 0, &Registrations::call, &*position);
    event_add(position->handle, &interval);
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
    unblockSignal(signalNumber);
}

void EventLoop::addRegistration(std::unique_ptr<Registration> registration)
{
    m_registrations->entries.push_back(std::move(registration));
}

} // namespace Catkinwell
