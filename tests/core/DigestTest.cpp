#include <catch2/catch.hpp>
#include <catkinwell/core/Digest.h>
#include <string>
#include <tuple>

using namespace Catkinwell;

// Guards against a change of the digests that key grants and peer messages depend on.
TEST_CASE("sha256Hex returns the published test vectors")
{
    auto [input, expected] = GENERATE(table<std::string, std::string>({
        { "", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855" },
        { "abc", "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" },
    }));
    CHECK(sha256Hex(input) == expected);
}

TEST_CASE("equalInConstantTime compares whole strings")
{
    auto [left, right, expected] = GENERATE(table<std::string, std::string, bool>({
        { "abc", "abc", true },
        { "abc", "abd", false },
        { "abc", "ab", false },
        { "", "", true },
    }));
    CHECK(equalInConstantTime(left, right) == expected);
}
