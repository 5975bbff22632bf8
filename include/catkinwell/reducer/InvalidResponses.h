#pragma once

#include <catkinwell/http/HttpTypes.h>
#include <catkinwell/reducer/Effect.h>

namespace Catkinwell {

// Logs and counts the response. Pure; thread safe.
void reportInvalidResponse(const InvalidResponseReceived&, EffectList&);

} // namespace Catkinwell
