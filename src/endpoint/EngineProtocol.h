#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/placement/PlacementCommand.h>
#include <string>

namespace Catkinwell {

// The path at which an engine reports its state.
inline constexpr const char* engineReportTarget = "/v2/repository/report";

// Parses an engine's report. Errors: InvalidMessage with the reason. Thread safe.
Result<EndpointReport> parseEngineReport(const std::string& json);
std::string engineReportToJson(const EndpointReport&);

// The path and the body of a placement command. Thread safe.
std::string commandTarget(const PlacementCommand&);
std::string commandBody(const PlacementCommand&);

// Reads a command's body as an engine does. Errors: InvalidMessage with the reason.
Result<PlacementCommand> parseCommandBody(const std::string& json);

// Interprets an engine's answer to a command by its status code.
CommandOutcome commandOutcomeOf(int httpStatus);

} // namespace Catkinwell
