#include <catkinwell/gateway/GatewayMessage.h>

#include "routing/PromptQuarantineCodec.h"
#include <algorithm>
#include <catkinwell/core/BoundedJson.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    // Message kinds, in the order of GatewayMessage.
    enum class Kind : std::uint8_t {
        HostDigest,
        PlacementUpdate,
        ConfigurationWanted,
        ConfigurationDocumentOffer,
        StreamBeginnings,
        StreamVersionWanted,
        RecordBatch,
        RecordsWanted,
    };

    Json listOfModels(const LoadedModels& models)
    {
        Json list = Json::array();
        for (const auto& [model, adapters] : models) {
            Json names = Json::array();
            for (const std::string& adapter : adapters)
                names.push_back(adapter);
            list.push_back(Json::array({ model.value, std::move(names) }));
        }
        return list;
    }

    LoadedModels modelsOf(const Json& list)
    {
        LoadedModels models;
        for (const Json& entry : list) {
            std::set<std::string>& adapters = models[ModelId(entry.at(0).get<std::string>())];
            for (const Json& adapter : entry.at(1))
                adapters.insert(adapter.get<std::string>());
        }
        return models;
    }

    ModelVariant variantOf(const Json& model, const Json& adapter)
    {
        return { ModelId(model.get<std::string>()), adapter.get<std::string>() };
    }

    Json listOfUsage(const AccountUsage& usage)
    {
        Json list = Json::array();
        for (const auto& [account, units] : usage)
            list.push_back(Json::array({ account.value, units.admitted, units.offered }));
        return list;
    }

    AccountUsage usageOf(const Json& list)
    {
        AccountUsage usage;
        for (const Json& entry : list)
            usage[AccountId(entry.at(0).get<std::string>())] = { entry.at(1).get<double>(), entry.at(2).get<double>() };
        return usage;
    }

    // Negative ages would lie in the future.
    Duration ageOf(const Json& value) { return std::chrono::milliseconds(value.get<std::uint32_t>()); }

    Json listOfLimits(const EndpointLimitDigest& digest)
    {
        Json statements = Json::array();
        for (const EndpointLimitStatement& statement : digest.statements)
            statements.push_back(Json::array({ statement.endpoint.value, statement.requestsPerSecond,
                millisecondsOf(statement.age), statement.isAwaited }));
        return Json::array({ std::move(statements), listOfUsage(digest.attempts) });
    }

    EndpointLimitDigest limitsOf(const Json& list)
    {
        EndpointLimitDigest digest;
        for (const Json& entry : list.at(0))
            digest.statements.push_back({ EndpointId(entry.at(0).get<std::string>()), entry.at(1).get<double>(),
                ageOf(entry.at(2)), entry.at(3).get<bool>() });
        digest.attempts = usageOf(list.at(1));
        return digest;
    }

    Json listOfMissingHosts(const std::vector<MissingHost>& missing)
    {
        Json list = Json::array();
        for (const MissingHost& entry : missing)
            list.push_back(Json::array({ entry.host.value, millisecondsOf(entry.missingFor) }));
        return list;
    }

    std::vector<MissingHost> missingHostsOf(const Json& list)
    {
        std::vector<MissingHost> missing;
        for (std::size_t i = 0; i < std::min(list.size(), maximumMissingHosts); ++i)
            missing.push_back({ HostId(list[i].at(0).get<std::string>()), ageOf(list[i].at(1)) });
        return missing;
    }

    Json listOfVersionWaits(const std::set<VersionWait>& waits)
    {
        Json list = Json::array();
        for (const VersionWait& wait : waits)
            list.push_back(
                Json::array({ wait.service, wait.variant.model.value, wait.variant.adapter, wait.softwareVersion }));
        return list;
    }

    Json listOfForecasts(const std::vector<StoreLoadForecast>& forecasts)
    {
        Json list = Json::array();
        for (const StoreLoadForecast& forecast : forecasts) {
            Json next = Json::array();
            for (const ExpectedLoad& load : forecast.next)
                next.push_back(Json::array({ load.model.value, load.readyInMilliseconds }));
            list.push_back(Json::array({ forecast.service, forecast.otherReadyInMilliseconds, std::move(next) }));
        }
        return list;
    }

    std::vector<StoreLoadForecast> forecastsOf(const Json& list)
    {
        std::vector<StoreLoadForecast> forecasts;
        for (const Json& entry : list) {
            StoreLoadForecast& forecast = forecasts.emplace_back();
            forecast.service = entry.at(0).get<std::string>();
            forecast.otherReadyInMilliseconds = entry.at(1).get<std::uint32_t>();
            for (const Json& load : entry.at(2))
                forecast.next.push_back({ ModelId(load.at(0).get<std::string>()), load.at(1).get<std::uint32_t>() });
        }
        return forecasts;
    }

    struct Encoder {
        Json operator()(const HostDigest& digest) const
        {
            Json usage = listOfUsage(digest.usage);
            Json demand = Json::array();
            for (const VariantDemand& entry : digest.demand.entries)
                demand.push_back(Json::array({ entry.variant.model.value, entry.variant.adapter, entry.service,
                    entry.waiting, static_cast<float>(entry.rate), entry.idleMilliseconds }));
            Json running = Json::array();
            for (const RunningCount& entry : digest.running)
                running.push_back(Json::array(
                    { entry.endpoint.value, entry.variant.model.value, entry.variant.adapter, entry.count }));
            // Read by hosts of earlier releases only.
            const Json unusedList = Json::array();
            Json message
                = Json::array({ Kind::HostDigest, digest.sequence, digest.configurationVersion, digest.isLeaving,
                    std::move(usage), digest.demand.isWhole, std::move(demand), std::move(running), unusedList });
            const bool hasRareNews = !digest.prompts.isEmpty() || !digest.limits.isEmpty()
                || !digest.unreachableServices.empty() || !digest.demand.versionWaits.empty()
                || !digest.brittleServices.empty() || !digest.missingHosts.empty() || digest.reading;
            if (hasRareNews) {
                message.push_back(jsonOf(digest.prompts));
                message.push_back(listOfLimits(digest.limits));
                message.push_back(digest.unreachableServices);
                message.push_back(listOfVersionWaits(digest.demand.versionWaits));
                message.push_back(digest.brittleServices);
            }
            if (!digest.missingHosts.empty() || digest.reading)
                message.push_back(listOfMissingHosts(digest.missingHosts));
            if (digest.reading)
                message.push_back(Json::array({ digest.reading->processorShare, digest.reading->isFit }));
            return message;
        }
        Json operator()(const PlacementUpdate& update) const
        {
            Json engines = Json::array();
            for (const EngineUpdate& engine : update.engines) {
                Json pendingReplicas = Json::array();
                for (const PendingReplica& replica : engine.pendingReplicas)
                    pendingReplicas.push_back(Json::array(
                        { replica.variant.model.value, replica.variant.adapter, replica.readyInMilliseconds }));
                engines.push_back(Json::array({ engine.endpoint.value, engine.incarnation, listOfModels(engine.models),
                    std::move(pendingReplicas) }));
            }
            Json message
                = Json::array({ Kind::PlacementUpdate, update.fencingToken, update.sequence, std::move(engines) });
            if (!update.forecasts.empty())
                message.push_back(listOfForecasts(update.forecasts));
            return message;
        }
        Json operator()(const ConfigurationWanted& wanted) const
        {
            return Json::array({ Kind::ConfigurationWanted, wanted.haveVersion });
        }
        Json operator()(const ConfigurationDocumentOffer& offer) const
        {
            return Json::array({ Kind::ConfigurationDocumentOffer, offer.version, offer.document });
        }
        Json operator()(const StreamBeginnings& message) const
        {
            Json list = Json::array({ Kind::StreamBeginnings });
            for (const StreamBeginning& stream : message.streams)
                list.push_back(Json::array({ stream.stream, stream.softwareVersion, stream.remainingMilliseconds }));
            return list;
        }
        Json operator()(const StreamVersionWanted& wanted) const
        {
            return Json::array({ Kind::StreamVersionWanted, wanted.stream });
        }
        Json operator()(const RecordBatch& batch) const
        {
            // A null in the place of the value tells that the record was deleted.
            Json entries = Json::array();
            for (const StoreEntry& entry : batch.entries)
                entries.push_back(
                    Json::array({ entry.key, entry.version, entry.isDeleted ? Json() : Json(entry.value) }));
            Json message = Json::array({ Kind::RecordBatch, batch.epoch, batch.from, batch.to, batch.sentAt.count(),
                batch.age.count(), std::move(entries) });
            if (batch.recoveredAgo || batch.isWhole)
                message.push_back(batch.recoveredAgo ? Json(batch.recoveredAgo->count()) : Json());
            if (batch.isWhole)
                message.push_back(true);
            return message;
        }
        Json operator()(const RecordsWanted& wanted) const
        {
            return Json::array({ Kind::RecordsWanted, wanted.epoch, wanted.have });
        }
    };

    HostDigest readDigest(const Json& list)
    {
        HostDigest digest;
        digest.sequence = list.at(1).get<std::uint64_t>();
        digest.configurationVersion = list.at(2).get<std::uint64_t>();
        digest.isLeaving = list.at(3).get<bool>();
        digest.usage = usageOf(list.at(4));
        digest.demand.isWhole = list.at(5).get<bool>();
        for (const Json& entry : list.at(6))
            digest.demand.entries.push_back({ variantOf(entry.at(0), entry.at(1)), entry.at(2).get<std::string>(),
                entry.at(3).get<std::uint32_t>(), entry.at(4).get<double>(), entry.at(5).get<std::uint32_t>() });
        for (const Json& entry : list.at(7))
            digest.running.push_back({ EndpointId(entry.at(0).get<std::string>()), variantOf(entry.at(1), entry.at(2)),
                entry.at(3).get<std::uint32_t>() });
        // Absent from most digests.
        if (list.size() > 9) {
            digest.prompts = promptQuarantineDigestOf(list.at(9));
            digest.limits = limitsOf(list.at(10));
        }
        // Hosts of earlier releases do not send them.
        if (list.size() > 11)
            digest.unreachableServices = list.at(11).get<std::set<std::string>>();
        if (list.size() > 13)
            digest.brittleServices = list.at(13).get<std::map<std::string, double>>();
        if (list.size() > 14)
            digest.missingHosts = missingHostsOf(list.at(14));
        if (list.size() > 15)
            digest.reading = ReadingFitness { list.at(15).at(0).get<double>(), list.at(15).at(1).get<bool>() };
        for (const Json& wait : list.size() > 12 ? list.at(12) : Json::array())
            digest.demand.versionWaits.insert(
                { wait.at(0).get<std::string>(), variantOf(wait.at(1), wait.at(2)), wait.at(3).get<std::string>() });
        return digest;
    }

    PlacementUpdate readPlacementUpdate(const Json& list)
    {
        PlacementUpdate update;
        update.fencingToken = list.at(1).get<std::uint64_t>();
        update.sequence = list.at(2).get<std::uint64_t>();
        for (const Json& entry : list.at(3)) {
            EngineUpdate engine;
            engine.endpoint = EndpointId(entry.at(0).get<std::string>());
            engine.incarnation = entry.at(1).get<std::uint64_t>();
            engine.models = modelsOf(entry.at(2));
            for (const Json& replica : entry.at(3))
                engine.pendingReplicas.push_back(
                    { variantOf(replica.at(0), replica.at(1)), replica.at(2).get<std::uint32_t>() });
            update.engines.push_back(std::move(engine));
        }
        // Hosts of earlier releases do not send them.
        if (list.size() > 4)
            update.forecasts = forecastsOf(list.at(4));
        return update;
    }

    StreamBeginnings readStreamBeginnings(const Json& list)
    {
        StreamBeginnings message;
        for (std::size_t i = 1; i < list.size(); ++i)
            message.streams.push_back({ list[i].at(0).get<StreamKey>(), list[i].at(1).get<std::string>(),
                list[i].at(2).get<std::int64_t>() });
        return message;
    }

    RecordBatch readRecordBatch(const Json& list)
    {
        RecordBatch batch;
        batch.epoch = list.at(1).get<StoreEpoch>();
        batch.from = list.at(2).get<StoreVersion>();
        batch.to = list.at(3).get<StoreVersion>();
        batch.sentAt = std::chrono::microseconds(list.at(4).get<std::int64_t>());
        batch.age = std::chrono::milliseconds(list.at(5).get<std::uint32_t>());
        for (const Json& item : list.at(6)) {
            StoreEntry& entry = batch.entries.emplace_back();
            entry.key = item.at(0).get<std::string>();
            entry.version = item.at(1).get<StoreVersion>();
            entry.isDeleted = item.at(2).is_null();
            if (!entry.isDeleted)
                entry.value = item.at(2).get<std::string>();
        }
        batch.isWhole = list.size() > 8 && list.at(8).get<bool>();
        if (list.size() > 7 && !list.at(7).is_null())
            batch.recoveredAgo = std::chrono::milliseconds(list.at(7).get<std::uint32_t>());
        return batch;
    }

    GatewayMessage readMessage(const Json& list)
    {
        switch (static_cast<Kind>(list.at(0).get<std::uint8_t>())) {
        case Kind::HostDigest:
            return readDigest(list);
        case Kind::PlacementUpdate:
            return readPlacementUpdate(list);
        case Kind::ConfigurationWanted:
            return ConfigurationWanted { list.at(1).get<std::uint64_t>() };
        case Kind::ConfigurationDocumentOffer:
            return ConfigurationDocumentOffer { list.at(1).get<std::uint64_t>(), list.at(2).get<std::string>() };
        case Kind::StreamBeginnings:
            return readStreamBeginnings(list);
        case Kind::StreamVersionWanted:
            return StreamVersionWanted { list.at(1).get<StreamKey>() };
        case Kind::RecordBatch:
            return readRecordBatch(list);
        case Kind::RecordsWanted:
            return RecordsWanted { list.at(1).get<StoreEpoch>(), list.at(2).get<StoreVersion>() };
        }
        throw Json::other_error::create(501, "unknown message kind", nullptr);
    }

} // namespace

std::string encodeGatewayMessage(const GatewayMessage& message)
{
    std::string bytes;
    Json::to_cbor(std::visit(Encoder {}, message), bytes);
    return bytes;
}

Result<GatewayMessage> decodeGatewayMessage(std::string_view cbor)
{
    try {
        return readMessage(parseBoundedCbor(cbor));
    } catch (const Json::exception& failure) {
        return Error { ErrorKind::InvalidMessage,
            std::string("cannot decode the message of another gateway (") + failure.what()
                + "); check that the hosts run compatible versions" };
    }
}

} // namespace Catkinwell
