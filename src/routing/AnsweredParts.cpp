#include <catkinwell/routing/AnsweredParts.h>

namespace Catkinwell {

AnsweredParts::AnsweredParts(std::size_t capacity, Duration lifetime)
    : m_capacity(capacity)
    , m_lifetime(lifetime)
{
}

bool AnsweredParts::isStale(std::size_t generation, MonotonicTime now) const
{
    return now - m_begunAt[generation] >= m_lifetime;
}

void AnsweredParts::insert(std::uint64_t part, MonotonicTime now)
{
    const bool isFull = m_generations[0].size() >= m_capacity / 2;
    if (isFull || now - m_begunAt[0] >= m_lifetime / 2) {
        m_generations[1] = std::move(m_generations[0]);
        m_begunAt[1] = m_begunAt[0];
        m_generations[0].clear();
        m_begunAt[0] = now;
    }
    m_generations[0].insert(part);
}

bool AnsweredParts::contains(std::uint64_t part, MonotonicTime now) const
{
    for (std::size_t generation = 0; generation < m_generations.size(); ++generation) {
        if (!isStale(generation, now) && m_generations[generation].contains(part))
            return true;
    }
    return false;
}

} // namespace Catkinwell
