#include <admin/DocumentDiff.h>

#include <admin/AdminAnswer.h>
#include <map>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    void collect(const std::string& path, const Json& before, const Json& after, Json& changes);

    std::string childPath(const std::string& path, const std::string& name)
    {
        return (Json::json_pointer(path) / name).to_string();
    }

    void collectObject(const std::string& path, const Json& before, const Json& after, Json& changes)
    {
        for (const auto& [name, value] : before.items()) {
            if (!after.contains(name))
                changes.push_back({ { "path", childPath(path, name) }, { "old", value } });
        }
        for (const auto& [name, value] : after.items()) {
            if (before.contains(name))
                collect(childPath(path, name), before[name], value, changes);
            else
                changes.push_back({ { "path", childPath(path, name) }, { "new", value } });
        }
    }

    void collectArray(const std::string& path, const Json& before, const Json& after, Json& changes)
    {
        std::multimap<std::string, std::size_t> remaining;
        for (std::size_t i = 0; i < before.size(); ++i)
            remaining.emplace(identityOf(before[i]), i);
        for (std::size_t i = 0; i < after.size(); ++i) {
            const std::string elementPath = childPath(path, std::to_string(i));
            const auto match = remaining.find(identityOf(after[i]));
            if (match == remaining.end()) {
                changes.push_back({ { "path", elementPath }, { "new", after[i] } });
                continue;
            }
            collect(elementPath, before[match->second], after[i], changes);
            remaining.erase(match);
        }
        for (const auto& [identity, index] : remaining)
            changes.push_back({ { "path", childPath(path, std::to_string(index)) }, { "old", before[index] } });
    }

    void collect(const std::string& path, const Json& before, const Json& after, Json& changes)
    {
        if (before == after)
            return;
        if (before.is_object() && after.is_object())
            collectObject(path, before, after, changes);
        else if (before.is_array() && after.is_array())
            collectArray(path, before, after, changes);
        else
            changes.push_back({ { "path", path }, { "old", before }, { "new", after } });
    }

} // namespace

Json diffDocuments(const Json& before, const Json& after)
{
    Json changes = Json::array();
    collect("", before, after, changes);
    return changes;
}

std::string identityOf(const Json& element)
{
    if (!element.is_object())
        return jsonText(element);
    if (element.contains("scope") && element.contains("field"))
        return jsonText(Json::array({ element["scope"], element["field"] }));
    for (const char* name : { "id", "sha256", "path_prefix" }) {
        if (element.contains(name))
            return jsonText(element[name]);
    }
    return jsonText(element);
}

} // namespace Catkinwell
