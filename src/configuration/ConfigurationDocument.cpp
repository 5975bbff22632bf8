#include <catkinwell/configuration/ConfigurationAccess.h>

#include "ConfigurationParts.h"
#include "ConfigurationValidation.h"
#include "FieldJson.h"
#include "NearestName.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    // Far more than the document of the target fleet (about 1 MB), and far less than what could exhaust a host's
    // memory.
    constexpr std::size_t maximumDocumentBytes = 16 * 1024 * 1024;
    constexpr int maximumDepth = 16;

    const std::vector<std::string_view> topLevelFields { "version", "defaults", "accounts", "keys", "endpoints",
        "models", "routes", "exceptions", "evacuations" };

    // Detects an object that contains a field twice, of which the parser alone would keep the last one, and a document
    // that is nested too deeply.
    class DocumentStructureCheck {
    public:
        bool operator()(int depth, Json::parse_event_t event, const Json& value)
        {
            if (depth > maximumDepth)
                m_error = "the document is nested deeper than " + std::to_string(maximumDepth) + " levels";
            if (event == Json::parse_event_t::object_start)
                m_seen.emplace_back();
            else if (event == Json::parse_event_t::object_end)
                m_seen.pop_back();
            else if (event == Json::parse_event_t::key && !m_seen.back().insert(value.get<std::string>()).second)
                m_error = "the field \"" + value.get<std::string>().substr(0, 80) + "\" appears twice in one object";
            return true;
        }
        const std::string& error() const { return m_error; }

    private:
        std::vector<std::set<std::string>> m_seen;
        std::string m_error;
    };

    Result<Json> parseJson(std::string_view text)
    {
        if (text.size() > maximumDocumentBytes)
            return configurationError("document", std::to_string(text.size()) + " bytes",
                "at most " + std::to_string(maximumDocumentBytes) + " bytes");
        DocumentStructureCheck check;
        try {
            Json document = Json::parse(text, std::ref(check));
            if (!check.error().empty())
                return Error { ErrorKind::InvalidConfiguration, "document: " + check.error() };
            return document;
        } catch (const Json::exception& failure) {
            return Error { ErrorKind::InvalidConfiguration,
                std::string("document: not valid JSON; correct it at this position: ") + failure.what() };
        }
    }

    template <typename Object, typename Insert>
    Status readList(const Json& document, const std::string& name, Insert insert)
    {
        const auto list = document.find(name);
        if (list == document.end())
            return {};
        if (!list->is_array())
            return configurationError(name, shortTextOf(*list), "a list of objects");
        for (std::size_t i = 0; i < list->size(); ++i) {
            const std::string path = name + "[" + std::to_string(i) + "]";
            Object object;
            if (auto status = readFields((*list)[i], path, object); isError(status))
                return status;
            if (auto status = insert(std::move(object), path); isError(status))
                return status;
        }
        return {};
    }

    template <typename Object, typename Key>
    Status readMap(const Json& document, const std::string& name, std::string_view keyName, Key Object::*key,
        std::map<Key, Object>& target)
    {
        return readList<Object>(document, name, [&](Object&& object, const std::string& path) -> Status {
            Key id = object.*key;
            if (!target.emplace(std::move(id), std::move(object)).second)
                return configurationError(
                    path + "." + std::string(keyName), "a duplicate value", "a value that no other entry has");
            return {};
        });
    }

    Status readRoutes(const Json& document, std::vector<RouteSettings>& target)
    {
        std::set<std::string> prefixes;
        for (const auto& route : target)
            prefixes.insert(route.pathPrefix);
        return readList<RouteSettings>(
            document, "routes", [&](RouteSettings&& route, const std::string& path) -> Status {
                if (!prefixes.insert(route.pathPrefix).second)
                    return configurationError(
                        path + ".path_prefix", "a duplicate value", "a value that no other route has");
                target.push_back(std::move(route));
                return {};
            });
    }

    Status readExceptions(const Json& document, std::vector<ConfigurationException>& target)
    {
        return readList<ConfigurationException>(
            document, "exceptions", [&](ConfigurationException&& exception, const std::string&) -> Status {
                target.push_back(std::move(exception));
                return {};
            });
    }

    Status readVersionAndDefaults(const Json& document, FleetConfiguration& target)
    {
        for (const auto& [name, unused] : document.items()) {
            if (std::find(topLevelFields.begin(), topLevelFields.end(), name) == topLevelFields.end())
                return configurationError("document", "the unknown field \"" + name.substr(0, 80) + "\"",
                    "a known field" + suggestionFor(name, topLevelFields));
        }
        if (const auto version = document.find("version"); version != document.end()) {
            if (!version->is_number_unsigned())
                return configurationError("version", shortTextOf(*version), "a non-negative integer");
            target.version = version->get<ConfigurationVersion>();
        }
        const auto defaults = document.find("defaults");
        return defaults == document.end() ? Status {} : readFields(*defaults, "defaults", target.defaults);
    }

    Status readDocument(const Json& document, FleetConfiguration& target)
    {
        if (!document.is_object())
            return configurationError("document", shortTextOf(document), "an object");
        if (auto status = readVersionAndDefaults(document, target); isError(status))
            return status;
        if (auto status = readMap(document, "accounts", "id", &ClientAccount::id, target.accounts); isError(status))
            return status;
        if (auto status = readMap(document, "keys", "sha256", &KeyGrant::sha256Hex, target.keys); isError(status))
            return status;
        if (auto status = readMap(document, "endpoints", "id", &EndpointSettings::id, target.endpoints);
            isError(status))
            return status;
        if (auto status = readMap(document, "models", "id", &ModelSettings::id, target.models); isError(status))
            return status;
        if (auto status = readRoutes(document, target.routes); isError(status))
            return status;
        if (auto status = readExceptions(document, target.exceptions); isError(status))
            return status;
        return readMap(document, "evacuations", "data_centre", &DataCentreEvacuation::dataCentre, target.evacuations);
    }

    void appendObjects(std::string& text, std::string_view name, const std::vector<std::string>& objects)
    {
        text += ",\n\"" + std::string(name) + "\": [";
        for (std::size_t i = 0; i < objects.size(); ++i)
            text += (i == 0 ? "\n" : ",\n") + objects[i];
        text += "]";
    }

    template <typename Map> std::vector<std::string> valuesToJson(const Map& map)
    {
        std::vector<std::string> texts;
        texts.reserve(map.size());
        for (const auto& [id, object] : map)
            texts.push_back(fieldsToJson(object));
        return texts;
    }

    template <typename Object> std::vector<std::string> listToJson(const std::vector<Object>& list)
    {
        std::vector<std::string> texts;
        texts.reserve(list.size());
        for (const auto& object : list)
            texts.push_back(fieldsToJson(object));
        return texts;
    }

} // namespace

