#include <catkinwell/gateway/GatewaySettings.h>

#include "http/SocketAddress.h"
#include "settings/SettingsFile.h"
#include <array>
#include <limits>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr double largestNumber = 1e9;
    constexpr std::size_t bytesPerMb = 1'000'000;
    // Part of the memory for the answers that are collected. A string that grows takes up to three times its length
    // for a moment.
    constexpr std::size_t memoryPartOfAnswers = 8;
    // Part of the memory for all bytes of requests and answers.
    constexpr std::size_t memoryPartOfRequests = 4;

    // A field that takes effect only at the start of the process.
    struct AddressField {
        const char* name;
        std::string GatewaySettings::*member;
    };

    constexpr std::array<AddressField, 10> addressFields { {
        { "caller_address", &GatewaySettings::callerAddress },
        { "status_address", &GatewaySettings::statusAddress },
        { "metrics_address", &GatewaySettings::metricsAddress },
        { "peer_address", &GatewaySettings::peerAddress },
        { "announced_peer_address", &GatewaySettings::announcedPeerAddress },
        { "relay_address", &GatewaySettings::relayAddress },
        { "announced_relay_address", &GatewaySettings::announcedRelayAddress },
        { "source_address", &GatewaySettings::sourceAddress },
        { "store_address", &GatewaySettings::storeAddress },
        { "store_key_prefix", &GatewaySettings::storeKeyPrefix },
    } };

    // Reads the fields of one object and keeps the first error. An absent field keeps its default.
    class SettingsReader {
    public:
        SettingsReader(const Json& object, std::string path, std::string& error)
            : m_object(object)
            , m_path(std::move(path))
            , m_error(error)
        {
        }

        void text(const char* name, std::string& target, bool isRequired)
        {
            const Json* field = find(name, isRequired);
            if (!field)
                return;
            if (!field->is_string())
                return fail(name, "a string");
            target = field->get<std::string>();
        }
        void address(const char* name, std::string& target, bool isRequired)
        {
            text(name, target, isRequired);
            if (!target.empty() && !parseSocketAddress(target))
                fail(name, "an IP address and port, for example 127.0.0.1:8080");
        }
        void ipAddress(const char* name, std::string& target)
        {
            text(name, target, false);
            if (!target.empty() && !isIpAddress(target))
                fail(name, "an IP address, for example 127.0.0.1");
        }
        void milliseconds(const char* name, Duration& target)
        {
            double value = 0;
            if (number(name, value, 1))
                target = durationOfMilliseconds(value);
        }
        bool number(const char* name, double& target, double minimum)
        {
            const Json* field = find(name, false);
            if (!field)
                return false;
            if (!field->is_number() || field->get<double>() < minimum || field->get<double>() > largestNumber) {
                fail(name, "a number of at least " + std::to_string(minimum) + " and at most a billion");
                return false;
            }
            target = field->get<double>();
            return true;
        }
        void count(const char* name, unsigned& target)
        {
            double value = 0;
            if (number(name, value, 1))
                target = static_cast<unsigned>(value);
        }
        const Json* object(const char* name)
        {
            const Json* field = find(name, false);
            if (field && !field->is_object()) {
                fail(name, "an object");
                return nullptr;
            }
            return field;
        }
        // Reports a field that none of the calls above has read.
        void rejectUnknownFields()
        {
            for (const auto& [name, value] : m_object.items()) {
                if (!m_readFields.contains(name) && m_error.empty())
                    m_error = "the field \"" + m_path + name + "\" is unknown; remove it or correct its name";
            }
        }

    private:
        const Json* find(const char* name, bool isRequired)
        {
            m_readFields.insert(name);
            const auto found = m_object.find(name);
            if (found != m_object.end())
                return &*found;
            if (isRequired && m_error.empty())
                m_error = "the field \"" + m_path + name + "\" is missing; add it";
            return nullptr;
        }
        void fail(const char* name, const std::string& expected)
        {
            if (m_error.empty())
                m_error
                    = "the field \"" + m_path + name + "\" is " + m_object.at(name).dump() + ", expected " + expected;
        }

        const Json& m_object;
        std::string m_path;
        std::string& m_error;
        std::set<std::string> m_readFields;
    };

    // Returns the address with the port after that of this one; empty if there is none.
    std::string nextPortOf(const std::string& text)
    {
        const auto address = parseSocketAddress(text);
        if (!address || address->port == 0 || address->port == std::numeric_limits<std::uint16_t>::max())
            return "";
        const bool isVersion6 = address->host.find(':') != std::string::npos;
        const std::string host = isVersion6 ? "[" + address->host + "]" : address->host;
        return host + ":" + std::to_string(address->port + 1);
    }

    // Without the factor cold endpoints are not treated apart.
    void readColdBounds(SettingsReader& reader, std::optional<ColdBounds>& target)
    {
        ColdBounds bounds;
        reader.number("cold_slack", bounds.slack, 0);
        if (reader.number("cold_over", bounds.factor, 0.001))
            target = bounds;
    }

    void readRequests(const Json* object, GatewayRequestSettings& settings, std::string& error)
    {
        if (!object)
            return;
        SettingsReader reader(*object, "requests.", error);
        reader.number("retry_fraction", settings.retryFraction, 0);
        reader.number("retry_constant", settings.retryConstant, 0);
        reader.milliseconds("retry_window_ms", settings.retryWindow);
        reader.rejectUnknownFields();
    }

    void readPlacement(const Json* object, EnginePlacementSettings& settings, std::string& error)
    {
        if (!object)
            return;
        SettingsReader reader(*object, "placement.", error);
        reader.count("concurrent_store_loads", settings.concurrentStoreLoads);
        reader.milliseconds("store_load_window_ms", settings.storeLoadWindow);
        reader.number("busy_share", settings.busyShare, 0.001);
        reader.number("busy_requests", settings.busyRequests, 0.001);
        reader.rejectUnknownFields();
    }

    void readLog(const Json* object, LogSettings& settings, std::string& error)
    {
        if (!object)
            return;
        SettingsReader reader(*object, "log.", error);
        std::string severity;
        reader.text("severity", severity, false);
        reader.text("file", settings.file, false);
        unsigned rate = settings.maximumPerEventAndSecond;
        reader.count("maximum_per_event_and_second", rate);
        settings.maximumPerEventAndSecond = rate;
        reader.rejectUnknownFields();
        if (severity.empty())
            return;
        if (const auto named = logSeverityNamed(severity))
            settings.minimumSeverity = *named;
        else if (error.empty())
            error = "the field \"log.severity\" is \"" + severity + "\", expected debug, info, warning or error";
    }

} // namespace

