#pragma once

#include <catkinwell/core/Identifiers.h>
#include <cstddef>
#include <optional>
#include <unordered_map>

namespace Catkinwell {

// Counts the bytes that a process keeps of the answers of all its attempts. Each answer has a bound of its own; this
// one is on their sum. Not thread safe.
class BufferBudget {
public:
    explicit BufferBudget(std::size_t maximumBytes)
        : m_maximumBytes(maximumBytes)
    {
    }

    // Applies at the next call of excess().
    void setMaximumBytes(std::size_t bytes) { m_maximumBytes = bytes; }
    // The process keeps this number of bytes of the attempt's answer now.
    void setBytes(AttemptId, std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }
    // Returns the attempt with the most bytes if the sum is above its bound; nullopt otherwise. The caller gives up the
    // attempt's answer, calls setBytes() with 0, and asks again.
    std::optional<AttemptId> excess() const;

private:
    std::size_t m_maximumBytes;
    std::size_t m_bytes = 0;
    // Without attempts that keep none.
    std::unordered_map<AttemptId, std::size_t> m_bytesOf;
};

} // namespace Catkinwell
