#include "emulator/EmulatedModels.h"

#include <cstdlib>
#include <event2/http.h>
#include <memory>

namespace Catkinwell {

std::optional<std::pair<ModelId, PlacementAction>> EmulatedModels::parseTarget(const std::string& path)
{
    const std::string prefix = "/v2/repository/models/";
    const std::size_t slash = path.rfind('/');
    if (!path.starts_with(prefix) || slash < prefix.size())
        return std::nullopt;
    const std::string encoded = path.substr(prefix.size(), slash - prefix.size());
    const std::unique_ptr<char, decltype(&std::free)> decoded(
        evhttp_uridecode(encoded.c_str(), 0, nullptr), &std::free);
    const std::string action = path.substr(slash + 1);
    if (action == nameOf(PlacementAction::Load))
        return std::pair(ModelId(decoded.get()), PlacementAction::Load);
    if (action == nameOf(PlacementAction::Unload))
        return std::pair(ModelId(decoded.get()), PlacementAction::Unload);
    return std::nullopt;
}

void EmulatedModels::addLoaded(const ModelId& model)
{
    m_replicas[model] = ReportedReplica { model, ReplicaState::Loaded, 0, CommandId() };
}

bool EmulatedModels::acceptFencingToken(FencingToken token)
{
    if (token < m_highestToken)
        return false;
    m_highestToken = token;
    return true;
}

std::optional<std::string> EmulatedModels::begin(const PlacementCommand& command)
{
    const auto found = m_replicas.find(command.model);
    if (command.action == PlacementAction::Unload) {
        if (found != m_replicas.end())
            found->second.state = ReplicaState::Unloading;
        return std::nullopt;
    }
    if (found != m_replicas.end()) {
        if (found->second.state == ReplicaState::Unloading)
            return "the model is being unloaded";
        return std::nullopt;
    }
    if (!command.baseModel.value.empty() && !isLoaded(command.baseModel))
        return "the base model is not loaded";
    if (usedBytes() + command.memoryBytes > m_memoryBytes)
        return "there is not enough memory for the model";
    m_replicas[command.model]
        = ReportedReplica { command.model, ReplicaState::Loading, command.memoryBytes, command.id };
    return std::nullopt;
}

void EmulatedModels::complete(const PlacementCommand& command)
{
    const auto found = m_replicas.find(command.model);
    if (found == m_replicas.end())
        return;
    if (command.action == PlacementAction::Unload)
        m_replicas.erase(found);
    else if (found->second.state == ReplicaState::Loading)
        found->second.state = ReplicaState::Loaded;
}

bool EmulatedModels::isLoaded(const ModelId& model) const
{
    const auto found = m_replicas.find(model);
    return found != m_replicas.end() && found->second.state == ReplicaState::Loaded;
}

void EmulatedModels::fill(EndpointReport& report) const
{
    report.memoryBytes = m_memoryBytes;
    report.memoryUsedBytes = usedBytes();
    report.highestFencingToken = m_highestToken;
    for (const auto& [model, replica] : m_replicas)
        report.replicas.push_back(replica);
}

std::uint64_t EmulatedModels::usedBytes() const
{
    std::uint64_t total = 0;
    for (const auto& [model, replica] : m_replicas)
        total += replica.memoryBytes;
    return total;
}

} // namespace Catkinwell
