#include "http/UnfinishedCallers.h"
#include "process/FleetFixture.h"
#include <catch2/catch.hpp>
#include <iostream>
#include <sys/resource.h>

using namespace Catkinwell;
using namespace Catkinwell::Testing;
using namespace std::chrono_literals;

namespace {

// The process may hold 20 MB of unfinished requests; the group sends 70 to 240 MB. Requests that become complete take
// up to three times their size while they are forwarded, and the process itself 17 MB.
constexpr unsigned memoryMb = 80;
constexpr std::size_t freeDescriptors = 16;
constexpr auto longestSending = 60s;
constexpr auto longestAnswer = 5s;
constexpr auto longestStart = 15s;
constexpr auto longestLeaving = 10s;
constexpr std::size_t wholeBody = 3'900'000;
constexpr std::size_t lowDescriptorLimit = 64;
constexpr std::size_t reservedDescriptors = 8;

// The ports that the group connects to.
enum class Target {
    Callers,
    AllListeners,
};

struct ServeCase {
    UnfinishedLoad load;
    Target target = Target::Callers;
};

std::string headFor(const char* path) { return "POST " + std::string(path) + " HTTP/1.1\r\nHost: h\r\n"; }

// Starts the host again with TLS at its administration listener.
void useTls(FleetFixture& fixture, const TemporaryFolder& folder)
{
    const std::string certificate = folder.path() + "/certificate.pem";
    const std::string key = folder.path() + "/key.pem";
    writeCertificate(certificate, key);
    fixture.changeSettings(
        { { "administration", { { "tls", { { "certificate_file", certificate }, { "private_key_file", key } } } } } });
    fixture.stopHost(0);
    fixture.startHost(0);
}

// Lowers the limit on open files for processes that start while this object exists.
class DescriptorLimit {
public:
    explicit DescriptorLimit(rlim_t limit)
    {
        getrlimit(RLIMIT_NOFILE, &m_former);
        const rlimit lowered { limit, m_former.rlim_max };
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_former); }
    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
    rlimit m_former {};
};

} // namespace

// Guards against callers who make a host end for its memory, or keep its memory and descriptors, with requests that
// they do not finish.
TEST_CASE("Unfinished requests leave a serving process within its memory and answering")
{
    const auto test = GENERATE(values<ServeCase>({
        { { "large chunks", BodyShape::LargeChunks, wholeBody } },
        { { "one-byte chunks", BodyShape::OneByteChunks, 1'200'000 } },
        { { "declared length", BodyShape::DeclaredLength, wholeBody } },
        { { "declared length, at all listeners", BodyShape::DeclaredLength, wholeBody }, Target::AllListeners },
        { { "declared far over the limit", BodyShape::DeclaredTooLong, 40'000'000 } },
        { { "sent far over the limit", BodyShape::SentTooLong, 40'000'000 } },
        { { "TLS", BodyShape::DeclaredLength, wholeBody, 60, 1, false, true } },
        { { "ten reconnections", BodyShape::LargeChunks, wholeBody, 40, 10 } },
        { { "half of the callers finish", BodyShape::DeclaredLength, wholeBody, 60, 1, true } },
    }));
    TemporaryFolder folder;
    FleetOptions options;
    options.settings = { { "memory_mb", memoryMb } };
    FleetFixture fixture(options);
    if (test.load.usesTls)
        useTls(fixture, folder);
    HttpCall call = fixture.completion("notes", "hello");
    call.timeout = longestAnswer;
    REQUIRE(eventually([&] { return send(call).status == 200; }, longestStart));
    const std::size_t descriptorsBefore = fixture.host().openDescriptors();
    std::vector<std::uint16_t> ports { test.load.usesTls ? fixture.adminPort() : fixture.callerPort() };
    if (test.target == Target::AllListeners)
        ports.insert(ports.end(), { fixture.adminPort(), fixture.relayPort() });
    UnfinishedCallers callers(test.load, ports, headFor("/stock/1"));
    std::size_t descriptors = 0;
    for (std::size_t round = 0; round < test.load.rounds; ++round) {
        callers.disconnect();
        callers.send(longestSending);
        descriptors = std::max(descriptors, fixture.host().openDescriptors());
    }
    if (test.load.finishesHalf)
        callers.finishHalf(longestAnswer);
    const int status = send(call).status;
    const std::size_t peakMb = fixture.host().settledPeakMemoryMb();
    callers.disconnect();
    const bool areClosed = eventually(
        [&] { return fixture.host().openDescriptors() <= descriptorsBefore + freeDescriptors; }, longestLeaving);
    std::cout << "serve, " << test.load.what << ": " << peakMb << " MB at most, " << descriptors
              << " descriptors, status " << status << ", " << fixture.host().state() << '\n';
    INFO(test.load.what);
    CHECK(fixture.host().isRunning());
    CHECK(peakMb <= memoryMb);
    CHECK(descriptors <= descriptorsBefore + test.load.connections + freeDescriptors);
    CHECK(areClosed);
    CHECK(status == 200);
}

// Guards against callers' connections that take all descriptors, so that a host reaches neither its store nor its
// endpoints.
TEST_CASE("Callers' connections leave a serving process descriptors for its store and endpoints")
{
    FleetFixture fixture;
    fixture.stopHost(0);
    {
        const DescriptorLimit limit(lowDescriptorLimit);
        fixture.startHost(0);
    }
    UnfinishedCallers callers(
        { "idle connections", BodyShape::DeclaredLength, 1000 }, { fixture.callerPort() }, headFor("/stock/1"));
    callers.send(longestSending);
    std::this_thread::sleep_for(1s);
    const std::size_t descriptors = fixture.host().openDescriptors();
    callers.disconnect();
    std::cout << "serve, " << lowDescriptorLimit << " descriptors: " << descriptors << " in use\n";
    CHECK(fixture.host().isRunning());
    CHECK(descriptors + reservedDescriptors <= lowDescriptorLimit);
    CHECK(eventually([&] { return send(fixture.completion("notes", "hello")).status == 200; }, longestAnswer));
}
