#include <catkinwell/peer/PeerCodec.h>

#include <catkinwell/core/BoundedJson.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maximumDepth = 8;
    constexpr std::size_t maximumNameBytes = 256;
    constexpr std::size_t maximumTextBytes = maximumPeerFrameBytes;
    constexpr std::size_t maximumListEntries = 10000;
    constexpr std::size_t sha256HexDigits = 64;

    // Writes the fields of a message to a JSON object.
    class FieldWriter {
    public:
        void operator()(const char* name, std::uint64_t value) { m_object[name] = value; }
        void operator()(const char* name, std::uint32_t value) { m_object[name] = value; }
        void operator()(const char* name, TokenCount value) { m_object[name] = value; }
        void operator()(const char* name, const std::string& value) { m_object[name] = Json::binary(bytesOf(value)); }
        template <typename Tag> void operator()(const char* name, const Identifier<Tag, std::string>& value)
        {
            (*this)(name, value.value);
        }
        void operator()(const char* name, const std::vector<std::string>& list)
        {
            Json& target = m_object[name] = Json::array();
            for (const auto& text : list)
                target.push_back(Json::binary(bytesOf(text)));
        }
        template <typename Tag> void operator()(const char* name, const std::vector<Identifier<Tag, std::string>>& list)
        {
            Json& target = m_object[name] = Json::array();
            for (const auto& identifier : list)
                target.push_back(Json::binary(bytesOf(identifier.value)));
        }
        void operator()(const char* name, const std::vector<DigestEntry>& list)
        {
            Json& target = m_object[name] = Json::array();
            for (const auto& entry : list)
                target.push_back({ Json::binary(bytesOf(entry.host.value)), entry.incarnation, entry.heartbeat,
                    static_cast<std::uint8_t>(entry.state), entry.ageQuarters });
        }
        void operator()(const char* name, const std::vector<std::pair<std::uint64_t, std::uint32_t>>& list)
        {
            Json& target = m_object[name] = Json::array();
            for (const auto& [fingerprint, crashes] : list)
                target.push_back(Json::array({ fingerprint, crashes }));
        }
        template <typename Value> void optional(const char* name, const Value& value) { (*this)(name, value); }
        Json takeObject() { return std::move(m_object); }

    private:
        static std::vector<std::uint8_t> bytesOf(const std::string& text) { return { text.begin(), text.end() }; }

        Json m_object = Json::object();
    };

    // Reads the fields of a message from a JSON object and keeps the first error.
    class FieldReader {
    public:
        explicit FieldReader(const Json& object)
            : m_object(object)
        {
        }

        template <typename Value> void operator()(const char* name, Value& value)
        {
            const auto found = m_object.find(name);
            if (found == m_object.end())
                fail(name, "is missing");
            else
                read(name, *found, value);
        }
        // Reads a field that older versions do not send; a missing one keeps its default.
        template <typename Value> void optional(const char* name, Value& value)
        {
            const auto found = m_object.find(name);
            if (found != m_object.end())
                read(name, *found, value);
        }
        const std::string& error() const { return m_error; }

    private:
        void fail(const char* name, const std::string& detail)
        {
            if (m_error.empty())
                m_error = "the field \"" + std::string(name) + "\" " + detail;
        }
        void read(const char* name, const Json& found, std::uint64_t& value)
        {
            if (!found.is_number_unsigned())
                return fail(name, "is not an unsigned integer");
            value = found.get<std::uint64_t>();
        }
        void read(const char* name, const Json& found, std::uint32_t& value)
        {
            std::uint64_t wide = 0;
            read(name, found, wide);
            if (wide > std::numeric_limits<std::uint32_t>::max())
                return fail(name, "exceeds 32 bits");
            value = static_cast<std::uint32_t>(wide);
        }
        void read(const char* name, const Json& found, TokenCount& value)
        {
            // Token counts in messages are never negative.
            std::uint64_t wide = 0;
            read(name, found, wide);
            if (wide > static_cast<std::uint64_t>(std::numeric_limits<TokenCount>::max()))
                return fail(name, "exceeds 63 bits");
            value = static_cast<TokenCount>(wide);
        }
        void read(const char* name, const Json& found, std::string& value, std::size_t limit = maximumTextBytes)
        {
            if (!found.is_binary() || found.get_binary().size() > limit)
                return fail(name, "is not a byte string of at most " + std::to_string(limit) + " bytes");
            value.assign(found.get_binary().begin(), found.get_binary().end());
        }
        template <typename Tag> void read(const char* name, const Json& found, Identifier<Tag, std::string>& value)
        {
            read(name, found, value.value, maximumNameBytes);
        }
        template <typename Entry> void read(const char* name, const Json& found, std::vector<Entry>& list)
        {
            if (!found.is_array() || found.size() > maximumListEntries)
                return fail(name, "is not a list of at most " + std::to_string(maximumListEntries) + " entries");
            for (const auto& element : found)
                read(name, element, list.emplace_back());
        }
        void read(const char* name, const Json& found, DigestEntry& entry)
        {
            if (!found.is_array() || found.size() < 4)
                return fail(name, "has an entry without host, incarnation, heartbeat and state");
            read(name, found[0], entry.host);
            read(name, found[1], entry.incarnation);
            read(name, found[2], entry.heartbeat);
            std::uint32_t state = 0;
            read(name, found[3], state);
            if (state > static_cast<std::uint32_t>(HostState::Dead))
                return fail(name, "has an unknown host state");
            entry.state = static_cast<HostState>(state);
            if (found.size() > 4)
                read(name, found[4], entry.ageQuarters);
        }
        void read(const char* name, const Json& found, std::pair<std::uint64_t, std::uint32_t>& entry)
        {
            if (!found.is_array() || found.size() < 2)
                return fail(name, "has an entry without fingerprint and crash count");
            read(name, found[0], entry.first);
            read(name, found[1], entry.second);
        }

        const Json& m_object;
        std::string m_error;
    };

    // List the fields of each message, for both the writer and the reader. The names are short because a digest is sent
    // several times a second and must stay below 1 KB.
    template <typename Archive> void describe(Archive& field, BorrowTokens& message)
    {
        field("account", message.account);
        field("loan", message.loanId);
        field("tokens", message.tokens);
    }
    template <typename Archive> void describe(Archive& field, LendTokens& message)
    {
        field("account", message.account);
        field("loan", message.loanId);
        field("tokens", message.tokens);
    }
    template <typename Archive> void describe(Archive& field, ModelWanted& message)
    {
        field("model", message.model);
        field("waiting", message.waiting);
        field("running", message.running);
        field("arrivals", message.arrivalsSinceLast);
    }
    template <typename Archive> void describe(Archive& field, PlanAnnounced& message)
    {
        field("dc", message.dataCentre);
        field("version", message.planVersion);
        field("plan", message.planJson);
    }
    template <typename Archive> void describe(Archive& field, ForwardedClaim& message)
    {
        field("shard", message.shard);
        field("ticket", message.ticket);
        field("entry", message.entryJson);
    }
    template <typename Archive> void describe(Archive& field, ForwardedClaimResult& message)
    {
        field("ticket", message.ticket);
        field("status", message.status);
        field("entry", message.entryJson);
    }
    template <typename Archive> void describe(Archive& field, MembershipDigest& message)
    {
        field("e", message.entries);
        field("v", message.configurationVersion);
        field("k", message.revokedKeys);
        field("s", message.suspectFingerprints);
        field.optional("p", message.suspectEndpoints);
        field.optional("a", message.replyRequested);
    }
    template <typename Archive> void describe(Archive& field, ConfigurationRequest& message)
    {
        field("have", message.haveVersion);
        field.optional("parts", message.haveParts);
    }
    template <typename Archive> void describe(Archive& field, ConfigurationOffer& message)
    {
        field("version", message.version);
        field("head", message.headJson);
        field("parts", message.parts);
    }

    template <typename Archive> void describe(Archive& field, GatewayEnvelope& message) { field("p", message.payload); }
    template <typename Archive> void describe(Archive& field, PromptQuarantineNews& message)
    {
        field("p", message.payload);
    }

    // The names of the message types, in the order of PeerMessage.
    constexpr std::string_view typeNames[] { "borrow", "lend", "wanted", "plan", "claim", "claimed", "digest",
        "config?", "config", "gateway", "prompts" };
    static_assert(std::size(typeNames) == std::variant_size_v<PeerMessage>);

    Error messageError(const std::string& detail)
    {
        return { ErrorKind::InvalidMessage,
            "peer message: " + detail + "; check that the hosts run compatible versions" };
    }

    // SHA-256 digests are sent as 32 bytes instead of 64 hexadecimal digits.
    std::string hexToBytes(const std::string& digits)
    {
        std::string bytes;
        for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
            bytes.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
        return bytes;
    }
    std::string bytesToHex(const std::string& bytes)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        for (const char c : bytes) {
            text.push_back(digits[static_cast<unsigned char>(c) >> 4]);
            text.push_back(digits[static_cast<unsigned char>(c) & 0xf]);
        }
        return text;
    }
    bool isSha256Hex(const std::string& text)
    {
        return text.size() == sha256HexDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
    }

    template <typename Message> void pack(Message&) { }
    void packDigests(std::vector<std::string>& list)
    {
        std::erase_if(list, [](const std::string& text) { return !isSha256Hex(text); });
        for (auto& text : list)
            text = hexToBytes(text);
    }
    void pack(MembershipDigest& message) { packDigests(message.revokedKeys); }
    void pack(ConfigurationRequest& message) { packDigests(message.haveParts); }

    template <typename Message> bool unpack(Message&) { return true; }
    bool unpackDigests(std::vector<std::string>& list)
    {
        for (auto& bytes : list) {
            if (bytes.size() * 2 != sha256HexDigits)
                return false;
            bytes = bytesToHex(bytes);
        }
        return true;
    }
    bool unpack(MembershipDigest& message) { return unpackDigests(message.revokedKeys); }
    bool unpack(ConfigurationRequest& message) { return unpackDigests(message.haveParts); }

    template <std::size_t index = 0> Result<PeerMessage> readTyped(std::string_view type, const Json& document)
    {
        if constexpr (index < std::variant_size_v<PeerMessage>) {
            if (type != typeNames[index])
                return readTyped<index + 1>(type, document);
            std::variant_alternative_t<index, PeerMessage> message;
            FieldReader reader(document);
            describe(reader, message);
            if (!reader.error().empty())
                return messageError(reader.error());
            if (!unpack(message))
                return messageError("a SHA-256 digest does not have 32 bytes");
            return PeerMessage(std::move(message));
        } else {
            return messageError("the message type is unknown");
        }
    }

} // namespace

std::string encodePeerMessage(const PeerMessage& message)
{
    return std::visit(
        [&](auto copy) {
            pack(copy);
            FieldWriter writer;
            describe(writer, copy);
            Json object = writer.takeObject();
            object["t"] = typeNames[message.index()];
            std::string bytes;
            Json::to_cbor(object, bytes);
            return bytes;
        },
        message);
}

Result<PeerMessage> decodePeerMessage(std::string_view cbor)
{
    if (cbor.size() > maximumPeerFrameBytes)
        return messageError("found " + std::to_string(cbor.size()) + " bytes, expected at most "
            + std::to_string(maximumPeerFrameBytes));
    try {
        const Json document = parseBoundedCbor(cbor, maximumDepth);
        if (document.is_discarded())
            return messageError("not valid CBOR or nested too deeply");
        if (!document.is_object() || !document.contains("t") || !document["t"].is_string())
            return messageError("the message type is missing");
        return readTyped(document["t"].get_ref<const std::string&>(), document);
    } catch (const Json::exception& failure) {
        return messageError(failure.what());
    }
}

} // namespace Catkinwell
