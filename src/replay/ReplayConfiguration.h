#pragma once

#include "replay/ReplayLoad.h"

namespace Catkinwell {

// The only service of a replay; all its routes lead to it.
inline constexpr const char* replayService = "notes";

// Returns the gateway configuration with the routes, models and accounts of a replay.
GatewayConfiguration replayConfiguration(const ReplaySettings&, const ReplayLoad&);

// Returns the rate limit of an account in tokens per second.
double replayAccountRate(const ReplaySettings&, const ReplayLoad&, unsigned account);

// Returns the digest of the account's key in the form that a listener passes on.
std::string replayKeyDigest(unsigned account);

} // namespace Catkinwell
