#include <catch2/catch.hpp>
#include <catkinwell/peer/PeerAuthenticator.h>
#include <catkinwell/peer/PeerCodec.h>

using namespace Catkinwell;

namespace {

const HostId a("a");
const HostId b("b");

std::string outcomeOf(const std::variant<AuthenticatedPayload, PeerDropReason>& verified)
{
    if (const auto* reason = std::get_if<PeerDropReason>(&verified))
        return std::string(nameOf(*reason));
    return std::get<AuthenticatedPayload>(verified).payload;
}

} // namespace

// Guards against replayed messages, and against dropping messages that arrive out of order.
TEST_CASE("A frame is accepted once, also when frames arrive out of order")
{
    PeerAuthenticator sender(a, 5, "secret");
    PeerAuthenticator receiver(b, 1, "secret");
    std::vector<std::string> frames;
    frames.reserve(100);
    for (int i = 0; i < 100; ++i)
        frames.push_back(sender.sign(b, std::to_string(i)));
    CHECK(outcomeOf(receiver.verify(frames[2])) == "2");
    CHECK(outcomeOf(receiver.verify(frames[0])) == "0");
    CHECK(outcomeOf(receiver.verify(frames[2])) == "replayed");
    CHECK(outcomeOf(receiver.verify(frames[0])) == "replayed");
    CHECK(outcomeOf(receiver.verify(frames[99])) == "99");
    CHECK(outcomeOf(receiver.verify(frames[36])) == "36");
    CHECK(outcomeOf(receiver.verify(frames[36])) == "replayed");
    // frames[35] has counter 36, which is 64 behind the highest and outside the window.
    CHECK(outcomeOf(receiver.verify(frames[35])) == "replayed");
}

// Guards against messages of an earlier run that reset the replay window of a later one.
TEST_CASE("Only a larger incarnation starts a new window")
{
    PeerAuthenticator receiver(b, 1, "secret");
    PeerAuthenticator first(a, 5, "secret");
    PeerAuthenticator second(a, 6, "secret");
    const std::string early = first.sign(b, "early");
    CHECK(outcomeOf(receiver.verify(early)) == "early");
    const std::string next = second.sign(b, "second");
    CHECK(outcomeOf(receiver.verify(next)) == "second");
    CHECK(outcomeOf(receiver.verify(first.sign(b, "late"))) == "old_incarnation");
    CHECK(outcomeOf(receiver.verify(early)) == "old_incarnation");
    CHECK(outcomeOf(receiver.verify(next)) == "replayed");
}

// Guards against forged, modified and misdirected messages.
TEST_CASE("A frame with another secret, receiver or content is rejected")
{
    PeerAuthenticator sender(a, 5, "secret");
    PeerAuthenticator receiver(b, 1, "secret");
    CHECK(outcomeOf(receiver.verify(PeerAuthenticator(a, 5, "other").sign(b, "x"))) == "unauthenticated");
    CHECK(outcomeOf(receiver.verify(sender.sign(HostId("c"), "x"))) == "wrong_receiver");
    const std::string frame = sender.sign(b, "x");
    for (std::size_t i = 0; i < frame.size(); ++i) {
        std::string changed = frame;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        INFO("byte " << i);
        CHECK(outcomeOf(receiver.verify(changed)) == "unauthenticated");
    }
    CHECK(outcomeOf(receiver.verify("short")) == "malformed");
    CHECK(outcomeOf(receiver.verify(std::string(maximumPeerFrameBytes + 1, 'x'))) == "oversized");
    CHECK(outcomeOf(receiver.verify(frame)) == "x");
}
