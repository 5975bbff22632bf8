#pragma once

#include <catkinwell/core/Clock.h>
#include <catkinwell/core/Identifiers.h>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/store/StoreTypes.h>
#include <map>
#include <optional>
#include <vector>

namespace Catkinwell {

// How well a host can read for the others of its data centre. Stated by each host in its digests.
struct ReadingFitness {
    // Processor share of the host in cores.
    double processorShare = 1;
    // Whether its loop keeps time and it reaches the store.
    bool isFit = true;

    friend bool operator==(const ReadingFitness&, const ReadingFitness&) = default;
};

// What a reader tells the hosts of its data centre: all changes between two versions of the store, without those of
// heartbeats only.
struct RecordBatch {
    StoreEpoch epoch = 0;
    // A host whose copy is complete up to a version from `from` on has a complete copy up to `to` afterwards.
    StoreVersion from = 0;
    StoreVersion to = 0;
    // The reader's monotonic clock at the sending; compared only with those of the same reader.
    std::chrono::microseconds sentAt {};
    // Age of the reader's call at the sending.
    std::chrono::milliseconds age {};
    // Time since the reader's calls succeeded again after failures, or the store was restored; absent if that is long
    // ago.
    std::optional<std::chrono::milliseconds> recoveredAgo;
    std::vector<StoreEntry> entries;
    // Whether the entries are all records, so that any older copy is complete afterwards.
    bool isWhole = false;
};

// Asks for a batch that begins at the version of a copy, which the batches that were received do not complete.
struct RecordsWanted {
    StoreEpoch epoch = 0;
    StoreVersion have = 0;
};

// Decides which host of a data centre reads the endpoints' records for the others, and when this host reads by itself.
// Load: the calls to the store of each host that watches the records, and records that change twice a second.
//
// All hosts rank the hosts that they hear by what these state of themselves, so that nobody is elected. The first one
// reads every half of the interval at which hosts read by themselves. Any other host reads whenever its copy is older
// than a bound; the second one, the standby, does so a little earlier and passes on what it read. Pure; not thread
// safe.
class SharedReading {
public:
    struct Settings {
        HostId self;
        Incarnation incarnation = 0;
        // Hosts of a data centre from which on one reads for all; 0 for never.
        unsigned fromHosts = 5;
    };

    // Another host of the same data centre that is heard and states its fitness.
    struct Candidate {
        Incarnation incarnation = 0;
        ReadingFitness fitness;
    };

    enum class Role {
        // Reads for itself, as in a small data centre.
        Alone,
        // Reads and passes on what it reads.
        Reader,
        // Acts as the reader while that one is not heard.
        Standby,
        Follower,
    };

    SharedReading(Settings, std::uint64_t seed);

    // Sets what the ranking is based on: the epoch, the interval at which a host reads by itself, this host's fitness
    // and the other hosts. Times that follow from the interval change at once.
    void update(StoreEpoch, Duration interval, const ReadingFitness& own, std::map<HostId, Candidate> others);
    void setFromHosts(unsigned hosts) { m_settings.fromHosts = hosts; }

    Role role() const { return m_role; }
    // The host that is ranked first; this one if there is no other.
    const HostId& reader() const { return m_reader; }
    bool isShared() const { return m_role != Role::Alone; }
    // Whether this host passes on what it reads now.
    bool isSending(MonotonicTime now) const;
    // Whether a call may start now. Precondition: isShared().
    bool mayRead(MonotonicTime now) const;
    // Minimum time between the starts of two calls, and the longest wait of one, which counts as age of its result.
    Duration readingInterval() const { return m_interval / 2; }
    Duration longestWait() const { return m_interval / 8; }
    // Age of the copy from which on the host reads by itself.
    Duration longestAge() const;

    // Notes that this host's own call, sent at the time, was answered.
    void noteRead(MonotonicTime sentAt);
    // Returns as of when the batch's data are, from its age and from how much longer it took than the fastest ones of
    // the same host. The clocks of two hosts are never compared.
    MonotonicTime timeOf(const HostId& from, Incarnation, const RecordBatch&, MonotonicTime now);
    // Notes that the copy is complete as of the time. A host of a different fitness or none may have sent it.
    void noteFresh(MonotonicTime asOf);
    // Returns another host that states that it reaches the store; nullopt if there is none.
    std::optional<HostId> chooseFit();
    // Whether a host may be asked for a batch now, because none was asked a moment ago. Notes that one is.
    bool takeQuestion(MonotonicTime now);
    MonotonicTime freshAt() const { return m_freshAt; }
    const std::map<HostId, Candidate>& others() const { return m_others; }

private:
    struct Passage {
        Incarnation incarnation = 0;
        // Smallest difference between the arrival here and the sending there.
        Duration fastest {};
        MonotonicTime at {};
    };

    bool isBefore(const HostId&, const Candidate&, const HostId&, const Candidate&) const;

    Settings m_settings;
    RandomGenerator m_random;
    StoreEpoch m_epoch = 0;
    Duration m_interval {};
    Candidate m_own;
    std::map<HostId, Candidate> m_others;
    std::map<HostId, Passage> m_passages;
    Role m_role = Role::Alone;
    HostId m_reader;
    MonotonicTime m_freshAt {};
    MonotonicTime m_nextQuestionAt {};
    // Random part of an interval, drawn anew with each fresh copy.
    double m_spread = 0;
};

std::string_view nameOf(SharedReading::Role);

} // namespace Catkinwell
