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
    // The frame is too short to contain a message authentication code (MAC), or its header is invalid although the MAC
    // matches.
    Malformed,
    // The MAC does not match: the sender uses another cluster secret, or the frame was modified.
    Unauthenticated,
    // The frame is addressed to another host.
    WrongReceiver,
    // The sender's incarnation is older than the newest one received.
    OldIncarnation,
    // The counter was received before, or is older than the replay window.
    Replayed,
    // The payload is not a message known to this version.
    Undecodable,
    // No address is known for the receiver.
    UnknownPeer,
    // The send buffer is full because the receiver is unreachable or too slow.
    SendBufferFull,
    // The socket could not be opened or rejected the message.
    SendFailed,
};

inline constexpr std::size_t peerDropReasonCount = 10;

std::string_view nameOf(PeerDropReason);

// The payload of a frame whose MAC proves that the sender knows the cluster secret.
struct AuthenticatedPayload {
    HostId from;
    Incarnation incarnation = 0;
    std::string payload;
};

// Signs outgoing and verifies incoming frames with HMAC-SHA-256 under the cluster secret, over sender, receiver,
// incarnation, counter and payload. Accepts each frame once; frames may be reordered by up to 63 counters. A restarted
// receiver has no record of earlier counters, so it may accept once more a frame that its previous run received; the
// same holds for the frames of a sender whose record was evicted. Not thread safe.
class PeerAuthenticator {
public:
    // Precondition: the incarnation is larger than that of every earlier run of this host.
    PeerAuthenticator(HostId self, Incarnation incarnation, std::string clusterSecret);

    // Replaces the secret for all frames from now on. Frames signed with the former one are then unauthenticated.
    void setSecret(std::string clusterSecret) { m_secret = std::move(clusterSecret); }
    // Returns the signed frame for a payload. Each call increments the counter.
    std::string sign(const HostId& receiver, std::string_view payload);
    // Returns the payload, or why the frame must be dropped. Drops are counted by the caller.
    std::variant<AuthenticatedPayload, PeerDropReason> verify(std::string_view frame);

private:
    struct Sender {
        Incarnation incarnation = 0;
        std::uint64_t highestCounter = 0;
        // Bit n is set if the counter highestCounter - n was received.
        std::uint64_t seen = 0;
        std::uint64_t lastUse = 0;
    };

    // Records the counter. Returns false if it was received before or is older than the window.
    static bool recordCounter(Sender& sender, std::uint64_t counter);
    void evictLeastRecentlyUsed();

    HostId m_self;
    Incarnation m_incarnation;
    std::string m_secret;
    std::uint64_t m_counter = 0;
    std::uint64_t m_uses = 0;
    std::map<HostId, Sender> m_senders;
};

} // namespace Catkinwell
