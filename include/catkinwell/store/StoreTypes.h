#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Catkinwell {

// The version of a value in the store, which increases with every change. As the expected version of a write, 0 means
// that the key must not exist.
using StoreVersion = std::uint64_t;
using LeaseId = std::string;

// Increases each time the store is restored from an older copy of itself, which gives out versions and leases again, so
// that those of different epochs cannot be compared. 0 if the store does not state its epoch.
using StoreEpoch = std::uint64_t;

struct StoreGet {
    std::string key;
};

// Writes the value if the key still has the expected version. With a lease, the
// key is deleted when the lease ends, and the write also fails while another lease holds the key.
struct StoreCompareAndSwap {
    std::string key;
    std::string value;
    StoreVersion expectedVersion = 0;
    LeaseId lease {};
};

struct StoreDelete {
    std::string key;
    StoreVersion expectedVersion = 0;
};

// Replies as soon as the key's version exceeds afterVersion, or after the wait time.
struct StoreWatch {
    std::string key;
    StoreVersion afterVersion = 0;
    Duration wait {};
};

// Replies with every key that starts with the prefix, and with the version from which a watch can continue.
struct StoreList {
    std::string prefix;
    // Returns only keys after this one; used to read a list in pages.
    std::string afterKey {};
};

// Replies with the changes under the prefix since the version, or with no entries after the wait time. The next watch
// continues from the reply's version. Some stores reply with the whole list instead (StoreReply::isWholeList).
struct StoreWatchPrefix {
    std::string prefix;
    StoreVersion afterVersion = 0;
    Duration wait {};
};

struct LeaseCreate {
    Duration ttl {};
};

struct LeaseRenew {
    LeaseId lease;
};

struct LeaseRevoke {
    LeaseId lease;
};

// Replies Ok while the lease exists and NotFound after its end.
struct LeaseRead {
    LeaseId lease;
};

using StoreOperation = std::variant<StoreGet, StoreCompareAndSwap, StoreDelete, StoreWatch, StoreList, StoreWatchPrefix,
    LeaseCreate, LeaseRenew, LeaseRevoke, LeaseRead>;

// An effect: performs one call to the platform's store. The reply arrives as a
// StoreReply event with the same identifier, at the latest after the timeout.
struct StoreCall {
    StoreCallId id;
    StoreOperation operation;
    Duration timeout = std::chrono::seconds(2);
};

enum class StoreStatus {
    Ok,
    // The comparison failed; the call had no effect.
    Conflict,
    NotFound,
    // The reply was lost, late or invalid; the call may have taken effect.
    Unknown,
    // The call was not sent, or was rejected before it took effect.
    Unavailable,
    // The store's rate limit rejected the call before it took effect.
    RateLimited,
    // The store no longer has the changes that a watch requested; the prefix has to be listed again.
    HistoryLost,
};

// Returns the stable lower-case name of the status.
std::string_view nameOf(StoreStatus);

struct StoreEntry {
    std::string key;
    std::string value;
    StoreVersion version = 0;
    // The key was deleted; only in replies to a watch.
    bool isDeleted = false;
    // With isDeleted: absent since the store was restored, so the key may have been lost instead of deleted.
    bool isLost = false;
};

// An event: the outcome of one StoreCall.
struct StoreReply {
    StoreCallId id;
    StoreStatus status = StoreStatus::Unknown;
    // The version after a Get, Watch or successful CompareAndSwap (0 if the store did not return it), or the version
    // from which a watch continues after a List or WatchPrefix.
    StoreVersion version = 0;
    // The value of a Get or Watch, or the identifier of a created lease.
    std::string value {};
    // The result of a List or WatchPrefix.
    std::vector<StoreEntry> entries {};
    // Whether entries contains every key under the prefix, so that a missing key does not exist.
    bool isWholeList = false;
    // Whether the list continues after its last entry.
    bool isTruncated = false;
    // When the call was started. Lease validity counts from this time.
    MonotonicTime sentAt {};
    // The epoch in which the store answered; 0 if unknown.
    StoreEpoch epoch = 0;
};

// An event: the store was restored from an older copy. It precedes the replies of the new epoch.
struct StoreRestored {
    StoreEpoch previous = 0;
    StoreEpoch epoch = 0;
};

} // namespace Catkinwell
