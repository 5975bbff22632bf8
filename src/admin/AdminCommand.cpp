#include <admin/AdminCommand.h>

#include <CLI/CLI.hpp>
#include <admin/AdminAnswer.h>
#include <admin/AdminTables.h>
#include <catkinwell/admin/UsageReport.h>
#include <cstdlib>
#include <event2/http.h>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr const char* apiPath = "/admin/v1/";
    constexpr const char* defaultAddress = "127.0.0.1:9090";

    std::string escaped(const std::string& identifier)
    {
        const std::unique_ptr<char, decltype(&std::free)> text(
            evhttp_uriencode(identifier.data(), static_cast<ev_ssize_t>(identifier.size()), 0), &std::free);
        return text ? text.get() : std::string();
    }

    std::string pathOf(const std::string& resource, const std::string& identifier = {})
    {
        const std::string path = apiPath + resource;
        return identifier.empty() ? path : path + "/" + escaped(identifier);
    }

    // A value that is not valid JSON is read as a string, so that names need no quotes.
    Json parseValue(const std::string& text)
    {
        Json value = Json::parse(text, nullptr, false);
        return value.is_discarded() ? Json(text) : value;
    }

    std::string environmentValue(const char* name)
    {
        const char* value = std::getenv(name);
        return value ? value : "";
    }

} // namespace

AdminCommand::AdminCommand(CommandStreams streams, Connect connect)
    : m_streams(streams)
    , m_connect(std::move(connect))
    , m_app(std::make_unique<CLI::App>("Administers the hosts and the fleet configuration.", "catkinwell admin"))
{
    m_app->require_subcommand(1);
    m_app->fallthrough();
    // Subcommands inherit the footer; their help does not list the options of the parent command.
    m_app->footer(
        "The options of catkinwell admin, such as --reason, --dry-run, --yes, --json and --address, may follow "
        "any command.");
    addOptions();
    addConfigurationCommands();
    addObjectCommands("accounts", "client account");
    addObjectCommands("models", "model");
    addObjectCommands("adapters", "adapter");
    addObjectCommands("endpoints", "endpoint");
    addObjectCommands("routes", "route");
    addDefaultsCommands();
    addKeyCommands();
    addExceptionCommands();
    addOperationCommands();
    addDataCentreCommands();
    addQuarantineCommands();
    addDiagnosisCommands();
}

AdminCommand::~AdminCommand() = default;

int AdminCommand::run(std::vector<std::string> arguments)
{
    try {
        // CLI11 expects the arguments in reverse order.
        std::reverse(arguments.begin(), arguments.end());
        m_app->parse(arguments);
    } catch (const CLI::ParseError& error) {
        return m_app->exit(error, m_streams.out, m_streams.err) == 0 ? exitSuccess : exitUsage;
    }
    if (!m_chosen) {
        m_streams.err << "No command was given; see catkinwell admin --help\n";
        return exitUsage;
    }
    return m_chosen();
}

CLI::App* AdminCommand::addCommand(
    CLI::App& parent, const std::string& name, const std::string& description, Action action)
{
    CLI::App* command = parent.add_subcommand(name, description);
    if (action)
        command->callback([this, action = std::move(action)] { m_chosen = action; });
    else
        command->require_subcommand(1);
    return command;
}

void AdminCommand::addOptions()
{
    m_app->add_option("--address", m_addresses, "host:port of the administration listener; several for report")
        ->envname("CATKINWELL_ADMIN_ADDRESS")
        ->allow_extra_args(false);
    m_app->add_option("--token-file", m_tokenFile, "file with the token; default: the value of CATKINWELL_ADMIN_TOKEN");
    m_app->add_option("--timeout", m_timeoutSeconds, "seconds to wait for an answer")->check(CLI::Range(0.1, 3600.0));
    m_app->add_flag("--json", m_options.json, "write JSON instead of tables");
    m_app->add_flag("--dry-run", m_options.dryRun, "show the changes without making them");
    m_app->add_flag("--yes", m_options.yes, "make changes that may interrupt service without confirmation");
    m_app->add_option("--reason", m_options.reason, "reason for the audit log; required for every change");
}

