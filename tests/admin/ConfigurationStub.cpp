// Stands in for the configuration module's JSON conversions, with the few fields that the
// admin tests use. Delete this file once that module is merged.
#include <algorithm>
#include <catkinwell/configuration/ConfigurationAccess.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    void checkFields(const Json& json, std::initializer_list<const char*> known)
    {
        for (const auto& [name, value] : json.items()) {
            if (std::find(known.begin(), known.end(), name) == known.end())
                throw std::invalid_argument("unknown field " + name);
        }
    }

    FleetConfiguration read(const Json& json)
    {
        checkFields(json, { "version", "defaults", "accounts", "keys", "models", "endpoints", "routes", "exceptions" });
        FleetConfiguration configuration;
        configuration.version = json.at("version");
        checkFields(json.at("defaults"), { "monthlyAcceleratorHours" });
        configuration.defaults.monthlyAcceleratorHours = json.at("defaults").value("monthlyAcceleratorHours", 0.0);
        for (const Json& item : json.at("accounts")) {
            checkFields(item, { "id", "rate" });
            const AccountId id(item.at("id").get<std::string>());
            configuration.accounts[id] = { id, item.at("rate").get<TokenCount>() };
        }
        for (const Json& item : json.at("keys")) {
            const std::string digest = item.at("sha256Hex");
            const AccountId account(item.at("account").get<std::string>());
            if (!configuration.accounts.contains(account))
                throw std::invalid_argument("/keys names an unknown account");
            configuration.keys[digest] = { digest, account, item.at("label") };
        }
        for (const Json& item : json.at("models")) {
            checkFields(item, { "id", "baseModel" });
            ModelSettings model;
            model.id = ModelId(item.at("id").get<std::string>());
            if (item.contains("baseModel"))
                model.baseModel = ModelId(item["baseModel"].get<std::string>());
            configuration.models[model.id] = model;
        }
        for (const Json& item : json.at("endpoints"))
            configuration.endpoints[EndpointId(item.at("id").get<std::string>())] = {};
        for (const Json& item : json.at("routes"))
            configuration.routes.push_back({ item.at("pathPrefix"), item.at("pool") });
        for (const Json& item : json.at("exceptions"))
            configuration.exceptions.push_back(
                { item.at("scope"), item.at("field"), item.at("value").dump(), item.at("reason"), {} });
        return configuration;
    }

} // namespace

Result<FleetConfiguration> parseFleetConfiguration(std::string_view text)
{
    try {
        return read(Json::parse(text));
    } catch (const std::exception& problem) {
        return Error { ErrorKind::InvalidConfiguration, problem.what() };
    }
}

std::string fleetConfigurationToJson(const FleetConfiguration& configuration)
{
    Json json = { { "version", configuration.version },
        { "defaults", { { "monthlyAcceleratorHours", configuration.defaults.monthlyAcceleratorHours } } } };
    for (const char* section : { "accounts", "keys", "models", "endpoints", "routes", "exceptions" })
        json[section] = Json::array();
    for (const auto& [id, account] : configuration.accounts)
        json["accounts"].push_back({ { "id", id.value }, { "rate", account.rate } });
    for (const auto& [digest, key] : configuration.keys)
        json["keys"].push_back({ { "sha256Hex", digest }, { "account", key.account.value }, { "label", key.label } });
    for (const auto& [id, model] : configuration.models) {
        json["models"].push_back({ { "id", id.value } });
        if (model.baseModel)
            json["models"].back()["baseModel"] = model.baseModel->value;
    }
    for (const auto& [id, endpoint] : configuration.endpoints)
        json["endpoints"].push_back({ { "id", id.value } });
    for (const RouteSettings& route : configuration.routes)
        json["routes"].push_back({ { "pathPrefix", route.pathPrefix }, { "pool", route.pool } });
    for (const ConfigurationException& exception : configuration.exceptions)
        json["exceptions"].push_back({ { "scope", exception.scope }, { "field", exception.field },
            { "value", Json::parse(exception.valueJson) }, { "reason", exception.reason } });
    return json.dump();
}

} // namespace Catkinwell
