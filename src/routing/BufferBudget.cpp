#include <catkinwell/routing/BufferBudget.h>

#include <algorithm>

namespace Catkinwell {

void BufferBudget::setBytes(AttemptId id, std::size_t bytes)
{
    const auto known = m_bytesOf.find(id);
    const std::size_t former = known == m_bytesOf.end() ? 0 : known->second;
    m_bytes = m_bytes - former + bytes;
    if (bytes > 0)
        m_bytesOf[id] = bytes;
    else if (known != m_bytesOf.end())
        m_bytesOf.erase(known);
}

std::optional<AttemptId> BufferBudget::excess() const
{
    if (m_bytes <= m_maximumBytes)
        return std::nullopt;
    const auto largest = std::max_element(
        m_bytesOf.begin(), m_bytesOf.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return largest->first;
}

} // namespace Catkinwell
