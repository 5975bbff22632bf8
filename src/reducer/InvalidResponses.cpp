#include <catkinwell/reducer/InvalidResponses.h>

namespace Catkinwell {

void reportInvalidResponse(const InvalidResponseReceived& response, EffectList& effects)
{
    effects.push_back(
        LogEntry { LogEvent::ResponseInvalid, { { "address", response.address }, { "reason", response.reason } } });
    effects.push_back(RecordMetric { Metric::InvalidResponsesTotal, response.address });
}

} // namespace Catkinwell
