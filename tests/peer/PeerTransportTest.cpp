#include <catch2/catch.hpp>
#include <catkinwell/peer/PeerTransport.h>
#include <event2/event.h>
#include <memory>

using namespace Catkinwell;

namespace {

struct Loop {
    std::unique_ptr<event_base, decltype(&event_base_free)> base { event_base_new(), &event_base_free };

    // Runs the loop until the condition holds, for at most 5 s. Returns whether it holds.
    template <typename Condition> bool runUntil(Condition condition)
    {
        SystemClock clock;
        const MonotonicTime end = clock.monotonicNow() + std::chrono::seconds(5);
        while (!condition() && clock.monotonicNow() < end) {
            const timeval step { 0, 5000 };
            event_base_loopexit(base.get(), &step);
            event_base_dispatch(base.get());
        }
        return condition();
    }
};

PeerTransportSettings settingsFor(const char* name, const char* secret)
{
    return { HostId(name), 1, "127.0.0.1:0", secret };
}

std::string addressOf(const PeerTransport& transport) { return "127.0.0.1:" + std::to_string(transport.port()); }

} // namespace

// Guards against messages lost over real sockets, and against accepting messages from hosts with another secret.
TEST_CASE("Only messages from hosts with the cluster secret are received")
{
    Loop loop;
    PeerTransport receiver(loop.base.get(), settingsFor("a", "secret"));
    PeerTransport trusted(loop.base.get(), settingsFor("b", "secret"));
    PeerTransport untrusted(loop.base.get(), settingsFor("c", "other"));
    std::vector<PeerMessageReceived> received;
    receiver.messageReceived().connect([&](const PeerMessageReceived& message) { received.push_back(message); });
    for (auto* transport : { &receiver, &trusted, &untrusted })
        REQUIRE_FALSE(isError(transport->start()));
    trusted.setPeerAddresses({ { HostId("a"), addressOf(receiver) } });
    untrusted.setPeerAddresses({ { HostId("a"), addressOf(receiver) } });
    ConfigurationOffer large { 5, "{}", { std::string(900000, 'x') } };
    untrusted.send({ HostId("a"), ConfigurationRequest { 1, {} } });
    trusted.send({ HostId("a"), large });
    CHECK(loop.runUntil(
        [&] { return received.size() == 1 && receiver.droppedCount(PeerDropReason::Unauthenticated) == 1; }));
    REQUIRE(received.size() == 1);
    CHECK(received[0].from == HostId("b"));
    CHECK(std::get<ConfigurationOffer>(received[0].message).parts == large.parts);
}

// Guards against a host that cannot be heard once the secret of the fleet has changed.
TEST_CASE("A changed secret takes effect on connections that are open")
{
    Loop loop;
    PeerTransport receiver(loop.base.get(), settingsFor("a", "former"));
    PeerTransport sender(loop.base.get(), settingsFor("b", "former"));
    std::size_t received = 0;
    receiver.messageReceived().connect([&](const PeerMessageReceived&) { ++received; });
    for (auto* transport : { &receiver, &sender })
        REQUIRE_FALSE(isError(transport->start()));
    sender.setPeerAddresses({ { HostId("a"), addressOf(receiver) } });
    sender.send({ HostId("a"), ConfigurationRequest { 1, {} } });
    REQUIRE(loop.runUntil([&] { return received == 1; }));
    sender.setSecret("present");
    sender.send({ HostId("a"), ConfigurationRequest { 2, {} } });
    CHECK(loop.runUntil([&] { return receiver.droppedCount(PeerDropReason::Unauthenticated) == 1; }));
    receiver.setSecret("present");
    sender.send({ HostId("a"), ConfigurationRequest { 3, {} } });
    CHECK(loop.runUntil([&] { return received == 2; }));
    CHECK(sender.connectionCount() == 1);
}

// Guards against an unreachable peer that blocks the loop or exhausts memory.
TEST_CASE("Messages for an unreachable peer are dropped and counted once its buffer is full")
{
    Loop loop;
    PeerTransport sender(loop.base.get(), settingsFor("a", "secret"));
    REQUIRE_FALSE(isError(sender.start()));
    // Port 1 refuses connections.
    sender.setPeerAddresses({ { HostId("b"), "127.0.0.1:1" } });
    constexpr std::uint64_t sent = 100;
    for (std::uint64_t i = 0; i < sent; ++i)
        sender.send({ HostId("b"), ConfigurationRequest { i, {} } });
    CHECK(sender.droppedCount(PeerDropReason::SendBufferFull) >= sent - 17);
    sender.send({ HostId("unknown"), ConfigurationRequest {} });
    CHECK(sender.droppedCount(PeerDropReason::UnknownPeer) == 1);
    sender.send({ HostId("b"), ConfigurationOffer { 1, "", { std::string(1100000, 'x') } } });
    CHECK(sender.droppedCount(PeerDropReason::Oversized) == 1);
}

// Guards against addresses that are fixed at the start; a replaced host has a new address.
TEST_CASE("A peer's address can change at runtime")
{
    Loop loop;
    PeerTransport sender(loop.base.get(), settingsFor("a", "secret"));
    PeerTransport receiver(loop.base.get(), settingsFor("b", "secret"));
    int received = 0;
    receiver.messageReceived().connect([&](const PeerMessageReceived&) { ++received; });
    REQUIRE_FALSE(isError(sender.start()));
    REQUIRE_FALSE(isError(receiver.start()));
    sender.setPeerAddresses({ { HostId("b"), "127.0.0.1:1" } });
    sender.send({ HostId("b"), ConfigurationRequest {} });
    sender.setPeerAddresses({ { HostId("b"), addressOf(receiver) } });
    CHECK(sender.connectionCount() == 0);
    sender.send({ HostId("b"), ConfigurationRequest {} });
    CHECK(loop.runUntil([&] { return received == 1; }));
}

// Guards against an unusable listen address that is noticed only because messages are missing.
TEST_CASE("start() fails for a listen address that cannot be used")
{
    Loop loop;
    auto settings = settingsFor("a", "secret");
    settings.listenAddress = "192.0.2.1:9000";
    PeerTransport transport(loop.base.get(), settings);
    const auto status = transport.start();
    REQUIRE(isError(status));
    CHECK(errorOf(status).kind == ErrorKind::InvalidSettings);
}
