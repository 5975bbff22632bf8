#include <catkinwell/settings/SchemaCheck.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t longestShownValue = 60;

    std::size_t editDistance(std::string_view left, std::string_view right)
    {
        std::vector<std::size_t> row(right.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t { 0 });
        for (std::size_t i = 1; i <= left.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= right.size(); ++j) {
                const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substitution });
            }
        }
        return row.back();
    }

    // Returns the path and name of the first field that the schema does not know.
    Status checkUnknownFields(const Json& document, const Json& schema, const std::string& path, ErrorKind kind)
    {
        if (document.is_array() && schema.contains("items")) {
            for (std::size_t i = 0; i < document.size(); ++i) {
                Status status = checkUnknownFields(document[i], schema["items"], path + "/" + std::to_string(i), kind);
                if (isError(status))
                    return status;
            }
        }
        if (!document.is_object() || !schema.contains("properties"))
            return std::monostate {};
        const Json& properties = schema["properties"];
        for (const auto& [name, value] : document.items()) {
            if (properties.contains(name)) {
                Status status = checkUnknownFields(value, properties[name], path + "/" + name, kind);
                if (isError(status))
                    return status;
                continue;
            }
            if (schema.value("additionalProperties", Json(true)) != Json(false))
                continue;
            Json names = Json::array();
            for (const auto& [known, unused] : properties.items())
                names.push_back(known);
            const std::string nearest = nearestName(name, names);
            return Error { kind,
                path + "/" + name + ": unknown field"
                    + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?") };
        }
        return std::monostate {};
    }

    std::string shown(const Json& value)
    {
        const std::string text = value.dump();
        return text.size() <= longestShownValue ? text : text.substr(0, longestShownValue) + "...";
    }

} // namespace

std::string nearestName(std::string_view name, const Json& candidates)
{
    std::string nearest;
    std::size_t smallest = name.size() / 2 + 2;
    for (const Json& candidate : candidates) {
        const std::string text = candidate.get<std::string>();
        const std::size_t distance = editDistance(name, text);
        if (distance < smallest) {
            smallest = distance;
            nearest = text;
        }
    }
    return nearest;
}

Status checkAgainstSchema(const Json& document, const Json& schemaDocument, ErrorKind kind)
{
    Status unknown = checkUnknownFields(document, schemaDocument, "", kind);
    if (isError(unknown))
        return unknown;
    valijson::Schema schema;
    valijson::SchemaParser parser;
    valijson::adapters::NlohmannJsonAdapter schemaAdapter(schemaDocument);
    parser.populateSchema(schemaAdapter, schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results))
        return std::monostate {};
    // The innermost violation is reported first and names the field itself.
    valijson::ValidationResults::Error violation;
    results.popError(violation);
    std::string path;
    Json found = document;
    for (const std::string& element : violation.context) {
        if (element == "<root>")
            continue;
        path += "/" + element.substr(1, element.size() - 2);
    }
    const Json::json_pointer pointer(path);
    if (document.contains(pointer))
        found = document.at(pointer);
    return Error { kind, (path.empty() ? "/" : path) + ": found " + shown(found) + "; " + violation.description };
}

} // namespace Catkinwell
