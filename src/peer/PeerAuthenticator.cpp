#include <catkinwell/peer/PeerAuthenticator.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>
#include <catkinwell/core/EnumNames.h>
#include <catkinwell/peer/PeerCodec.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<PeerDropReason, peerDropReasonCount> dropReasonNames { {
        { PeerDropReason::Oversized, "oversized" },
        { PeerDropReason::Malformed, "malformed" },
        { PeerDropReason::Unauthenticated, "unauthenticated" },
        { PeerDropReason::WrongReceiver, "wrong_receiver" },
        { PeerDropReason::OldIncarnation, "old_incarnation" },
        { PeerDropReason::Replayed, "replayed" },
        { PeerDropReason::Undecodable, "undecodable" },
        { PeerDropReason::UnknownPeer, "unknown_peer" },
        { PeerDropReason::SendBufferFull, "send_buffer_full" },
        { PeerDropReason::SendFailed, "send_failed" },
    } };

    constexpr std::size_t macBytes = 32;
    constexpr std::size_t windowBits = 64;
    constexpr std::size_t maximumNameBytes = 256;
    // Ten times the size of the target fleet, because replaced hosts get new names.
    constexpr std::size_t maximumSenders = 4096;
    constexpr char frameVersion = 1;

    // All header fields have a fixed length or a length prefix, so different headers are never encoded as the same
    // bytes. Names are truncated to 255 bytes.
    void appendNumber(std::string& bytes, std::uint64_t number)
    {
        for (int shift = 56; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<char>((number >> shift) & 0xff));
    }
    void appendName(std::string& bytes, const std::string& name)
    {
        const std::size_t size = std::min(name.size(), maximumNameBytes - 1);
        bytes.push_back(static_cast<char>(size));
        bytes.append(name, 0, size);
    }

    // Reads the header's fields in order. After a read past the end, all further reads fail.
    class HeaderReader {
    public:
        explicit HeaderReader(std::string_view bytes)
            : m_rest(bytes)
        {
        }
        std::string_view take(std::size_t size)
        {
            m_failed |= size > m_rest.size();
            if (m_failed)
                return {};
            const auto taken = m_rest.substr(0, size);
            m_rest.remove_prefix(size);
            return taken;
        }
        std::uint64_t takeNumber()
        {
            std::uint64_t number = 0;
            for (const char c : take(8))
                number = number << 8 | static_cast<unsigned char>(c);
            return number;
        }
        std::string_view takeName()
        {
            const auto size = take(1);
            return size.empty() ? size : take(static_cast<unsigned char>(size[0]));
        }
        std::string_view rest() const { return m_rest; }
        bool failed() const { return m_failed; }

    private:
        std::string_view m_rest;
        bool m_failed = false;
    };

} // namespace

std::string_view nameOf(PeerDropReason reason) { return dropReasonNames.nameOf(reason); }

PeerAuthenticator::PeerAuthenticator(HostId self, Incarnation incarnation, std::string clusterSecret)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_secret(std::move(clusterSecret))
{
}

std::string PeerAuthenticator::sign(const HostId& receiver, std::string_view payload)
{
    std::string signedBytes(1, frameVersion);
    appendName(signedBytes, m_self.value);
    appendName(signedBytes, receiver.value);
    appendNumber(signedBytes, m_incarnation);
    appendNumber(signedBytes, ++m_counter);
    signedBytes.append(payload);
    return hmacSha256(m_secret, signedBytes) + signedBytes;
}

std::variant<AuthenticatedPayload, PeerDropReason> PeerAuthenticator::verify(std::string_view frame)
{
    if (frame.size() > maximumPeerFrameBytes)
        return PeerDropReason::Oversized;
    if (frame.size() <= macBytes)
        return PeerDropReason::Malformed;
    // The frame is not parsed before its MAC has been verified.
    const auto signedBytes = frame.substr(macBytes);
    if (!equalInConstantTime(hmacSha256(m_secret, signedBytes), frame.substr(0, macBytes)))
        return PeerDropReason::Unauthenticated;
    HeaderReader reader(signedBytes);
    const auto version = reader.take(1);
    const HostId from { std::string(reader.takeName()) };
    const auto receiver = reader.takeName();
    const Incarnation incarnation = reader.takeNumber();
    const std::uint64_t counter = reader.takeNumber();
    if (reader.failed() || version[0] != frameVersion)
        return PeerDropReason::Malformed;
    if (receiver != m_self.value)
        return PeerDropReason::WrongReceiver;
    if (m_senders.size() >= maximumSenders && m_senders.count(from) == 0)
        evictLeastRecentlyUsed();
    Sender& sender = m_senders[from];
    sender.lastUse = ++m_uses;
    if (incarnation < sender.incarnation)
        return PeerDropReason::OldIncarnation;
    if (incarnation > sender.incarnation)
        sender = Sender { incarnation, 0, 0, m_uses };
    if (!recordCounter(sender, counter))
        return PeerDropReason::Replayed;
    return AuthenticatedPayload { from, incarnation, std::string(reader.rest()) };
}

bool PeerAuthenticator::recordCounter(Sender& sender, std::uint64_t counter)
{
    if (counter > sender.highestCounter) {
        const std::uint64_t step = counter - sender.highestCounter;
        sender.seen = step >= windowBits ? 1 : sender.seen << step | 1;
        sender.highestCounter = counter;
        return true;
    }
    const std::uint64_t age = sender.highestCounter - counter;
    if (counter == 0 || age >= windowBits || (sender.seen >> age & 1) != 0)
        return false;
    sender.seen |= std::uint64_t { 1 } << age;
    return true;
}

void PeerAuthenticator::evictLeastRecentlyUsed()
{
    m_senders.erase(std::min_element(m_senders.begin(), m_senders.end(),
        [](const auto& left, const auto& right) { return left.second.lastUse < right.second.lastUse; }));
}

} // namespace Catkinwell
