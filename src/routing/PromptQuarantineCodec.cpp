#include "routing/PromptQuarantineCodec.h"

#include <catkinwell/core/BoundedJson.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    // Negative ages would lie in the future.
    Duration ageOf(const Json& value) { return std::chrono::milliseconds(value.get<std::uint32_t>()); }

} // namespace

nlohmann::json jsonOf(const PromptQuarantineDigest& digest)
{
    Json crashes = Json::array();
    for (const PromptCrashReport& report : digest.crashes) {
        Json requests = Json::array();
        for (const BrokenRequest& request : report.requests)
            requests.push_back(Json::array({ request.fingerprint, request.parts, request.runs, request.events,
                request.ranFor ? Json(millisecondsOf(*request.ranFor)) : Json(), request.wasAnswered }));
        crashes.push_back(Json::array({ report.endpoint, millisecondsOf(report.age), std::move(requests) }));
    }
    Json answered = Json::array();
    for (const AnsweredPart& entry : digest.answered)
        answered.push_back(Json::array({ entry.part, millisecondsOf(entry.age) }));
    Json refused = Json::array();
    for (const PromptRefusal& refusal : digest.refused)
        refused.push_back(Json::array({ refusal.id, refusal.parts, millisecondsOf(refusal.age) }));
    Json survived = Json::array();
    for (const SurvivedCrash& crash : digest.survived)
        survived.push_back(Json::array({ crash.endpoint, millisecondsOf(crash.age) }));
    return Json::array(
        { std::move(crashes), std::move(answered), std::move(refused), digest.trials, std::move(survived) });
}

PromptQuarantineDigest promptQuarantineDigestOf(const Json& list)
{
    PromptQuarantineDigest digest;
    for (const Json& entry : list.at(0)) {
        PromptCrashReport report { entry.at(0).get<std::uint64_t>(), ageOf(entry.at(1)), {} };
        for (const Json& request : entry.at(2)) {
            BrokenRequest broken { request.at(0).get<RequestFingerprint>(), request.at(1).get<PromptParts>() };
            // Hosts of earlier releases do not send them.
            if (request.size() > 3) {
                broken.runs = request.at(2).get<std::uint32_t>();
                broken.events = request.at(3).get<std::uint32_t>();
            }
            if (request.size() > 5) {
                if (!request.at(4).is_null())
                    broken.ranFor = ageOf(request.at(4));
                broken.wasAnswered = request.at(5).get<bool>();
            }
            report.requests.push_back(std::move(broken));
        }
        digest.crashes.push_back(std::move(report));
    }
    for (const Json& entry : list.at(1))
        digest.answered.push_back({ entry.at(0).get<PromptPartHash>(), ageOf(entry.at(1)) });
    for (const Json& entry : list.at(2))
        digest.refused.push_back(
            { entry.at(0).get<PromptRefusalId>(), entry.at(1).get<PromptParts>(), ageOf(entry.at(2)) });
    // Hosts of earlier releases do not send them.
    if (list.size() > 3)
        digest.trials = list.at(3).get<std::vector<PromptPartHash>>();
    for (const Json& entry : list.size() > 4 ? list.at(4) : Json::array())
        digest.survived.push_back({ entry.at(0).get<std::uint64_t>(), ageOf(entry.at(1)) });
    return digest;
}

std::string encodePromptQuarantineDigest(const PromptQuarantineDigest& digest)
{
    std::string bytes;
    Json::to_cbor(jsonOf(digest), bytes);
    return bytes;
}

Result<PromptQuarantineDigest> decodePromptQuarantineDigest(std::string_view cbor)
{
    try {
        return promptQuarantineDigestOf(parseBoundedCbor(cbor));
    } catch (const Json::exception& failure) {
        return Error { ErrorKind::InvalidMessage,
            std::string("cannot decode another host's crash reports (") + failure.what()
                + "); check that the hosts run compatible versions" };
    }
}

} // namespace Catkinwell
