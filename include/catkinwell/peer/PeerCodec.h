#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/peer/PeerMessage.h>

namespace Catkinwell {

// Largest frame, including MAC and header. Sender and receiver drop larger frames.
inline constexpr std::size_t maximumPeerFrameBytes = 1024 * 1024;

// Encodes a message as CBOR. Thread safe.
std::string encodePeerMessage(const PeerMessage& message);

// Decodes the output of encodePeerMessage, possibly of a newer version: unknown fields are ignored. Errors:
// InvalidMessage for invalid CBOR, an unknown message type, a missing field, a field of the wrong type, and a list or
// string over its limit. Thread safe.
Result<PeerMessage> decodePeerMessage(std::string_view cbor);

} // namespace Catkinwell
