#include "http/HeaderText.h"
#include "http/ScriptedExchanges.h"
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

const std::string length = "Content-Length: 6\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string wholeChunk = "6\r\nwhole!\r\n";

std::string withStatusLine(const std::string& line) { return line + "\r\n" + length + "\r\nwhole!"; }

std::string withFields(const std::string& fields) { return "HTTP/1.1 200 OK\r\n" + fields + "\r\nwhole!"; }

std::string withChunks(const std::string& chunks) { return "HTTP/1.1 200 OK\r\n" + chunked + "\r\n" + chunks; }

// Returns the text with each "@" replaced by the byte.
std::string withByte(std::string text, char byte)
{
    std::replace(text.begin(), text.end(), '@', byte);
    return text;
}

// Where in the life of a connection a response comes.
enum class Place {
    First,
    OnKeptConnection,
    BehindInterimResponse,
};

// Checks that the response is given up with nothing of its head passed on, and that its connection is closed.
void checkInvalid(const std::string& name, const std::string& response, Place place)
{
    const std::string sound = withStatusLine("HTTP/1.1 200 OK");
    const std::string interim = place == Place::BehindInterimResponse ? "HTTP/1.1 103 Early Hints\r\n\r\n" : "";
    std::vector<ScriptedServer::Step> steps { { interim + response }, { sound } };
    const bool isKept = place == Place::OnKeptConnection;
    if (isKept)
        steps.insert(steps.begin(), { sound });
    ScriptedExchanges fixture(steps);
    fixture.echoHeader = "";
    INFO(name << ", place " << static_cast<int>(place));
    if (isKept)
        REQUIRE(fixture.request("first").body == "whole!");
    const ExchangeOutcome outcome = fixture.request("invalid");
    INFO("status " << outcome.status << ", body \"" << outcome.body << "\", reason: " << outcome.reason);
    CHECK_FALSE(outcome.isFinished);
    CHECK(outcome.failure == AttemptFailure::Garbage);
    CHECK(outcome.status == 0);
    CHECK(outcome.headers.empty());
    CHECK(fixture.request("next").body == "whole!");
    CHECK(fixture.server.connections() == 2);
}

struct InvalidHeadCase {
    const char* name;
    std::string response;
};

} // namespace

// Guards against a server in trouble whose status, which no client knows, reaches callers.
TEST_CASE("A response whose status is not a number from 100 to 599 is invalid")
{
    const auto statusLine = GENERATE(values<std::string>({ "HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 099 Early",
        "HTTP/1.1 600 Odd", "HTTP/1.1 999 Denied", "HTTP/1.1 1000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2",
        "HTTP/1.1 0200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 OK", "HTTP/1.0 000 OK" }));
    const auto place = GENERATE(Place::First, Place::OnKeptConnection, Place::BehindInterimResponse);
    checkInvalid(statusLine, withStatusLine(statusLine), place);
}

// Guards against a field whose name other readers understand differently, for example as a length.
TEST_CASE("A response with a blank or a control byte in the name of a field is invalid")
{
    const auto test = GENERATE(values<InvalidHeadCase>({
        { "blank inside", withFields(length + "X Odd: 1\r\n") },
        { "blank before the colon", withFields(length + "X-Odd : 1\r\n") },
        { "tab before the colon", withFields(length + "X-Odd\t: 1\r\n") },
        { "blank before the first name", withFields(" X-Odd: 1\r\n" + length) },
        { "NUL", withByte(withFields(length + "X@Odd: 1\r\n"), '\0') },
        { "0x01", withByte(withFields(length + "X@Odd: 1\r\n"), '\x01') },
        { "0x7f", withByte(withFields(length + "X@Odd: 1\r\n"), '\x7f') },
        { "bare CR", withFields(length + "X\rOdd: 1\r\n") },
        { "no name", withFields(length + ": 1\r\n") },
        { "no colon", withFields(length + "X-Odd\r\n") },
        { "length", withFields("Content-Length : 6\r\n") },
        { "length beside another", withFields(length + "Content-Length : 3\r\n") },
        { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + wholeChunk + "0\r\n\r\n" },
        { "connection", withFields(length + "Connection : close\r\n") },
    }));
    const auto place = GENERATE(Place::First, Place::OnKeptConnection, Place::BehindInterimResponse);
    checkInvalid(test.name, test.response, place);
}

// Guards against an interim response that is broken and skipped as if it were sound.
TEST_CASE("An interim response is checked like any other")
{
    const auto interim = GENERATE(values<std::string>({ "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nX-Odd : 1\r\n\r\n", "HTTP/1.1 102 Processing\r\nX-Odd: \x01\r\n\r\n" }));
    checkInvalid(interim, interim + withStatusLine("HTTP/1.1 200 OK"), Place::First);
}

