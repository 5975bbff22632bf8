#include <admin/ConfigurationEdit.h>

#include <admin/ConfigurationDocument.h>
#include <algorithm>
#include <array>
#include <catkinwell/configuration/ConfigurationAccess.h>
#include <catkinwell/core/Digest.h>
#include <catkinwell/core/WallTimeText.h>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t digestDigits = 64;
    constexpr std::size_t minimumDigestPrefixDigits = 8;
    constexpr std::size_t secretBytes = 32;

    AdminProblem problemOf(const Error& error)
    {
        return { 400, nameOf(error.kind), error.message, "body", "correct the field named in the message" };
    }

    EditResult editedDocument(const Json& document)
    {
        auto parsed = parseFleetConfiguration(jsonText(document));
        if (isError(parsed))
            return problemOf(errorOf(parsed));
        return ConfigurationEdit { takeValue(std::move(parsed)), Json::object() };
    }

    EditResult editedConfiguration(const FleetConfiguration& document, Json answer = Json::object())
    {
        EditResult result = editedDocument(Json::parse(fleetConfigurationToJson(document)));
        if (auto* edit = std::get_if<ConfigurationEdit>(&result))
            edit->answer = std::move(answer);
        return result;
    }

    Json documentOf(const FleetConfiguration& accepted) { return Json::parse(fleetConfigurationToJson(accepted)); }

    // Returns a problem if the body is no object or has a field that is not in the list.
    std::optional<AdminProblem> checkFields(const Json& body, std::initializer_list<std::string_view> known)
    {
        std::string names;
        for (const std::string_view name : known)
            names.append(names.empty() ? "" : ", ").append(name);
        if (!body.is_object())
            return invalidRequest("body", "the body must be a JSON object", "send an object with the fields " + names);
        for (const auto& [name, value] : body.items()) {
            if (std::find(known.begin(), known.end(), name) == known.end())
                return invalidRequest(name, "unknown field \"" + name + "\"", "use the fields " + names);
        }
        return std::nullopt;
    }

    bool isDigest(std::string_view text)
    {
        return text.size() == digestDigits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    // Returns the text of a field; empty if it is missing or not a string.
    std::string textField(const Json& body, const char* name)
    {
        const auto field = body.find(name);
        return field != body.end() && field->is_string() ? field->get<std::string>() : std::string();
    }

    bool isSameException(const ConfigurationException& exception, const AdminCall& call)
    {
        return exception.scope + "/" + exception.field == call.target;
    }

    std::variant<ConfigurationException, AdminProblem> parseException(const AdminCall& call)
    {
        if (auto problem = checkFields(call.body, { "value", "reason", "expires", "scope", "field" }))
            return *problem;
        const auto [scope, field] = splitExceptionTarget(call.target);
        if (scope.empty() || field.empty())
            return invalidRequest("path", "an exception is identified by its scope and field",
                "use a path such as exceptions/model/notes-7b/maximumReplicas");
        if (call.body.value("scope", Json(scope)) != scope || call.body.value("field", Json(field)) != field)
            return invalidRequest("scope", "scope and field differ from the path", "leave scope and field out");
        if (!call.body.contains("value"))
            return invalidRequest("value", "the exception has no value", "send the field value");
        const std::string reason = textField(call.body, "reason");
        if (reason.empty())
            return invalidRequest("reason", "an exception needs a written reason", "send the field reason");
        ConfigurationException exception { scope, field, jsonText(call.body["value"]), reason, std::nullopt };
        if (!call.body.contains("expires") || call.body["expires"].is_null())
            return exception;
        exception.expires = parseWallTime(textField(call.body, "expires"));
        if (!exception.expires || *exception.expires <= call.wallNow)
            return invalidRequest("expires", "the expiry must be a UTC time in the future",
                "send a time such as 2026-12-31T18:00:00Z, or leave it out");
        return exception;
    }

} // namespace

AdminProblem notFound(const AdminCall& call)
{
    return { 404, "not_found", "there is no " + call.resource + "/" + call.target, "path",
        "list the existing ones with GET " + std::string(adminPathPrefix) + call.resource };
}

EditResult replaceDocument(const AdminCall& call, const FleetConfiguration& accepted)
{
    if (!call.body.is_object())
        return invalidRequest("body", "the body must be a complete configuration document",
            "edit the answer of GET /admin/v1/configuration");
    Json document = call.body;
    // The version of the document is the one that the change is based on.
    const Json current = documentOf(accepted);
    if (current.contains("version"))
        document["version"] = current["version"];
    return editedDocument(document);
}

EditResult replaceDefaults(const AdminCall& call, const FleetConfiguration& accepted)
{
    if (!call.body.is_object())
        return invalidRequest("body", "the body must be a JSON object", "edit the answer of GET /admin/v1/defaults");
    Json document = documentOf(accepted);
    document["defaults"] = call.body;
    return editedDocument(document);
}

EditResult putSectionItem(const AdminCall& call, const FleetConfiguration& accepted)
{
    const DocumentSection& section = *findSection(call.resource);
    if (!call.body.is_object())
        return invalidRequest("body", "the body must be a JSON object", "edit the answer of GET on the same path");
    const std::string field(section.identityField);
    if (call.body.contains(field) && call.body[field] != call.target)
        return invalidRequest(field, "the identifier differs from the path", "leave the field out");
    if (call.resource == "adapters" && textField(call.body, "base_model").empty())
        return invalidRequest("base_model", "an adapter needs a base model", "send base_model, or use models");
    Json document = documentOf(accepted);
    putItem(document, section, call.target, call.body);
    return editedDocument(document);
}

