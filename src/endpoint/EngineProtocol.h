#pragma once

#include <catkinwell/core/Error.h>
#include <catkinwell/endpoint/EndpointReport.h>
#include <catkinwell/placement/PlacementCommand.h>
#include <string>

namespace Catkinwell {

// The path at which an engine reports its state.
inline constexpr const char* engineReportTarget = "/v2/repository/report";

// Parse and write an engine's report. Errors: InvalidMessage with the reason. Thread safe.
Result<EndpointReport> parseEngineReport(const std::string& json);
std::string engineReportToJson(const EndpointReport&);

// The path and the body of a placement command. Thread safe.
std::string commandTarget(const PlacementCommand&);
std::string commandBody(const PlacementCommand&);

// Parses a command's body, as an engine does. Errors: InvalidMessage with the reason. Thread safe.
Result<PlacementCommand> parseCommandBody(const std::string& json);

// Returns the outcome of a command from the status code of the engine's response. Thread safe.
CommandOutcome commandOutcomeOf(int httpStatus);

} // namespace Catkinwell
