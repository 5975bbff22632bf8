#include <catkinwell/http/InputBudget.h>

#include "http/InputRejection.h"

namespace Catkinwell {

namespace {

    // What is freed beyond the excess, as a part of the limit, so that the choice is not made again at each read.
    constexpr std::size_t freedPart = 8;
    // The part of all connections that one listener leaves to the others.
    constexpr std::size_t leftPart = 8;

} // namespace

bool InputBudget::admitConnection(std::size_t ofListener)
{
    const std::size_t most = m_limits.connections - m_limits.connections / leftPart;
    if (m_connections < m_limits.connections && ofListener < most)
        return true;
    ++m_counts.connections;
    return false;
}

void InputBudget::enforce(MonotonicTime now)
{
    if (!isFull())
        return;
    const std::vector<InputShare*> shares(m_unfinished.begin(), m_unfinished.end());
    std::vector<const UnfinishedInput*> inputs;
    inputs.reserve(shares.size());
    for (const InputShare* share : shares)
        inputs.push_back(&share->input());
    const std::size_t excess = m_heldBytes + m_otherBytes - m_limits.bytes + m_limits.bytes / freedPart;
    for (const std::size_t index : chooseRejectedInputs(inputs, excess, now)) {
        ++m_counts.requests;
        m_counts.bytes += inputs[index]->heldBytes;
        m_counts.address = inputs[index]->address;
        shares[index]->holder().rejectInput();
    }
}

InputShare::InputShare(std::shared_ptr<InputBudget> budget, InputHolder& holder, std::string address)
    : m_budget(std::move(budget))
    , m_holder(holder)
{
    m_input.address = std::move(address);
    ++m_budget->m_connections;
}

void InputShare::setHeldBytes(std::size_t bytes)
{
    m_budget->m_heldBytes += bytes - m_input.heldBytes;
    m_input.heldBytes = bytes;
}

void InputShare::holdComplete(std::size_t bytes)
{
    if (m_isReleased)
        return;
    setHeldBytes(bytes);
    if (m_isUnfinished)
        m_budget->m_unfinished.erase(this);
    m_isUnfinished = false;
}

void InputShare::holdUnfinished(std::size_t bytes, std::size_t received, MonotonicTime now)
{
    if (m_isReleased)
        return;
    setHeldBytes(bytes);
    if (!m_isUnfinished) {
        m_budget->m_unfinished.insert(this);
        m_input.begunAt = now;
        m_input.receivedBytes = 0;
        m_isUnfinished = true;
    }
    if (received != m_input.receivedBytes)
        m_input.lastByteAt = now;
    m_input.receivedBytes = received;
}

bool InputShare::hasRoomFor(std::size_t bytes) const
{
    const std::size_t others = m_budget->m_unfinished.size() - (m_isUnfinished ? 1 : 0);
    const std::size_t taken = m_budget->m_heldBytes + m_budget->m_otherBytes;
    const std::size_t limit = m_budget->m_limits.bytes;
    return others == 0 || (taken <= limit && bytes <= limit - taken);
}

void InputShare::release()
{
    if (m_isReleased)
        return;
    holdComplete(0);
    --m_budget->m_connections;
    m_isReleased = true;
}

} // namespace Catkinwell