EditResult removeSectionItem(const AdminCall& call, const FleetConfiguration& accepted)
{
    Json document = documentOf(accepted);
    if (!removeItem(document, *findSection(call.resource), call.target))
        return notFound(call);
    return editedDocument(document);
}

EditResult putException(const AdminCall& call, const FleetConfiguration& accepted)
{
    const auto parsed = parseException(call);
    if (const auto* problem = std::get_if<AdminProblem>(&parsed))
        return *problem;
    FleetConfiguration document = accepted;
    const auto existing = std::find_if(document.exceptions.begin(), document.exceptions.end(),
        [&](const ConfigurationException& exception) { return isSameException(exception, call); });
    if (existing == document.exceptions.end())
        document.exceptions.push_back(std::get<ConfigurationException>(parsed));
    else
        *existing = std::get<ConfigurationException>(parsed);
    return editedConfiguration(document);
}

EditResult removeException(const AdminCall& call, const FleetConfiguration& accepted)
{
    FleetConfiguration document = accepted;
    const auto removed = std::erase_if(
        document.exceptions, [&](const ConfigurationException& exception) { return isSameException(exception, call); });
    if (removed == 0)
        return notFound(call);
    return editedConfiguration(document);
}

EditResult grantKey(const AdminCall& call, const FleetConfiguration& accepted, SecretSource& secrets)
{
    if (auto problem = checkFields(call.body, { "account", "label", "sha256" }))
        return *problem;
    const AccountId account(textField(call.body, "account"));
    const std::string label = textField(call.body, "label");
    std::string digest = textField(call.body, "sha256");
    if (!accepted.accounts.contains(account))
        return AdminProblem { 404, "not_found", "there is no account \"" + account.value + "\"", "account",
            "create the account first" };
    const auto existing = accepted.keys.find(digest);
    // A retry after a lost answer.
    if (existing != accepted.keys.end() && existing->second.account == account && existing->second.label == label)
        return editedConfiguration(accepted, { { "sha256", digest } });
    if (!isPlainIdentifier(label))
        return invalidRequest("label", "the label must have 1 to 200 printable ASCII characters", "send a label");
    if (std::any_of(
            accepted.keys.begin(), accepted.keys.end(), [&](const auto& key) { return key.second.label == label; }))
        return AdminProblem { 409, "label_exists", "a key with the label \"" + label + "\" exists", "label",
            "choose another label; if the answer to the grant was lost, remove that key first" };
    if (call.body.contains("sha256") && !isDigest(digest))
        return invalidRequest("sha256", "the digest must have 64 lower-case hexadecimal digits",
            "send the SHA-256 of the key, or leave the field out to have a key generated");
    Json answer = Json::object();
    if (digest.empty()) {
        if (!call.changeId.empty())
            return invalidRequest("change_id",
                "a generated key is not kept, so a retry with this change identifier could not return it",
                "leave the identifier out, or generate the key yourself and send its SHA-256 in the field sha256");
        const std::string key = "cw_" + (call.dryRun ? std::string() : secrets.nextSecretHex(secretBytes));
        digest = sha256Hex(key);
        answer["key"] = key;
        answer["notice"] = "The key is shown only this once; the configuration keeps only its digest.";
    } else if (existing != accepted.keys.end()) {
        return AdminProblem { 409, "key_exists", "a key with this digest exists", "sha256", "generate another key" };
    }
    answer["sha256"] = digest;
    FleetConfiguration document = accepted;
    document.keys[digest] = { digest, account, label };
    return editedConfiguration(document, answer);
}

EditResult removeKey(const AdminCall& call, const FleetConfiguration& accepted)
{
    const auto digest = findKeyDigest(accepted, call.target);
    if (const auto* problem = std::get_if<AdminProblem>(&digest))
        return *problem;
    FleetConfiguration document = accepted;
    document.keys.erase(std::get<std::string>(digest));
    return editedConfiguration(document, { { "sha256", std::get<std::string>(digest) } });
}

std::variant<std::string, AdminProblem> findKeyDigest(
    const FleetConfiguration& configuration, const std::string& labelOrPrefix)
{
    std::vector<std::string> found;
    for (const auto& [digest, grant] : configuration.keys) {
        if (grant.label == labelOrPrefix)
            return digest;
        if (labelOrPrefix.size() >= minimumDigestPrefixDigits && digest.starts_with(labelOrPrefix))
            found.push_back(digest);
    }
    if (found.size() == 1)
        return found.front();
    if (found.empty())
        return AdminProblem { 404, "not_found", "no key has this label or digest", "key",
            "give the complete label or at least 8 digits of the digest; list the keys with GET /admin/v1/keys" };
    return AdminProblem { 409, "ambiguous_key", "several keys have a digest with this prefix", "key",
        "give more digits of the digest, or the label" };
}

Json toJson(const ConfigurationException& exception)
{
    Json json = { { "scope", exception.scope }, { "field", exception.field },
        { "value", Json::parse(exception.valueJson, nullptr, false) }, { "reason", exception.reason } };
    if (exception.expires)
        json["expires"] = formatWallTime(*exception.expires);
    return json;
}

Json toJson(const KeyGrant& grant)
{
    return { { "sha256", grant.sha256Hex }, { "account", grant.account.value }, { "label", grant.label } };
}

std::pair<std::string, std::string> splitExceptionTarget(const std::string& target)
{
    const std::size_t slash = target.rfind('/');
    if (slash == std::string::npos)
        return {};
    return { target.substr(0, slash), target.substr(slash + 1) };
}

} // namespace Catkinwell
