#pragma once

#include <catkinwell/gateway/SerialStoreCalls.h>
#include <catkinwell/gateway/StreamVersions.h>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Catkinwell {

struct StreamVersionRecordSettings {
    std::string keyPrefix = "catkinwell-streams/";
    // Records are written under a lease of this time that is not renewed, so that they outlast the hosts and expire; a
    // new lease is taken after the lease time.
    Duration recordTtl = std::chrono::seconds(180);
    Duration leaseTime = std::chrono::seconds(60);
    // Streams in one record, and those that wait to be written.
    std::size_t maximumStreams = 2048;
    std::size_t maximumPending = 16384;
    // Shortest time between two reads.
    Duration readInterval = std::chrono::seconds(1);
};

// Keeps in the store at which software versions streams began, for hosts that start after all those that knew it were
// killed. Each host writes the streams that began since its last record, one key each time; all are read when no live
// host knows a stream. Streams that began within one interval before a kill are lost. Pure; not thread safe.
class StreamVersionRecords {
public:
    // Precondition: no other object uses StoreUser::Streams or StoreUser::StreamReads.
    StreamVersionRecords(const HostId& self, Incarnation, StreamVersionRecordSettings settings = {});

    // Time between two records; grows with the number of hosts that share the store's write rate.
    void setInterval(Duration interval) { m_writes.setInterval(interval); }
    // The stream is written with the next record.
    void add(const StreamBeginning&, MonotonicTime now);
    // Writes what is due, with at most one call at a time.
    void tick(WallTime, MonotonicTime now, EffectList&);
    // Writes everything that waits at once, because the process ends.
    void flush(WallTime, MonotonicTime now, EffectList&);
    // Reads all records, unless that was done a moment ago. Returns whether a read is under way.
    bool read(MonotonicTime now, EffectList&);
    // Writes lost records again.
    void noteRestored(MonotonicTime from);

    // Returns what was read, oldest first; nullopt if the reply is not the end of a read.
    std::optional<std::vector<StreamBeginning>> handle(const StoreReply&, WallTime);

private:
    struct Pending {
        StreamBeginning beginning;
        MonotonicTime addedAt {};
    };

    std::string encodeBatch(std::size_t count, WallTime, MonotonicTime now) const;
    static std::vector<StreamBeginning> decodeBatch(const std::string& value, WallTime);
    std::string nextKey() const;
    void writeBatch(WallTime, MonotonicTime now, EffectList&);
    void noteWritten(const StoreReply&);
    void rememberWritten();

    std::string m_keyStart;
    StreamVersionRecordSettings m_settings;
    SerialStoreCalls m_writes;
    SerialStoreCalls m_reads;
    bool m_isReading = false;
    LeaseId m_lease;
    MonotonicTime m_leaseUntil {};
    bool m_isLeaseRequested = false;
    std::uint64_t m_sequence = 0;
    std::deque<Pending> m_pending;
    // Number of the pending streams in the record that is being written.
    std::size_t m_inFlight = 0;
    // Written streams, for the case that the store is restored from an older copy.
    std::deque<Pending> m_written;
};

} // namespace Catkinwell
