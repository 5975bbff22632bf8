#include <catkinwell/gateway/StreamVersionRecords.h>

#include <algorithm>
#include <catkinwell/core/BoundedJson.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr Duration callTimeout = std::chrono::milliseconds(600);
    constexpr Duration defaultInterval = std::chrono::milliseconds(400);
    // Wall clocks of two hosts may differ by this time.
    constexpr std::int64_t clockToleranceMilliseconds = 5000;

    std::int64_t millisecondsSinceEpoch(WallTime time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    }

} // namespace

StreamVersionRecords::StreamVersionRecords(
    const HostId& self, Incarnation incarnation, StreamVersionRecordSettings settings)
    : m_keyStart(settings.keyPrefix + self.value + '/' + std::to_string(incarnation) + '/')
    , m_settings(std::move(settings))
    , m_writes(StoreUser::Streams, callTimeout, defaultInterval)
    , m_reads(StoreUser::StreamReads, callTimeout, m_settings.readInterval)
{
}

void StreamVersionRecords::add(const StreamBeginning& beginning, MonotonicTime now)
{
    if (m_pending.size() >= m_settings.maximumPending)
        return;
    m_pending.push_back({ beginning, now });
}

// Digits of the same number, so that the store lists the records of a host in their order.
std::string StreamVersionRecords::nextKey() const
{
    const std::string number = std::to_string(m_sequence);
    constexpr std::size_t digits = 10;
    return m_keyStart + std::string(digits - std::min(digits, number.size()), '0') + number;
}

std::string StreamVersionRecords::encodeBatch(std::size_t count, WallTime wallNow, MonotonicTime now) const
{
    std::vector<std::string> versions;
    Json streams = Json::array();
    for (std::size_t i = 0; i < count; ++i) {
        const StreamBeginning& beginning = m_pending[i].beginning;
        const std::int64_t remaining = beginning.remainingMilliseconds - millisecondsOf(now - m_pending[i].addedAt);
        auto version = std::find(versions.begin(), versions.end(), beginning.softwareVersion);
        if (version == versions.end())
            version = versions.insert(versions.end(), beginning.softwareVersion);
        streams.push_back(
            Json::array({ beginning.stream, version - versions.begin(), std::max<std::int64_t>(0, remaining) }));
    }
    std::string bytes;
    Json::to_cbor(Json::array({ millisecondsSinceEpoch(wallNow), versions, std::move(streams) }), bytes);
    return bytes;
}

std::vector<StreamBeginning> StreamVersionRecords::decodeBatch(const std::string& value, WallTime wallNow)
{
    std::vector<StreamBeginning> beginnings;
    try {
        const Json batch = parseBoundedCbor(value);
        const std::int64_t age = millisecondsSinceEpoch(wallNow) - batch.at(0).get<std::int64_t>();
        const auto versions = batch.at(1).get<std::vector<std::string>>();
        for (const Json& stream : batch.at(2)) {
            const std::int64_t remaining
                = stream.at(2).get<std::int64_t>() - std::max<std::int64_t>(0, age) + clockToleranceMilliseconds;
            if (remaining > 0)
                beginnings.push_back(
                    { stream.at(0).get<StreamKey>(), versions.at(stream.at(1).get<std::size_t>()), remaining });
        }
    } catch (const Json::exception&) {
        return {};
    } catch (const std::out_of_range&) {
        return {};
    }
    return beginnings;
}

void StreamVersionRecords::tick(WallTime wallNow, MonotonicTime now, EffectList& effects)
{
    while (!m_written.empty() && now - m_written.front().addedAt >= m_settings.recordTtl)
        m_written.pop_front();
    if (m_pending.empty() || !m_writes.isFree(now))
        return;
    if (m_lease.empty() || now >= m_leaseUntil) {
        m_isLeaseRequested = true;
        m_leaseUntil = now + m_settings.leaseTime;
        m_writes.start(LeaseCreate { m_settings.recordTtl }, now, effects);
        return;
    }
    writeBatch(wallNow, now, effects);
}

void StreamVersionRecords::flush(WallTime wallNow, MonotonicTime now, EffectList& effects)
{
    m_writes.postpone(now);
    m_inFlight = 0;
    if (!m_pending.empty() && !m_lease.empty())
        writeBatch(wallNow, now, effects);
}

void StreamVersionRecords::writeBatch(WallTime wallNow, MonotonicTime now, EffectList& effects)
{
    m_inFlight = std::min(m_pending.size(), m_settings.maximumStreams);
    m_writes.start(StoreCompareAndSwap { nextKey(), encodeBatch(m_inFlight, wallNow, now), 0, m_lease }, now, effects);
}

// A conflict shows that an earlier call wrote the record although its answer was lost. It may have held fewer streams,
// so those that came since stay pending.
void StreamVersionRecords::noteWritten(const StoreReply& reply)
{
    if (m_isLeaseRequested) {
        m_isLeaseRequested = false;
        m_lease = reply.status == StoreStatus::Ok ? reply.value : LeaseId();
        return;
    }
    if (reply.status == StoreStatus::NotFound)
        m_lease.clear();
    if (reply.status == StoreStatus::Ok)
        rememberWritten();
    if (reply.status == StoreStatus::Conflict)
        ++m_sequence;
    m_inFlight = 0;
}

void StreamVersionRecords::rememberWritten()
{
    ++m_sequence;
    for (std::size_t i = 0; i < m_inFlight && !m_pending.empty(); ++i) {
        m_written.push_back(std::move(m_pending.front()));
        m_pending.pop_front();
    }
    while (m_written.size() > m_settings.maximumPending)
        m_written.pop_front();
}

bool StreamVersionRecords::read(MonotonicTime now, EffectList& effects)
{
    if (!m_isReading && m_reads.isFree(now)) {
        m_isReading = true;
        m_reads.start(StoreList { m_settings.keyPrefix }, now, effects);
    }
    return m_isReading;
}

void StreamVersionRecords::noteRestored(MonotonicTime from)
{
    m_lease.clear();
    m_isLeaseRequested = false;
    m_inFlight = 0;
    m_writes.postpone(from);
    m_reads.postpone(from);
    m_isReading = false;
    m_pending.insert(m_pending.begin(), m_written.begin(), m_written.end());
    m_written.clear();
}

std::optional<std::vector<StreamBeginning>> StreamVersionRecords::handle(const StoreReply& reply, WallTime wallNow)
{
    if (m_writes.take(reply))
        noteWritten(reply);
    if (!m_reads.take(reply))
        return std::nullopt;
    m_isReading = false;
    std::vector<StreamBeginning> beginnings;
    for (const StoreEntry& entry : reply.entries) {
        const std::vector<StreamBeginning> batch = decodeBatch(entry.value, wallNow);
        beginnings.insert(beginnings.end(), batch.begin(), batch.end());
    }
    return beginnings;
}

} // namespace Catkinwell