// Guards against the bytes of another protocol that are taken for a response.
TEST_CASE("A switch to another protocol, which no request asks for, is invalid")
{
    const auto fields = GENERATE(values<std::string>({ "", "Connection: upgrade\r\nUpgrade: websocket\r\n" }));
    checkInvalid(fields, "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + withStatusLine("HTTP/1.1 200 OK"),
        Place::First);
}

// Guards against bytes of another protocol or version, and against a status line whose end readers see elsewhere.
TEST_CASE("A response whose status line is not one of HTTP/1 is invalid")
{
    const auto statusLine = GENERATE(values<std::string>({ "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/3.1 200 OK",
        "HXXX/1.1 200 OK", "HTTX/1.1 200 OK", "http/1.1 200 OK", "HTTP/1.10 200 OK", "HTTP/1.1200 OK",
        "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\rX-Odd: 1", "HTTP/1.1 200 OK\r", "\r\r\nHTTP/1.1 200 OK" }));
    checkInvalid(statusLine, withStatusLine(statusLine), Place::First);
}

// Guards against a control byte that a reader behind this host takes for the end of a line or of the value.
TEST_CASE("A response with a control byte in the value of a field is invalid")
{
    const char byte = GENERATE('\0', '\x01', '\x08', '\x0b', '\x1b', '\x1f', '\x7f');
    const auto fields = GENERATE(values<std::string>(
        { "X-Odd: @\r\n", "X-Odd:@\r\n", "X-Odd: @a\r\n", "X-Odd: a@\r\n", "X-Odd: a@b\r\n", "X-Odd: a\r\n @b\r\n" }));
    checkInvalid(fields + std::to_string(byte), withByte(withFields(fields + length), byte), Place::First);
}

// Guards against a line that one reader ends at a bare CR and another does not.
TEST_CASE("A response with a bare CR in a field is invalid")
{
    const auto fields = GENERATE(values<std::string>({ "X-Odd: \rContent-Length: 3\r\n",
        "X-Odd:\rContent-Length: 3\r\n", "X-Odd: a\rContent-Length: 3\r\n", "X-Odd: a\r\r\n" }));
    checkInvalid(fields, withFields(fields + length), Place::First);
}

// Guards against a head that the parser ends at a CR, although its line goes on.
TEST_CASE("A response whose head ends with CR and another byte than LF is invalid")
{
    const auto end = GENERATE(values<std::string>({ "\rX", "\r\r\n", "\r \n" }));
    const std::string response = "HTTP/1.1 200 OK\r\n" + length + end + "whole!";
    checkInvalid(end, response, Place::First);
    // The byte behind the CR comes in a read of its own.
    ScriptedServer::Step step { response };
    step.isSlow = true;
    ScriptedExchanges fixture({ step });
    fixture.echoHeader = "";
    const ExchangeOutcome outcome = fixture.request("slow");
    CHECK(outcome.failure == AttemptFailure::Garbage);
    CHECK(outcome.status == 0);
}

// Guards against a body that is passed on in an encoding whose name is not, or with a length that readers dispute.
TEST_CASE("A response whose length cannot be told for certain is invalid")
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string chunks = "\r\n" + wholeChunk + "0\r\n\r\n";
    const auto test = GENERATE_COPY(values<InvalidHeadCase>({
        { "another encoding before the chunks", start + "Transfer-Encoding: gzip, chunked\r\n" + chunks },
        { "another encoding on a line before", start + "Transfer-Encoding: gzip\r\n" + chunked + chunks },
        { "another encoding after the chunks", start + "Transfer-Encoding: chunked, gzip\r\n" + chunks },
        { "another encoding on a line after", start + chunked + "Transfer-Encoding: gzip\r\n" + chunks },
        { "another encoding alone", start + "Transfer-Encoding: gzip\r\n" + chunks },
        { "no encoding", start + "Transfer-Encoding: identity\r\n" + chunks },
        { "empty", start + "Transfer-Encoding:\r\n" + chunks },
        { "chunks twice", start + chunked + chunked + chunks },
        { "chunks twice on a line", start + "Transfer-Encoding: chunked, chunked\r\n" + chunks },
        { "chunks with a parameter", start + "Transfer-Encoding: chunked;a=b\r\n" + chunks },
        { "quoted", start + "Transfer-Encoding: \"chunked\"\r\n" + chunks },
        { "a longer word", start + "Transfer-Encoding: xchunked\r\n" + chunks },
        { "a tab after the word", start + "Transfer-Encoding: chunked\t\r\n" + chunks },
        { "chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + chunked + chunks },
        { "chunks and a length", start + chunked + length + chunks },
        { "a length and chunks", start + length + chunked + chunks },
        { "two lengths", withFields(length + "Content-Length: 7\r\n") },
        { "two lengths on a line", withFields("Content-Length: 6, 7\r\n") },
        { "a sign", withFields("Content-Length: +6\r\n") },
        { "hexadecimal digits", withFields("Content-Length: 0x6\r\n") },
        { "two numbers", withFields("Content-Length: 6 6\r\n") },
        { "no number", withFields("Content-Length:\r\n") },
        { "more than 64 bits", withFields("Content-Length: 18446744073709551622\r\n") },
    }));
    checkInvalid(test.name, test.response, Place::First);
}