void AdminCommand::addConfigurationCommands()
{
    CLI::App* group = addCommand(*m_app, "configuration", "The whole fleet configuration", {});
    CLI::App* command = addCommand(*group, "show", "Print the document", [this] {
        return show(pathOf("configuration") + (m_effective ? "?view=effective" : ""),
            [this](const Json& document) { m_streams.out << document.dump(2) << "\n"; });
    });
    command->add_flag("--effective", m_effective, "with the exceptions applied");
    command = addCommand(*group, "apply", "Replace the document", [this] { return applyConfiguration(false); });
    command->add_option("file", m_file, "JSON document")->required();
    command = addCommand(*group, "diff", "Show what apply would change", [this] { return applyConfiguration(true); });
    command->add_option("file", m_file, "JSON document")->required();
}

void AdminCommand::addObjectCommands(const std::string& resource, const std::string& what)
{
    CLI::App* group = addCommand(*m_app, resource, "The fleet's " + resource, {});
    addCommand(*group, "list", "List them", [this, resource] {
        return listItems(pathOf(resource), { "id", "path_prefix" });
    });
    const auto withIdentifier = [this, &what](CLI::App* command) {
        command->add_option("identifier", m_identifier, "the " + what)->required();
        return command;
    };
    withIdentifier(addCommand(*group, "show", "Show one", [this, resource] {
        return show(pathOf(resource, m_identifier),
            [this](const Json& answer) { printValue(m_streams.out, answer.at("item")); });
    }));
    CLI::App* set = withIdentifier(
        addCommand(*group, "set", "Add one, or change its fields", [this, resource] { return setObject(resource); }));
    set->add_option("fields", m_assignments, "field=value; a value is JSON or a plain string");
    set->add_option("--file", m_file, "file with a JSON object that replaces the whole " + what);
    withIdentifier(addCommand(*group, "remove", "Remove one", [this, resource] {
        return changeAt(pathOf(resource), { "DELETE", pathOf(resource, m_identifier), nullptr, {}, true, true });
    }));
}

void AdminCommand::addDefaultsCommands()
{
    CLI::App* group = addCommand(*m_app, "defaults", "The fleet-wide defaults", {});
    addCommand(*group, "show", "Show them", [this] {
        return show(pathOf("defaults"), [this](const Json& answer) { printValue(m_streams.out, answer.at("item")); });
    });
    CLI::App* set = addCommand(*group, "set", "Change fields", [this] {
        m_identifier.clear();
        return setObject("defaults");
    });
    set->add_option("fields", m_assignments, "field=value; a value is JSON or a plain string");
    set->add_option("--file", m_file, "file with a JSON object that replaces all defaults");
}

void AdminCommand::addKeyCommands()
{
    CLI::App* group = addCommand(*m_app, "key", "Keys of client accounts", {});
    addCommand(*group, "list", "List them", [this] {
        return listItems(pathOf("keys"), { "label", "account", "sha256" });
    });
    CLI::App* grant = addCommand(*group, "grant", "Generate a key and show it once", [this] {
        const Json body = { { "account", m_account }, { "label", m_label } };
        // A retry would generate another key.
        return changeAt(pathOf("keys"), { "POST", pathOf("keys"), body, {}, false, false });
    });
    grant->add_option("--account", m_account, "client account")->required();
    grant->add_option("--label", m_label, "name of the key")->required();
    CLI::App* revoke = addCommand(*group, "revoke", "Remove a key", [this] {
        if (!m_local)
            return changeAt(pathOf("keys"), { "DELETE", pathOf("keys", m_identifier), nullptr, {}, true, true });
        const PlannedChange change { "POST", pathOf("revocations"), { { "key", m_identifier } }, {}, true, true };
        return withSession([&](AdminSession& session) { return session.change(change); });
    });
    revoke->add_option("key", m_identifier, "label, or at least 8 digits of the digest")->required();
    revoke->add_flag(
        "--local", m_local, "revoke the key at once without the store, for example during a network partition");
}

