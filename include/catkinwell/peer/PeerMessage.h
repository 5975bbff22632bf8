#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/TokenAmount.h>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Catkinwell {

// shares: asks a peer to lend tokens for one waiting request.
struct BorrowTokens {
    AccountId account;
    // Unique within the borrower's incarnation.
    std::uint64_t loanId = 0;
    TokenCount tokens = 0;
};

// shares: the reply to BorrowTokens. The lender has already debited the tokens; 0 means that it lends none.
struct LendTokens {
    AccountId account;
    std::uint64_t loanId = 0;
    TokenCount tokens = 0;
};

// placement: reports to the data centre's placement owner how many requests wait for a model or use it.
struct ModelWanted {
    ModelId model;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t arrivalsSinceLast = 0;
};

// placement: the owner's plan, in the form in which it is stored.
struct PlanAnnounced {
    DataCentreId dataCentre;
    std::uint64_t planVersion = 0;
    std::string planJson;
};

// orders: a claim that is forwarded to the shard's preferred host.
struct ForwardedClaim {
    std::uint32_t shard = 0;
    std::uint64_t ticket = 0;
    std::string entryJson;
};

// orders: the result of a forwarded claim.
struct ForwardedClaimResult {
    std::uint64_t ticket = 0;
    // Name of a ClaimStatus.
    std::string status;
    std::string entryJson;
};

enum class HostState : std::uint8_t {
    Alive,
    Suspected,
    Leaving,
    Dead,
};

std::string_view nameOf(HostState);

struct DigestEntry {
    HostId host;
    Incarnation incarnation = 0;
    std::uint64_t heartbeat = 0;
    HostState state = HostState::Alive;
    // Time since the heartbeat last advanced, in units of 250 ms, at most 255.
    std::uint32_t ageQuarters = 0;
};

// membership: a size-limited part of the sender's view of the fleet.
struct MembershipDigest {
    std::vector<DigestEntry> entries;
    ConfigurationVersion configurationVersion = 0;
    // SHA-256 digests of keys that an operator revoked locally.
    std::vector<std::string> revokedKeys;
    // Fingerprints of requests that were running when an endpoint crashed, each with its number of crashes.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> suspectFingerprints;
    // Endpoints that the sender's own attempts found unresponsive.
    std::vector<EndpointId> suspectEndpoints {};
    // 1 to request a digest in reply at once, because the sender has had no news of the receiver for long.
    std::uint32_t replyRequested = 0;
};

// configuration: requests the head and parts of a newer version.
struct ConfigurationRequest {
    ConfigurationVersion haveVersion = 0;
    // Content hashes of the parts that the sender has, so that the reply contains only the others.
    std::vector<std::string> haveParts {};
};

// configuration: the reply to ConfigurationRequest.
struct ConfigurationOffer {
    ConfigurationVersion version = 0;
    std::string headJson;
    // Texts of the parts that the requester lacks; only some of them if the message would be too large.
    std::vector<std::string> parts;
};

// gateway: one message between gateways, in the encoding of GatewayMessage.h.
struct GatewayEnvelope {
    std::string payload;
};

// prompt quarantine: crash reports, answers and refusals, in the encoding of PromptQuarantineCodec.h.
struct PromptQuarantineNews {
    std::string payload;
};

using PeerMessage
    = std::variant<BorrowTokens, LendTokens, ModelWanted, PlanAnnounced, ForwardedClaim, ForwardedClaimResult,
        MembershipDigest, ConfigurationRequest, ConfigurationOffer, GatewayEnvelope, PromptQuarantineNews>;

// An effect: sends a message to one host. Delivery is not guaranteed.
struct SendToPeer {
    HostId to;
    PeerMessage message;
};

// An event: an authenticated message from another host.
struct PeerMessageReceived {
    HostId from;
    Incarnation incarnation = 0;
    PeerMessage message;
};

} // namespace Catkinwell
