#include "http/RawSockets.h"
#include <admin/AdminClient.h>
#include <catch2/catch.hpp>

using namespace Catkinwell;
using namespace Catkinwell::Testing;

namespace {

struct AnswerCase {
    const char* name;
    std::string answer;
};

Result<ClientResponse> ask(const std::string& answer)
{
    const ScriptedServerThread server([&answer](const std::string&) { return ScriptedServer::Step { answer }; });
    HttpAdminTransport transport("127.0.0.1:" + std::to_string(server.port()), "token", std::chrono::seconds(2));
    return transport.send({ "GET", "/admin/v1/configuration", {}, {} });
}

} // namespace

// Guards against an operator who is shown, or acts on, what is not the host's answer.
TEST_CASE("The client takes no broken answer of a host")
{
    const std::string length = "Content-Length: 2\r\n";
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto test = GENERATE_COPY(values<AnswerCase>({
        { "status 000", "HTTP/1.1 000 OK\r\n" + length + "\r\n{}" },
        { "status 999", "HTTP/1.1 999 OK\r\n" + length + "\r\n{}" },
        { "status of two digits", "HTTP/1.1 20 OK\r\n" + length + "\r\n{}" },
        { "letters in the status", "HTTP/1.1 200x OK\r\n" + length + "\r\n{}" },
        { "another version", "HTTP/2.0 200 OK\r\n" + length + "\r\n{}" },
        { "blank in a name", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + length + "\r\n{}" },
        { "blank before a colon", "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n" + length + "\r\n{}" },
        { "control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + length + "\r\n{}" },
        { "control byte in a value", "HTTP/1.1 200 OK\r\nX-Odd: a\x01\r\n" + length + "\r\n{}" },
        { "blank in the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}" },
        { "two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + length + "\r\n{}" },
        { "a sign in the length", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n{}" },
        { "an unknown encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n" },
        { "a length and chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + length + "\r\n2\r\n{}\r\n0\r\n\r\n" },
        { "a prefix of a chunk's size", chunkedHead + "0x2\r\n{}\r\n0\r\n\r\n" },
        { "a chunk that is longer than its size", chunkedHead + "2\r\n{}X\r\n0\r\n\r\n" },
        { "blank in the name of a trailer", chunkedHead + "2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n" },
        { "no answer", "{}" },
    }));
    const auto result = ask(test.answer);
    INFO(test.name);
    REQUIRE(isError(result));
    CHECK(nameOf(errorOf(result).kind) == nameOf(ErrorKind::InvalidMessage));
    CHECK(errorOf(result).message.find("check that the address") != std::string::npos);
}

TEST_CASE("The client takes a sound answer of a host, whole or in chunks")
{
    const auto answer = GENERATE(values<std::string>({
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Even: 1\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Even: 1\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    }));
    const auto result = ask(answer);
    REQUIRE_FALSE(isError(result));
    CHECK(valueOf(result).status == 200);
    CHECK(valueOf(result).body == "{}");
    CHECK(valueOf(result).headers.back() == std::pair<std::string, std::string>("X-Even", "1"));
}

// Guards against a reason that becomes another field of the request.
TEST_CASE("The client sends no field with a line end in its value")
{
    HttpAdminTransport transport("127.0.0.1:1", "token", std::chrono::seconds(2));
    const auto result = transport.send({ "GET", "/", { { "X-Audit-Reason", "a\r\nIf-Match: 1" } }, {} });
    REQUIRE(isError(result));
    CHECK(nameOf(errorOf(result).kind) == nameOf(ErrorKind::InvalidRequest));
}

// Guards against a name of a host that is no longer resolved.
TEST_CASE("The client reaches a host by its name")
{
    const ScriptedServerThread server(
        [](const std::string&) { return ScriptedServer::Step { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" }; });
    HttpAdminTransport transport("localhost:" + std::to_string(server.port()), "", std::chrono::seconds(2));
    const auto result = transport.send({ "GET", "/", {}, {} });
    REQUIRE_FALSE(isError(result));
    CHECK(valueOf(result).body == "{}");
}