void AdminCommand::addExceptionCommands()
{
    CLI::App* group = addCommand(*m_app, "exception", "Exceptions from the defaults", {});
    addCommand(*group, "list", "List them", [this] {
        return listItems(pathOf("exceptions"), { "scope", "field", "value", "expires", "reason" });
    });
    const auto withName = [this](CLI::App* command) {
        command->add_option("scope", m_identifier, "the object, for example model/notes-7b")->required();
        command->add_option("field", m_field, "the field of the object")->required();
        return command;
    };
    CLI::App* add = withName(addCommand(*group, "add", "Add or replace one", [this] {
        Json body = { { "value", parseValue(m_value) }, { "reason", m_options.reason } };
        if (!m_expires.empty())
            body["expires"] = m_expires;
        const std::string path = pathOf("exceptions", m_identifier + "/" + m_field);
        return changeAt(pathOf("exceptions"), { "PUT", path, body, {}, true, true });
    }));
    add->add_option("value", m_value, "JSON or a plain string")->required();
    add->add_option("--expires", m_expires, "UTC time such as 2026-12-31T18:00:00Z");
    withName(addCommand(*group, "remove", "Remove one", [this] {
        const std::string path = pathOf("exceptions", m_identifier + "/" + m_field);
        return changeAt(pathOf("exceptions"), { "DELETE", path, nullptr, {}, true, true });
    }));
}

void AdminCommand::addOperationCommands()
{
    const auto addDrain = [this](const char* name, const char* method, const char* description, bool interrupts) {
        CLI::App* command = addCommand(*m_app, name, description, [this, method, interrupts] {
            const PlannedChange change { method, pathOf("drains", m_identifier), nullptr, {}, interrupts, true };
            return withSession([&](AdminSession& session) { return session.change(change); });
        });
        command->add_option("endpoint", m_identifier, "the endpoint")->required();
    };
    addDrain("drain", "PUT", "Stop sending new requests to an endpoint", true);
    addDrain("undrain", "DELETE", "Resume sending requests to an endpoint", false);
    addCommand(
        *m_app, "drains", "List the drained endpoints", [this] { return listItems(pathOf("drains"), { "endpoint" }); });
}

void AdminCommand::addDataCentreCommands()
{
    CLI::App* group = addCommand(*m_app, "data-centre", "Evacuation of data centres", {});
    addCommand(*group, "list", "List the data centres under evacuation", [this] {
        return listItems(pathOf("evacuations"), { "data_centre", "reason" });
    });
    const auto add = [this, group](const char* name, const char* method, const char* description) {
        CLI::App* command = addCommand(*group, name, description, [this, method] {
            const bool begins = std::string_view(method) == "PUT";
            const Json body = begins ? Json { { "reason", m_options.reason } } : Json();
            return changeAt(
                pathOf("evacuations"), { method, pathOf("evacuations", m_identifier), body, {}, begins, true });
        });
        command->add_option("name", m_identifier, "the data centre")->required();
    };
    add("evacuate", "PUT", "Send nothing new to the endpoints of a data centre");
    add("restore", "DELETE", "Send requests to the endpoints of a data centre again");
}

void AdminCommand::addQuarantineCommands()
{
    CLI::App* group = addCommand(*m_app, "quarantine", "Requests that crashed endpoints", {});
    addCommand(*group, "list", "List them", [this] { return listItems(pathOf("quarantine"), { "fingerprint" }); });
    CLI::App* release = addCommand(*group, "release", "Admit a quarantined request again", [this] {
        const PlannedChange change { "DELETE", pathOf("quarantine", m_identifier), nullptr, {}, true, true };
        return withSession([&](AdminSession& session) { return session.change(change); });
    });
    release->add_option("fingerprint", m_identifier, "fingerprint from the list")->required();
}

