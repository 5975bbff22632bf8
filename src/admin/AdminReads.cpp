#include <admin/AdminReads.h>

#include <admin/ConfigurationDocument.h>
#include <admin/ConfigurationEdit.h>
#include <algorithm>
#include <array>
#include <catkinwell/core/WallTimeText.h>
#include <charconv>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maximumModelEntries = 200;

    constexpr std::array<std::string_view, 9> statusSections { "hosts", "shares", "replicas", "slots", "orders",
        "endpoints", "membership", "configuration", "store" };

    AdminAnswer versioned(const Json& body, ConfigurationVersion version)
    {
        AdminAnswer answer = jsonAnswer(200, body);
        answer.headers.emplace_back("ETag", "\"" + std::to_string(version) + "\"");
        return answer;
    }

    AdminAnswer listAnswer(Json items, ConfigurationVersion version)
    {
        return versioned({ { "version", version }, { "items", std::move(items) } }, version);
    }

    AdminAnswer itemAnswer(Json item, ConfigurationVersion version)
    {
        return versioned({ { "version", version }, { "item", std::move(item) } }, version);
    }

    // ?view=effective shows the configuration in force, with exceptions applied.
    const FleetConfiguration* chosenView(const AdminCall& call, const ConfigurationAccess& access)
    {
        const auto view = call.query.find("view");
        if (view == call.query.end() || view->second == "accepted")
            return &access.accepted();
        return view->second == "effective" ? &access.effective() : nullptr;
    }

    AdminAnswer readSection(const AdminCall& call, const FleetConfiguration& configuration)
    {
        const Json document = Json::parse(fleetConfigurationToJson(configuration));
        const DocumentSection& section = *findSection(call.resource);
        if (!call.target.empty()) {
            const auto item = findItem(document, section, call.target);
            return item ? itemAnswer(*item, configuration.version) : problemAnswer(notFound(call));
        }
        Json items = listItems(document, section);
        if (call.resource == "adapters") {
            Json adapters = Json::array();
            std::copy_if(items.begin(), items.end(), std::back_inserter(adapters),
                [](const Json& item) { return item.contains("base_model") && !item["base_model"].is_null(); });
            items = std::move(adapters);
        }
        return listAnswer(std::move(items), configuration.version);
    }

    AdminAnswer readExceptions(const AdminCall& call, const FleetConfiguration& configuration)
    {
        Json items = Json::array();
        for (const ConfigurationException& exception : configuration.exceptions) {
            if (call.target.empty())
                items.push_back(toJson(exception));
            else if (exception.scope + "/" + exception.field == call.target)
                return itemAnswer(toJson(exception), configuration.version);
        }
        return call.target.empty() ? listAnswer(std::move(items), configuration.version)
                                   : problemAnswer(notFound(call));
    }

    AdminAnswer readKeys(const AdminCall& call, const FleetConfiguration& configuration)
    {
        if (!call.target.empty()) {
            const auto digest = findKeyDigest(configuration, call.target);
            if (const auto* problem = std::get_if<AdminProblem>(&digest))
                return problemAnswer(*problem);
            return itemAnswer(toJson(configuration.keys.at(std::get<std::string>(digest))), configuration.version);
        }
        Json items = Json::array();
        for (const auto& [digest, grant] : configuration.keys)
            items.push_back(toJson(grant));
        return listAnswer(std::move(items), configuration.version);
    }

    AdminAnswer readConfiguration(const AdminCall& call, const FleetConfiguration& configuration)
    {
        Json document = Json::parse(fleetConfigurationToJson(configuration));
        if (call.resource == "defaults")
            return itemAnswer(document.value("defaults", Json::object()), configuration.version);
        return versioned(document, configuration.version);
    }

    AdminAnswer readStatus(const AdminCall& call, const StatusSource& source)
    {
        if (std::find(statusSections.begin(), statusSections.end(), call.target) == statusSections.end()) {
            std::string names;
            for (const std::string_view name : statusSections)
                names.append(names.empty() ? "" : ", ").append(name);
            return problemAnswer(
                AdminProblem { 404, "not_found", "unknown section " + call.target, "path", "use one of " + names });
        }
        const std::string text = source.statusJson(call.target, call.now);
        const Json status = Json::parse(text.empty() ? "null" : text, nullptr, false);
        if (status.is_discarded())
            return problemAnswer(Error { ErrorKind::Internal, "the section's status is not valid JSON" }, "",
                "report the error with the name of the section");
        return jsonAnswer(200, { { "section", call.target }, { "status", status } });
    }

    Json journalToJson(const std::vector<JournalEntry>& entries, MonotonicTime now)
    {
        Json json = Json::array();
        for (const JournalEntry& entry : entries) {
            const LogEventDescription& description = describe(entry.entry.event);
            Json fields = Json::object();
            for (const auto& [name, value] : entry.entry.fields)
                fields[name] = value;
            json.push_back({ { "event", static_cast<int>(entry.entry.event) }, { "name", description.name },
                { "meaning", description.meaning }, { "action", description.action },
                { "age_seconds", std::chrono::duration<double>(now - entry.at).count() }, { "fields", fields } });
        }
        return json;
    }

    AdminAnswer readExplanation(const AdminCall& call, const DecisionJournal& journal)
    {
        constexpr std::string_view modelPrefix = "model/";
        const bool isModel = call.target.starts_with(modelPrefix);
        const std::string subject = isModel ? call.target.substr(modelPrefix.size()) : call.target;
        const auto entries
            = isModel ? journal.entriesOfModel(subject, maximumModelEntries) : journal.entriesOfRequest(subject);
        if (entries.empty())
            return problemAnswer(AdminProblem { 404, "not_found",
                "this host's journal has no matching entry; " + std::to_string(journal.dropped())
                    + " older entries were dropped",
                "path", "ask the host that served the request, or search the log" });
        return jsonAnswer(200,
            { { isModel ? "model" : "request", subject }, { "dropped_entries", journal.dropped() },
                { "entries", journalToJson(entries, call.now) } });
    }

    AdminAnswer readAudit(const AuditLog& audit)
    {
        Json items = Json::array();
        for (const AuditEntry& entry : audit.entries()) {
            items.push_back({ { "sequence", entry.sequence }, { "at", formatWallTime(entry.at) }, { "who", entry.who },
                { "action", entry.action }, { "reason", entry.reason }, { "outcome", nameOf(entry.outcome) },
                { "version", entry.version }, { "paths", entry.paths } });
        }
        return jsonAnswer(200,
            { { "items", items },
                { "notice",
                    "The changes that this host made since it started; the log has those of all hosts and the refused "
                    "ones." } });
    }

    AdminAnswer readDrains(const DrainControl& drains)
    {
        Json items = Json::array();
        for (const EndpointId& endpoint : drains.draining())
            items.push_back({ { "endpoint", endpoint.value } });
        return jsonAnswer(200, { { "items", items } });
    }

    AdminAnswer readQuarantine(const QuarantineControl& quarantine)
    {
        Json items = Json::array();
        for (const QuarantinedRequest& entry : quarantine.quarantined()) {
            std::array<char, 16> digits {};
            const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), entry.fingerprint, 16).ptr;
            items.push_back({ { "fingerprint", std::string(digits.data(), end) }, { "account", entry.account.value },
                { "model", entry.model.value }, { "crashes", entry.crashes } });
        }
        return jsonAnswer(200, { { "items", items } });
    }

} // namespace

AdminAnswer answerRead(const AdminCall& call, const AdminDependencies& needs, const AuditLog& audit)
{
    const std::string& resource = call.resource;
    if (resource == "status")
        return readStatus(call, needs.status);
    if (resource == "explain")
        return readExplanation(call, needs.journal);
    if (resource == "audit")
        return readAudit(audit);
    if (resource == "drains")
        return readDrains(needs.drains);
    if (resource == "quarantine")
        return readQuarantine(needs.quarantine);
    if (resource == "report") {
        AdminAnswer answer = jsonAnswer(200, nullptr);
        answer.body = usageReportToJson(needs.usage.report(call.now, call.wallNow));
        return answer;
    }
    const FleetConfiguration* configuration = chosenView(call, needs.configuration);
    if (!configuration)
        return problemAnswer(invalidRequest("view", "unknown view", "use ?view=accepted or ?view=effective"));
    if (resource == "exceptions")
        return readExceptions(call, *configuration);
    if (resource == "keys")
        return readKeys(call, *configuration);
    if (findSection(resource))
        return readSection(call, *configuration);
    return readConfiguration(call, *configuration);
}

} // namespace Catkinwell
