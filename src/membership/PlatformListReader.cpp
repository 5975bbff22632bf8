#include "PlatformListReader.h"

#include <algorithm>
#include <catkinwell/core/BoundedJson.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    constexpr Duration pollInterval = 5s;
    constexpr Duration longestPollInterval = 120s;
    // A tenth of a host's 6 KB/s of control traffic. The list of 400 hosts has about 50 KB, so it is read less often
    // than that of a small fleet. Between reads, heartbeats reveal failures.
    constexpr double listBytesPerSecond = 600;
    constexpr Duration callTimeout = 2s;
    constexpr Duration lostReplyMargin = 1s;
    constexpr Duration longestBackoff = 30s;

    std::optional<PlatformHost> parseHost(const std::string& id, const std::string& text)
    {
        const Json value = parseBoundedJson(text);
        if (!value.is_object() || id.empty())
            return std::nullopt;
        const auto textOf = [&](const char* name) {
            const auto found = value.find(name);
            return found != value.end() && found->is_string() ? found->get<std::string>() : std::string();
        };
        PlatformHost host { HostId(id), 0, DataCentreId(textOf("data_centre")), textOf("address"), false,
            textOf("relay_address") };
        if (const auto found = value.find("incarnation"); found != value.end() && found->is_number_unsigned())
            host.incarnation = found->get<Incarnation>();
        if (const auto found = value.find("leaving"); found != value.end() && found->is_boolean())
            host.leaving = found->get<bool>();
        if (host.dataCentre.value.empty() || host.address.empty())
            return std::nullopt;
        return host;
    }

} // namespace

PlatformListReader::PlatformListReader(RandomGenerator& random)
    : m_random(random)
    , m_hostPoll { .prefix = "hosts/", .backoff = RetryBackoff(pollInterval / 2, longestBackoff) }
    , m_leavingPoll { .prefix = "leaving/", .backoff = RetryBackoff(pollInterval / 2, longestBackoff) }
{
}

void PlatformListReader::tick(MonotonicTime now, EffectList& effects)
{
    tickPoll(m_hostPoll, now, effects);
    tickPoll(m_leavingPoll, now, effects);
}

void PlatformListReader::tickPoll(Poll& poll, MonotonicTime now, EffectList& effects)
{
    if (poll.call && now >= poll.lostAt)
        finish(poll, { .id = *poll.call, .status = StoreStatus::Unknown }, now, effects);
    if (poll.call || now < poll.nextAt)
        return;
    poll.call = m_ids.next();
    poll.lostAt = now + callTimeout + lostReplyMargin;
    effects.push_back(StoreCall { *poll.call, StoreList { poll.prefix }, callTimeout });
}

bool PlatformListReader::finish(Poll& poll, const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    if (!poll.call || reply.id != *poll.call)
        return false;
    poll.call.reset();
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        poll.nextAt = now + poll.backoff.next(m_random);
        noteReadable(poll, false, std::string(nameOf(reply.status)), effects);
        return false;
    }
    double bytes = 0;
    for (const auto& entry : reply.entries)
        bytes += static_cast<double>(entry.key.size() + entry.value.size());
    const double seconds = std::clamp(bytes / listBytesPerSecond, std::chrono::duration<double>(pollInterval).count(),
        std::chrono::duration<double>(longestPollInterval).count());
    // Jitter of 20 % keeps hosts that started together from polling at the same time.
    const double jitter = 0.8 + 0.4 * m_random.unit();
    poll.nextAt = now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds * jitter));
    poll.backoff.reset();
    return true;
}

void PlatformListReader::handle(const StoreReply& reply, MonotonicTime now, EffectList& effects)
{
    if (finish(m_leavingPoll, reply, now, effects)) {
        std::set<EndpointId> leaving;
        for (const auto& entry : reply.entries) {
            if (entry.key.size() > m_leavingPoll.prefix.size())
                leaving.insert(EndpointId(entry.key.substr(m_leavingPoll.prefix.size())));
        }
        m_leaving = std::move(leaving);
        noteReadable(m_leavingPoll, true, "", effects);
        return;
    }
    if (!finish(m_hostPoll, reply, now, effects))
        return;
    std::vector<PlatformHost> hosts;
    std::string wrongKey;
    for (const auto& entry : reply.entries) {
        if (entry.key.size() <= m_hostPoll.prefix.size())
            continue;
        if (auto host = parseHost(entry.key.substr(m_hostPoll.prefix.size()), entry.value))
            hosts.push_back(std::move(*host));
        else
            wrongKey = entry.key;
    }
    // An empty list after one with hosts means that the store lost its data, not that the fleet has no hosts.
    if (hosts.empty() && m_hadHosts)
        return noteReadable(m_hostPoll, false, "empty", effects);
    m_hadHosts = m_hadHosts || !hosts.empty();
    m_hosts = std::move(hosts);
    noteReadable(m_hostPoll, wrongKey.empty(), "invalid value at " + wrongKey, effects);
}

void PlatformListReader::noteReadable(Poll& poll, bool readable, const std::string& reason, EffectList& effects)
{
    if (poll.failed != readable)
        return;
    poll.failed = !readable;
    if (readable)
        effects.push_back(LogEntry { LogEvent::HostListRead, { { "prefix", poll.prefix } } });
    else
        effects.push_back(
            LogEntry { LogEvent::HostListUnreadable, { { "prefix", poll.prefix }, { "reason", reason } } });
}

std::optional<std::vector<PlatformHost>> PlatformListReader::takeHosts()
{
    return std::exchange(m_hosts, std::nullopt);
}

std::optional<std::set<EndpointId>> PlatformListReader::takeLeaving() { return std::exchange(m_leaving, std::nullopt); }

} // namespace Catkinwell