void AdminCommand::addDiagnosisCommands()
{
    CLI::App* status = addCommand(*m_app, "status", "State of a host", [this] {
        return show(pathOf("status", m_identifier),
            [this](const Json& answer) { printValue(m_streams.out, answer.at("status")); });
    });
    status->add_option("section", m_identifier, "what to show")
        ->required()
        ->check(CLI::IsMember(std::set<std::string> {
            "hosts", "shares", "replicas", "slots", "orders", "endpoints", "membership", "configuration", "store" }));
    CLI::App* explain = addCommand(*m_app, "explain", "Show the events behind a host's decisions", [this] {
        if (m_identifier.empty() == m_model.empty()) {
            m_streams.err << "Give a request identifier or --model, not both\n";
            return exitUsage;
        }
        const std::string subject = m_model.empty() ? m_identifier : "model/" + m_model;
        return show(
            pathOf("explain", subject), [this](const Json& answer) { printExplanation(m_streams.out, answer); });
    });
    explain->add_option("request", m_identifier, "identifier of a request");
    explain->add_option("--model", m_model, "a model");
    addCommand(*m_app, "report", "Accelerator hours, loads and tokens of the hosts given by --address",
        [this] { return report(); });
    addCommand(*m_app, "audit", "List the changes that a host made", [this] {
        return listItems(pathOf("audit"), { "sequence", "at", "who", "action", "outcome", "reason" });
    });
    CLI::App* completion = addCommand(*m_app, "completion", "Print a shell completion script", [this] {
        m_streams.out << bashCompletionOf(*m_app, "catkinwell");
        return exitSuccess;
    });
    completion->add_option("shell", m_shell, "bash")->required()->check(CLI::IsMember({ "bash" }));
}

int AdminCommand::withSession(const std::function<int(AdminSession&)>& action)
{
    const std::string address = m_addresses.empty() ? defaultAddress : m_addresses.front();
    const auto parsed = parseAdminAddress(address);
    const auto token = readToken();
    if (isError(parsed) || isError(token)) {
        m_streams.err << (isError(parsed) ? errorOf(parsed) : errorOf(token)).message << "\n";
        return exitUsage;
    }
    const std::chrono::duration<double> timeout(m_timeoutSeconds);
    const auto transport = m_connect(address, valueOf(token), std::chrono::duration_cast<Duration>(timeout));
    AdminSession session(*transport, m_options, m_streams);
    return action(session);
}

int AdminCommand::show(const std::string& path, const std::function<void(const Json&)>& print)
{
    return withSession([&](AdminSession& session) {
        const auto answer = session.get(path);
        if (isError(answer))
            return session.fail(errorOf(answer));
        if (m_options.json)
            m_streams.out << valueOf(answer).body.dump(2) << "\n";
        else
            print(valueOf(answer).body);
        return exitSuccess;
    });
}

int AdminCommand::listItems(const std::string& path, const std::vector<std::string>& columns)
{
    return show(path, [&](const Json& answer) { printTable(m_streams.out, answer.at("items"), columns); });
}

int AdminCommand::applyConfiguration(bool isDryRun)
{
    const auto document = readFile();
    if (isError(document)) {
        m_streams.err << errorOf(document).message << "\n";
        return exitUsage;
    }
    if (isDryRun) {
        m_options.dryRun = true;
        if (m_options.reason.empty())
            m_options.reason = "diff";
    }
    // A document that contains a version is applied only to that version.
    PlannedChange change { "PUT", pathOf("configuration"), valueOf(document), {}, true, true };
    if (change.body.is_object() && change.body.contains("version") && !isDryRun)
        change.version = jsonText(change.body["version"]);
    return changeAt(pathOf("configuration"), change);
}

int AdminCommand::setObject(const std::string& resource)
{
    Json fields = Json::object();
    for (const std::string& assignment : m_assignments) {
        const std::size_t equals = assignment.find('=');
        if (equals == std::string::npos || equals == 0) {
            m_streams.err << "\"" << assignment << "\" is not of the form field=value\n";
            return exitUsage;
        }
        fields[assignment.substr(0, equals)] = parseValue(assignment.substr(equals + 1));
    }
    const auto file = m_file.empty() ? Result<Json>(Json()) : readFile();
    if (isError(file) || (m_file.empty() && fields.empty())) {
        m_streams.err << (isError(file) ? errorOf(file).message : "Give at least one field=value, or --file") << "\n";
        return exitUsage;
    }
    return withSession([&](AdminSession& session) {
        const std::string path = pathOf(resource, m_identifier);
        auto current = session.get(path);
        std::string version;
        Json body = valueOf(file);
        if (!isError(current)) {
            version = valueOf(current).version;
            if (m_file.empty())
                body = valueOf(current).body.at("item");
        } else if (errorOf(current).kind == ErrorKind::NotFound && resource != "defaults") {
            const auto list = session.get(pathOf(resource));
            if (isError(list))
                return session.fail(errorOf(list));
            version = valueOf(list).version;
        } else {
            return session.fail(errorOf(current));
        }
        if (body.is_null())
            body = Json::object();
        body.update(fields);
        // A wrong endpoint or route makes requests fail; other settings only change how requests are served.
        const bool interruptsService = resource == "endpoints" || resource == "routes";
        return session.change({ "PUT", path, body, version, interruptsService, true });
    });
}

