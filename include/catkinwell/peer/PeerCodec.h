#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/peer/PeerMessage.h>

namespace Catkinwell {

// A frame with its authentication never exceeds this size; larger ones are dropped on both sides.
inline constexpr std::size_t maximumPeerFrameBytes = 1024 * 1024;

// Writes a message as CBOR. Thread safe.
std::string encodePeerMessage(const PeerMessage& message);

// Reads a message that encodePeerMessage wrote, possibly of a newer version: unknown fields are ignored.
// Errors: InvalidMessage for anything else, for a wrong type, for a missing field and for a list or a text beyond its
// bound. Thread safe.
Result<PeerMessage> decodePeerMessage(std::string_view cbor);

} // namespace Catkinwell
