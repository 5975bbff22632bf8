#include "http/RequestSanitizer.h"
#include <catch2/catch.hpp>
#include <catkinwell/core/Digest.h>

using namespace Catkinwell;

namespace {

const std::string key = "ck-0123456789abcdef";
const std::vector<std::string> allowed { "content-type", "x-request-id" };

bool mentionsKey(const RequestArrived& request)
{
    std::string all = request.path + request.query + request.body + request.idempotencyKey + request.deadlineHeader
        + request.priorityHeader;
    for (const auto& [name, value] : request.headers)
        all += name + value;
    return all.find(key) != std::string::npos;
}

} // namespace

// Guards against a key that leaks to an endpoint, a log or a peer, wherever in the request the caller sends it.
TEST_CASE("A caller's key leaves the listener only as a digest")
{
    struct Case {
        const char* what;
        RawRequest raw;
        bool rejected;
    };
    const std::string bearer = "Bearer " + key;
    const std::vector<Case> cases {
        { "usual header", { "POST", "/v1/completions", "", { { "Authorization", bearer } }, "{}" }, false },
        { "other case", { "POST", "/a", "", { { "aUTHORIZATION", "bearer  " + key + " " } }, "" }, false },
        { "repeated header", { "POST", "/a", "", { { "Authorization", bearer }, { "authorization", bearer } }, "" },
            false },
        { "query parameter", { "GET", "/a", "x=1&api_key=" + key, { { "Authorization", bearer } }, "" }, false },
        { "encoded name", { "GET", "/a", "%61pi_key=" + key + "&x=1", { { "Authorization", bearer } }, "" }, false },
        { "other parameter", { "GET", "/a", "note=" + key, { { "Authorization", bearer } }, "" }, true },
        { "path", { "GET", "/a/" + key, "", { { "Authorization", bearer } }, "" }, true },
        { "body", { "POST", "/a", "", { { "Authorization", bearer } }, "{\"k\":\"" + key + "\"}" }, true },
        { "allowed header", { "POST", "/a", "", { { "Authorization", bearer }, { "X-Request-Id", key } }, "" }, true },
        { "idempotency key", { "POST", "/a", "", { { "Authorization", bearer }, { "Idempotency-Key", key } }, "" },
            true },
        { "unlisted header", { "POST", "/a", "", { { "Authorization", bearer }, { "X-Api-Key", key } }, "" }, false },
    };
    for (const Case& test : cases) {
        INFO(test.what);
        const RequestArrived request = sanitizeRequest(test.raw, allowed);
        CHECK_FALSE(mentionsKey(request));
        CHECK(request.keyDigest == sha256Hex(key));
        CHECK(request.rejection.empty() == !test.rejected);
    }
}

// Guards against a request that runs for one account although it also carries the key of another.
TEST_CASE("Several different keys are rejected")
{
    const RequestArrived request = sanitizeRequest(
        { "GET", "/", "", { { "Authorization", "Bearer one-key-here" }, { "Authorization", "Bearer other-key" } }, "" },
        allowed);
    CHECK_FALSE(request.rejection.empty());
}

TEST_CASE("Only allow-listed headers are forwarded")
{
    const RequestArrived request = sanitizeRequest(
        { "GET", "/", "", { { "Cookie", "a" }, { "Content-Type", "text/plain" }, { "X-Request-Deadline-Ms", "20" } },
            "" },
        allowed);
    CHECK(request.headers == HeaderList { { "content-type", "text/plain" } });
    CHECK(request.deadlineHeader == "20");
}
