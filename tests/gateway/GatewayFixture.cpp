#include "gateway/GatewayFixture.h"

#include "http/HeaderText.h"
#include <catkinwell/core/Digest.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Catkinwell::Testing {

namespace {

    Route routeOf(const std::string& prefix, const std::string& service)
    {
        Route route;
        route.name = prefix;
        route.host = "h";
        route.prefix = prefix;
        route.targets = { { service, 1 } };
        route.timeout = std::chrono::seconds(10);
        route.latencyGoal = std::chrono::milliseconds(500);
        return route;
    }

} // namespace

Result<GatewayConfiguration> PlainProtocol::readConfiguration(std::string_view document) const
{
    const auto version = nlohmann::json::parse(document, nullptr, false);
    if (!version.is_number_unsigned())
        return Error { ErrorKind::InvalidConfiguration, "the document is not a version number" };
    return sampleConfiguration(version.get<std::uint64_t>());
}

Result<EndpointRecord> PlainProtocol::readEndpoint(std::string_view key, std::string_view document) const
{
    if (document.empty())
        return Error { ErrorKind::InvalidMessage, "the record is empty" };
    std::istringstream words { std::string(document) };
    std::string service;
    std::string version;
    words >> service >> version;
    LoadedModels models;
    for (std::string model; words >> model;)
        models[ModelId(model)];
    EndpointRecord record = sampleEndpoint(std::string(key.substr(endpointPrefix().size())), service, models);
    record.softwareVersion = version;
    return record;
}

GatewayConfiguration sampleConfiguration(std::uint64_t version)
{
    GatewayConfiguration configuration;
    configuration.version = version;
    Route order = routeOf("/order/", "orders");
    Route read = routeOf("/read/", "orders");
    read.isIdempotent = true;
    read.maximumAttempts = 2;
    Route note = routeOf("/note/", "notes");
    note.isStream = true;
    Route dossier = routeOf("/dossier/", "notes");
    dossier.isStream = true;
    dossier.isResumable = true;
    dossier.maximumAttempts = 2;
    Route open = routeOf("/open/", "orders");
    open.isPublic = true;
    configuration.routes = { order, read, note, dossier, open };
    configuration.services["orders"] = { "orders", "/health", std::nullopt };
    GatewayEngine engine;
    engine.batchSize = 4;
    engine.memoryMb = 210;
    engine.adapterSlots = 2;
    engine.loadsPerSecond = 1;
    for (const char* name : { "m1", "m2", "m3", "m4" }) {
        GatewayModel model;
        model.id = ModelId(name);
        model.memoryMb = 100;
        model.adapterMb = 1;
        model.loadFromStore = std::chrono::seconds(6);
        model.loadFromDisk = std::chrono::milliseconds(1600);
        model.loadFromMemory = std::chrono::milliseconds(800);
        engine.models.emplace(model.id, model);
    }
    configuration.services["notes"] = { "notes", "/health", engine };
    for (const char* name : { "a", "b" }) {
        GatewayAccount account;
        account.id = AccountId(name);
        account.countsTokens = true;
        account.plainUnits = 1;
        account.unitsPerSecond = 100;
        account.burst = 200;
        configuration.accounts.emplace(account.id, account);
        configuration.accountOfKeyDigest[sha256Hex(std::string("key-") + name)] = account.id;
    }
    return configuration;
}

EndpointRecord sampleEndpoint(const std::string& id, const std::string& service, const LoadedModels& models)
{
    EndpointRecord record;
    record.id = EndpointId(id);
    record.service = service;
    record.address = "127.0.0.1:9";
    record.dataCentre = DataCentreId("here");
    record.slots = 4;
    record.incarnation = 1;
    record.models = models;
    return record;
}

PrefixMirror mirrorOf(std::vector<StoreEntry> entries)
{
    constexpr MonotonicTime now { std::chrono::hours(1) };
    PrefixMirror mirror(StoreUser::Shares, { "catkinwell/" }, 1);
    EffectList effects;
    mirror.tick(now, effects);
    StoreReply reply { effectsOf<StoreCall>(effects).at(0).id, StoreStatus::Ok };
    reply.entries = std::move(entries);
    reply.isWholeList = true;
    mirror.handle(reply, now, effects);
    return mirror;
}

RequestsFixture::RequestsFixture(std::uint64_t seed)
    : directory(DataCentreId("here"), seed)
    , requests({}, protocol, directory, quota, relayPeers, HostId("self"))
{
    const GatewayConfiguration configuration = sampleConfiguration();
    requests.configure(configuration, now);
    quota.configure(configuration.accounts, now);
    now += std::chrono::seconds(5);
}

RequestId RequestsFixture::arrive(const std::string& path, const std::string& key, double timeLeftMs,
    const std::string& model, const std::string& part)
{
    RequestArrived request;
    request.id = RequestId(++m_lastRequest);
    request.method = "POST";
    request.target = path;
    request.body = "body " + std::to_string(m_lastRequest);
    request.keyDigest = key.empty() ? "" : sha256Hex(key);
    request.headers = { { "Host", "h:80" }, { "id", "r" + std::to_string(m_lastRequest) },
        { "left", std::to_string(static_cast<int>(timeLeftMs)) } };
    if (path.starts_with("/note/") || path.starts_with("/dossier/"))
        request.headers.emplace_back("model", model);
    if (!part.empty())
        request.headers.emplace_back("part", part);
    requests.handle(request, now, effects);
    return request.id;
}

void RequestsFixture::answer(AttemptId id, int status, HeaderList headers, const std::string& body)
{
    requests.handle(AttemptHead { id, status, std::move(headers) }, now, effects);
    requests.handle(AttemptData { id, body }, now, effects);
    requests.handle(AttemptFinished { id }, now, effects);
}

void RequestsFixture::crash(AttemptId id)
{
    requests.handle(AttemptHead { id, 200, { { "sealed", "1" } } }, now, effects);
    requests.handle(AttemptFailed { id, AttemptOutcome::Unknown, "closed", AttemptFailure::Broken }, now, effects);
}

void RequestsFixture::advance(Duration duration)
{
    constexpr Duration step = std::chrono::milliseconds(20);
    for (const MonotonicTime end = now + duration; now < end;) {
        now += step;
        directory.tick(now);
        requests.promptQuarantine().tick(now);
        requests.dispatchWaiting(now, effects);
        requests.tick(now, effects);
    }
}

std::vector<StartAttempt> RequestsFixture::takeAttempts()
{
    auto found = effectsOf<StartAttempt>(effects);
    std::erase_if(effects, [](const Effect& effect) { return std::holds_alternative<StartAttempt>(effect); });
    return found;
}

std::vector<SendWholeResponse> RequestsFixture::takeAnswers()
{
    auto found = effectsOf<SendWholeResponse>(effects);
    std::erase_if(effects, [](const Effect& effect) { return std::holds_alternative<SendWholeResponse>(effect); });
    return found;
}

} // namespace Catkinwell::Testing
