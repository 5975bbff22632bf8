#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

// Collects the body of a message: in one block if its size is declared, otherwise in small ones. A single growing
// string would take up to twice its size, and three times while it grows. Not thread safe.
class BodyBuffer {
public:
    // States how many bytes will come. Memory that they have not reached yet is reserved but not used.
    // Precondition: the buffer is empty.
    void expect(std::size_t bytes) { m_expected = bytes; }
    void append(std::string_view);
    std::size_t size() const { return m_size; }
    // The memory that the blocks use.
    std::size_t heldBytes() const;
    // Returns the whole body and clears the buffer. The blocks are freed while they are copied.
    std::string take();
    // Clears the buffer and frees its memory.
    void clear();

private:
    std::vector<std::string> m_blocks;
    std::size_t m_expected = 0;
    std::size_t m_size = 0;
};

} // namespace Catkinwell
