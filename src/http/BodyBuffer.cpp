#include "http/BodyBuffer.h"

#include <algorithm>

namespace Catkinwell {

namespace {

    // Most bodies fit into the first block, which is not copied again.
    constexpr std::size_t blockBytes = 16 * 1024;

} // namespace

void BodyBuffer::append(std::string_view data)
{
    m_size += data.size();
    while (!data.empty()) {
        const std::size_t most = m_blocks.size() <= 1 ? std::max(blockBytes, m_expected) : blockBytes;
        if (m_blocks.empty()) {
            m_blocks.emplace_back().reserve(m_expected);
        } else if (m_blocks.back().size() >= most) {
            m_blocks.emplace_back().reserve(blockBytes);
            continue;
        }
        std::string& block = m_blocks.back();
        const std::size_t size = std::min(data.size(), most - block.size());
        block.append(data.substr(0, size));
        data.remove_prefix(size);
    }
}

std::size_t BodyBuffer::heldBytes() const
{
    if (m_blocks.empty())
        return 0;
    if (m_blocks.size() > 1)
        return m_blocks.size() * blockBytes;
    return m_expected > 0 ? m_size : m_blocks.front().capacity();
}

std::string BodyBuffer::take()
{
    std::string body;
    if (m_blocks.size() == 1)
        body = std::move(m_blocks.front());
    else
        body.reserve(m_size);
    for (std::size_t i = 0; m_blocks.size() > 1 && i < m_blocks.size(); ++i) {
        body += m_blocks[i];
        std::string().swap(m_blocks[i]);
    }
    clear();
    return body;
}

void BodyBuffer::clear()
{
    std::vector<std::string>().swap(m_blocks);
    m_expected = 0;
    m_size = 0;
}

} // namespace Catkinwell
