#pragma once

#include <catkinwell/core/Identifiers.h>
#include <catkinwell/http/HttpTypes.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

// The first 16 bytes of a SHA-256 digest. 128 bits keep entries short, and the probability of
// an accidental collision among a billion keys is below 1e-20.
using ShortDigest = std::string;
inline constexpr std::size_t shortDigestSize = 16;

ShortDigest shortDigestOf(std::string_view data);

enum class EntryState : std::uint8_t {
    Claimed,
    Done,
    Unknown,
};

enum class BodyStorage : std::uint8_t {
    // Headers and body are in the shard's value.
    Inline,
    // Headers and body are in a separate store value.
    SeparateValue,
    // Only the status and the digest of the body are stored.
    Omitted,
};

struct ClaimOwner {
    HostId host;
    Incarnation incarnation = 0;
    std::uint64_t nonce = 0;

    friend bool operator==(const ClaimOwner&, const ClaimOwner&) = default;
};

struct StoredOutcome {
    int status = 0;
    HeaderList headers;
    std::string body;
    BodyStorage bodyStorage = BodyStorage::Inline;
    std::string bodyDigest;
};

struct ClaimEntry {
    ShortDigest key;
    ShortDigest body;
    EntryState state = EntryState::Claimed;
    ClaimOwner owner;
    // Wall-clock seconds since the epoch; used only for expiry.
    std::uint32_t claimedAt = 0;
    // Valid if state is Done.
    StoredOutcome outcome;
};

// The stored entries of one shard: a format mark, an edit counter and a sequence of frames (payload
// length, time of the claim, key digest, CBOR payload). An edit copies unchanged frames as bytes, and
// only requested entries are decoded. The counter makes every edit produce a different value, because
// a store may keep the version when an unchanged value is written. Not thread-safe.
class ShardValue {
public:
    // Returns nothing if the text does not have this format. An empty text is an empty shard.
    static std::optional<ShardValue> decode(std::string text);

    const std::string& text() const { return m_text; }
    std::size_t entryCount() const { return m_index.size(); }
    // Returns nothing if there is no entry. An entry that cannot be decoded is returned in state
    // Unknown without an owner, so that its key does not appear to be free.
    std::optional<ClaimEntry> find(const ShortDigest& key) const;
    // Returns the entries claimed before the given time whose outcome is in a separate value.
    std::vector<ClaimEntry> expiredWithSeparateValue(std::uint32_t expireBefore) const;

    // Adds and replaces entries, removes those mapped to nothing, and drops unchanged entries claimed before
    // expireBefore.
    using Changes = std::map<ShortDigest, std::optional<ClaimEntry>>;
    ShardValue edited(const Changes&, std::uint32_t expireBefore) const;

private:
    struct Span {
        std::size_t offset = 0;
        std::size_t size = 0;
    };

    bool buildIndex();

    std::string m_text;
    std::unordered_map<ShortDigest, Span> m_index;
};

// The entry's size in a shard's value, in bytes.
std::size_t encodedSize(const ClaimEntry&);

// Encodes an outcome that is stored in a separate value.
std::string encodeOutcome(const StoredOutcome&);
// Returns nothing if the text is malformed or the outcome is no valid response.
std::optional<StoredOutcome> decodeOutcome(std::string_view);

// Encodes and decodes an entry for messages between hosts. entryFromJson() returns nothing if the text is malformed.
std::string entryToJson(const ClaimEntry&);
std::optional<ClaimEntry> entryFromJson(std::string_view);

} // namespace Catkinwell
