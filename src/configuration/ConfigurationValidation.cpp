#include "ConfigurationValidation.h"

#include "FieldJson.h"
#include "NearestName.h"

#include <algorithm>
#include <catkinwell/configuration/ConfigurationAccess.h>
#include <nlohmann/json.hpp>
#include <set>

namespace Catkinwell {

namespace {

    // Limits the work of checkEffectiveConfigurations(), which checks the whole document once for each expiry.
    constexpr std::size_t maximumExceptions = 200;

    template <typename Map> std::string suggestionFrom(const std::string& wrongName, const Map& known)
    {
        std::vector<std::string_view> names;
        names.reserve(known.size());
        for (const auto& [id, unused] : known)
            names.push_back(id.value);
        return suggestionFor(wrongName, names);
    }

    // The pools with at least one engine, each with the largest memory of its engines, and those with at least one
    // service.
    struct Pools {
        std::map<std::string, std::uint64_t> engineMemory;
        std::set<std::string> services;
    };

    Pools poolsOf(const FleetConfiguration& configuration)
    {
        Pools pools;
        for (const auto& [id, endpoint] : configuration.endpoints) {
            if (endpoint.kind == EndpointKind::Service) {
                pools.services.insert(endpoint.pool);
                continue;
            }
            auto& memory = pools.engineMemory[endpoint.pool];
            memory = std::max(memory, endpoint.memoryBytes);
        }
        return pools;
    }

    Status checkKeys(const FleetConfiguration& configuration)
    {
        for (const auto& [digest, key] : configuration.keys) {
            if (configuration.accounts.count(key.account) == 0)
                return configurationError("keys[" + digest + "].account", "\"" + key.account.value + "\"",
                    "the id of an account" + suggestionFrom(key.account.value, configuration.accounts));
        }
        return {};
    }

    Status checkEndpoints(const FleetConfiguration& configuration)
    {
        std::map<std::string, EndpointId> addresses;
        for (const auto& [id, endpoint] : configuration.endpoints) {
            const std::string path = "endpoints[" + id.value + "]";
            if (endpoint.kind == EndpointKind::Engine && endpoint.memoryBytes == 0)
                return configurationError(path + ".memory_bytes", "0", "at least 1 for an engine");
            const auto [other, isNew] = addresses.emplace(endpoint.address, id);
            if (!isNew)
                return configurationError(path + ".address", "\"" + endpoint.address + "\"",
                    "an address that no other endpoint has; endpoint \"" + other->second.value + "\" has the same");
        }
        return {};
    }

    Status checkBaseModel(const FleetConfiguration& configuration, const ModelSettings& model, const std::string& path,
        std::uint64_t& need)
    {
        const auto base = configuration.models.find(*model.baseModel);
        const std::string found = "\"" + model.baseModel->value + "\"";
        if (base == configuration.models.end())
            return configurationError(path + ".base_model", found,
                "the id of a model" + suggestionFrom(model.baseModel->value, configuration.models));
        if (base->second.baseModel)
            return configurationError(
                path + ".base_model", found + ", which is an adapter", "a model without base_model");
        if (base->second.pool != model.pool)
            return configurationError(path + ".base_model", found + " in pool \"" + base->second.pool + "\"",
                "a model in the adapter's pool \"" + model.pool + "\"");
        need += base->second.memoryBytes;
        return {};
    }

    Status checkModels(const FleetConfiguration& configuration, const Pools& pools)
    {
        for (const auto& [id, model] : configuration.models) {
            const std::string path = "models[" + id.value + "]";
            std::uint64_t need = model.memoryBytes;
            if (model.memoryBytes == 0)
                return configurationError(path + ".memory_bytes", "0", "at least 1");
            if (model.minimumReplicas > model.maximumReplicas)
                return configurationError(path + ".minimum_replicas", std::to_string(model.minimumReplicas),
                    "at most maximum_replicas, which is " + std::to_string(model.maximumReplicas));
            const auto pool = pools.engineMemory.find(model.pool);
            if (pool == pools.engineMemory.end())
                return configurationError(path + ".pool", "\"" + model.pool + "\"",
                    "a pool that has at least one endpoint of kind \"engine\"");
            if (model.baseModel) {
                if (auto status = checkBaseModel(configuration, model, path, need); isError(status))
                    return status;
            }
            if (need > pool->second)
                return configurationError(path + ".memory_bytes",
                    std::to_string(need) + " (with the base model, if any)",
                    "at most the memory of the pool's largest engine, which is " + std::to_string(pool->second));
        }
        return {};
    }

    Status checkRoutes(const FleetConfiguration& configuration, const Pools& pools)
    {
        for (const auto& route : configuration.routes) {
            if (pools.services.count(route.pool) == 0)
                return configurationError("routes[" + route.pathPrefix + "].pool", "\"" + route.pool + "\"",
                    "a pool that has at least one endpoint of kind \"service\"");
        }
        return {};
    }