Result<FleetConfiguration> parseFleetConfiguration(std::string_view json)
{
    auto document = parseJson(json);
    if (isError(document))
        return errorOf(document);
    FleetConfiguration configuration;
    if (auto status = readDocument(valueOf(document), configuration); isError(status))
        return errorOf(status);
    if (auto status = validateConfiguration(configuration); isError(status))
        return errorOf(status);
    return configuration;
}

Result<FleetConfiguration> joinConfiguration(const std::vector<std::string_view>& parts)
{
    FleetConfiguration configuration;
    for (const auto& part : parts) {
        const auto document = parseJson(part);
        if (isError(document))
            return errorOf(document);
        if (auto status = readDocument(valueOf(document), configuration); isError(status))
            return errorOf(status);
    }
    if (auto status = validateConfiguration(configuration); isError(status))
        return errorOf(status);
    return configuration;
}

std::string fleetConfigurationToJson(const FleetConfiguration& configuration)
{
    std::string text = "{\"version\": " + std::to_string(configuration.version);
    text += ",\n\"defaults\": " + fieldsToJson(configuration.defaults);
    appendObjects(text, "accounts", valuesToJson(configuration.accounts));
    appendObjects(text, "keys", valuesToJson(configuration.keys));
    appendObjects(text, "endpoints", valuesToJson(configuration.endpoints));
    appendObjects(text, "models", valuesToJson(configuration.models));
    appendObjects(text, "routes", listToJson(configuration.routes));
    appendObjects(text, "exceptions", listToJson(configuration.exceptions));
    // Hosts of earlier versions refuse a document with this field.
    if (!configuration.evacuations.empty())
        appendObjects(text, "evacuations", valuesToJson(configuration.evacuations));
    return text + "}\n";
}

} // namespace Catkinwell
