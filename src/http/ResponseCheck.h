#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Catkinwell {

// Checks the raw bytes of a response before they are parsed, because the parser accepts more than RFC 9110 and RFC 9112
// allow, and other parsers may interpret that differently. Not thread safe.
class ResponseCheck {
public:
    // Returns how many of the bytes may be parsed next. These are fewer than all if the head or the trailers end there,
    // or if a fault follows.
    std::size_t accept(std::string_view bytes);
    // Notes how the parser delimits the body. Precondition: accept() has returned the end of the head.
    void beginBody(bool isChunked);

    // The defect that was found; empty if there is none.
    std::string_view fault() const { return m_fault; }

private:
    enum class Stage {
        StatusLine,
        Fields,
        // Bytes that the parser delimits without this check.
        Body,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailers,
    };

    // Each returns how many bytes it accepts.
    std::size_t acceptStage(std::string_view bytes);
    std::size_t acceptLine(std::string_view bytes);
    std::size_t acceptPartOfLine(std::string_view bytes);
    std::size_t acceptChunkData(std::string_view bytes);
    std::size_t acceptChunkEnd(std::string_view bytes);

    void checkLine(std::string_view line, bool endsWithCrLf);
    void checkStatusLine(std::string_view line);
    void checkField(std::string_view line);
    void checkChunkSize(std::string_view line, bool endsWithCrLf);
    void noteEncoding(std::string_view line);
    std::string_view encodingFault() const;

    Stage m_stage = Stage::StatusLine;
    // What was accepted of a line whose end has not arrived.
    std::string m_line;
    bool m_isVersion10 = false;
    // Whether the head or the trailers have a field, which the next line may continue.
    bool m_hasField = false;
    // Whether the last field is a Transfer-Encoding; the values of all of them.
    bool m_isEncoding = false;
    bool m_hasEncoding = false;
    std::string m_encoding;
    std::uint64_t m_chunkRest = 0;
    std::size_t m_chunkEndRead = 0;
    std::string_view m_fault;
};

} // namespace Catkinwell
