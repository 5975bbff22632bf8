#include "http/ResponseCheck.h"

#include "http/HeaderText.h"
#include "http/ResponseLines.h"
#include <algorithm>

namespace Catkinwell {

namespace {

    constexpr std::string_view chunkEnd = "\r\n";
    constexpr std::string_view encodingName = "transfer-encoding";
    constexpr std::string_view bareCrFault = "it has a CR without LF";

} // namespace

std::size_t ResponseCheck::accept(std::string_view bytes)
{
    std::size_t accepted = 0;
    while (accepted < bytes.size() && m_fault.empty()) {
        const Stage stage = m_stage;
        accepted += acceptStage(bytes.substr(accepted));
        // The parser decides what follows.
        if (stage != m_stage && m_stage == Stage::Body)
            break;
    }
    return accepted;
}

void ResponseCheck::beginBody(bool isChunked)
{
    if (isChunked != m_hasEncoding)
        m_fault = "its Transfer-Encoding cannot be read";
    if (isChunked)
        m_stage = Stage::ChunkSize;
}

std::size_t ResponseCheck::acceptStage(std::string_view bytes)
{
    switch (m_stage) {
    case Stage::Body:
        return bytes.size();
    case Stage::ChunkData:
        return acceptChunkData(bytes);
    case Stage::ChunkEnd:
        return acceptChunkEnd(bytes);
    case Stage::StatusLine:
    case Stage::Fields:
    case Stage::ChunkSize:
    case Stage::Trailers:
        break;
    }
    return acceptLine(bytes);
}

std::size_t ResponseCheck::acceptLine(std::string_view bytes)
{
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos)
        return acceptPartOfLine(bytes);
    std::string_view line = bytes.substr(0, end);
    if (!m_line.empty()) {
        m_line += line;
        line = m_line;
    }
    const bool endsWithCrLf = line.ends_with('\r');
    if (endsWithCrLf)
        line.remove_suffix(1);
    checkLine(line, endsWithCrLf);
    m_line.clear();
    return m_fault.empty() ? end + 1 : 0;
}

// The parser ends some lines at a CR, so only LF may come behind one. It bounds the bytes of a line.
std::size_t ResponseCheck::acceptPartOfLine(std::string_view bytes)
{
    const std::size_t unchecked = m_line.empty() ? 0 : m_line.size() - 1;
    m_line += bytes;
    const std::size_t found = m_line.find('\r', unchecked);
    if (found == std::string::npos || found + 1 == m_line.size())
        return bytes.size();
    m_fault = bareCrFault;
    return 0;
}

std::size_t ResponseCheck::acceptChunkData(std::string_view bytes)
{
    const std::size_t accepted = std::min<std::uint64_t>(bytes.size(), m_chunkRest);
    m_chunkRest -= accepted;
    if (m_chunkRest == 0)
        m_stage = Stage::ChunkEnd;
    return accepted;
}

std::size_t ResponseCheck::acceptChunkEnd(std::string_view bytes)
{
    if (bytes.front() != chunkEnd[m_chunkEndRead]) {
        m_fault = "a chunk does not end where its size says";
        return 0;
    }
    ++m_chunkEndRead;
    if (m_chunkEndRead == chunkEnd.size()) {
        m_chunkEndRead = 0;
        m_stage = Stage::ChunkSize;
    }
    return 1;
}

void ResponseCheck::checkLine(std::string_view line, bool endsWithCrLf)
{
    if (line.find('\r') != std::string_view::npos)
        m_fault = bareCrFault;
    else if (m_stage == Stage::StatusLine)
        checkStatusLine(line);
    else if (m_stage == Stage::ChunkSize)
        checkChunkSize(line, endsWithCrLf);
    else
        checkField(line);
}

void ResponseCheck::checkStatusLine(std::string_view line)
{
    // An empty line before the response is ignored.
    if (line.empty())
        return;
    m_fault = findStatusLineFault(line);
    m_isVersion10 = line.starts_with("HTTP/1.0");
    m_stage = Stage::Fields;
}

void ResponseCheck::checkField(std::string_view line)
{
    if (line.empty()) {
        m_fault = encodingFault();
        m_stage = Stage::Body;
        return;
    }
    const bool isFolded = m_hasField && isFoldedLine(line);
    m_fault = isFolded ? findFoldedLineFault(line) : findFieldLineFault(line);
    m_hasField = true;
    if (m_stage == Stage::Fields)
        noteEncoding(line);
}

void ResponseCheck::noteEncoding(std::string_view line)
{
    const bool isFolded = isFoldedLine(line);
    const std::size_t colon = line.find(':');
    if (!isFolded)
        m_isEncoding = equalIgnoringCase(line.substr(0, colon), encodingName);
    if (!m_isEncoding)
        return;
    // The values of several lines form one list.
    if (m_hasEncoding && !isFolded)
        m_encoding += ',';
    m_encoding += isFolded ? line : line.substr(colon + 1);
    m_hasEncoding = true;
}

std::string_view ResponseCheck::encodingFault() const
{
    if (!m_hasEncoding)
        return {};
    if (m_isVersion10)
        return "it has a Transfer-Encoding, which HTTP/1.0 does not have";
    // No other one was asked for, and the body could not be passed on without it.
    if (!equalIgnoringCase(trimmedSpaces(m_encoding), "chunked"))
        return "its Transfer-Encoding is not \"chunked\"";
    return {};
}

void ResponseCheck::checkChunkSize(std::string_view line, bool endsWithCrLf)
{
    const auto size = chunkSizeOf(line);
    if (!size || !endsWithCrLf) {
        m_fault = "the size of a chunk is malformed";
        return;
    }
    m_chunkRest = *size;
    m_stage = *size == 0 ? Stage::Trailers : Stage::ChunkData;
    m_hasField = false;
}

} // namespace Catkinwell
