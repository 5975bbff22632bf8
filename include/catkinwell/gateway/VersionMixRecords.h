#pragma once

#include <catkinwell/gateway/PrefixMirror.h>
#include <catkinwell/gateway/SerialStoreCalls.h>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Catkinwell {

// Records in the store which services have several software versions, one key each, so that a host that starts knows
// whether streams that it did not see begin may have begun at another version than it sees. The placement owner writes
// first; any other host writes what is still missing after a while. Records expire. Pure; not thread safe.
class VersionMixRecords {
public:
    // Precondition: no other object uses StoreUser::Versions.
    explicit VersionMixRecords(std::string keyPrefix);

    // Writes or renews the record of one of the services with several versions, or deletes an expired record, with at
    // most one call at a time. Precondition: the mirror contains all keys with the prefix.
    void tick(const std::vector<std::string>& services, const PrefixMirror&, bool isOwner, WallTime, MonotonicTime now,
        EffectList&);
    // The mirror shows the outcome of a call.
    void handle(const StoreReply& reply) { m_calls.take(reply); }
    // Writes lost records again, the other hosts after the owner.
    void noteRestored(MonotonicTime knownFrom);

    // Returns the recorded services; nullopt while the mirror has not been read.
    std::optional<std::set<std::string>> services(const PrefixMirror&, WallTime) const;

private:
    std::string m_keyPrefix;
    SerialStoreCalls m_calls;
    // When this host first found a record missing or close to its end.
    std::map<std::string, MonotonicTime> m_missingSince;
};

} // namespace Catkinwell