Result<GatewaySettings> parseGatewaySettings(std::string_view text)
{
    const Json document = Json::parse(text, nullptr, false);
    if (!document.is_object())
        return Error { ErrorKind::InvalidSettings, "the settings are not a JSON object; see docs/configuration.md" };
    GatewaySettings settings;
    std::string error;
    SettingsReader reader(document, "", error);
    reader.text("host", settings.host.value, true);
    reader.text("data_centre", settings.dataCentre.value, true);
    reader.address("caller_address", settings.callerAddress, true);
    reader.address("status_address", settings.statusAddress, true);
    reader.address("metrics_address", settings.metricsAddress, false);
    reader.address("peer_address", settings.peerAddress, true);
    reader.address("announced_peer_address", settings.announcedPeerAddress, false);
    settings.relayAddress = nextPortOf(settings.peerAddress);
    reader.address("relay_address", settings.relayAddress, false);
    reader.address("announced_relay_address", settings.announcedRelayAddress, false);
    reader.ipAddress("source_address", settings.sourceAddress);
    reader.address("store_address", settings.storeAddress, true);
    reader.text("store_key_prefix", settings.storeKeyPrefix, false);
    if (error.empty() && !settings.storeKeyPrefix.ends_with('/'))
        error = "the field \"store_key_prefix\" is \"" + settings.storeKeyPrefix + "\"; end it with a slash";
    reader.milliseconds("lease_ttl_ms", settings.leaseTtl);
    reader.count("spread_from_hosts", settings.spreadFromHosts);
    reader.milliseconds("owner_silence_ms", settings.ownerSilence);
    reader.milliseconds("store_reconnect_ms", settings.storeReconnect);
    reader.milliseconds("configuration_bound_ms", settings.requests.configurationBound);
    reader.milliseconds("shutdown_accepting_ms", settings.shutdownAccepting);
    reader.milliseconds("shutdown_grace_ms", settings.shutdownGrace);
    reader.count("memory_mb", settings.memoryMb);
    readColdBounds(reader, settings.coldBounds);
    reader.number("processor_share", settings.processorShare, 0.001);
    double sharedReadingHosts = settings.sharedReadingHosts;
    reader.number("shared_reading_hosts", sharedReadingHosts, 0);
    settings.sharedReadingHosts = static_cast<unsigned>(sharedReadingHosts);
    reader.count("min_body_bytes_per_s", settings.minimumBodyBytesPerSecond);
    settings.requests.maximumAnswerBytes = settings.memoryMb * bytesPerMb / memoryPartOfAnswers;
    settings.requests.maximumKeptBytes = settings.memoryMb * bytesPerMb / memoryPartOfRequests;
    readRequests(reader.object("requests"), settings.requests, error);
    readPlacement(reader.object("placement"), settings.placement, error);
    readLog(reader.object("log"), settings.log, error);
    reader.rejectUnknownFields();
    if (!error.empty())
        return Error { ErrorKind::InvalidSettings, error };
    return settings;
}

std::vector<std::string> fieldsThatNeedRestart(const GatewaySettings& running, const GatewaySettings& wanted)
{
    std::vector<std::string> names;
    for (const AddressField& field : addressFields) {
        if (running.*field.member != wanted.*field.member)
            names.emplace_back(field.name);
    }
    if (running.host != wanted.host)
        names.emplace_back("host");
    if (running.dataCentre != wanted.dataCentre)
        names.emplace_back("data_centre");
    if (running.leaseTtl != wanted.leaseTtl)
        names.emplace_back("lease_ttl_ms");
    if (running.minimumBodyBytesPerSecond != wanted.minimumBodyBytesPerSecond)
        names.emplace_back("min_body_bytes_per_s");
    if (running.log.file != wanted.log.file)
        names.emplace_back("log.file");
    return names;
}

Result<GatewaySettings> loadGatewaySettings(const std::string& file)
{
    auto text = readSettingsFile(file);
    return isError(text) ? Result<GatewaySettings>(errorOf(text)) : parseGatewaySettings(valueOf(text));
}

} // namespace Catkinwell
