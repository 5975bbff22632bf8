#include "replay/ReplayConfiguration.h"

#include <catkinwell/core/Digest.h>

namespace Catkinwell {

namespace {

    // Engine memory is expressed in units of 1% of a model: a model takes 100, an adapter 1.
    constexpr double modelMb = 100;
    constexpr double adapterMb = 1;

    Route routeOf(const RequestKind& kind)
    {
        Route route;
        route.name = kind.name;
        route.host = "replay";
        route.prefix = "/" + kind.name + "/";
        route.isStream = true;
        route.isResumable = kind.isResumable;
        route.timeout = kind.timeLimit;
        route.latencyGoal = kind.latencyGoal;
        route.maximumAttempts = 2;
        route.targets = { { replayService, 1 } };
        return route;
    }

    GatewayEngine engineOf(const ReplaySettings& settings)
    {
        const EngineShape& shape = settings.engine;
        GatewayEngine engine;
        engine.batchSize = shape.slots;
        engine.memoryMb = modelMb * shape.residentModels + adapterMb * shape.adapterSlots;
        engine.adapterSlots = shape.adapterSlots;
        engine.loadsPerSecond = shape.storeLoadsPerSecond;
        for (unsigned i = 0; i < settings.models; ++i) {
            GatewayModel model;
            model.id = replayModel(i);
            model.memoryMb = modelMb;
            model.adapterMb = adapterMb;
            model.adapterCount = i == 0 ? settings.adapters : 0;
            model.loadFromStore = shape.loadFromStore;
            model.loadFromDisk = shape.loadFromDisk;
            model.loadFromMemory = shape.loadFromDisk;
            engine.models.emplace(model.id, model);
        }
        return engine;
    }

} // namespace

GatewayConfiguration replayConfiguration(const ReplaySettings& settings, const ReplayLoad& load)
{
    GatewayConfiguration configuration;
    configuration.version = 1;
    for (const RequestKind& kind : settings.kinds)
        configuration.routes.push_back(routeOf(kind));
    configuration.services[replayService] = { replayService, "/health", engineOf(settings) };
    for (unsigned i = 0; i < settings.accounts; ++i) {
        GatewayAccount account;
        account.id = AccountId("account-" + std::to_string(i));
        account.countsTokens = true;
        account.unitsPerSecond = replayAccountRate(settings, load, i);
        account.burst = account.unitsPerSecond;
        configuration.accountOfKeyDigest[replayKeyDigest(i)] = account.id;
        configuration.accounts.emplace(account.id, account);
    }
    return configuration;
}

double replayAccountRate(const ReplaySettings& settings, const ReplayLoad& load, unsigned account)
{
    return load.usualRate(account) * settings.accountHeadroom;
}

std::string replayKeyDigest(unsigned account) { return sha256Hex("key-" + std::to_string(account)); }

} // namespace Catkinwell
