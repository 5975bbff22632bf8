#include "logging/PipeSafeWriter.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <unistd.h>

using namespace Catkinwell;

// Guards against a process that blocks because its log is not being read.
TEST_CASE("A reader that has stopped never blocks the writer")
{
    int ends[2] = { -1, -1 };
    REQUIRE(pipe(ends) == 0);
    PipeSafeWriter writer(ends[1]);
    const std::string line(500, 'x');
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 2000; ++i)
        writer.write(line + "\n");
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
    CHECK(writer.takeDropped() > 1000);
    std::string received(1 << 20, '\0');
    const ssize_t size = read(ends[0], received.data(), received.size());
    REQUIRE(size > 0);
    received.resize(static_cast<std::size_t>(size));
    CHECK(received.size() % (line.size() + 1) == 0);
    writer.write("after\n");
    CHECK(writer.takeDropped() == 0);
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("A line that is longer than an atomic write is truncated")
{
    int ends[2] = { -1, -1 };
    REQUIRE(pipe(ends) == 0);
    PipeSafeWriter writer(ends[1]);
    writer.write(std::string(10000, 'y') + "\n");
    std::string received(1 << 16, '\0');
    const ssize_t size = read(ends[0], received.data(), received.size());
    REQUIRE(size == 4096);
    CHECK(received[4095] == '\n');
    close(ends[0]);
    close(ends[1]);
}
