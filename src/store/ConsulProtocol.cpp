#include "store/ConsulProtocol.h"

#include "http/PercentEncoding.h"
#include "store/Base64.h"
#include <algorithm>
#include <catkinwell/core/BoundedJson.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    // Consul rejects session TTLs below this.
    constexpr std::int64_t minimumSessionSeconds = 10;

    std::string keyTarget(const std::string& key) { return "/v1/kv/" + percentEncoded(key); }

    std::int64_t secondsOf(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
    }

    Json writeOperation(const StoreCompareAndSwap& write)
    {
        Json operation { { "Key", write.key }, { "Value", base64Encoded(write.value) } };
        if (write.lease.empty()) {
            operation["Verb"] = "cas";
            operation["Index"] = write.expectedVersion;
        } else {
            operation["Verb"] = "lock";
            operation["Session"] = write.lease;
        }
        return operation;
    }

    std::string transaction(Json operation) { return Json::array({ Json { { "KV", std::move(operation) } } }).dump(); }

    struct RequestBuilder {
        HttpExchange exchange;

        void put(std::string target, std::string body)
        {
            exchange.method = "PUT";
            exchange.target = std::move(target);
            exchange.body = std::move(body);
        }

        void operator()(const StoreGet& get) { exchange.target = keyTarget(get.key); }
        void operator()(const StoreCompareAndSwap& write) { put("/v1/txn", transaction(writeOperation(write))); }
        void operator()(const StoreDelete& removal)
        {
            put("/v1/txn",
                transaction(
                    Json { { "Verb", "delete-cas" }, { "Key", removal.key }, { "Index", removal.expectedVersion } }));
        }
        void operator()(const StoreWatch& watch)
        {
            exchange.target = keyTarget(watch.key) + "?index=" + std::to_string(watch.afterVersion)
                + "&wait=" + std::to_string(std::max<std::int64_t>(1, secondsOf(watch.wait))) + "s";
        }
        void operator()(const StoreList& list) { exchange.target = keyTarget(list.prefix) + "?recurse"; }
        void operator()(const StoreWatchPrefix& watch)
        {
            exchange.target = keyTarget(watch.prefix) + "?recurse&index=" + std::to_string(watch.afterVersion)
                + "&wait=" + std::to_string(std::max<std::int64_t>(1, secondsOf(watch.wait))) + "s";
        }
        void operator()(const LeaseCreate& lease)
        {
            const auto ttl = std::max(minimumSessionSeconds, secondsOf(lease.ttl));
            put("/v1/session/create",
                Json { { "TTL", std::to_string(ttl) + "s" }, { "Behavior", "delete" }, { "LockDelay", "0s" } }.dump());
        }
        void operator()(const LeaseRenew& lease) { put("/v1/session/renew/" + lease.lease, ""); }
        void operator()(const LeaseRevoke& lease) { put("/v1/session/destroy/" + lease.lease, ""); }
        void operator()(const LeaseRead& lease) { exchange.target = "/v1/session/info/" + lease.lease; }
    };

    StoreEntry entryOf(const Json& object)
    {
        StoreEntry entry;
        entry.key = object.at("Key").get<std::string>();
        entry.version = object.at("ModifyIndex").get<StoreVersion>();
        if (object.contains("Value") && object["Value"].is_string())
            entry.value = base64Decoded(object["Value"].get<std::string>());
        return entry;
    }

    StoreReply replyWith(StoreStatus status)
    {
        StoreReply reply;
        reply.status = status;
        return reply;
    }

    StoreReply readReply(const Json& body, bool list)
    {
        StoreReply reply = replyWith(StoreStatus::Ok);
        for (const Json& object : body)
            reply.entries.push_back(entryOf(object));
        if (list) {
            reply.isWholeList = true;
            for (const StoreEntry& entry : reply.entries)
                reply.version = std::max(reply.version, entry.version);
            return reply;
        }
        if (reply.entries.empty())
            return replyWith(StoreStatus::NotFound);
        reply.version = reply.entries.front().version;
        reply.value = std::move(reply.entries.front().value);
        reply.entries.clear();
        return reply;
    }

    StoreReply transactionReply(const Json& body)
    {
        StoreReply reply = replyWith(StoreStatus::Ok);
        const Json& results = body.at("Results");
        if (results.is_array() && !results.empty())
            reply.version = results.front().at("KV").at("ModifyIndex").get<StoreVersion>();
        return reply;
    }

    struct ReplyReader {
        const Json& body;

        StoreReply operator()(const StoreGet&) const { return readReply(body, false); }
        StoreReply operator()(const StoreWatch&) const { return readReply(body, false); }
        StoreReply operator()(const StoreList&) const { return readReply(body, true); }
        StoreReply operator()(const StoreWatchPrefix&) const { return readReply(body, true); }
        StoreReply operator()(const StoreCompareAndSwap&) const { return transactionReply(body); }
        StoreReply operator()(const StoreDelete&) const { return transactionReply(body); }
        StoreReply operator()(const LeaseCreate&) const
        {
            StoreReply reply = replyWith(StoreStatus::Ok);
            reply.value = body.at("ID").get<std::string>();
            return reply;
        }
        StoreReply operator()(const LeaseRenew&) const { return replyWith(StoreStatus::Ok); }
        StoreReply operator()(const LeaseRevoke&) const { return replyWith(StoreStatus::Ok); }
        StoreReply operator()(const LeaseRead&) const
        {
            return replyWith(body.is_array() && !body.empty() ? StoreStatus::Ok : StoreStatus::NotFound);
        }
    };

} // namespace

HttpExchange consulRequestOf(const StoreOperation& operation, const std::string& address)
{
    RequestBuilder builder;
    std::visit(builder, operation);
    builder.exchange.address = address;
    return std::move(builder.exchange);
}

StoreReply consulReplyOf(const StoreOperation& operation, int httpStatus, const std::string& body)
{
    if (httpStatus == 404)
        return replyWith(StoreStatus::NotFound);
    if (httpStatus == 409)
        return replyWith(StoreStatus::Conflict);
    if (httpStatus == 429)
        return replyWith(StoreStatus::RateLimited);
    if (httpStatus != 200)
        return replyWith(StoreStatus::Unknown);
    try {
        return std::visit(ReplyReader { parseBoundedJson(body) }, operation);
    } catch (const Json::exception&) {
        return replyWith(StoreStatus::Unknown);
    }
}

} // namespace Catkinwell
