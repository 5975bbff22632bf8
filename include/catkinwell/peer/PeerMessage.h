#pragma once

#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/TokenAmount.h>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Catkinwell {

// shares: asks a peer to give tokens for one waiting request.
struct BorrowTokens {
    AccountId account;
    // Unique for the borrower's incarnation.
    std::uint64_t loanId = 0;
    TokenCount tokens = 0;
};

// shares: the answer; the lender has already debited the tokens. 0 means that it has none to spare.
struct LendTokens {
    AccountId account;
    std::uint64_t loanId = 0;
    TokenCount tokens = 0;
};

// placement: tells the data centre's owner that requests wait for, or use, a model.
struct ModelWanted {
    ModelId model;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t arrivalsSinceLast = 0;
};

// placement: the owner's plan, as stored.
struct PlanAnnounced {
    DataCentreId dataCentre;
    std::uint64_t planVersion = 0;
    std::string planJson;
};

// orders: claims forwarded to the shard's preferred host, and what became of them.
struct ForwardedClaim {
    std::uint32_t shard = 0;
    std::uint64_t ticket = 0;
    std::string entryJson;
};

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
    // How long ago the heartbeat advanced, in quarters of a second, at most 255.
    std::uint32_t ageQuarters = 0;
};

// membership: a bounded part of what the sender knows.
struct MembershipDigest {
    std::vector<DigestEntry> entries;
    ConfigurationVersion configurationVersion = 0;
    // Digests of keys that an operator revoked locally.
    std::vector<std::string> revokedKeys;
    // Fingerprints of requests that were running when an endpoint died, with the number of crashes.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> suspectFingerprints;
    // Endpoints that the sender's own attempts found unresponsive.
    std::vector<EndpointId> suspectEndpoints {};
    // 1 if the sender has not heard of the receiver for long and asks for a digest at once.
    std::uint32_t answerWanted = 0;
};

// configuration: asks for the head and parts of a version, and the answer.
struct ConfigurationRequest {
    ConfigurationVersion haveVersion = 0;
    // Content hashes of the parts that the sender has, so that the answer carries only the others.
    std::vector<std::string> haveParts {};
};

struct ConfigurationOffer {
    ConfigurationVersion version = 0;
    std::string headJson;
    // Texts of parts that the asker lacks; an answer that would be too large carries only some of them.
    std::vector<std::string> parts;
};

// gateway: one message between gateways, in the encoding of GatewayMessage.h.
struct GatewayEnvelope {
    std::string payload;
};

using PeerMessage = std::variant<BorrowTokens, LendTokens, ModelWanted, PlanAnnounced, ForwardedClaim,
    ForwardedClaimResult, MembershipDigest, ConfigurationRequest, ConfigurationOffer, GatewayEnvelope>;

// An effect: sends a message to one host. Delivery is not guaranteed.
struct SendToPeer {
    HostId to;
    PeerMessage message;
};

// An event: an authenticated message of another host.
struct PeerMessageReceived {
    HostId from;
    Incarnation incarnation = 0;
    PeerMessage message;
};

} // namespace Catkinwell
