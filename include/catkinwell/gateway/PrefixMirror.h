#pragma once

#include <catkinwell/core/RetryBackoff.h>
#include <catkinwell/reducer/Effect.h>
#include <catkinwell/store/StoreCallIds.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Catkinwell {

struct PrefixMirrorSettings {
    std::string prefix;
    // Within this time a connection that went silent is noticed, and a watch begins on a new one.
    Duration reconnect = std::chrono::seconds(3);
    // Minimum time between the starts of two watches. Bounds the number of calls under frequent changes.
    Duration minimumInterval = std::chrono::milliseconds(100);
    // A list of many pages takes long when all hosts request it at the same time.
    Duration longestListTimeout = std::chrono::seconds(10);
    // Whether a call that follows a failure lists. A watch returns each state that a key had meanwhile, which is more
    // than a list if few keys change often and their values are large.
    bool listsAfterFailure = false;
};

// Mirrors all keys under a prefix of the store, with one list and then watches. The last copy is kept while the store
// does not answer. Pure; not thread safe.
class PrefixMirror {
public:
    // Precondition: no other object uses the same store user for its calls.
    PrefixMirror(StoreUser, PrefixMirrorSettings, std::uint64_t seed);

    void tick(MonotonicTime now, EffectList&);
    // Returns the changed entries; deleted ones are marked. Ignores replies to other calls.
    std::vector<StoreEntry> handle(const StoreReply&, MonotonicTime now, EffectList&);

    // Applies all changes up to a version, read by another call or another host. Entries up to version() are known and
    // have no effect. Returns the changed entries. Precondition: isCurrent().
    std::vector<StoreEntry> merge(const std::vector<StoreEntry>&, StoreVersion);
    // Applies a whole copy of the prefix as of a version, read by another host. Returns the changed entries; deleted
    // ones are marked. Precondition: isCurrent(), and the version is not below version().
    std::vector<StoreEntry> replace(const std::vector<StoreEntry>&, StoreVersion);

    // Ends the wait for the present watch, or the list after a failure, whose connection may be lost, and calls anew at
    // the next tick.
    void renewWatch(MonotonicTime now);
    // Notes that another host's calls succeeded again after failures at the time.
    void noteRecovered(MonotonicTime);

    // Forgets the versions of before the restore and reads the prefix again. The last copy is kept until then.
    void noteRestored(MonotonicTime now);

    void setMinimumInterval(Duration interval) { m_settings.minimumInterval = interval; }
    void setReconnect(Duration reconnect) { m_settings.reconnect = reconnect; }
    // The longest wait of a watch, if it is shorter than the one that follows from the time to reconnect.
    void setLongestWait(std::optional<Duration> wait) { m_longestWait = wait; }
    // Whether the prefix has been read completely at least once.
    bool isRead() const { return m_isRead; }
    // Whether the copy follows the store's present history; false from the loss of the history or a restore until the
    // prefix has been read again.
    bool isCurrent() const { return m_isRead && !m_needsList; }
    // Up to which version of the store the copy is complete.
    StoreVersion version() const { return m_version; }
    // The store's epoch when the prefix was last listed; 0 if unknown.
    StoreEpoch epoch() const { return m_epoch; }
    const std::map<std::string, StoreEntry>& entries() const { return m_entries; }
    const StoreEntry* find(const std::string& key) const;
    bool hasKeyWithPrefix(const std::string& prefix) const;
    // When the last call that succeeded was sent; zero if there is none.
    MonotonicTime readAt() const { return m_readAt; }
    // As of when the copy is known to hold all that the store held; zero if it never did.
    MonotonicTime confirmedAt() const { return m_confirmedAt; }
    // When calls started to fail; zero if the last call succeeded.
    MonotonicTime failingSince() const { return m_failingSince; }
    // When a call last succeeded after failures, or the store was last restored; zero if neither ever happened.
    MonotonicTime recoveredAt() const { return m_recoveredAt; }

private:
    // The longest wait of one watch.
    Duration watchWait() const;
    void replaceAll(const std::vector<StoreEntry>&, std::vector<StoreEntry>& changes);
    void apply(const StoreEntry&, std::vector<StoreEntry>& changes);
    void noteFailure(StoreStatus, MonotonicTime now, EffectList&);
    void noteSuccess(const StoreReply&, MonotonicTime now, EffectList&);
    // As of when a call that succeeded shows all that the store held.
    MonotonicTime completeAsOf(const StoreReply&, MonotonicTime now) const;

    PrefixMirrorSettings m_settings;
    StoreCallIds m_callIds;
    RandomGenerator m_random;
    RetryBackoff m_backoff;
    std::map<std::string, StoreEntry> m_entries;
    StoreVersion m_version = 0;
    StoreEpoch m_epoch = 0;
    bool m_isRead = false;
    bool m_needsList = true;
    // Whether the next list is the first after a restore.
    bool m_isRestored = false;
    Duration m_listTimeout;
    std::optional<Duration> m_longestWait;
    MonotonicTime m_readAt {};
    MonotonicTime m_confirmedAt {};
    StoreCallId m_pending;
    // How long the store may hold back the answer to the pending call; zero for a list.
    Duration m_pendingWait {};
    MonotonicTime m_nextAt {};
    MonotonicTime m_failingSince {};
    MonotonicTime m_recoveredAt {};
};

} // namespace Catkinwell
