#include "http/RequestHeadCheck.h"

#include <catch2/catch.hpp>

using namespace Catkinwell;

namespace {

struct HeadCase {
    const char* what;
    std::string head;
    // 0 if the head is accepted.
    int expectedStatus;
};

std::string withFields(const std::string& fields) { return "POST /d/a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"; }

} // namespace

// Guards against request smuggling: a request that this host and an endpoint interpret differently.
TEST_CASE("An ambiguous head is rejected")
{
    const auto test = GENERATE(values<HeadCase>({
        { "a plain head", withFields("Content-Length: 4\r\n"), 0 },
        { "chunks", withFields("Transfer-Encoding: Chunked\r\n"), 0 },
        { "a query with dots", "GET /d/a?x=../b HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
        { "HTTP/1.0 without a host", "GET / HTTP/1.0\r\n\r\n", 0 },
        { "two different lengths", withFields("Content-Length: 4\r\nContent-Length: 5\r\n"), 400 },
        { "two equal lengths", withFields("Content-Length: 4\r\nContent-Length: 4\r\n"), 400 },
        { "length and chunks", withFields("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"), 400 },
        { "an unknown encoding", withFields("Transfer-Encoding: xchunked\r\n"), 501 },
        { "a space before the colon", withFields("Content-Length : 4\r\n"), 400 },
        { "a folded field", withFields("X-A: 1\r\n 2\r\n"), 400 },
        { "a NUL in a field", withFields(std::string("X-A: 1\0002\r\n", 10)), 400 },
        { "a signed length", withFields("Content-Length: +4\r\n"), 400 },
        { "no host", "GET / HTTP/1.1\r\n\r\n", 400 },
        { "two hosts", withFields("Host: i\r\n"), 400 },
        { "a space in the target", "POST /d/a b HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
        { "a parent segment", "GET /d/../secret HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
        { "an encoded parent segment", "GET /d/%2E%2e/secret HTTP/1.1\r\nHost: h\r\n\r\n", 400 },
        { "a lone line feed", "GET / HTTP/1.1\nHost: h\r\n\r\n", 400 },
        { "an empty line before a name with a space", "\r\n" + withFields("X-Account : evil\r\n"), 400 },
        { "nothing but empty lines", "\r\n\r\n", 400 },
        { "another version", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 505 },
    }));
    const auto fault = findRequestHeadFault(test.head);
    INFO(test.what << ": " << (fault ? fault->message : "accepted"));
    CHECK((fault ? fault->status : 0) == test.expectedStatus);
}
