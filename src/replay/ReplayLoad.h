#pragma once

#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/gateway/GatewayConfiguration.h>
#include <catkinwell/replay/ReplaySettings.h>
#include <optional>

namespace Catkinwell {

// One request that the load asks for.
struct LoadRequest {
    std::size_t kind = 0;
    unsigned account = 0;
    ModelVariant variant;
};

// Draws the requests of a load pattern. Not thread safe.
class ReplayLoad {
public:
    // Precondition: the settings and the pattern outlive this object.
    ReplayLoad(const ReplaySettings&, const LoadPattern&);

    // The requests that come in the step that ends at this time since the start.
    std::vector<LoadRequest> arrivals(Duration since, Duration step);
    // The strength of a change now; nothing while it does not hold.
    std::optional<double> strengthOf(LoadChange, Duration since) const;
    // Usual tokens a second of an account.
    double usualRate(unsigned account) const;

private:
    ModelVariant drawVariant(Duration since);
    unsigned drawAccount(Duration since);
    double tokensPerSecond() const;

    const ReplaySettings& m_settings;
    const LoadPattern& m_pattern;
    RandomGenerator m_random;
    std::vector<double> m_due;
};

// The name of a model by its place in the order of demand.
ModelId replayModel(unsigned place);

} // namespace Catkinwell
