#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <map>
#include <optional>

namespace Catkinwell {

// Follows which versions of the configuration other hosts state in their digests. Pure; not thread safe.
class ConfigurationExchange {
public:
    // Another host states the version that is in force on it.
    void noteStated(const HostId&, std::uint64_t version, MonotonicTime now);
    // This host applied a version.
    void noteInForce(std::uint64_t version);
    void removeHost(const HostId&);

    // The newest version that another host stated; 0 if none did.
    std::uint64_t newestStated() const { return m_newest; }
    // How long ago another host first stated the newest version; nullopt if that is in force here.
    std::optional<Duration> behindFor(MonotonicTime now) const;

private:
    std::uint64_t m_inForce = 0;
    std::uint64_t m_newest = 0;
    MonotonicTime m_newestAt {};
    // Hosts whose version is newer than the one in force here.
    std::map<HostId, std::uint64_t> m_ahead;
};

} // namespace Catkinwell
