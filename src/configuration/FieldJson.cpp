#include "FieldJson.h"

#include "NearestName.h"
#include "TextForms.h"

#include <catkinwell/configuration/FleetConfiguration.h>
#include <cmath>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;
    using OrderedJson = nlohmann::ordered_json;

    constexpr double nanosecondsPerSecond = 1e9;

    std::string numberText(double number) { return Json(number).dump(); }

    std::string rangeText(const FieldRule& rule)
    {
        const bool integral = std::floor(rule.minimum) == rule.minimum && std::floor(rule.maximum) == rule.maximum;
        if (!integral)
            return "from " + numberText(rule.minimum) + " to " + numberText(rule.maximum);
        return "from " + std::to_string(static_cast<long long>(rule.minimum)) + " to "
            + std::to_string(static_cast<long long>(rule.maximum));
    }

    Status readText(const Json& value, const std::string& path, const FieldRule& rule, std::string& target)
    {
        if (rule.form == TextForm::JsonScalar) {
            if (value.is_structured() || value.is_null())
                return configurationError(path, shortTextOf(value), "a number, a string or a boolean");
            target = value.dump(-1, ' ', false, Json::error_handler_t::replace);
            return {};
        }
        if (!value.is_string() || !hasForm(value.get_ref<const std::string&>(), rule.form))
            return configurationError(path, shortTextOf(value), std::string(describeForm(rule.form)));
        target = value.get<std::string>();
        return {};
    }

    template <typename Integer>
    Status readInteger(const Json& value, const std::string& path, const FieldRule& rule, Integer& target)
    {
        const bool inRange
            = value.is_number_integer() && value.get<double>() >= rule.minimum && value.get<double>() <= rule.maximum;
        if (!inRange)
            return configurationError(path, shortTextOf(value), "an integer " + rangeText(rule));
        target = value.get<Integer>();
        return {};
    }

    template <typename Enum, std::size_t count>
    Status readEnum(const Json& value, const std::string& path, const Enum (&values)[count], Enum& target)
    {
        std::string names;
        std::vector<std::string_view> known;
        for (const Enum candidate : values) {
            if (value.is_string() && value.get_ref<const std::string&>() == nameOf(candidate)) {
                target = candidate;
                return {};
            }
            known.push_back(nameOf(candidate));
            names += (names.empty() ? "\"" : " or \"") + std::string(nameOf(candidate)) + "\"";
        }
        const std::string hint = value.is_string() ? suggestionFor(value.get_ref<const std::string&>(), known) : "";
        return configurationError(path, shortTextOf(value), names + hint);
    }

    Status readValue(const Json& value, const std::string& path, const FieldRule& rule, std::string& target)
    {
        return readText(value, path, rule, target);
    }
    Status readValue(const Json& value, const std::string& path, const FieldRule& rule, TokenCount& target)
    {
        return readInteger(value, path, rule, target);
    }
    Status readValue(const Json& value, const std::string& path, const FieldRule& rule, std::uint32_t& target)
    {
        return readInteger(value, path, rule, target);
    }
    Status readValue(const Json& value, const std::string& path, const FieldRule& rule, std::uint64_t& target)
    {
        return readInteger(value, path, rule, target);
    }
    Status readValue(const Json& value, const std::string& path, const FieldRule& rule, double& target)
    {
        if (!value.is_number() || !(value.get<double>() >= rule.minimum && value.get<double>() <= rule.maximum))
            return configurationError(path, shortTextOf(value), "a number " + rangeText(rule));
        target = value.get<double>();
        return {};
    }
    Status readValue(const Json& value, const std::string& path, const FieldRule&, bool& target)
    {
        if (!value.is_boolean())
            return configurationError(path, shortTextOf(value), "true or false");
        target = value.get<bool>();
        return {};
    }
    Status readValue(const Json& value, const std::string& path, const FieldRule& rule, Duration& target)
    {
        double seconds = 0;
        auto status = readValue(value, path, rule, seconds);
        if (!isError(status))
            target = Duration(std::llround(seconds * nanosecondsPerSecond));
        return status;
    }
    template <typename Tag>
    Status readValue(
        const Json& value, const std::string& path, const FieldRule& rule, Identifier<Tag, std::string>& target)
    {
        return readText(value, path, rule, target.value);
    }
    Status readValue(const Json& value, const std::string& path, const FieldRule& rule, std::optional<ModelId>& target)
    {
        if (value.is_null())
            return {};
        return readText(value, path, rule, target.emplace().value);
    }
    Status readValue(const Json& value, const std::string& path, const FieldRule&, std::optional<WallTime>& target)
    {
        if (value.is_null())
            return {};
        if (value.is_string())
            target = parseWallTime(value.get_ref<const std::string&>());
        if (!target)
            return configurationError(path, shortTextOf(value), "a time in UTC such as \"2027-01-31T18:00:00Z\"");
        return {};
    }
    Status readValue(const Json& value, const std::string& path, const FieldRule&, EndpointKind& target)
    {
        return readEnum(value, path, { EndpointKind::Engine, EndpointKind::Service }, target);
    }
    Status readValue(const Json& value, const std::string& path, const FieldRule&, FencingSupport& target)
    {
        return readEnum(value, path, { FencingSupport::Enforced, FencingSupport::Ignored }, target);
    }
    Status readValue(const Json& value, const std::string& path, const FieldRule&, RouteAccess& target)
    {
        return readEnum(value, path, { RouteAccess::Open, RouteAccess::Keyed }, target);
    }

    template <typename Value> OrderedJson toJson(const Value& value, const FieldRule&) { return value; }
    OrderedJson toJson(const std::string& value, const FieldRule& rule)
    {
        return rule.form == TextForm::JsonScalar ? OrderedJson::parse(value, nullptr, false) : OrderedJson(value);
    }
    OrderedJson toJson(const Duration& value, const FieldRule&)
    {
        return static_cast<double>(value.count()) / nanosecondsPerSecond;
    }
    template <typename Tag> OrderedJson toJson(const Identifier<Tag, std::string>& value, const FieldRule&)
    {
        return value.value;
    }
    OrderedJson toJson(const std::optional<ModelId>& value, const FieldRule&)
    {
        return value ? OrderedJson(value->value) : OrderedJson();
    }
    OrderedJson toJson(const std::optional<WallTime>& value, const FieldRule&)
    {
        return value ? OrderedJson(formatWallTime(*value)) : OrderedJson();
    }
    OrderedJson toJson(EndpointKind value, const FieldRule&) { return std::string(nameOf(value)); }
    OrderedJson toJson(FencingSupport value, const FieldRule&) { return std::string(nameOf(value)); }
    OrderedJson toJson(RouteAccess value, const FieldRule&) { return std::string(nameOf(value)); }

    template <typename Object> const Field<Object>* findField(std::string_view name)
    {
        for (const auto& field : fieldsOf(Object {})) {
            if (field.name == name)
                return &field;
        }
        return nullptr;
    }

    template <typename Object> Status checkNames(const Json& value, const std::string& path)
    {
        std::vector<std::string_view> known;
        for (const auto& field : fieldsOf(Object {}))
            known.push_back(field.name);
        for (const auto& [name, unused] : value.items()) {
            if (!findField<Object>(name))
                return configurationError(path, "the unknown field \"" + name.substr(0, 80) + "\"",
                    "a known field" + suggestionFor(name, known));
        }
        return {};
    }

} // namespace

