#include "endpoint/EngineProtocol.h"

#include <catkinwell/core/BoundedJson.h>
#include <cstdlib>
#include <event2/http.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    std::optional<ReplicaState> replicaStateOf(const std::string& name)
    {
        for (const ReplicaState state : { ReplicaState::Loading, ReplicaState::Loaded, ReplicaState::Unloading }) {
            if (nameOf(state) == name)
                return state;
        }
        return std::nullopt;
    }

    CacheTier cacheTierOf(const std::string& name)
    {
        for (const CacheTier tier : { CacheTier::Memory, CacheTier::Disk }) {
            if (nameOf(tier) == name)
                return tier;
        }
        return CacheTier::Remote;
    }

    ReportedReplica replicaOf(const Json& object)
    {
        ReportedReplica replica;
        replica.model = ModelId(object.at("name").get<std::string>());
        replica.state = replicaStateOf(object.at("state").get<std::string>()).value_or(ReplicaState::Loading);
        replica.memoryBytes = object.value("memory_bytes", std::uint64_t { 0 });
        replica.command = CommandId(object.value("command_id", std::uint64_t { 0 }));
        return replica;
    }

} // namespace

Result<EndpointReport> parseEngineReport(const std::string& json)
{
    try {
        const Json document = parseBoundedJson(json);
        EndpointReport report;
        report.leaving = document.value("leaving", false);
        report.running = document.at("running").get<std::uint32_t>();
        report.waiting = document.at("waiting").get<std::uint32_t>();
        report.capacity = document.at("capacity").get<std::uint32_t>();
        report.memoryBytes = document.value("memory_bytes", std::uint64_t { 0 });
        report.memoryUsedBytes = document.value("memory_used_bytes", std::uint64_t { 0 });
        report.highestFencingToken = document.value("highest_fencing_token", std::uint64_t { 0 });
        for (const Json& object : document.at("models"))
            report.replicas.push_back(replicaOf(object));
        for (const Json& object : document.value("cached", Json::array()))
            report.cachedCheckpoints.push_back(
                { ModelId(object.at("name").get<std::string>()), cacheTierOf(object.at("tier").get<std::string>()) });
        return report;
    } catch (const Json::exception& failure) {
        return Error { ErrorKind::InvalidMessage,
            std::string("the engine's report cannot be parsed (") + failure.what() + "); check the engine's version" };
    }
}

std::string engineReportToJson(const EndpointReport& report)
{
    Json document { { "leaving", report.leaving }, { "running", report.running }, { "waiting", report.waiting },
        { "capacity", report.capacity }, { "memory_bytes", report.memoryBytes },
        { "memory_used_bytes", report.memoryUsedBytes }, { "highest_fencing_token", report.highestFencingToken },
        { "models", Json::array() }, { "cached", Json::array() } };
    for (const auto& replica : report.replicas)
        document["models"].push_back({ { "name", replica.model.value }, { "state", nameOf(replica.state) },
            { "memory_bytes", replica.memoryBytes }, { "command_id", replica.command.value } });
    for (const auto& cached : report.cachedCheckpoints)
        document["cached"].push_back({ { "name", cached.model.value }, { "tier", nameOf(cached.tier) } });
    return document.dump();
}

std::string commandTarget(const PlacementCommand& command)
{
    const std::unique_ptr<char, decltype(&std::free)> encodedModel(
        evhttp_uriencode(command.model.value.data(), static_cast<ev_ssize_t>(command.model.value.size()), 0),
        &std::free);
    return "/v2/repository/models/" + std::string(encodedModel.get()) + "/" + std::string(nameOf(command.action));
}

std::string commandBody(const PlacementCommand& command)
{
    return Json {
        { "parameters",
            { { "fencing_token", command.fencingToken }, { "command_id", command.id.value },
                { "memory_bytes", command.memoryBytes }, { "base_model", command.baseModel.value } } }
    }.dump();
}

Result<PlacementCommand> parseCommandBody(const std::string& json)
{
    try {
        const Json document = parseBoundedJson(json);
        const Json& parameters = document.at("parameters");
        PlacementCommand command;
        command.fencingToken = parameters.value("fencing_token", FencingToken { 0 });
        command.id = CommandId(parameters.value("command_id", std::uint64_t { 0 }));
        command.memoryBytes = parameters.value("memory_bytes", std::uint64_t { 0 });
        command.baseModel = ModelId(parameters.value("base_model", std::string()));
        return command;
    } catch (const Json::exception& failure) {
        return Error { ErrorKind::InvalidMessage,
            std::string("the command's parameters cannot be parsed: ") + failure.what() };
    }
}

CommandOutcome commandOutcomeOf(int httpStatus)
{
    if (httpStatus == 200)
        return CommandOutcome::Done;
    if (httpStatus == 412)
        return CommandOutcome::FencedOff;
    if (httpStatus >= 400 && httpStatus < 500)
        return CommandOutcome::NotDone;
    return CommandOutcome::Unknown;
}

} // namespace Catkinwell
