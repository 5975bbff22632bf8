#include "orders/ShardValue.h"

#include "http/FieldSyntax.h"
#include <algorithm>
#include <catkinwell/core/BoundedJson.h>
#include <catkinwell/core/Digest.h>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view formatMark = "CWO1";
    constexpr std::size_t counterSize = 4;
    constexpr std::size_t prefixSize = 4 + counterSize;
    constexpr std::size_t lengthSize = 3;
    constexpr std::size_t timeSize = 4;
    constexpr std::size_t frameHeaderSize = lengthSize + timeSize + shortDigestSize;

    void appendBigEndian(std::string& text, std::uint64_t value, std::size_t size)
    {
        for (std::size_t i = size; i-- > 0;)
            text.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
    }

    std::uint64_t readBigEndian(std::string_view text)
    {
        std::uint64_t value = 0;
        for (const char c : text)
            value = (value << 8) | static_cast<unsigned char>(c);
        return value;
    }

    Json binaryOf(std::string_view text) { return Json::binary({ text.begin(), text.end() }); }

    std::string textOf(const Json& json)
    {
        const auto& bytes = json.get_binary();
        return { bytes.begin(), bytes.end() };
    }

    Json outcomeToJson(const StoredOutcome& outcome)
    {
        Json headers = Json::array();
        for (const auto& [name, value] : outcome.headers) {
            headers.push_back(binaryOf(name));
            headers.push_back(binaryOf(value));
        }
        return Json::array({ outcome.status, static_cast<int>(outcome.bodyStorage), std::move(headers),
            binaryOf(outcome.body), outcome.bodyDigest });
    }

    // Whether the outcome is one that a response may have, unlike some that earlier releases recorded.
    bool isResponse(const StoredOutcome& outcome)
    {
        const bool hasFinalStatus = outcome.status >= 200 && outcome.status <= 599;
        return hasFinalStatus && std::all_of(outcome.headers.begin(), outcome.headers.end(), [](const auto& header) {
            return isToken(header.first) && isFieldValue(header.second);
        });
    }

    // Throws Json::exception if the outcome is malformed.
    StoredOutcome outcomeFromJson(const Json& json)
    {
        StoredOutcome outcome;
        outcome.status = json.at(0).get<int>();
        outcome.bodyStorage = static_cast<BodyStorage>(json.at(1).get<int>());
        const Json& headers = json.at(2);
        for (std::size_t i = 0; i + 1 < headers.size(); i += 2)
            outcome.headers.emplace_back(textOf(headers[i]), textOf(headers[i + 1]));
        outcome.body = textOf(json.at(3));
        outcome.bodyDigest = json.at(4).get<std::string>();
        if (!isResponse(outcome))
            throw Json::other_error::create(501, "the outcome is no valid response", nullptr);
        return outcome;
    }

    std::string cborOf(const Json& json)
    {
        std::string text;
        Json::to_cbor(json, text);
        return text;
    }

    std::string payloadOf(const ClaimEntry& entry)
    {
        Json json = Json::array({ binaryOf(entry.body), static_cast<int>(entry.state), entry.owner.host.value,
            entry.owner.incarnation, entry.owner.nonce });
        if (entry.state == EntryState::Done)
            json.push_back(outcomeToJson(entry.outcome));
        return cborOf(json);
    }

    std::optional<ClaimEntry> entryFromPayload(std::string_view payload)
    {
        const Json json = parseBoundedCbor(payload);
        if (json.is_discarded())
            return std::nullopt;
        try {
            ClaimEntry entry;
            entry.body = textOf(json.at(0));
            entry.state = static_cast<EntryState>(json.at(1).get<int>());
            entry.owner.host = HostId(json.at(2).get<std::string>());
            entry.owner.incarnation = json.at(3).get<Incarnation>();
            entry.owner.nonce = json.at(4).get<std::uint64_t>();
            if (entry.state == EntryState::Done)
                entry.outcome = outcomeFromJson(json.at(5));
            return entry;
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

    void appendFrame(std::string& text, const ClaimEntry& entry)
    {
        const std::string payload = payloadOf(entry);
        appendBigEndian(text, payload.size(), lengthSize);
        appendBigEndian(text, entry.claimedAt, timeSize);
        text += entry.key;
        text += payload;
    }

    std::string hexToBytes(std::string_view hex)
    {
        std::string bytes;
        for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
            unsigned value = 0;
            std::from_chars(hex.data() + i, hex.data() + i + 2, value, 16);
            bytes.push_back(static_cast<char>(value));
        }
        return bytes;
    }

} // namespace

ShortDigest shortDigestOf(std::string_view data) { return hexToBytes(sha256Hex(data).substr(0, 2 * shortDigestSize)); }

std::optional<ShardValue> ShardValue::decode(std::string text)
{
    ShardValue value;
    value.m_text = std::move(text);
    if (!value.buildIndex())
        return std::nullopt;
    return value;
}