Error configurationError(const std::string& path, const std::string& found, const std::string& expected)
{
    return { ErrorKind::InvalidConfiguration, path + ": found " + found + "; expected " + expected };
}

std::string shortTextOf(const Json& value)
{
    constexpr std::size_t longestText = 80;
    if (value.is_object())
        return "an object";
    if (value.is_array())
        return "a list";
    std::string text = value.dump(-1, ' ', true, Json::error_handler_t::replace);
    return text.size() <= longestText ? text : text.substr(0, longestText) + "...";
}

template <typename Object> Status readFields(const Json& value, const std::string& path, Object& target)
{
    if (!value.is_object())
        return configurationError(path, shortTextOf(value), "an object");
    if (auto status = checkNames<Object>(value, path); isError(status))
        return status;
    for (const auto& field : fieldsOf(Object {})) {
        const std::string fieldPath = path + "." + std::string(field.name);
        const auto found = value.find(field.name);
        if (found == value.end()) {
            if (field.rule.required)
                return configurationError(fieldPath, "nothing", "a value, because the field is required");
            continue;
        }
        auto status = std::visit(
            [&](auto member) { return readValue(*found, fieldPath, field.rule, target.*member); }, field.member);
        if (isError(status))
            return status;
    }
    return {};
}

template <typename Object>
Status readField(const Json& value, const std::string& path, std::string_view fieldName, Object& target)
{
    const auto* field = findField<Object>(fieldName);
    if (!field)
        return Error { ErrorKind::NotFound, path + ": the field \"" + std::string(fieldName) + "\" does not exist" };
    return std::visit([&](auto member) { return readValue(value, path, field->rule, target.*member); }, field->member);
}

template <typename Object> std::string fieldsToJson(const Object& object)
{
    OrderedJson result = OrderedJson::object();
    for (const auto& field : fieldsOf(object)) {
        auto value = std::visit([&](auto member) { return toJson(object.*member, field.rule); }, field.member);
        if (!value.is_null())
            result[std::string(field.name)] = std::move(value);
    }
    return result.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
}

template Status readFields(const Json&, const std::string&, ClientAccount&);
template Status readField(const Json&, const std::string&, std::string_view, ClientAccount&);
template std::string fieldsToJson(const ClientAccount&);
template Status readFields(const Json&, const std::string&, KeyGrant&);
template Status readField(const Json&, const std::string&, std::string_view, KeyGrant&);
template std::string fieldsToJson(const KeyGrant&);
template Status readFields(const Json&, const std::string&, EndpointSettings&);
template Status readField(const Json&, const std::string&, std::string_view, EndpointSettings&);
template std::string fieldsToJson(const EndpointSettings&);
template Status readFields(const Json&, const std::string&, ModelSettings&);
template Status readField(const Json&, const std::string&, std::string_view, ModelSettings&);
template std::string fieldsToJson(const ModelSettings&);
template Status readFields(const Json&, const std::string&, RouteSettings&);
template Status readField(const Json&, const std::string&, std::string_view, RouteSettings&);
template std::string fieldsToJson(const RouteSettings&);
template Status readFields(const Json&, const std::string&, FleetDefaults&);
template Status readField(const Json&, const std::string&, std::string_view, FleetDefaults&);
template std::string fieldsToJson(const FleetDefaults&);
template Status readFields(const Json&, const std::string&, ConfigurationException&);
template Status readFields(const Json&, const std::string&, DataCentreEvacuation&);
template Status readField(const Json&, const std::string&, std::string_view, ConfigurationException&);
template std::string fieldsToJson(const ConfigurationException&);
template std::string fieldsToJson(const DataCentreEvacuation&);

} // namespace Catkinwell
