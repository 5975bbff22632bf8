#include <catkinwell/settings/ProcessSettings.h>

#include "http/SocketAddress.h"
#include "settings/ProcessSettingsSchema.h"
#include "settings/SettingsFile.h"
#include <catkinwell/settings/SchemaCheck.h>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t minimumClusterSecretBytes = 16;

    const std::vector<std::string> callerHeaders { "content-type", "accept", "accept-language", "x-request-id",
        "traceparent" };
    const std::vector<std::string> administrationHeaders { "content-type", "accept", "if-match", "x-audit-reason" };

    Error settingsError(const std::string& message) { return Error { ErrorKind::InvalidSettings, message }; }

    Result<std::string> readSecret(const Json& source, const std::string& path)
    {
        if (source.contains("environment")) {
            const std::string name = source["environment"].get<std::string>();
            const char* value = std::getenv(name.c_str());
            if (!value)
                return settingsError(path + "/environment: the variable \"" + name
                    + "\" is not set; set it before starting the process");
            return std::string(value);
        }
        const std::string file = source["file"].get<std::string>();
        std::ifstream stream(file);
        std::string secret;
        if (!stream || !std::getline(stream, secret))
            return settingsError(
                path + "/file: \"" + file + "\" cannot be read; create the file with the secret in its first line");
        return secret;
    }

    Status checkAddress(const std::string& address, const std::string& path)
    {
        if (parseSocketAddress(address))
            return std::monostate {};
        return settingsError(
            path + ": found \"" + address + "\"; expected an IP address and port, for example 127.0.0.1:8080");
    }

    ListenerSettings readListener(const Json& object, const std::vector<std::string>& allowedHeaders)
    {
        ListenerSettings listener;
        listener.address = object["listen"].get<std::string>();
        listener.maximumBodyBytes = object.value("maximum_body_bytes", listener.maximumBodyBytes);
        listener.idleTimeout = std::chrono::seconds(object.value("idle_timeout_seconds", std::int64_t { 60 }));
        listener.minimumBodyBytesPerSecond
            = object.value("minimum_body_bytes_per_second", listener.minimumBodyBytesPerSecond);
        listener.allowedHeaders = allowedHeaders;
        if (object.contains("tls"))
            listener.tls = { object["tls"]["certificate_file"].get<std::string>(),
                object["tls"]["private_key_file"].get<std::string>() };
        return listener;
    }

    Status checkAddresses(const ProcessSettings& settings)
    {
        const std::pair<std::string, std::string> addresses[] = { { settings.callers.address, "/callers/listen" },
            { settings.administration.address, "/administration/listen" }, { settings.peerAddress, "/peers/listen" },
            { settings.storeAddress, "/store/address" } };
        for (const auto& [address, path] : addresses) {
            Status status = checkAddress(address, path);
            if (isError(status))
                return status;
        }
        for (const auto& [host, address] : settings.seedPeers) {
            Status status = checkAddress(address, "/peers/seeds/" + host.value);
            if (isError(status))
                return status;
        }
        if (!settings.relayAddress.empty()) {
            Status status = checkAddress(settings.relayAddress, "/peers/relay_listen");
            if (isError(status))
                return status;
        }
        if (!settings.sourceAddress.empty() && !isIpAddress(settings.sourceAddress))
            return settingsError("/source_address: found \"" + settings.sourceAddress
                + "\"; expected an IP address, for example 127.0.0.1");
        return std::monostate {};
    }

    void readCredentials(const Json& administration, ProcessSettings& settings)
    {
        for (const Json& object : administration["credentials"])
            settings.credentials.push_back({ object["name"].get<std::string>(),
                object["token_sha256"].get<std::string>(), object["roles"].get<std::vector<std::string>>() });
    }

} // namespace

Result<ProcessSettings> parseProcessSettings(std::string_view json)
{
    const Json document = Json::parse(json, nullptr, false);
    if (document.is_discarded())
        return settingsError("the settings are not valid JSON; check them with a JSON formatter");
    const Status schemaStatus
        = checkAgainstSchema(document, Json::parse(processSettingsSchema), ErrorKind::InvalidSettings);
    if (isError(schemaStatus))
        return errorOf(schemaStatus);

    ProcessSettings settings;
    settings.host = HostId(document["host"].get<std::string>());
    settings.dataCentre = DataCentreId(document["data_centre"].get<std::string>());
    settings.callers = readListener(document["callers"], callerHeaders);
    settings.administration = readListener(document["administration"], administrationHeaders);
    readCredentials(document["administration"], settings);
    settings.peerAddress = document["peers"]["listen"].get<std::string>();
    settings.relayAddress = document["peers"].value("relay_listen", "");
    settings.storeAddress = document["store"]["address"].get<std::string>();
    settings.sourceAddress = document.value("source_address", "");
    const Json seeds = document["peers"].value("seeds", Json::object());
    for (const auto& [host, address] : seeds.items())
        settings.seedPeers[HostId(host)] = address.get<std::string>();
    if (document.contains("log")) {
        settings.log.minimumSeverity
            = logSeverityNamed(document["log"].value("severity", "info")).value_or(LogSeverity::Info);
        settings.log.file = document["log"].value("file", "");
    }
    settings.shutdownGrace = std::chrono::seconds(document.value("shutdown_grace_seconds", std::int64_t { 120 }));
    settings.memoryMb = document.value("memory_mb", settings.memoryMb);
    const Status addressStatus = checkAddresses(settings);
    if (isError(addressStatus))
        return errorOf(addressStatus);
    auto secret = readSecret(document["peers"]["cluster_secret"], "/peers/cluster_secret");
    if (isError(secret))
        return errorOf(secret);
    settings.clusterSecret = takeValue(std::move(secret));
    if (settings.clusterSecret.size() < minimumClusterSecretBytes)
        return settingsError("/peers/cluster_secret: found " + std::to_string(settings.clusterSecret.size())
            + " characters; expected at least " + std::to_string(minimumClusterSecretBytes));
    return settings;
}

Result<ProcessSettings> loadProcessSettings(const std::string& file)
{
    auto text = readSettingsFile(file);
    return isError(text) ? Result<ProcessSettings>(errorOf(text)) : parseProcessSettings(valueOf(text));
}

} // namespace Catkinwell
