#pragma once

#include "ConfigurationParts.h"

#include <catkinwell/core/RetryBackoff.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/StoreCallIds.h>

namespace Catkinwell {

// Reads the head and the parts of newer versions from the store, with at most one watch and one read of a
// part outstanding.
// Not thread safe.
class ConfigurationWatcher {
public:
    // The references must stay valid. The cache receives the parts that are read.
    ConfigurationWatcher(std::map<std::string, std::string>& parts, RandomGenerator& random, StoreCallIds& ids);

    // Starts the calls that are due.
    void tick(MonotonicTime now, ConfigurationVersion accepted, EffectList& effects);
    // Returns whether the reply answered one of the watcher's calls.
    bool handle(const StoreReply& reply, MonotonicTime now, ConfigurationVersion accepted);
    // Returns a newer head once all its parts are in the cache.
    std::optional<ConfigurationHead> takeComplete();
    // Returns why the last head could not be read, once.
    std::optional<Error> takeHeadError();
    // Returns the store's version, once, after several answers in a row were older than the accepted version.
    std::optional<ConfigurationVersion> takeStoreBehind();

    bool isReachable() const { return m_reachable; }
    // The latest time at which the accepted version is known to have been the newest in the store.
    std::optional<MonotonicTime> confirmedAt() const { return m_confirmedAt; }

private:
    struct Call {
        StoreCallId id;
        MonotonicTime sentAt;
        MonotonicTime lostAt;
    };

    void startWatch(MonotonicTime now, EffectList& effects);
    void startPartRead(MonotonicTime now, EffectList& effects);
    void handleWatch(const StoreReply& reply, MonotonicTime now, ConfigurationVersion accepted);
    void handlePart(const StoreReply& reply, MonotonicTime now);
    void takeHead(const StoreReply& reply, MonotonicTime now, ConfigurationVersion accepted);
    const std::string* missingPart() const;

    std::map<std::string, std::string>& m_parts;
    RandomGenerator& m_random;
    StoreCallIds& m_ids;
    std::optional<Call> m_watch;
    std::optional<Call> m_partRead;
    std::string m_partHash;
    MonotonicTime m_nextWatchAt {};
    MonotonicTime m_nextPartAt {};
    RetryBackoff m_watchBackoff;
    // Whether the next call is a read instead of a watch, because the previous call failed.
    bool m_readsAgain = false;
    RetryBackoff m_partBackoff;
    StoreVersion m_headStoreVersion = 0;
    std::size_t m_headBytes = 0;
    std::optional<ConfigurationHead> m_pending;
    std::optional<Error> m_headError;
    std::optional<ConfigurationVersion> m_storeBehind;
    unsigned m_olderAnswers = 0;
    bool m_reachable = false;
    std::optional<MonotonicTime> m_confirmedAt;
};

} // namespace Catkinwell
