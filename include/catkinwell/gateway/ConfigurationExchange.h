#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/RandomGenerator.h>
#include <map>
#include <optional>
#include <set>

namespace Catkinwell {

// Follows which versions of the configuration other hosts state in their digests, and decides which of them is asked
// for a newer document, and when. Load: versions a third of a second apart, documents that take the link of a small
// host a tenth of that time, and a fleet of which many hosts get every version in this way.
//
// One host is asked at a time, since each answer is a whole document. The next one is asked if no newer version has
// come into force within a time that grows with each question, so that a busy link is not filled with repeated
// documents. Pure; not thread safe.
class ConfigurationExchange {
public:
    explicit ConfigurationExchange(std::uint64_t seed);

    // Another host states the version that is in force on it.
    void noteStated(const HostId&, std::uint64_t version, MonotonicTime now);
    // This host applied a version.
    void noteInForce(std::uint64_t version, MonotonicTime now);
    // What a host stated that is no longer heard does not count.
    void removeHost(const HostId&);

    // Returns the host to ask now; nullopt if none has a newer version or an answer is awaited. While the store
    // answers, it is given the time to deliver the version itself.
    std::optional<HostId> takeQuestion(bool isStoreAnswering, MonotonicTime now);

    // The newest version that another host states; the one in force here if none is newer.
    std::uint64_t newestStated() const;
    // How long ago another host first stated a newer version; nullopt if none does.
    std::optional<Duration> behindFor(MonotonicTime now) const;

private:
    struct Statement {
        std::uint64_t version = 0;
        // When the host first stated a version that is newer than the one in force here, or that came into force.
        MonotonicTime since {};
    };

    HostId chooseHost();

    RandomGenerator m_random;
    std::uint64_t m_inForce = 0;
    // Hosts whose version is newer than the one in force here, and those of them that were asked.
    std::map<HostId, Statement> m_ahead;
    std::set<HostId> m_asked;
    MonotonicTime m_nextQuestionAt {};
    Duration m_answerTimeout;
};

} // namespace Catkinwell
