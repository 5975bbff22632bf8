#pragma once

#include "FakeStore.h"

#include <catkinwell/configuration/ConfigurationManager.h>
#include <memory>
#include <set>

namespace Catkinwell {

// The events of a run. The checkers read only this record.
struct ConfigurationRecord {
    struct InForce {
        double seconds = 0;
        std::size_t host = 0;
        ConfigurationVersion version = 0;
    };
    struct Head {
        double seconds = 0;
        std::string text;
    };
    struct Proposal {
        std::string changeId;
        ConfigurationVersion expectedVersion = 0;
        std::string outcome = "none";
        ConfigurationVersion acceptedVersion = 0;
    };
    struct KeyChange {
        double seconds = 0;
        std::size_t host = 0;
        bool inForce = false;
    };
    // A time in which the store runs and the host can reach it.
    struct Connection {
        std::size_t host = 0;
        double from = 0;
        double to = 0;
    };
    std::vector<InForce> inForce;
    std::vector<Head> heads;
    std::map<std::uint64_t, Proposal> proposals;
    std::vector<KeyChange> keyChanges;
    std::vector<Connection> connections;
    std::size_t hosts = 0;
    double end = 0;
};

inline const std::string simulatedKey(64, 'c');

// Simulates several ConfigurationManagers, a faulty store, lossy links between the hosts, and concurrent operators.
class ConfigurationSimulation {
public:
    ConfigurationSimulation(std::size_t hosts, std::uint64_t seed)
        : random(seed)
        , store(random.next())
    {
        record.hosts = hosts;
        storeLinked.assign(hosts, true);
        m_connectedSince.assign(hosts, -1);
        m_keyWasInForce.assign(hosts, false);
        for (std::size_t i = 0; i < hosts; ++i)
            managers.push_back(std::make_unique<ConfigurationManager>(random.next()));
        store.written = [this](const std::string& key, const std::string& value) {
            if (key == "config/head")
                record.heads.push_back({ seconds(), value });
        };
    }

    double seconds() const { return std::chrono::duration<double>(now.time_since_epoch()).count(); }

    void runFor(double duration)
    {
        for (const double end = seconds() + duration; seconds() < end;)
            step();
        record.end = seconds();
        noteConnections(true);
    }

    // Proposes on the host, like an operator, to add an account to the version that the host has accepted.
    void proposeOn(std::size_t host)
    {
        const std::uint64_t ticket = ++m_lastTicket;
        FleetConfiguration document = managers[host]->accepted();
        const AccountId account("op-" + std::to_string(ticket));
        document.accounts[account].id = account;
        if (document.version == 0)
            document.keys[simulatedKey] = { simulatedKey, account, "" };
        const std::string changeId = "change-" + std::to_string(ticket);
        record.proposals[ticket] = { changeId, document.version };
        perform(host, [&](EffectList& effects) {
            managers[host]->propose(ticket, document.version, document, changeId, now, effects);
        });
    }

    void perform(std::size_t host, const std::function<void(EffectList&)>& action)
    {
        EffectList effects;
        action(effects);
        for (auto& effect : effects) {
            if (const auto* call = std::get_if<StoreCall>(&effect))
                store.call(*call, storeLinked[host], now, [this, host](const StoreReply& reply) {
                    if (frozen.count(host) != 0)
                        return;
                    perform(host, [&](EffectList& next) { managers[host]->handle(reply, now, next); });
                });
            else if (const auto* send = std::get_if<SendToPeer>(&effect))
                post(host, std::stoul(send->to.value), send->message);
        }
        observe(host);
    }

    MonotonicTime now {};
    RandomGenerator random;
    FakeStore store;
    std::vector<std::unique_ptr<ConfigurationManager>> managers;
    std::vector<bool> storeLinked;
    std::function<bool(std::size_t, std::size_t)> linked = [](std::size_t, std::size_t) { return true; };
    double lossRate = 0;
    // Hosts that receive no events, for the test of a checker.
    std::set<std::size_t> frozen;
    bool digestsCarryVersions = true;
    bool digestsCarryRevocations = true;
    ConfigurationRecord record;

private:
    void step()
    {
        now += std::chrono::milliseconds(20);
        store.advance(now);
        for (; !m_posts.empty() && m_posts.begin()->first <= now; m_posts.erase(m_posts.begin()))
            m_posts.begin()->second();
        for (std::size_t host = 0; host < managers.size(); ++host) {
            if (frozen.count(host) != 0)
                continue;
            perform(host, [&](EffectList& effects) { managers[host]->tick(now, WallTime {}, effects); });
            for (const auto& result : managers[host]->takeProposalResults())
                noteResult(result);
            if (random.below(25) == 0)
                gossip(host);
        }
        noteConnections(false);
    }

    void gossip(std::size_t host)
    {
        MembershipDigest digest;
        digest.configurationVersion = digestsCarryVersions ? managers[host]->accepted().version : 0;
        if (digestsCarryRevocations)
            digest.revokedKeys = managers[host]->revokedKeys();
        post(host, random.below(managers.size()), digest);
    }

    void post(std::size_t from, std::size_t to, const PeerMessage& message)
    {
        if (from == to || frozen.count(to) != 0 || !linked(from, to) || random.unit() < lossRate)
            return;
        const HostId sender(std::to_string(from));
        m_posts.emplace(now + std::chrono::milliseconds(random.below(100)),
            [=, this] { perform(to, [&](EffectList& effects) { deliver(*managers[to], sender, message, effects); }); });
    }

    void deliver(ConfigurationManager& manager, const HostId& from, const PeerMessage& message, EffectList& effects)
    {
        if (const auto* digest = std::get_if<MembershipDigest>(&message))
            manager.noteDigest(from, digest->configurationVersion, digest->revokedKeys, now, effects);
        else if (const auto* request = std::get_if<ConfigurationRequest>(&message))
            manager.handle(from, *request, now, effects);
        else if (const auto* offer = std::get_if<ConfigurationOffer>(&message))
            manager.handle(from, *offer, now, effects);
    }

    void noteResult(const ProposalResult& result)
    {
        auto& proposal = record.proposals[result.ticket];
        proposal.outcome = isError(result.result) ? std::string(nameOf(errorOf(result.result).kind)) : "accepted";
        if (!isError(result.result))
            proposal.acceptedVersion = valueOf(result.result);
    }

    void observe(std::size_t host)
    {
        const auto version = managers[host]->accepted().version;
        if (m_lastVersion[host] != version)
            record.inForce.push_back({ seconds(), host, version });
        m_lastVersion[host] = version;
        const bool key = managers[host]->effective().keys.count(simulatedKey) != 0;
        if (m_keyWasInForce[host] != key)
            record.keyChanges.push_back({ seconds(), host, key });
        m_keyWasInForce[host] = key;
    }

    void noteConnections(bool last)
    {
        for (std::size_t host = 0; host < managers.size(); ++host) {
            const bool connected = storeLinked[host] && !store.down && !last;
            if (connected && m_connectedSince[host] < 0)
                m_connectedSince[host] = seconds();
            if (!connected && m_connectedSince[host] >= 0) {
                record.connections.push_back({ host, m_connectedSince[host], seconds() });
                m_connectedSince[host] = -1;
            }
        }
    }

    std::uint64_t m_lastTicket = 0;
    std::map<std::size_t, ConfigurationVersion> m_lastVersion;
    std::vector<bool> m_keyWasInForce;
    std::vector<double> m_connectedSince;
    std::multimap<MonotonicTime, std::function<void()>> m_posts;
};

} // namespace Catkinwell
