#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <map>
#include <vector>

namespace Catkinwell {

// Records which hosts found which endpoints unresponsive in the last 10 s. Bounded in size; not thread safe.
class EndpointSuspicions {
public:
    void note(const EndpointId& endpoint, const HostId& observer, MonotonicTime now);
    std::size_t observersOf(const EndpointId& endpoint, MonotonicTime now) const;
    // Returns up to count endpoints that the observer noted in the last 10 s, beginning after the given one and going
    // on from the first.
    std::vector<EndpointId> notedBy(
        const HostId& observer, MonotonicTime now, const EndpointId& after, std::size_t count) const;
    void forgetOld(MonotonicTime now);

private:
    std::map<EndpointId, std::map<HostId, MonotonicTime>> m_notes;
};

} // namespace Catkinwell
