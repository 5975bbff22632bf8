#include <catkinwell/relay/RelayMessage.h>

#include "http/HeaderText.h"
#include <algorithm>
#include <array>
#include <catkinwell/core/BoundedJson.h>
#include <catkinwell/core/EnumNames.h>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view outcomeHeader = "Relay-Outcome";
    constexpr std::string_view reasonHeader = "Relay-Reason";
    constexpr std::string_view attemptsHeader = "Relay-Attempts";
    // A JSON string, so that it may hold any text.
    constexpr std::string_view softwareVersionHeader = "Relay-Software-Version";
    constexpr std::string_view endpointHeader = "Relay-Endpoint";

    constexpr EnumNames<RelayOutcome, 4> outcomeNames { {
        { RelayOutcome::Answered, "answered" },
        { RelayOutcome::NotServed, "not_served" },
        { RelayOutcome::Refused, "refused" },
        { RelayOutcome::Failed, "failed" },
    } };

    Json jsonOf(const RelayTerms& terms)
    {
        Json excluded = Json::array();
        for (const EndpointId& endpoint : terms.excluded)
            excluded.push_back(endpoint.value);
        return { { "account", terms.account.value }, { "time_left_ms", millisecondsOf(terms.timeLeft) },
            { "first_byte_ms", millisecondsOf(terms.firstByteTimeLeft) }, { "attempts", terms.attempts },
            { "excluded", std::move(excluded) }, { "last_event", terms.lastEventId },
            { "first_request", terms.firstRequestId },
            { "software_version", terms.softwareVersion ? Json(*terms.softwareVersion) : Json() },
            { "priority", terms.priority ? Json(*terms.priority) : Json() } };
    }

    RelayTerms termsOf(const Json& object)
    {
        RelayTerms terms;
        terms.account = AccountId(object.at("account").get<std::string>());
        terms.timeLeft = std::chrono::milliseconds(object.at("time_left_ms").get<std::uint32_t>());
        terms.firstByteTimeLeft = std::chrono::milliseconds(object.at("first_byte_ms").get<std::uint32_t>());
        terms.attempts = object.at("attempts").get<unsigned>();
        for (const Json& endpoint : object.at("excluded"))
            terms.excluded.insert(EndpointId(endpoint.get<std::string>()));
        terms.lastEventId = object.at("last_event").get<std::string>();
        terms.firstRequestId = object.at("first_request").get<std::string>();
        if (const Json& version = object.at("software_version"); !version.is_null())
            terms.softwareVersion = version.get<std::string>();
        if (const auto priority = object.find("priority"); priority != object.end() && !priority->is_null())
            terms.priority = priority->get<int>();
        return terms;
    }

} // namespace

std::string encodeRelayedRequest(const RelayedRequest& request)
{
    Json headers = Json::array();
    for (const auto& [name, value] : request.headers)
        headers.push_back(Json::array({ name, value }));
    // Bodies are any bytes, which text in CBOR must not be.
    const Json body = Json::binary({ request.body.begin(), request.body.end() });
    std::string bytes;
    Json::to_cbor(
        Json::array({ jsonOf(request.terms), request.method, request.target, std::move(headers), body }), bytes);
    return bytes;
}

Result<RelayedRequest> decodeRelayedRequest(std::string_view cbor)
{
    try {
        const Json list = parseBoundedCbor(cbor);
        RelayedRequest request;
        request.terms = termsOf(list.at(0));
        request.method = list.at(1).get<std::string>();
        request.target = list.at(2).get<std::string>();
        for (const Json& header : list.at(3))
            request.headers.emplace_back(header.at(0).get<std::string>(), header.at(1).get<std::string>());
        const auto& body = list.at(4).get_binary();
        request.body.assign(body.begin(), body.end());
        return request;
    } catch (const Json::exception& failure) {
        return Error { ErrorKind::InvalidMessage,
            std::string("cannot decode a relayed request (") + failure.what()
                + "); check that the hosts run compatible versions" };
    }
}

std::string_view nameOf(RelayOutcome outcome) { return outcomeNames.nameOf(outcome); }

void addRelayAnswer(HeaderList& headers, const RelayAnswer& answer)
{
    takeRelayAnswer(headers);
    headers.emplace_back(outcomeHeader, nameOf(answer.outcome));
    headers.emplace_back(attemptsHeader, std::to_string(answer.attempts));
    if (!answer.reason.empty())
        headers.emplace_back(reasonHeader, answer.reason);
    if (!answer.endpoint.value.empty())
        headers.emplace_back(endpointHeader, answer.endpoint.value);
    if (answer.softwareVersion)
        headers.emplace_back(
            softwareVersionHeader, Json(*answer.softwareVersion).dump(-1, ' ', true, Json::error_handler_t::replace));
}

RelayAnswer takeRelayAnswer(HeaderList& headers)
{
    RelayAnswer answer;
    // An outcome that this release does not know leaves open whether the request ran.
    if (const std::string* outcome = findHeader(headers, outcomeHeader))
        answer.outcome = outcomeNames.valueOf(*outcome).value_or(RelayOutcome::Failed);
    if (const std::string* attempts = findHeader(headers, attemptsHeader))
        std::from_chars(attempts->data(), attempts->data() + attempts->size(), answer.attempts);
    if (const std::string* reason = findHeader(headers, reasonHeader))
        answer.reason = *reason;
    if (const std::string* endpoint = findHeader(headers, endpointHeader))
        answer.endpoint = EndpointId(*endpoint);
    if (const std::string* version = findHeader(headers, softwareVersionHeader)) {
        const Json text = parseBoundedJson(*version);
        answer.softwareVersion = text.is_string() ? text.get<std::string>() : std::string();
    }
    constexpr std::array<std::string_view, 5> names { outcomeHeader, attemptsHeader, reasonHeader,
        softwareVersionHeader, endpointHeader };
    std::erase_if(headers, [&names](const auto& header) {
        return std::any_of(names.begin(), names.end(),
            [&header](std::string_view name) { return equalIgnoringCase(header.first, name); });
    });
    return answer;
}

} // namespace Catkinwell
