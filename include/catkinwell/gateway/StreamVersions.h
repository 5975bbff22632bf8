#pragma once

#include <catkinwell/core/Clock.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Catkinwell {

// Identifies a stream in its service for all hosts: a hash of the service and of the caller's identifier of the request
// that began it.
using StreamKey = std::uint64_t;

StreamKey streamKeyOf(const std::string& service, const std::string& callerRequestId);

// At which software version a stream began.
struct StreamBeginning {
    StreamKey stream = 0;
    // Empty if it cannot be told, so that the stream must not go on.
    std::string softwareVersion;
    // How long the caller may still take the stream up again. Negative in an answer to a question: not known here.
    std::int64_t remainingMilliseconds = 0;
};

struct StreamVersionSettings {
    std::size_t maximumStreams = 16384;
    // Beginnings in one message.
    std::size_t maximumReported = 256;
    // Longest time for which a beginning is kept.
    Duration longestLifetime = std::chrono::seconds(120);
};

// Knows at which software version streams began, for those that may have to go on at another endpoint or another host:
// what two versions write does not fit together. Bounded; a stream is forgotten when its caller has no time left. Pure;
// not thread safe.
class StreamVersions {
public:
    explicit StreamVersions(StreamVersionSettings settings = {});

    // A stream of this host began. It is reported to the hosts that keep it.
    void noteBegun(StreamKey, const std::string& softwareVersion, Duration remaining, MonotonicTime now);
    // Another host reports a beginning.
    void merge(const StreamBeginning&, MonotonicTime now);
    // The store holds a record of the beginning, which may be older than what is known here.
    void mergeRecorded(const StreamBeginning&, MonotonicTime now);
    // Returns the version at which the stream began; nullopt if this host does not know it.
    std::optional<std::string> find(StreamKey, MonotonicTime now) const;
    // Returns the answer to another host's question.
    StreamBeginning answer(StreamKey, MonotonicTime now) const;
    // Returns beginnings of this host's streams that were not reported yet, up to the number for one message.
    std::vector<StreamBeginning> takeNews(MonotonicTime now);
    void tick(MonotonicTime now);
    std::size_t size() const { return m_streams.size(); }

private:
    struct Stream {
        std::string softwareVersion;
        MonotonicTime until {};
    };

    void put(StreamKey, const std::string& softwareVersion, Duration remaining, MonotonicTime now);

    StreamVersionSettings m_settings;
    std::unordered_map<StreamKey, Stream> m_streams;
    // In the order of their arrival; the oldest makes way if there are too many.
    std::deque<StreamKey> m_order;
    std::deque<StreamKey> m_news;
    MonotonicTime m_nextExpiryAt {};
};

} // namespace Catkinwell
