#include "http/RawSockets.h"
#include <catch2/catch.hpp>
#include <catkinwell/emulator/LoadGenerator.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

struct LoadCase {
    const char* name;
    std::string answer;
    bool isStream;
    bool expectedComplete;
};

LoadResult load(const std::string& answer, bool isStream)
{
    EventLoop loop;
    ScriptedServer server(loop, { { answer } });
    HttpClient client(loop);
    const SystemClock clock;
    LoadSettings settings;
    settings.address = "127.0.0.1:" + std::to_string(server.port());
    settings.requests = 1;
    settings.stream = isStream;
    settings.timeout = std::chrono::seconds(2);
    LoadGenerator generator(loop, client, clock, settings);
    generator.start();
    loop.run();
    return generator.result();
}

std::string streamOf(const std::string& chunkEnd, const std::string& trailers)
{
    const std::string event = "data: [DONE]\n\n";
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n" + event + chunkEnd + "0\r\n" + trailers
        + "\r\n";
}

} // namespace

// Guards against a measurement that counts broken answers as served.
TEST_CASE("The load generator counts a broken answer as failed")
{
    const std::string length = "Content-Length: 2\r\n";
    const auto test = GENERATE_COPY(values<LoadCase>({
        { "sound", "HTTP/1.1 200 OK\r\n" + length + "\r\n{}", false, true },
        { "status 000", "HTTP/1.1 000 OK\r\n" + length + "\r\n{}", false, false },
        { "blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + length + "\r\n{}", false, false },
        { "control byte in a value", "HTTP/1.1 200 OK\r\nX-Odd: \x01\r\n" + length + "\r\n{}", false, false },
        { "sound stream", streamOf("\r\n", ""), true, true },
        { "stream whose chunk is longer than its size", streamOf("XX", ""), true, false },
        { "stream with a blank in the name of a trailer", streamOf("\r\n", "X Odd: 1\r\n"), true, false },
    }));
    const LoadResult result = load(test.answer, test.isStream);
    INFO(test.name);
    CHECK(result.completed == (test.expectedComplete ? 1 : 0));
    CHECK(result.failed == (test.expectedComplete ? 0 : 1));
}
