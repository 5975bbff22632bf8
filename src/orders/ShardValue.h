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

// The first 16 bytes of a SHA-256 digest. 128 bits keep an entry short and make
// an accidental collision among a billion keys less likely than 1e-20.
using ShortDigest = std::string;
inline constexpr std::size_t shortDigestSize = 16;

ShortDigest shortDigestOf(std::string_view data);

enum class EntryState : std::uint8_t {
    Claimed,
    Done,
    Unknown,
};

enum class BodyPlace : std::uint8_t {
    // In the shard's value.
    Inline,
    // Headers and body are in a store value of their own.
    OwnValue,
    // Only the status and the body's digest are kept.
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
    BodyPlace place = BodyPlace::Inline;
    std::string bodyDigest;
};

struct ClaimEntry {
    ShortDigest key;
    ShortDigest body;
    EntryState state = EntryState::Claimed;
    ClaimOwner owner;
    // Wall-clock seconds since the epoch, for the retention alone.
    std::uint32_t claimedAt = 0;
    // Set when state is Done.
    StoredOutcome outcome;
};

// The entries of one shard as they are stored. The value is a count of edits and a sequence of
// frames (payload length, time of the claim, key digest, CBOR payload), so that an edit copies bytes
// and only the entries that are asked for are decoded. The count makes every edit a different
// text: a store may keep the version of a value that is written again unchanged. Not thread safe.
class ShardValue {
public:
    // Returns nothing when the text is not a shard value of this format. An empty text is an empty shard.
    static std::optional<ShardValue> decode(std::string text);

    const std::string& text() const { return m_text; }
    std::size_t entryCount() const { return m_index.size(); }
    // Returns nothing when there is no entry. An entry that cannot be decoded comes
    // back in state Unknown without an owner, so that its key is not taken for a free one.
    std::optional<ClaimEntry> find(const ShortDigest& key) const;
    // Returns the entries that were claimed before the given time and keep their outcome in a value of its own.
    std::vector<ClaimEntry> expiredWithOwnValue(std::uint32_t expireBefore) const;

    // Replaces, adds or (with nothing) removes entries, and drops all that were claimed before expireBefore.
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

// Bytes that an entry takes in a shard's value.
std::size_t encodedSize(const ClaimEntry&);

// The value of an outcome that is kept apart from its shard.
std::string encodeOutcome(const StoredOutcome&);
std::optional<StoredOutcome> decodeOutcome(std::string_view);

// An entry as peers exchange it; nothing when the text is malformed.
std::string entryToJson(const ClaimEntry&);
std::optional<ClaimEntry> entryFromJson(std::string_view);

} // namespace Catkinwell
