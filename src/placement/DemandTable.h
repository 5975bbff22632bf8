#pragma once

#include <catkinwell/placement/IdlePolicy.h>
#include <catkinwell/reducer/Effect.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace Catkinwell {

struct ModelDemand {
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    // When a host last reported a request for the model or for one of its adapters.
    std::optional<MonotonicTime> lastUse;

    bool isActive() const { return waiting + running > 0; }
};

// The latest demand that each host of the data centre reported to the owner, by model. Not thread safe.
class DemandTable {
public:
    explicit DemandTable(IdlePolicy& policy)
        : m_policy(policy)
    {
    }

    void configure(const FleetConfiguration& effective);
    void clear() { m_models.clear(); }
    // Unknown models are ignored.
    void note(const HostId& from, const ModelWanted&, MonotonicTime now);
    // Returns the sum over all hosts. Values that were not refreshed for six seconds are left out.
    ModelDemand demandOf(const ModelId&, MonotonicTime now) const;
    const std::map<ModelId, std::optional<ModelId>>& models() const { return m_baseModels; }

private:
    struct HostDemand {
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        MonotonicTime at {};
    };
    struct Entry {
        std::map<HostId, HostDemand> hosts;
        std::optional<MonotonicTime> lastUse;
    };

    IdlePolicy& m_policy;
    // All configured models with their base models.
    std::map<ModelId, std::optional<ModelId>> m_baseModels;
    std::unordered_map<ModelId, Entry> m_models;
};

// Collects the host's own demand and forwards it to the owner at a limited rate. Not thread safe.
class DemandForwarder {
public:
    // waiting and running replace the previous values; arrivals are added. Precondition: the model is configured.
    void note(const ModelId&, std::uint32_t waiting, std::uint32_t running, std::uint32_t arrivals);
    // Removes models that are no longer configured.
    void retain(const std::function<bool(const ModelId&)>& isKnown);
    // Makes the demand of every active model due immediately, for a new owner.
    void resendAll();
    // Returns the messages that are due. A model that is not loaded and whose requests have begun to wait
    // is due immediately, but at most three times per second; any other model every two seconds.
    std::vector<ModelWanted> takeDue(const std::function<bool(const ModelId&)>& isLoaded, MonotonicTime now);
    std::vector<ModelWanted> current() const;

private:
    struct Entry {
        ModelWanted wanted;
        std::uint32_t waitingSent = 0;
        bool zeroSent = true;
        std::optional<MonotonicTime> sentAt;
    };

    std::map<ModelId, Entry> m_entries;
};

} // namespace Catkinwell
