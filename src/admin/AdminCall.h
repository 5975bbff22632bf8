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

// A parsed request under /admin/v1.
struct AdminCall {
    RequestId id;
    MonotonicTime now {};
    WallTime wallNow {};
    AdminCredential who;
    std::string method;
    // The path segment after /admin/v1/.
    std::string resource;
    // The rest of the path, percent-decoded; empty if there is none.
    std::string target;
    std::map<std::string, std::string> query;
    // Without expected_version, change_id and, except for exceptions, reason; null if the request has no body.
    nlohmann::json body;
    // From X-Audit-Reason or the body's field "reason".
    std::string reason;
    std::optional<ConfigurationVersion> expectedVersion;
    // Idempotency key of the change, chosen by the caller; empty if there is none.
    std::string changeId;
    bool dryRun = false;
    // Digest of method, path and body; detects a change identifier that is reused for another change.
    std::string contentDigest;
};

constexpr std::string_view adminPathPrefix = "/admin/v1/";

// Precondition: the request's path starts with adminPathPrefix.
std::variant<AdminCall, AdminProblem> parseAdminCall(
    const RequestArrived&, const AdminCredential&, MonotonicTime now, WallTime wallNow);

// Returns whether the text has 1 to 200 characters, all of them printable ASCII.
bool isPlainIdentifier(std::string_view);

} // namespace Catkinwell
