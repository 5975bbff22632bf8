#include "process/EndpointLinks.h"

namespace Catkinwell::Testing {

namespace {

    constexpr Duration pollInterval = std::chrono::milliseconds(2);

} // namespace

EndpointLinks::EndpointLinks(const std::vector<std::uint16_t>& targetPorts)
{
    for (const std::uint16_t port : targetPorts)
        m_proxies.push_back(std::make_unique<FaultProxy>(m_loop, port));
    m_loop.callEvery(pollInterval, [this] { applyChange(); });
    m_thread = std::thread([this] { m_loop.run(); });
}

EndpointLinks::~EndpointLinks()
{
    m_isStopping = true;
    m_thread.join();
}

void EndpointLinks::setState(std::size_t link, const std::string& caller, LinkState state)
{
    const Change change { link, caller, state };
    m_change = &change;
    while (m_change.load())
        std::this_thread::sleep_for(pollInterval);
}

void EndpointLinks::applyChange()
{
    if (const Change* change = m_change.load()) {
        m_proxies[change->link]->setStateFor(change->caller, change->state);
        m_change = nullptr;
    }
    if (m_isStopping)
        m_loop.stop();
}

} // namespace Catkinwell::Testing
