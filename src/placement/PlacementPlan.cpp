#include <catkinwell/placement/PlacementPlan.h>

#include <catkinwell/core/BoundedJson.h>
#include <catkinwell/core/EnumNames.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr EnumNames<PlannedState, 4> plannedStateNames { {
        { PlannedState::Planned, "planned" },
        { PlannedState::Loading, "loading" },
        { PlannedState::Loaded, "loaded" },
        { PlannedState::Unloading, "unloading" },
    } };

    // Format identifiers, stored as the first element of each encoded value so that formats can be told apart.
    constexpr int planFormat = 1;
    constexpr int planChangeFormat = 2;

    Json replicaToJson(const PlannedReplica& replica)
    {
        return Json::array(
            { replica.model.value, static_cast<int>(replica.state), replica.command.value, replica.memoryBytes });
    }

    PlannedReplica replicaFromJson(const EndpointId& endpoint, const Json& json)
    {
        const int state = json.at(1).get<int>();
        if (state < 0 || state > static_cast<int>(PlannedState::Unloading))
            throw std::out_of_range("replica state " + std::to_string(state));
        return { endpoint, ModelId(json.at(0).get<std::string>()), static_cast<PlannedState>(state),
            CommandId(json.at(2).get<std::uint64_t>()), json.at(3).get<std::uint64_t>() };
    }

    std::string toBytes(const Json& json)
    {
        std::string bytes;
        Json::to_cbor(json, bytes);
        return bytes;
    }

    // Parses the bytes and passes the array to read. Any failure is returned as InvalidMessage.
    template <typename Value, typename Read> Result<Value> fromBytes(std::string_view bytes, int format, Read read)
    {
        try {
            const Json json = parseBoundedCbor(bytes);
            if (json.at(0).get<int>() != format)
                return Error { ErrorKind::InvalidMessage,
                    "encoded plan has format " + json.at(0).dump() + ", expected " + std::to_string(format)
                        + "; run the same catkinwell version on every host" };
            return read(json);
        } catch (const std::exception& exception) {
            return Error { ErrorKind::InvalidMessage,
                std::string("encoded plan cannot be read: ") + exception.what()
                    + "; delete the plan key only if no engine holds a model" };
        }
    }

} // namespace

std::string_view nameOf(PlannedState state) { return plannedStateNames.nameOf(state); }

PlannedReplica* PlacementPlan::find(const EndpointId& endpoint, const ModelId& model)
{
    return const_cast<PlannedReplica*>(std::as_const(*this).find(endpoint, model));
}

const PlannedReplica* PlacementPlan::find(const EndpointId& endpoint, const ModelId& model) const
{
    const auto row = replicas.find(endpoint);
    if (row == replicas.end())
        return nullptr;
    const auto cell = row->second.find(model);
    return cell == row->second.end() ? nullptr : &cell->second;
}

void PlacementPlan::put(const PlannedReplica& replica) { replicas[replica.endpoint][replica.model] = replica; }

void PlacementPlan::erase(const EndpointId& endpoint, const ModelId& model)
{
    const auto row = replicas.find(endpoint);
    if (row == replicas.end())
        return;
    row->second.erase(model);
    if (row->second.empty())
        replicas.erase(row);
}

std::size_t PlacementPlan::size() const
{
    std::size_t count = 0;
    for (const auto& [endpoint, row] : replicas)
        count += row.size();
    return count;
}

std::string encodePlan(const PlacementPlan& plan)
{
    Json rows = Json::array();
    for (const auto& [endpoint, row] : plan.replicas) {
        Json cells = Json::array({ endpoint.value });
        for (const auto& [model, replica] : row)
            cells.push_back(replicaToJson(replica));
        rows.push_back(std::move(cells));
    }
    return toBytes(Json::array(
        { planFormat, plan.fencingToken, plan.version, plan.owner.value, plan.ownerIncarnation, std::move(rows) }));
}

Result<PlacementPlan> decodePlan(std::string_view bytes)
{
    return fromBytes<PlacementPlan>(bytes, planFormat, [](const Json& json) {
        PlacementPlan plan;
        plan.fencingToken = json.at(1).get<FencingToken>();
        plan.version = json.at(2).get<std::uint64_t>();
        plan.owner = HostId(json.at(3).get<std::string>());
        plan.ownerIncarnation = json.at(4).get<Incarnation>();
        for (const Json& row : json.at(5)) {
            const EndpointId endpoint(row.at(0).get<std::string>());
            for (std::size_t index = 1; index < row.size(); ++index)
                plan.put(replicaFromJson(endpoint, row[index]));
        }
        return plan;
    });
}

PlanChange differenceOf(const PlacementPlan& older, const PlacementPlan& newer)
{
    PlanChange change { newer.fencingToken, older.version, newer.version, newer.owner, newer.ownerIncarnation, {}, {} };
    for (const auto& [endpoint, row] : newer.replicas) {
        for (const auto& [model, replica] : row) {
            const PlannedReplica* previous = older.find(endpoint, model);
            if (previous == nullptr || !(*previous == replica))
                change.changed.push_back(replica);
        }
    }
    for (const auto& [endpoint, row] : older.replicas) {
        for (const auto& [model, replica] : row) {
            if (newer.find(endpoint, model) == nullptr)
                change.removed.emplace_back(endpoint, model);
        }
    }
    return change;
}

std::string encodePlanChange(const PlanChange& change)
{
    Json changed = Json::array();
    for (const PlannedReplica& replica : change.changed)
        changed.push_back(Json::array({ replica.endpoint.value, replicaToJson(replica) }));
    Json removed = Json::array();
    for (const auto& [endpoint, model] : change.removed)
        removed.push_back(Json::array({ endpoint.value, model.value }));
    return toBytes(Json::array({ planChangeFormat, change.fencingToken, change.baseVersion, change.version,
        change.owner.value, change.ownerIncarnation, std::move(changed), std::move(removed) }));
}

Result<PlanChange> decodePlanChange(std::string_view bytes)
{
    return fromBytes<PlanChange>(bytes, planChangeFormat, [](const Json& json) {
        PlanChange change;
        change.fencingToken = json.at(1).get<FencingToken>();
        change.baseVersion = json.at(2).get<std::uint64_t>();
        change.version = json.at(3).get<std::uint64_t>();
        change.owner = HostId(json.at(4).get<std::string>());
        change.ownerIncarnation = json.at(5).get<Incarnation>();
        for (const Json& entry : json.at(6))
            change.changed.push_back(replicaFromJson(EndpointId(entry.at(0).get<std::string>()), entry.at(1)));
        for (const Json& entry : json.at(7))
            change.removed.emplace_back(entry.at(0).get<std::string>(), entry.at(1).get<std::string>());
        return change;
    });
}

std::string planBaseKey(const std::string& headKey, std::uint64_t baseVersion)
{
    return headKey + "/base/" + std::to_string(baseVersion % 2);
}

void applyPlanChange(const PlanChange& change, PlacementPlan& plan)
{
    plan.fencingToken = change.fencingToken;
    plan.version = change.version;
    plan.owner = change.owner;
    plan.ownerIncarnation = change.ownerIncarnation;
    for (const PlannedReplica& replica : change.changed)
        plan.put(replica);
    for (const auto& [endpoint, model] : change.removed)
        plan.erase(endpoint, model);
}

} // namespace Catkinwell
