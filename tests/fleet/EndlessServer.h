#pragma once

#include <array>
#include <catkinwell/loop/EventLoop.h>
#include <cstdint>
#include <memory>
#include <string_view>
#include <thread>

namespace Catkinwell::Testing {

// What an endless answer goes on with.
enum class EndlessPart {
    HeadLines,
    HeadValue,
    Garbage,
    UnframedBody,
    Chunks,
    LongBody,
    InterimAnswers,
    ChunkSize,
    Trailers,
};

constexpr std::array<std::string_view, 9> endlessPartNames { "head-lines", "head-value", "garbage", "unframed-body",
    "chunks", "long-body", "interim-answers", "chunk-size", "trailers" };

constexpr std::string_view nameOf(EndlessPart part) { return endlessPartNames[static_cast<std::size_t>(part)]; }

// A server on the loopback address that answers a request whose path ends with the name of a part without end, as fast
// as it is read, and every other request at once with "plain". Runs on a thread of its own.
class EndlessServer {
public:
    EndlessServer();
    ~EndlessServer();
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    std::uint16_t port() const { return m_port; }

private:
    struct State;

    EventLoop m_loop;
    std::unique_ptr<State> m_state;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace Catkinwell::Testing
