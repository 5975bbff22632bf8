#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Catkinwell {

// A value's version in the store. It rises with every change; 0 means that the key must not exist.
using StoreVersion = std::uint64_t;
using LeaseId = std::string;

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

// Answers as soon as the key's version exceeds afterVersion, or when wait is over.
struct StoreWatch {
    std::string key;
    StoreVersion afterVersion = 0;
    Duration wait {};
};

// Answers with every key that starts with the prefix, and with the store's version at the beginning of the read.
struct StoreList {
    std::string prefix;
    // Only keys behind this one; for a list that comes in pages.
    std::string afterKey {};
};

// Answers with what changed under the prefix after the version, or with nothing when wait is over. The reply's version
// is where the next watch continues. Some stores answer with the whole list instead (StoreReply::isWholeList).
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

// Answers Ok while the lease exists and NotFound once it is gone.
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
    // The comparison failed; the call surely had no effect.
    Conflict,
    NotFound,
    // The answer was lost or late; the call may have taken effect.
    Unknown,
    // The call was not sent, or was refused before it took effect.
    Unavailable,
    // The store's rate limit refused the call before it took effect.
    RateLimited,
    // The store no longer has the changes that a watch asked for; list again.
    HistoryLost,
};

// Returns the stable lower-case name of the status.
std::string_view nameOf(StoreStatus);

struct StoreEntry {
    std::string key;
    std::string value;
    StoreVersion version = 0;
    // Only in the reply to a watch: the key was deleted.
    bool isDeleted = false;
};

// An event: the outcome of one StoreCall.
struct StoreReply {
    StoreCallId id;
    StoreStatus status = StoreStatus::Unknown;
    // The version after a Get, Watch or successful CompareAndSwap (0 when the store did not tell).
    StoreVersion version = 0;
    // The value of a Get or Watch, or the identifier of a created lease.
    std::string value {};
    // The result of a List or of a watch over a prefix.
    std::vector<StoreEntry> entries {};
    // Whether entries holds every key under the prefix; a key that is missing there does not exist.
    bool isWholeList = false;
    // Whether the list goes on behind its last entry.
    bool isTruncated = false;
    // When the call was handed to the connection. Lease validity counts from here.
    MonotonicTime sentAt {};
};

} // namespace Catkinwell
