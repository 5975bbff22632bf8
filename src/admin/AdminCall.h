#pragma once

#include <admin/AdminAnswer.h>
#include <catkinwell/admin/AdminCredential.h>
#include <catkinwell/configuration/FleetConfiguration.h>
#include <catkinwell/reducer/Event.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

namespace Catkinwell {

// A request under /admin/v1, taken apart.
struct AdminCall {
    RequestId id;
    MonotonicTime now {};
    WallTime wallNow {};
    AdminCredential who;
    std::string method;
    // The first part of the path after /admin/v1/.
    std::string resource;
    // The rest of the path with percent escapes resolved; empty if there is none.
    std::string target;
    std::map<std::string, std::string> query;
    // Without expected_version, change_id and, except for exceptions, reason; null if the request has no body.
    nlohmann::json body;
    // From X-Audit-Reason or the body's field "reason".
    std::string reason;
    std::optional<ConfigurationVersion> expectedVersion;
    // Chosen by the caller, so that a repeat is recognised; empty if the caller chose none.
    std::string changeId;
    bool dryRun = false;
    // Digest of method, path and body, to recognise a change identifier that is used for another change.
    std::string contentDigest;
};

constexpr std::string_view adminPathPrefix = "/admin/v1/";

// Precondition: the request's path starts with adminPathPrefix.
std::variant<AdminCall, AdminProblem> parseAdminCall(
    const RequestArrived&, const AdminCredential&, MonotonicTime now, WallTime wallNow);

// Whether the text has only printable ASCII characters and is neither empty nor longer than 200 characters.
bool isPlainIdentifier(std::string_view);

} // namespace Catkinwell
