#pragma once

#include <array>
#include <catkinwell/core/Identifiers.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace Catkinwell {

// Why a message was not delivered.
enum class PeerDropReason {
    // The frame is larger than the limit.
    Oversized,
    // The frame or its header cannot be read although its code is right, or it is too short for a code.
    Malformed,
    // The code does not match: the sender has another cluster secret or the frame was altered.
    Unauthenticated,
    // The frame was made for another host.
    WrongReceiver,
    // The sender's incarnation is older than one that was seen.
    OldIncarnation,
    // The counter was seen before or is older than the window.
    Replayed,
    // The payload is not a message that this version knows.
    Undecodable,
    // No address is known for the receiver.
    UnknownPeer,
    // The receiver does not take messages as fast as they are sent.
    SendBufferFull,
    // The socket refused the message.
    SendFailed,
};

inline constexpr std::size_t peerDropReasonCount = 10;

std::string_view nameOf(PeerDropReason);

// The payload of a frame whose sender is proven to know the cluster secret.
struct AuthenticatedPayload {
    HostId from;
    Incarnation incarnation = 0;
    std::string payload;
};

// Signs outgoing and checks incoming frames: HMAC-SHA-256 under the cluster secret over sender, receiver, incarnation,
// counter and payload. A frame is accepted once; frames may overtake each other by up to 63 counters. A restarted
// receiver has an empty memory, so it may accept once more a frame that was sent to its earlier run.
// Not thread safe.
class PeerAuthenticator {
public:
    // Precondition: the incarnation is larger than that of every earlier run of this host.
    PeerAuthenticator(HostId self, Incarnation incarnation, std::string clusterSecret);

    // Returns the frame for the payload. Each call uses the next counter.
    std::string seal(const HostId& receiver, std::string_view payload);
    // Returns the payload, or why the frame must be dropped. Drops are counted by the caller.
    std::variant<AuthenticatedPayload, PeerDropReason> open(std::string_view frame);

private:
    struct Sender {
        Incarnation incarnation = 0;
        std::uint64_t highestCounter = 0;
        // Bit n stands for highestCounter - n.
        std::uint64_t seen = 0;
        std::uint64_t lastUse = 0;
    };

    // Returns whether the counter is new, and remembers it.
    static bool remember(Sender& sender, std::uint64_t counter);
    void forgetLeastRecentlyUsed();

    HostId m_self;
    Incarnation m_incarnation;
    std::string m_secret;
    std::uint64_t m_counter = 0;
    std::uint64_t m_uses = 0;
    std::map<HostId, Sender> m_senders;
};

} // namespace Catkinwell
