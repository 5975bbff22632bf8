#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/membership/MembershipManager.h>
#include <functional>
#include <queue>

namespace Catkinwell {

// The state of one host as known to another from a time on. Recorded on each change.
struct Observation {
    double seconds = 0;
    HostId observer;
    HostId host;
    Incarnation incarnation = 0;
    HostState state = HostState::Alive;
};

// Runs several MembershipManagers in simulated time, with links that lose, duplicate and delay digests.
class MembershipSimulation {
public:
    struct Node {
        PlatformHost listed;
        std::unique_ptr<MembershipManager> manager;
        bool up = true;
    };

    MembershipSimulation(std::size_t hosts, std::size_t dataCentres, std::uint64_t seed, SuspicionRule suspicion = {})
        : random(seed)
        , rule(suspicion)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            const std::string name = "host-" + std::to_string(100 + i);
            const DataCentreId dataCentre("dc" + std::to_string(i % dataCentres));
            nodes.push_back({ { HostId(name), 1, dataCentre, "127.0.0.1:" + std::to_string(1000 + i), false }, {} });
            start(i);
        }
        distributeList();
    }

    // Replaces the host's manager by a new one, like a restart.
    void start(std::size_t index)
    {
        auto& node = nodes[index];
        node.up = true;
        node.manager = std::make_unique<MembershipManager>(MembershipSettings {
            node.listed.host, node.listed.incarnation, node.listed.dataCentre, random.next(), rule });
        node.manager->setPlatformList(list(), now, m_ignored);
    }

    std::vector<PlatformHost> list() const
    {
        std::vector<PlatformHost> hosts;
        for (const auto& node : nodes)
            hosts.push_back(node.listed);
        return hosts;
    }

    void distributeList()
    {
        for (auto& node : nodes)
            node.manager->setPlatformList(list(), now, m_ignored);
    }

    double seconds() const { return std::chrono::duration<double>(now.time_since_epoch()).count(); }

    void runFor(double duration)
    {
        const double end = seconds() + duration;
        while (seconds() < end) {
            now += std::chrono::milliseconds(20);
            for (std::size_t i = 0; i < nodes.size(); ++i)
                tick(i);
            while (!m_messages.empty() && m_messages.top().at <= now) {
                const Message message = m_messages.top();
                m_messages.pop();
                receive(message);
            }
            if (++m_steps % 5 == 0)
                observe();
        }
    }

    MonotonicTime now {};
    RandomGenerator random;
    SuspicionRule rule;
    std::vector<Node> nodes;
    std::uint64_t sent = 0;
    double lossRate = 0;
    double duplicateRate = 0;
    // Whether digests from the first host reach the second.
    std::function<bool(std::size_t, std::size_t)> linked = [](std::size_t, std::size_t) { return true; };
    std::vector<Observation> record;

private:
    struct Message {
        MonotonicTime at;
        std::size_t from;
        std::size_t to;
        MembershipDigest digest;
        bool operator<(const Message& other) const { return at > other.at; }
    };

    void tick(std::size_t index)
    {
        if (!nodes[index].up)
            return;
        EffectList effects;
        nodes[index].manager->tick(now, effects);
        sendAll(index, effects);
    }

    void sendAll(std::size_t index, EffectList& effects)
    {
        for (auto& effect : effects) {
            auto* send = std::get_if<SendToPeer>(&effect);
            if (!send)
                continue;
            const std::size_t to = indexOf(send->to);
            if (!linked(index, to) || random.unit() < lossRate)
                continue;
            ++sent;
            const int copies = random.unit() < duplicateRate ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
                m_messages.push({ now + std::chrono::milliseconds(1 + random.below(60)), index, to,
                    std::get<MembershipDigest>(send->message) });
        }
    }

    std::size_t indexOf(const HostId& host) const
    {
        return static_cast<std::size_t>(std::stoul(host.value.substr(5))) - 100;
    }

    void receive(const Message& message)
    {
        if (!nodes[message.to].up)
            return;
        EffectList effects;
        nodes[message.to].manager->handle(nodes[message.from].listed.host, message.digest, now, effects);
        sendAll(message.to, effects);
    }

    void observe()
    {
        m_ignored.clear();
        for (const auto& node : nodes) {
            if (!node.up)
                continue;
            for (const auto& view : node.manager->hosts(now)) {
                auto& last = m_last[{ node.listed.host, view.host }];
                if (last == std::pair(view.incarnation, view.state))
                    continue;
                last = { view.incarnation, view.state };
                record.push_back({ seconds(), node.listed.host, view.host, view.incarnation, view.state });
            }
        }
    }

    EffectList m_ignored;
    std::uint64_t m_steps = 0;
    std::priority_queue<Message> m_messages;
    std::map<std::pair<HostId, HostId>, std::pair<Incarnation, HostState>> m_last;
};

} // namespace Catkinwell
