#include <catch2/catch.hpp>
#include <catkinwell/requests/StreamFilter.h>
#include <ctime>
#include <string>

using namespace Catkinwell;

namespace {

const std::string token = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";
const std::string usage = "data: {\"choices\":[],\"usage\":{\"total_tokens\":12}}\n\n";
const std::string end = "data: [DONE]\n\n";

} // namespace

// Guards against events that are lost or changed when the network splits them.
TEST_CASE("Events are forwarded unchanged however the stream is split")
{
    const std::string stream = token + token + usage + end;
    const auto pieceSize = GENERATE(std::size_t { 1 }, std::size_t { 7 }, std::size_t { 1000 });
    StreamFilter filter(true);
    std::string passed;
    for (std::size_t at = 0; at < stream.size(); at += pieceSize)
        passed += filter.feed(stream.substr(at, pieceSize));
    CHECK(passed == token + token + end);
    CHECK(filter.isComplete());
    CHECK(filter.totalTokens() == TokenCount { 12 });
}

// Guards against a truncated stream that is taken for a complete one.
TEST_CASE("A stream is complete only with its end marker")
{
    const auto [stream, complete] = GENERATE_COPY(table<std::string, bool>({
        { token + end, true },
        { token, false },
        { token + "data: [DONE]", false },
        { "data: {\"choices\":[{\"text\":\"data: [DONE]\"}]}\n\n", false },
    }));
    StreamFilter filter(false);
    filter.feed(stream);
    CHECK(filter.isComplete() == complete);
}

TEST_CASE("The usage chunk passes when the caller asked for it")
{
    StreamFilter filter(false);
    CHECK(filter.feed(token + usage + end) == token + usage + end);
}

// Guards against a host that stands still because each part of a long event makes it search the whole event again.
TEST_CASE("A long event in small parts takes little processor time")
{
    constexpr std::size_t partBytes = 16;
    constexpr std::size_t eventBytes = 1000 * 1024;
    constexpr double mostSeconds = 0.2;
    StreamFilter filter(false);
    const std::string part(partBytes, 'x');
    const std::clock_t start = std::clock();
    for (std::size_t sent = 0; sent < eventBytes; sent += partBytes)
        filter.feed(part);
    const double seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    CHECK(seconds < mostSeconds);
    CHECK_FALSE(filter.isOverlong());
    CHECK(filter.feed("\n").empty());
    CHECK(filter.feed("\n").size() == eventBytes + 2);
}