bool ShardValue::buildIndex()
{
    if (m_text.empty())
        return true;
    const std::string_view text = m_text;
    if (!text.starts_with(formatMark) || text.size() < prefixSize)
        return false;
    std::size_t offset = prefixSize;
    while (offset < text.size()) {
        if (text.size() - offset < frameHeaderSize)
            return false;
        const std::size_t size = frameHeaderSize + readBigEndian(text.substr(offset, lengthSize));
        if (text.size() - offset < size)
            return false;
        const auto key = text.substr(offset + lengthSize + timeSize, shortDigestSize);
        if (!m_index.emplace(ShortDigest(key), Span { offset, size }).second)
            return false;
        offset += size;
    }
    return true;
}

std::optional<ClaimEntry> ShardValue::find(const ShortDigest& key) const
{
    const auto found = m_index.find(key);
    if (found == m_index.end())
        return std::nullopt;
    const auto frame = std::string_view(m_text).substr(found->second.offset, found->second.size);
    auto entry = entryFromPayload(frame.substr(frameHeaderSize));
    if (!entry) {
        entry.emplace();
        entry->state = EntryState::Unknown;
    }
    entry->key = key;
    entry->claimedAt = static_cast<std::uint32_t>(readBigEndian(frame.substr(lengthSize, timeSize)));
    return entry;
}

std::vector<ClaimEntry> ShardValue::expiredWithSeparateValue(std::uint32_t expireBefore) const
{
    std::vector<ClaimEntry> expired;
    const std::string_view text = m_text;
    for (const auto& [key, span] : m_index) {
        if (readBigEndian(text.substr(span.offset + lengthSize, timeSize)) >= expireBefore)
            continue;
        auto entry = find(key);
        if (entry->state == EntryState::Done && entry->outcome.bodyStorage == BodyStorage::SeparateValue)
            expired.push_back(std::move(*entry));
    }
    return expired;
}

ShardValue ShardValue::edited(const Changes& changes, std::uint32_t expireBefore) const
{
    ShardValue result;
    result.m_text.reserve(m_text.size() + 512 * changes.size());
    result.m_text = formatMark;
    const std::string_view text = m_text;
    const auto edits = text.empty() ? 0 : readBigEndian(text.substr(formatMark.size(), counterSize));
    appendBigEndian(result.m_text, edits + 1, counterSize);
    for (std::size_t offset = prefixSize; offset < text.size();) {
        const std::size_t size = frameHeaderSize + readBigEndian(text.substr(offset, lengthSize));
        const auto claimedAt = readBigEndian(text.substr(offset + lengthSize, timeSize));
        const ShortDigest key(text.substr(offset + lengthSize + timeSize, shortDigestSize));
        if (claimedAt >= expireBefore && !changes.contains(key))
            result.m_text += text.substr(offset, size);
        offset += size;
    }
    for (const auto& [key, entry] : changes) {
        if (entry)
            appendFrame(result.m_text, *entry);
    }
    result.buildIndex();
    return result;
}

std::size_t encodedSize(const ClaimEntry& entry) { return frameHeaderSize + payloadOf(entry).size(); }

std::string encodeOutcome(const StoredOutcome& outcome) { return cborOf(outcomeToJson(outcome)); }

std::optional<StoredOutcome> decodeOutcome(std::string_view text)
{
    const Json json = parseBoundedCbor(text);
    if (json.is_discarded())
        return std::nullopt;
    try {
        return outcomeFromJson(json);
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string entryToJson(const ClaimEntry& entry)
{
    const auto bytesOf = [](const std::string& text) { return std::vector<std::uint8_t>(text.begin(), text.end()); };
    return Json {
        { "key", bytesOf(entry.key) }, { "body", bytesOf(entry.body) }, { "host", entry.owner.host.value },
        { "incarnation", entry.owner.incarnation }, { "nonce", entry.owner.nonce }, { "claimed_at", entry.claimedAt }
    }.dump();
}

std::optional<ClaimEntry> entryFromJson(std::string_view text)
{
    const Json json = parseBoundedJson(text);
    if (json.is_discarded())
        return std::nullopt;
    try {
        const auto digestAt = [&](const char* name) {
            const auto bytes = json.at(name).get<std::vector<std::uint8_t>>();
            return ShortDigest(bytes.begin(), bytes.end());
        };
        ClaimEntry entry;
        entry.key = digestAt("key");
        entry.body = digestAt("body");
        entry.owner.host = HostId(json.at("host").get<std::string>());
        entry.owner.incarnation = json.at("incarnation").get<Incarnation>();
        entry.owner.nonce = json.at("nonce").get<std::uint64_t>();
        entry.claimedAt = json.at("claimed_at").get<std::uint32_t>();
        if (entry.key.size() != shortDigestSize || entry.body.size() != shortDigestSize)
            return std::nullopt;
        return entry;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace Catkinwell
