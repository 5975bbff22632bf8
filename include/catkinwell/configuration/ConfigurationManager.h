#pragma once

#include <catkinwell/configuration/ConfigurationAccess.h>
#include <map>
#include <memory>

namespace Catkinwell {

struct ConfigurationHead;
enum class ConfigurationSource;

// The status of a host's configuration, for operators.
struct ConfigurationStatus {
    ConfigurationVersion version = 0;
    // The newest version that this host has accepted or that a peer has announced.
    ConfigurationVersion newestAnnounced = 0;
    // Whether the last call to the store succeeded.
    bool storeReachable = false;
    // Time since the store last confirmed that the version is the newest; empty if it never did.
    std::optional<Duration> age;
    std::size_t localRevocations = 0;
    std::size_t activeExceptions = 0;
    // Why a configuration was last rejected; empty if none was rejected since the last one was applied.
    std::string lastRejection;
};

// Maintains this host's fleet configuration: watches the store, exchanges versions with peers if the store is slow or
// unreachable, proposes changes, and keeps local key revocations. The version never decreases while the process runs.
// Not thread safe; all calls come from the reducer with a clock that never goes back.
class ConfigurationManager final : public ConfigurationAccess {
public:
    explicit ConfigurationManager(std::uint64_t seed);
    ~ConfigurationManager() override;

    // Drives watches, retries, requests to peers, expiry of exceptions and delayed writes of revocations.
    void tick(MonotonicTime now, WallTime wallNow, EffectList& effects);
    // Handles replies whose identifier belongs to StoreUser::Configuration. Other and late replies are ignored.
    void handle(const StoreReply& reply, MonotonicTime now, EffectList& effects);
    // Answers a peer that asks for a newer version.
    void handle(const HostId& from, const ConfigurationRequest& request, MonotonicTime now, EffectList& effects);
    // Applies a peer's version if it is newer, complete and valid.
    void handle(const HostId& from, const ConfigurationOffer& offer, MonotonicTime now, EffectList& effects);
    // Handles the configuration state in a peer's MembershipDigest. Call it for each digest.
    void noteDigest(const HostId& from, ConfigurationVersion version, const std::vector<std::string>& revokedKeys,
        MonotonicTime now, EffectList& effects);

    // Applies a configuration without the store. Precondition: it is valid. For tests and start-up files.
    void loadInitial(FleetConfiguration configuration);

    // Whether effective() has changed since the last call.
    bool changedSinceLastTake();
    ConfigurationStatus status(MonotonicTime now) const;
    // The keys that are revoked here until an accepted configuration no longer grants them, latest revocation first.
    const std::vector<std::string>& revokedKeys() const { return m_revocationOrder; }

    const FleetConfiguration& accepted() const override { return m_accepted; }
    const FleetConfiguration& effective() const override { return m_effective; }
    void propose(std::uint64_t ticket, ConfigurationVersion expectedVersion, const FleetConfiguration& document,
        const std::string& changeId, MonotonicTime now, EffectList& effects) override;
    std::vector<ProposalResult> takeProposalResults() override;
    // A revocation that exceeds the limit of 1,000 is refused and logged.
    void revokeKeyLocally(const std::string& sha256Hex, MonotonicTime now, EffectList& effects) override;

private:
    struct Store;
    // A peer that announced a newer version.
    struct Claim {
        HostId peer;
        ConfigurationVersion version = 0;
    };

    // Applies the results of the watcher and of finished proposals.
    void collect(MonotonicTime now, EffectList& effects);
    void collectProposals(MonotonicTime now, EffectList& effects);
    bool tryApply(const ConfigurationHead& head, ConfigurationSource source, EffectList& effects);
    void apply(FleetConfiguration configuration, const ConfigurationHead& head, ConfigurationSource source,
        EffectList& effects);
    void reject(
        ConfigurationVersion version, ConfigurationSource source, const std::string& reason, EffectList& effects);
    void keepParts(const ConfigurationHead& head);
    void recomputeEffective();
    void dropObsoleteRevocations();
    bool addRevocation(
        const std::string& sha256Hex, ConfigurationVersion grantedAt, const std::string& from, EffectList& effects);
    void scheduleRevocationWrite(MonotonicTime now, Duration earliest);
    void writeRevocations(MonotonicTime now);
    void requestFromPeers(MonotonicTime now, EffectList& effects);
    void sendRequest(const HostId& peer, MonotonicTime now, EffectList& effects);

    std::unique_ptr<Store> m_store;
    FleetConfiguration m_accepted;
    FleetConfiguration m_effective;
    bool m_changed = false;
    WallTime m_wallNow {};
    std::size_t m_activeExceptions = 0;
    // Revoked keys, each with the newest version that may grant the key according to any host.
    std::map<std::string, ConfigurationVersion> m_revocations;
    std::vector<std::string> m_revocationOrder;
    std::optional<MonotonicTime> m_revocationWriteAt;
    std::vector<Claim> m_claims;
    ConfigurationVersion m_newestAnnounced = 0;
    ConfigurationVersion m_rejectedUpTo = 0;
    std::optional<MonotonicTime> m_behindSince;
    MonotonicTime m_nextPeerRequestAt {};
    MonotonicTime m_offerBudgetAt {};
    unsigned m_offerBudget = 0;
    std::vector<ProposalResult> m_results;
    std::string m_lastRejection;
};

} // namespace Catkinwell