namespace {

struct BrokenChunksCase {
    const char* name;
    std::string chunks;
    // The part of the body that came before the fault.
    const char* expectedBody;
};

void checkChunksInvalid(const BrokenChunksCase& test)
{
    const bool inParts = GENERATE(false, true);
    const std::string response = withChunks(test.chunks);
    ScriptedServer::Step step { response };
    if (inParts)
        step = { response.substr(0, response.size() - 1), response.substr(response.size() - 1),
            std::chrono::milliseconds(20) };
    ScriptedExchanges fixture({ step, { withStatusLine("HTTP/1.1 200 OK") } });
    fixture.echoHeader = "";
    INFO(test.name << (inParts ? ", last byte later" : ""));
    const ExchangeOutcome outcome = fixture.request("invalid");
    INFO("body \"" << outcome.body << "\", reason: " << outcome.reason);
    CHECK_FALSE(outcome.isFinished);
    CHECK(outcome.failure == AttemptFailure::Garbage);
    CHECK(outcome.body == test.expectedBody);
    CHECK(fixture.request("next").body == "whole!");
    CHECK(fixture.server.connections() == 2);
}

} // namespace

// Guards against a body that is read with other limits than its server meant.
TEST_CASE("A response whose chunks do not end as their sizes say is invalid")
{
    checkChunksInvalid(GENERATE(values<BrokenChunksCase>({
        { "longer than its size", "6\r\nwhole!XX0\r\n\r\n", "whole!" },
        { "longer by one byte", "6\r\nwhole!X\r\n0\r\n\r\n", "whole!" },
        { "CR without LF after it", "6\r\nwhole!\rX0\r\n\r\n", "whole!" },
        { "LF alone after it", "6\r\nwhole!\n0\r\n\r\n", "whole!" },
        { "shorter than its size", "8\r\nwhole!\r\n0\r\n\r\n", "whole!\r\n" },
        { "second chunk longer", wholeChunk + "3\r\nsome\r\n0\r\n\r\n", "whole!som" },
    })));
}

TEST_CASE("A response with a malformed size of a chunk is invalid")
{
    checkChunksInvalid(GENERATE(values<BrokenChunksCase>({
        { "CR without LF", "6\rXwhole!\r\n0\r\n\r\n", "" },
        { "LF alone", "6\nwhole!\r\n0\r\n\r\n", "" },
        { "LF alone after an extension", "6;a\nwhole!\r\n0\r\n\r\n", "" },
        { "control byte in an extension", "6;\x01\r\nwhole!\r\n0\r\n\r\n", "" },
        { "bare CR in an extension", "6;a\rb\r\nwhole!\r\n0\r\n\r\n", "" },
        { "two numbers", "6 7\r\nwhole!\r\n0\r\n\r\n", "" },
        { "a name without a semicolon", "6 a=b\r\nwhole!\r\n0\r\n\r\n", "" },
        { "blank before it", " 6\r\nwhole!\r\n0\r\n\r\n", "" },
        { "sign", "+6\r\nwhole!\r\n0\r\n\r\n", "" },
        { "prefix", "0x6\r\nwhole!\r\n0\r\n\r\n", "" },
        { "no digits", "\r\nwhole!\r\n0\r\n\r\n", "" },
        { "no digits before an extension", ";a\r\nwhole!\r\n0\r\n\r\n", "" },
        { "more than 64 bits", "10000000000000006\r\nwhole!\r\n0\r\n\r\n", "" },
        { "of the last chunk", wholeChunk + "0\rX\r\n", "whole!" },
        { "of the last chunk, two numbers", wholeChunk + "0 1\r\n\r\n", "whole!" },
    })));
}

