#include <admin/AdminSession.h>

#include <admin/AdminAnswer.h>
#include <admin/AdminTables.h>
#include <catkinwell/core/Digest.h>
#include <event2/util.h>
#include <thread>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr int maximumAttempts = 4;
    constexpr std::size_t changeIdBytes = 16;

    std::string versionIn(const ClientResponse& response)
    {
        for (const auto& [name, value] : response.headers) {
            if (evutil_ascii_strcasecmp(name.c_str(), "ETag") == 0 && value.size() > 2)
                return value.substr(1, value.size() - 2);
        }
        return {};
    }

    // Parses the error object of an answer.
    Error errorIn(const ClientResponse& response)
    {
        const Json json = Json::parse(response.body, nullptr, false);
        const ErrorKind kind = response.status == 404 ? ErrorKind::NotFound : ErrorKind::InvalidRequest;
        if (!json.is_object() || !json.contains("error") || !json["error"].is_object())
            return { kind, "the host answered with status " + std::to_string(response.status) };
        std::string message = json["error"].value("message", "the host gave no error message");
        const std::string remedy = json.value("remedy", "");
        if (!remedy.empty())
            message += "\n" + remedy;
        return { kind, message };
    }

    bool isSuccess(const ClientResponse& response) { return response.status >= 200 && response.status < 300; }

    // Returns whether the outcome of the change is still unknown after this answer.
    bool isOutcomeUnknown(const Result<ClientResponse>& result)
    {
        if (isError(result))
            return true;
        const ClientResponse& response = valueOf(result);
        if (response.status == 504)
            return true;
        const Json json = Json::parse(response.body, nullptr, false);
        return response.status == 409 && json.is_object() && json.contains("error") && json["error"].is_object()
            && json["error"].value("code", "") == "in_progress";
    }

} // namespace

AdminSession::AdminSession(AdminTransport& transport, AdminCommandOptions options, CommandStreams streams)
    : m_transport(transport)
    , m_options(std::move(options))
    , m_streams(streams)
{
}

Result<AdminSession::Document> AdminSession::get(const std::string& path)
{
    const auto result = m_transport.send({ "GET", path, {}, {} });
    if (isError(result))
        return errorOf(result);
    const ClientResponse& response = valueOf(result);
    if (!isSuccess(response))
        return errorIn(response);
    Json body = Json::parse(response.body, nullptr, false);
    if (body.is_discarded())
        return Error { ErrorKind::InvalidMessage, "the answer is not JSON; check the address" };
    return Document { std::move(body), versionIn(response) };
}

int AdminSession::change(const PlannedChange& planned)
{
    if (m_options.reason.empty()) {
        m_streams.err << "A change needs a reason: add --reason \"...\"\n";
        return exitUsage;
    }
    const auto plan = sendChange(planned, "?dry_run=true", {});
    if (isError(plan))
        return fail(errorOf(plan));
    if (!isSuccess(valueOf(plan)))
        return fail(errorIn(valueOf(plan)));
    const Json preview = Json::parse(valueOf(plan).body, nullptr, false);
    if (!preview.is_object() || !preview.contains("changes"))
        return fail({ ErrorKind::InvalidMessage, "the host's dry-run answer cannot be parsed" });
    const Json& changes = preview["changes"];
    if (m_options.dryRun && m_options.json)
        m_streams.out << preview.dump(2) << "\n";
    else if (!m_options.json)
        printChanges(m_streams.out, changes);
    if (m_options.dryRun || changes.empty())
        return exitSuccess;
    if (planned.interruptsService && !m_options.yes && !confirm())
        return exitFailure;
    const auto result = sendWithRetries(planned);
    if (isError(result))
        return fail({ ErrorKind::Timeout,
            errorOf(result).message + "\nThe change may have taken effect; read the resource to find out." });
    if (!isSuccess(valueOf(result)))
        return fail(errorIn(valueOf(result)));
    const Json answer = Json::parse(valueOf(result).body, nullptr, false);
    if (m_options.json)
        m_streams.out << answer.dump(2) << "\n";
    else if (answer.contains("version"))
        m_streams.out << "done, version " << answer["version"] << "\n";
    else
        m_streams.out << "done\n";
    for (const char* name : { "key", "notice" }) {
        if (!m_options.json && answer.contains(name))
            m_streams.out << name << ": " << answer[name].get<std::string>() << "\n";
    }
    return exitSuccess;
}

int AdminSession::fail(const Error& error)
{
    m_streams.err << error.message << "\n";
    return exitFailure;
}

Result<ClientResponse> AdminSession::sendChange(
    const PlannedChange& planned, const std::string& query, const std::string& changeId)
{
    ClientRequest request { planned.method, planned.path + query, { { "X-Audit-Reason", m_options.reason } }, {} };
    if (!planned.version.empty())
        request.headers.emplace_back("If-Match", "\"" + planned.version + "\"");
    if (!changeId.empty())
        request.headers.emplace_back("X-Change-Id", changeId);
    if (!planned.body.is_null())
        request.body = jsonText(planned.body);
    return m_transport.send(request);
}

Result<ClientResponse> AdminSession::sendWithRetries(const PlannedChange& planned)
{
    const std::string changeId = planned.isRetryable ? randomHex(changeIdBytes) : std::string();
    Result<ClientResponse> result = sendChange(planned, "", changeId);
    for (int attempt = 1; planned.isRetryable && attempt < maximumAttempts && isOutcomeUnknown(result); ++attempt) {
        m_streams.err << "The outcome is unknown; repeating the request with the same change identifier.\n";
        std::this_thread::sleep_for(retryDelay);
        result = sendChange(planned, "", changeId);
    }
    return result;
}

bool AdminSession::confirm()
{
    m_streams.err << "This may interrupt service. Type yes to continue: " << std::flush;
    std::string answer;
    std::getline(m_streams.in, answer);
    if (answer == "yes")
        return true;
    m_streams.err << "\nNothing was changed; to confirm, type yes or use --yes.\n";
    return false;
}

} // namespace Catkinwell