    Status checkObjects(const FleetConfiguration& configuration)
    {
        const Pools pools = poolsOf(configuration);
        if (auto status = checkKeys(configuration); isError(status))
            return status;
        if (auto status = checkEndpoints(configuration); isError(status))
            return status;
        if (auto status = checkModels(configuration, pools); isError(status))
            return status;
        return checkRoutes(configuration, pools);
    }

    // Checks the effective configuration for each set of exceptions that will be in force. The set changes only when an
    // exception expires, so it is sufficient to check the state before the first expiry and after each one.
    Status checkEffectiveConfigurations(const FleetConfiguration& configuration)
    {
        std::set<WallTime> times { WallTime::min() };
        for (const auto& exception : configuration.exceptions) {
            if (exception.expires)
                times.insert(*exception.expires);
        }
        for (const WallTime time : times) {
            if (auto status = checkObjects(applyExceptions(configuration, time)); isError(status))
                return Error { ErrorKind::InvalidConfiguration,
                    "with the exceptions applied, " + errorOf(status).message };
        }
        return {};
    }

    Status checkExceptions(const FleetConfiguration& configuration)
    {
        if (configuration.exceptions.size() > maximumExceptions)
            return configurationError("exceptions", std::to_string(configuration.exceptions.size()) + " entries",
                "at most " + std::to_string(maximumExceptions) + "; change the defaults or the objects instead");
        std::set<std::pair<std::string_view, std::string_view>> seen;
        FleetConfiguration scratch = configuration;
        for (std::size_t i = 0; i < configuration.exceptions.size(); ++i) {
            const auto& exception = configuration.exceptions[i];
            const std::string path = "exceptions[" + std::to_string(i) + "]";
            if (!seen.emplace(exception.scope, exception.field).second)
                return configurationError(path,
                    "a second exception for \"" + exception.field + "\" of \"" + exception.scope + "\"",
                    "at most one for each scope and field");
            if (auto status = applyException(exception, path, scratch); isError(status))
                return status;
        }
        return configuration.exceptions.empty() ? Status {} : checkEffectiveConfigurations(configuration);
    }

    template <typename Object>
    Status replaceField(const ConfigurationException& exception, const std::string& path, Object& target)
    {
        std::vector<std::string_view> overridable;
        for (const auto& field : fieldsOf(target)) {
            if (field.rule.overridable)
                overridable.push_back(field.name);
        }
        if (std::find(overridable.begin(), overridable.end(), exception.field) == overridable.end())
            return configurationError(path + ".field", "\"" + exception.field + "\"",
                "a field of \"" + exception.scope + "\" that an exception may replace"
                    + suggestionFor(exception.field, overridable));
        const auto value = nlohmann::json::parse(exception.valueJson, nullptr, false);
        return readField(value, path + ".value", exception.field, target);
    }

    template <typename Map>
    Status replaceIn(
        const ConfigurationException& exception, const std::string& path, const std::string& name, Map& map)
    {
        const auto found = map.find(typename Map::key_type(name));
        if (found == map.end())
            return configurationError(path + ".scope", "\"" + exception.scope + "\"",
                "a scope that exists in the document" + suggestionFrom(name, map));
        return replaceField(exception, path, found->second);
    }

    Status replaceInRoute(const ConfigurationException& exception, const std::string& path, const std::string& prefix,
        std::vector<RouteSettings>& routes)
    {
        const auto found = std::find_if(
            routes.begin(), routes.end(), [&](const RouteSettings& route) { return route.pathPrefix == prefix; });
        if (found == routes.end())
            return configurationError(
                path + ".scope", "\"" + exception.scope + "\"", "\"route/\" and the path_prefix of a route");
        return replaceField(exception, path, *found);
    }

} // namespace

Status applyException(const ConfigurationException& exception, const std::string& path, FleetConfiguration& target)
{
    if (exception.scope == "defaults")
        return replaceField(exception, path, target.defaults);
    const std::size_t slash = exception.scope.find('/');
    const std::string type = exception.scope.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : exception.scope.substr(slash + 1);
    if (type == "account")
        return replaceIn(exception, path, name, target.accounts);
    if (type == "endpoint")
        return replaceIn(exception, path, name, target.endpoints);
    if (type == "model")
        return replaceIn(exception, path, name, target.models);
    if (type == "route")
        return replaceInRoute(exception, path, name, target.routes);
    return configurationError(path + ".scope", "\"" + exception.scope + "\"",
        "\"defaults\", \"account/<id>\", \"endpoint/<id>\", \"model/<id>\" or \"route/<path_prefix>\"");
}

Status validateConfiguration(const FleetConfiguration& configuration)
{
    if (auto status = checkObjects(configuration); isError(status))
        return status;
    return checkExceptions(configuration);
}

FleetConfiguration applyExceptions(const FleetConfiguration& configuration, WallTime now)
{
    FleetConfiguration result = configuration;
    for (const auto& exception : configuration.exceptions) {
        const bool expired = exception.expires && now >= *exception.expires;
        if (!expired)
            applyException(exception, "exceptions", result);
    }
    return result;
}

} // namespace Catkinwell
