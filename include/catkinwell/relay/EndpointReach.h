#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/reducer/Effect.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Catkinwell {

struct EndpointReachSettings {
    // Failures of this many endpoints in a row, or of all that a service has, and that of a probe among them, show that
    // the host's own path is lost.
    std::size_t endpointsThatShowLoss = 3;
    // Of a service with fewer endpoints, this many failures.
    std::size_t failuresThatShowLoss = 3;
    // Older failures do not count.
    Duration failureLifetime = std::chrono::seconds(5);
    // Time between two probes of a service, while its path is lost and while that is in doubt.
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration doubtInterval = std::chrono::milliseconds(100);
};

// Concludes from the outcomes of this host's attempts whether it has a path to the endpoints of each service. One that
// fails says something about itself; several that fail while none answers say something about this host. A path counts
// as lost if no endpoint answers at all, or if no new connection can be opened, and as regained once a new connection
// was opened. Pure; not thread safe.
class EndpointReach {
public:
    explicit EndpointReach(EndpointReachSettings settings = {});

    // Part of an answer arrived from an endpoint of the service, on a connection opened for the attempt or on an older
    // one.
    void noteAnswer(const std::string& service, bool isNewConnection, MonotonicTime now, EffectList&);
    // A connection could not be opened, broke, or went silent. The service has this many usable endpoints.
    void noteFailure(const std::string& service, const EndpointId&, AttemptFailure, std::size_t endpointCount,
        MonotonicTime now, EffectList&);
    // A probe could not open a connection, or got no answer on it.
    void noteProbeFailed(const std::string& service, const EndpointId&, AttemptFailure, std::size_t endpointCount,
        MonotonicTime now, EffectList&);

    bool isLost(const std::string& service) const;
    std::set<std::string> lostServices() const;
    // Returns the services whose path was lost, or regained, since the last call. The time is that of the first failure
    // that showed the loss.
    std::map<std::string, MonotonicTime> takeNewlyLost() { return std::exchange(m_newlyLost, {}); }
    std::set<std::string> takeRegained() { return std::exchange(m_regained, {}); }

    // Whether one or two more failures would show that the path is lost.
    bool isDoubtful(const std::string& service) const;
    // Returns the services of which an endpoint should be probed now. Each probe must be followed by noteAnswer(),
    // noteProbeFailed() or noteProbeEnded().
    std::vector<std::string> takeDueProbes(MonotonicTime now);
    void noteProbeEnded(const std::string& service);
    // Whether the endpoint failed in the sequence that is judged now, so that a probe of another one says more.
    bool hasFailed(const std::string& service, const EndpointId&) const;

private:
    // Endpoints that failed in a row, with the time of their last failures.
    struct Failures {
        std::map<EndpointId, MonotonicTime> endpoints;
        std::size_t count = 0;
        MonotonicTime firstAt {};

        void clear();
        void add(const EndpointId&, MonotonicTime now);
        void expire(MonotonicTime earliest);
    };

    struct Service {
        // Since the last answer, and since a connection was opened.
        Failures withoutAnswer;
        Failures withoutConnection;
        std::size_t endpointCount = 0;
        bool isLost = false;
        // Whether a probe is under way, and whether one failed since a connection was opened.
        bool isProbed = false;
        bool hasProbeFailed = false;
        MonotonicTime probeFailedAt {};
        MonotonicTime nextProbeAt {};
    };

    bool showsLoss(const Failures&, std::size_t endpointCount) const;
    bool isDoubtful(const Service&) const;

    EndpointReachSettings m_settings;
    std::map<std::string, Service> m_services;
    std::map<std::string, MonotonicTime> m_newlyLost;
    std::set<std::string> m_regained;
};

} // namespace Catkinwell
