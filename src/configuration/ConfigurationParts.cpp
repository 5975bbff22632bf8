#include "ConfigurationParts.h"

#include "FieldJson.h"
#include "TextForms.h"

#include <catkinwell/core/Digest.h>
#include <catkinwell/core/EnumNames.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr EnumNames<ConfigurationSource, 4> sourceNames { {
        { ConfigurationSource::Store, "store" },
        { ConfigurationSource::Peer, "peer" },
        { ConfigurationSource::Proposal, "proposal" },
        { ConfigurationSource::Initial, "initial" },
    } };

    // After a change, each host reads the head (67 bytes per part) and one part (about 280 bytes per object). For 2,400
    // models the sum is smallest near 24 objects per part and grows slowly on both sides.
    constexpr std::size_t objectsPerPart = 32;
    constexpr std::size_t maximumHeadParts = 8192;
    constexpr std::size_t maximumHeadChanges = 256;
    constexpr std::size_t longestChangeId = 128;

    std::string listText(std::string_view section, const std::vector<std::string>& objects)
    {
        std::string text = "{\"" + std::string(section) + "\": [";
        for (std::size_t i = 0; i < objects.size(); ++i)
            text += (i == 0 ? "\n" : ",\n") + objects[i];
        return text + "]}";
    }

    std::string_view textOf(const std::string& key) { return key; }
    template <typename Tag> std::string_view textOf(const Identifier<Tag, std::string>& key) { return key.value; }

    template <typename Map> void splitSection(std::string_view section, const Map& map, std::vector<std::string>& texts)
    {
        std::size_t buckets = 1;
        while (buckets * objectsPerPart < map.size())
            buckets *= 2;
        std::vector<std::vector<std::string>> objects(buckets);
        for (const auto& [key, object] : map)
            objects[stableHash(textOf(key)) % buckets].push_back(fieldsToJson(object));
        for (const auto& bucket : objects) {
            if (!bucket.empty())
                texts.push_back(listText(section, bucket));
        }
    }

    // Each of the lists of routes and exceptions is kept in one part to preserve its order.
    template <typename Object>
    void splitList(std::string_view section, const std::vector<Object>& list, std::vector<std::string>& texts)
    {
        std::vector<std::string> objects;
        objects.reserve(list.size());
        for (const auto& object : list)
            objects.push_back(fieldsToJson(object));
        if (!objects.empty())
            texts.push_back(listText(section, objects));
    }

    Error headError(const std::string& detail)
    {
        return { ErrorKind::InvalidConfiguration,
            std::string(configurationHeadKey) + ": " + detail + "; write the head again by proposing a change" };
    }

    Status readHeadParts(const Json& document, ConfigurationHead& head)
    {
        const auto parts = document.find("parts");
        if (parts == document.end() || !parts->is_array() || parts->size() > maximumHeadParts)
            return headError("found no valid list \"parts\"");
        for (const auto& part : *parts) {
            if (!part.is_string() || !hasForm(part.get_ref<const std::string&>(), TextForm::Sha256))
                return headError("found " + shortTextOf(part) + " in \"parts\", expected a SHA-256");
            head.parts.push_back(part.get<std::string>());
        }
        return {};
    }

    Status readHeadChanges(const Json& document, ConfigurationHead& head)
    {
        const auto changes = document.find("recent_changes");
        if (changes == document.end() || !changes->is_array() || changes->size() > maximumHeadChanges)
            return headError("found no valid list \"recent_changes\"");
        for (const auto& change : *changes) {
            const bool valid = change.is_object() && change.contains("id") && change["id"].is_string()
                && change["id"].get_ref<const std::string&>().size() <= longestChangeId && change.contains("version")
                && change["version"].is_number_unsigned();
            if (!valid)
                return headError("found " + shortTextOf(change) + " in \"recent_changes\", expected id and version");
            head.recentChanges.push_back({ change["id"].get<std::string>(), change["version"].get<std::uint64_t>() });
        }
        return {};
    }

} // namespace

std::string_view nameOf(ConfigurationSource source) { return sourceNames.nameOf(source); }

std::string headToJson(const ConfigurationHead& head)
{
    Json changes = Json::array();
    for (const auto& change : head.recentChanges)
        changes.push_back({ { "id", change.changeId }, { "version", change.version } });
    const Json document { { "version", head.version }, { "parts", head.parts }, { "recent_changes", changes } };
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigurationHead> parseHead(std::string_view json)
{
    if (json.size() > maximumPartBytes)
        return headError(
            "found " + std::to_string(json.size()) + " bytes, expected at most " + std::to_string(maximumPartBytes));
    const Json document = Json::parse(json, nullptr, false);
    if (!document.is_object())
        return headError("found no JSON object");
    const auto version = document.find("version");
    if (version == document.end() || !version->is_number_unsigned() || *version == 0)
        return headError("found no valid \"version\"");
    ConfigurationHead head;
    head.version = version->get<ConfigurationVersion>();
    if (auto status = readHeadParts(document, head); isError(status))
        return errorOf(status);
    if (auto status = readHeadChanges(document, head); isError(status))
        return errorOf(status);
    return head;
}

Result<std::map<std::string, std::string>> splitConfiguration(const FleetConfiguration& configuration)
{
    std::vector<std::string> texts { "{\"defaults\": " + fieldsToJson(configuration.defaults) + "}" };
    splitSection("accounts", configuration.accounts, texts);
    splitSection("keys", configuration.keys, texts);
    splitSection("endpoints", configuration.endpoints, texts);
    splitSection("models", configuration.models, texts);
    splitList("routes", configuration.routes, texts);
    splitList("exceptions", configuration.exceptions, texts);
    splitSection("evacuations", configuration.evacuations, texts);
    std::map<std::string, std::string> parts;
    for (auto& text : texts) {
        if (text.size() > maximumPartBytes)
            return Error { ErrorKind::LimitReached,
                "a part of the configuration has " + std::to_string(text.size()) + " bytes, expected at most "
                    + std::to_string(maximumPartBytes) + "; remove routes or exceptions" };
        std::string hash = sha256Hex(text);
        parts.emplace(std::move(hash), std::move(text));
    }
    return parts;
}

} // namespace Catkinwell
