#pragma once

#include "replay/ReplayLoad.h"

namespace Catkinwell {

// The one service of a replay, which all its routes lead to.
inline constexpr const char* replayService = "notes";

// The configuration that gives the hosts of a replay its routes, models and accounts.
GatewayConfiguration replayConfiguration(const ReplaySettings&, const ReplayLoad&);

// The rate of an account in tokens a second.
double replayAccountRate(const ReplaySettings&, const ReplayLoad&, unsigned account);

// The digest of the account's key, as a listener hands it on.
std::string replayKeyDigest(unsigned account);

} // namespace Catkinwell
