#pragma once

#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/placement/PlacementCommand.h>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Catkinwell {

// The models in the memory of an emulated engine. Not thread safe.
class EmulatedModels {
public:
    explicit EmulatedModels(std::uint64_t memoryBytes)
        : m_memoryBytes(memoryBytes)
    {
    }

    // Parses "/v2/repository/models/<model>/load" and ".../unload".
    static std::optional<std::pair<ModelId, PlacementAction>> parseTarget(const std::string& path);

    void addLoaded(const ModelId&);

    // Returns false if the token is lower than the highest one received.
    bool acceptFencingToken(FencingToken);

    // Starts a load or an unload. Returns the reason if the engine refuses the command.
    std::optional<std::string> begin(const PlacementCommand&);
    // Completes the command that begin() started.
    void complete(const PlacementCommand&);

    bool isLoaded(const ModelId&) const;
    void fill(EndpointReport&) const;

private:
    std::uint64_t usedBytes() const;

    std::uint64_t m_memoryBytes;
    FencingToken m_highestToken = 0;
    std::map<ModelId, ReportedReplica> m_replicas;
};

} // namespace Catkinwell
