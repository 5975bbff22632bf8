#include <catkinwell/settings/SchemaCheck.h>

#include "configuration/NearestName.h"
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maximumShownBytes = 60;

    // Returns an error with the path of the first field that is not in the schema.
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
            std::vector<std::string_view> names;
            for (auto known = properties.begin(); known != properties.end(); ++known)
                names.push_back(known.key());
            return Error { kind, path + "/" + name + ": unknown field" + suggestionFor(name, names) };
        }
        return std::monostate {};
    }

    std::string truncatedText(const Json& value)
    {
        const std::string text = value.dump();
        return text.size() <= maximumShownBytes ? text : text.substr(0, maximumShownBytes) + "...";
    }

} // namespace

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
    // The validator reports the innermost violation first, which is that of the field itself.
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
    return Error { kind,
        (path.empty() ? "/" : path) + ": found " + truncatedText(found) + "; " + violation.description };
}

} // namespace Catkinwell
