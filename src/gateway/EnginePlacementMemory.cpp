#include <catkinwell/gateway/EnginePlacement.h>

#include <algorithm>

// Memory and places for adapters: what fits into an engine, and what is still there after an unload.
namespace Catkinwell {

bool EnginePlacement::fits(const std::set<ModelId>& models, const GatewayEngine& settings)
{
    double weights = 0;
    double largestAdapter = 0;
    for (const ModelId& id : models) {
        const auto model = settings.models.find(id);
        if (model == settings.models.end())
            continue;
        weights += model->second.memoryMb;
        largestAdapter = std::max(largestAdapter, model->second.adapterMb);
    }
    // A model that leaves too little memory for its adapters is better held without some of them than not at all.
    const double reserve = models.size() > 1 ? largestAdapter * settings.adapterSlots : 0;
    return weights + reserve <= settings.memoryMb;
}

bool EnginePlacement::hasRoomForAdapter(const Engine& engine, const ModelId& model) const
{
    const GatewayEngine* settings = m_configuration.engineOf(engine.record.service);
    const GatewayModel* modelSettings = settingsOf(engine, model);
    if (!settings || !modelSettings)
        return false;
    unsigned places = 1;
    double memory = modelSettings->adapterMb;
    const auto addAdapters = [&](const ModelId& id, std::size_t count) {
        const GatewayModel* of = settingsOf(engine, id);
        places += static_cast<unsigned>(count);
        memory += of ? of->adapterMb * static_cast<double>(count) : 0;
    };
    for (const auto& [id, adapters] : engine.models) {
        const GatewayModel* held = settingsOf(engine, id);
        memory += held ? held->memoryMb : 0;
        addAdapters(id, adapters.size());
    }
    for (const ModelVariant& leaving : engine.leavingAdapters)
        addAdapters(leaving.model, 1);
    return places <= settings->adapterSlots && memory <= settings->memoryMb;
}

void EnginePlacement::noteUnloadedAdapters(Engine& engine, const LoadedModels& listed)
{
    std::erase_if(engine.leavingAdapters, [&listed](const ModelVariant& variant) {
        const auto model = listed.find(variant.model);
        return model == listed.end() || !model->second.contains(variant.adapter);
    });
}

LoadedModels EnginePlacement::withoutLeaving(const Engine& engine, LoadedModels models)
{
    for (const ModelVariant& variant : engine.leavingAdapters) {
        if (const auto model = models.find(variant.model); model != models.end())
            model->second.erase(variant.adapter);
    }
    return models;
}

} // namespace Catkinwell
