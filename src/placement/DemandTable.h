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
    // The last time at which any host had a request for the model, or for an adapter of it.
    std::optional<MonotonicTime> lastUse;

    bool isActive() const { return waiting + running > 0; }
};

// What the hosts of the data centre last told the owner of each model. Not thread safe.
class DemandTable {
public:
    explicit DemandTable(IdlePolicy& policy)
        : m_policy(policy)
    {
    }

    void configure(const FleetConfiguration& effective);
    void clear() { m_models.clear(); }
    // Models that are not configured are ignored.
    void note(const HostId& from, const ModelWanted&, MonotonicTime now);
    // Sums the hosts' figures; a figure that was not renewed for six seconds counts as zero.
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
    // Every configured model with its base model.
    std::map<ModelId, std::optional<ModelId>> m_baseModels;
    std::unordered_map<ModelId, Entry> m_models;
};

// Collects the host's own demand and passes it on to the owner at a bounded rate. Not thread safe.
class DemandForwarder {
public:
    // Precondition: the model is configured. The figures replace the earlier ones; arrivals are added.
    void note(const ModelId&, std::uint32_t waiting, std::uint32_t running, std::uint32_t arrivals);
    // Drops models that are no longer configured.
    void retain(const std::function<bool(const ModelId&)>& isKnown);
    // Makes every active model due at once, for a new owner.
    void resendAll();
    // Returns the messages that are due: at once for a model that newly waits and is not
    // loaded, at most three a second for it after that, otherwise one in two seconds.
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