int AdminCommand::changeAt(const std::string& versionPath, PlannedChange change)
{
    return withSession([&](AdminSession& session) {
        if (change.version.empty()) {
            const auto current = session.get(versionPath);
            if (isError(current))
                return session.fail(errorOf(current));
            change.version = valueOf(current).version;
        }
        return session.change(change);
    });
}

int AdminCommand::report()
{
    std::vector<UsageReport> reports;
    std::set<std::string> hosts;
    int exitCode = exitSuccess;
    std::vector<std::string> addresses = m_addresses;
    if (addresses.empty())
        addresses.emplace_back(defaultAddress);
    for (const std::string& address : addresses) {
        m_addresses = { address };
        const int code = withSession([&](AdminSession& session) {
            const auto answer = session.get(pathOf("report"));
            if (isError(answer))
                return session.fail(errorOf(answer));
            auto parsed = parseUsageReport(jsonText(valueOf(answer).body));
            if (isError(parsed))
                return session.fail(errorOf(parsed));
            UsageReport report = takeValue(std::move(parsed));
            for (const UsagePeriod& period : report.periods) {
                if (!hosts.insert(period.host.value).second)
                    return session.fail({ ErrorKind::InvalidSettings,
                        address + " is a second address of host " + period.host.value + "; it was left out" });
            }
            reports.push_back(std::move(report));
            return exitSuccess;
        });
        exitCode = std::max(exitCode, code);
    }
    if (exitCode != exitSuccess)
        m_streams.err << "The report is incomplete: it covers " << reports.size() << " of " << addresses.size()
                      << " addresses\n";
    if (reports.empty())
        return exitCode;
    const std::string merged = usageReportToJson(mergeUsageReports(reports));
    if (m_options.json)
        m_streams.out << Json::parse(merged).dump(2) << "\n";
    else
        printReport(m_streams.out, Json::parse(merged));
    return exitCode;
}

Result<Json> AdminCommand::readFile() const
{
    std::ifstream file(m_file);
    std::ostringstream text;
    text << file.rdbuf();
    Json json = file ? Json::parse(text.str(), nullptr, false) : Json(Json::value_t::discarded);
    if (json.is_discarded())
        return Error { ErrorKind::InvalidSettings, "the file " + m_file + " cannot be read as JSON" };
    return json;
}

Result<std::string> AdminCommand::readToken() const
{
    std::string token = environmentValue("CATKINWELL_ADMIN_TOKEN");
    if (!m_tokenFile.empty()) {
        std::ifstream file(m_tokenFile);
        if (!std::getline(file, token))
            return Error { ErrorKind::InvalidSettings, "the token file " + m_tokenFile + " cannot be read" };
    }
    if (token.empty())
        return Error { ErrorKind::InvalidSettings,
            "no token: set CATKINWELL_ADMIN_TOKEN or give --token-file with a readable file" };
    return token;
}

int runAdminCommand(int argc, char** argv)
{
    AdminCommand command(
        { std::cin, std::cout, std::cerr }, [](const std::string& address, const std::string& token, Duration timeout) {
            return std::make_unique<HttpAdminTransport>(address, token, timeout);
        });
    try {
        return command.run({ argv + 1, argv + argc });
    } catch (const std::exception& problem) {
        // The answer lacks an expected field, for example because another program gave it.
        std::cerr << "The answer could not be displayed: " << problem.what() << "\n";
        return exitFailure;
    }
}

} // namespace Catkinwell
