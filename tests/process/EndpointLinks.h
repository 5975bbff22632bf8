#pragma once

#include "fleet/FaultProxy.h"
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Catkinwell::Testing {

// Proxies before endpoints, which run on a thread of their own while the test waits for answers. Not thread safe.
class EndpointLinks {
public:
    explicit EndpointLinks(const std::vector<std::uint16_t>& targetPorts);
    ~EndpointLinks();
    EndpointLinks(const EndpointLinks&) = delete;
    EndpointLinks& operator=(const EndpointLinks&) = delete;

    std::uint16_t port(std::size_t link) const { return m_proxies[link]->port(); }
    // Applies to the connections that begin at this IP address. Returns once it is in force.
    void setState(std::size_t link, const std::string& caller, LinkState);

private:
    struct Change {
        std::size_t link = 0;
        std::string caller;
        LinkState state = LinkState::Open;
    };

    void applyChange();

    EventLoop m_loop;
    std::vector<std::unique_ptr<FaultProxy>> m_proxies;
    // A change that the proxies' thread takes over; null if there is none.
    std::atomic<const Change*> m_change = nullptr;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace Catkinwell::Testing
