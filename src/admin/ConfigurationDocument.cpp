#include <admin/ConfigurationDocument.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::array<DocumentSection, 5> sections { {
        { "accounts", "id" },
        { "models", "id" },
        { "endpoints", "id" },
        { "routes", "path_prefix" },
        { "evacuations", "data_centre" },
    } };

    // Precondition: the document is an object. A missing section is created as an empty array.
    Json& sectionOf(Json& document, const DocumentSection& section)
    {
        Json& content = document[std::string(section.name)];
        if (content.is_null())
            content = Json::array();
        return content;
    }

    auto findElement(Json& array, const DocumentSection& section, const std::string& identifier)
    {
        const std::string field(section.identityField);
        return std::find_if(array.begin(), array.end(), [&](const Json& element) {
            return element.is_object() && element.contains(field) && element[field] == identifier;
        });
    }

} // namespace

const DocumentSection* findSection(std::string_view resource)
{
    // Adapters are models with a base model and stand in the same section.
    const std::string_view name = resource == "adapters" ? "models" : resource;
    const auto* found = std::find_if(
        sections.begin(), sections.end(), [name](const DocumentSection& section) { return section.name == name; });
    return found == sections.end() ? nullptr : found;
}

Json listItems(const Json& document, const DocumentSection& section)
{
    Json items = Json::array();
    const std::string name(section.name);
    if (!document.contains(name))
        return items;
    for (const auto& [key, value] : document[name].items()) {
        Json item = value;
        if (document[name].is_object())
            item[std::string(section.identityField)] = key;
        items.push_back(std::move(item));
    }
    return items;
}

std::optional<Json> findItem(const Json& document, const DocumentSection& section, const std::string& identifier)
{
    Json items = listItems(document, section);
    const auto found = findElement(items, section, identifier);
    return found == items.end() ? std::nullopt : std::optional(*found);
}

void putItem(Json& document, const DocumentSection& section, const std::string& identifier, Json item)
{
    const std::string field(section.identityField);
    Json& content = sectionOf(document, section);
    if (content.is_object()) {
        item.erase(field);
        content[identifier] = std::move(item);
        return;
    }
    item[field] = identifier;
    const auto found = findElement(content, section, identifier);
    if (found == content.end())
        content.push_back(std::move(item));
    else
        *found = std::move(item);
}

bool removeItem(Json& document, const DocumentSection& section, const std::string& identifier)
{
    Json& content = sectionOf(document, section);
    if (content.is_object())
        return content.erase(identifier) > 0;
    const auto found = findElement(content, section, identifier);
    if (found == content.end())
        return false;
    content.erase(found);
    return true;
}

} // namespace Catkinwell