// Guards against a trailer that is taken for sound though its name, value or end is not.
TEST_CASE("A response with a malformed trailer is invalid")
{
    checkChunksInvalid(GENERATE(values<BrokenChunksCase>({
        { "blank in the name", wholeChunk + "0\r\nX Odd: 1\r\n\r\n", "whole!" },
        { "blank before the colon", wholeChunk + "0\r\nX-Odd : 1\r\n\r\n", "whole!" },
        { "blank before the name", wholeChunk + "0\r\n X-Odd: 1\r\n\r\n", "whole!" },
        { "tab before the colon", wholeChunk + "0\r\nX-Odd\t: 1\r\n\r\n", "whole!" },
        { "control byte in the name", wholeChunk + "0\r\nX\x01Odd: 1\r\n\r\n", "whole!" },
        { "control byte in the value", wholeChunk + "0\r\nX-Odd: \x01\r\n\r\n", "whole!" },
        { "second field", wholeChunk + "0\r\nX-Even: 1\r\nX-Odd : 1\r\n\r\n", "whole!" },
        { "bare CR", wholeChunk + "0\r\nX-Odd: \rX-Even: 1\r\n\r\n", "whole!" },
        { "no LF at the end", wholeChunk + "0\r\n\rX", "whole!" },
    })));
}

namespace {

struct UnusualCase {
    const char* name;
    std::string response;
    // The value of the field X-Odd.
    const char* expectedValue;
};

} // namespace

// Guards against sound responses of unusual form that are refused.
TEST_CASE("A response of unusual form that RFC 9110 and RFC 9112 let recipients accept is accepted")
{
    const auto test = GENERATE(values<UnusualCase>({
        { "no reason phrase", withStatusLine("HTTP/1.1 200 "), "" },
        { "no blank after the status", withStatusLine("HTTP/1.1 200"), "" },
        { "more blanks in the status line", withStatusLine("HTTP/1.1  200   OK"), "" },
        { "a later minor version", withStatusLine("HTTP/1.2 200 OK"), "" },
        { "HTTP/1.0", withStatusLine("HTTP/1.0 200 OK"), "" },
        { "bytes above 0x7f in the reason phrase", withStatusLine("HTTP/1.1 200 \xd0\x9e\xd0\x9a"), "" },
        { "an empty line before the status line", "\r\n" + withStatusLine("HTTP/1.1 200 OK"), "" },
        { "lines that end with LF", "HTTP/1.1 200 OK\nContent-Length: 6\nX-Odd: 1\n\nwhole!", "1" },
        { "no blank after the colon", withFields(length + "X-Odd:1\r\n"), "1" },
        { "an empty value", withFields(length + "X-Odd:\r\n"), "" },
        { "all characters of a token", withFields(length + "!#$%&'*+-.^_`|~09azAZ: 1\r\nX-Odd: 1\r\n"), "1" },
        { "a tab in the value", withFields(length + "X-Odd: a\tb\r\n"), "a\tb" },
        { "bytes above 0x7f in the value", withFields(length + "X-Odd: \xe9\xff\r\n"), "\xe9\xff" },
        { "a folded value", withFields("X-Odd: a\r\n b\r\n" + length), "a b" },
        { "a folded length", withFields("Content-Length:\r\n 6\r\n"), "" },
        { "leading zeros", withFields("Content-Length: 0006\r\n"), "" },
        { "upper case", "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: CHUNKED\r\n\r\n" + wholeChunk + "0\r\n\r\n", "" },
        { "a folded encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n" + wholeChunk + "0\r\n\r\n",
            "" },
        { "a chunk extension", withChunks("6;a=b;c=\"d e\"\r\nwhole!\r\n0;e\r\n\r\n"), "" },
        { "blanks around an extension", withChunks("6 ; a\r\nwhole!\r\n0\r\n\r\n"), "" },
        { "blanks after the size", withChunks("6  \r\nwhole!\r\n0 \r\n\r\n"), "" },
        { "zeros before the size", withChunks("0000006\r\nwhole!\r\n000\r\n\r\n"), "" },
        { "trailers", withChunks(wholeChunk + "0\r\nX-Late: a\r\nX-Later:\r\n folded\r\n\r\n"), "" },
        { "trailers that state a length", withChunks(wholeChunk + "0\r\nContent-Length: 3\r\n\r\n"), "" },
        { "trailers that end with LF", withChunks(wholeChunk + "0\r\nX-Late: a\n\n"), "" },
    }));
    // Whether the response comes byte by byte.
    const bool isSlow = GENERATE(false, true);
    INFO(test.name << (isSlow ? ", byte by byte" : ""));
    ScriptedServer::Step step { test.response };
    step.isSlow = isSlow;
    ScriptedExchanges fixture({ step });
    fixture.echoHeader = "";
    const ExchangeOutcome outcome = fixture.request("unusual");
    INFO(outcome.reason);
    CHECK(outcome.isFinished);
    CHECK(outcome.status == 200);
    CHECK(outcome.body == "whole!");
    CHECK(headerValue(outcome.headers, "X-Odd") == test.expectedValue);
}
