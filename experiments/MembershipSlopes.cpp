// Measures how the cost of membership and of the propagation of configuration versions for a host depends on the number
// of hosts, in simulated time with lossless links of 1 to 60 ms. The first argument limits the number of hosts.

#include <algorithm>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/membership/MembershipManager.h>
#include <catkinwell/peer/PeerCodec.h>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <queue>

using namespace Catkinwell;

namespace {

constexpr std::size_t dataCentres = 7;
constexpr double warmUpSeconds = 20;
constexpr double measuredSeconds = 20;
// HMAC, version, incarnation and counter; two names of 8 bytes with their lengths.
constexpr std::size_t frameBytes = 32 + 1 + 16 + 2 * 9;

struct Message {
    MonotonicTime at;
    std::size_t from;
    std::size_t to;
    MembershipDigest digest;
    bool operator<(const Message& other) const { return at > other.at; }
};

double processorSeconds()
{
    timespec reading {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &reading);
    return static_cast<double>(reading.tv_sec) + static_cast<double>(reading.tv_nsec) * 1e-9;
}

class Fleet {
public:
    explicit Fleet(std::size_t size)
        : m_random(size)
        , versions(size, 0)
        , learntAt(size, 0)
    {
        std::vector<PlatformHost> list;
        for (std::size_t i = 0; i < size; ++i)
            list.push_back({ HostId("host-" + std::to_string(100 + i)), incarnation,
                DataCentreId("dc" + std::to_string(i % dataCentres)), "10.0.0.1:7000", false });
        EffectList ignored;
        for (const auto& entry : list) {
            m_hosts.push_back(std::make_unique<MembershipManager>(
                MembershipSettings { entry.host, entry.incarnation, entry.dataCentre, m_random.next(), {} }));
            m_hosts.back()->setPlatformList(list, m_now, ignored);
        }
    }

    void runFor(double seconds)
    {
        for (const auto end = m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
             m_now < end;) {
            m_now += std::chrono::milliseconds(20);
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                EffectList effects;
                m_hosts[host]->tick(m_now, effects);
                post(host, effects);
            }
            while (!m_messages.empty() && m_messages.top().at <= m_now) {
                const Message message = m_messages.top();
                m_messages.pop();
                deliver(message);
            }
        }
    }

    // Gives one host a new version, which the others learn of only through digests.
    void announce(std::size_t host, ConfigurationVersion version)
    {
        versions[host] = version;
        learntAt[host] = seconds();
        m_hosts[host]->setConfigurationState(version, {});
    }

    double seconds() const { return std::chrono::duration<double>(m_now.time_since_epoch()).count(); }

private:
    // Encodes to the same size as a real incarnation, which is a wall time in microseconds.
    static constexpr Incarnation incarnation = 1764806400000000;

    void post(std::size_t from, const EffectList& effects)
    {
        for (const auto& effect : effects) {
            const auto* send = std::get_if<SendToPeer>(&effect);
            if (!send)
                continue;
            ++messages;
            bytes += frameBytes + encodePeerMessage(send->message).size();
            const std::size_t to = std::stoul(send->to.value.substr(5)) - 100;
            m_messages.push({ m_now + std::chrono::milliseconds(1 + m_random.below(60)), from, to,
                std::get<MembershipDigest>(send->message) });
        }
    }

    void deliver(const Message& message)
    {
        EffectList effects;
        const HostId from("host-" + std::to_string(100 + message.from));
        m_hosts[message.to]->handle(from, message.digest, m_now, effects);
        if (message.digest.configurationVersion > versions[message.to])
            announce(message.to, message.digest.configurationVersion);
        post(message.to, effects);
    }

    MonotonicTime m_now {};
    RandomGenerator m_random;
    std::vector<std::unique_ptr<MembershipManager>> m_hosts;
    std::priority_queue<Message> m_messages;

public:
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::vector<ConfigurationVersion> versions;
    std::vector<double> learntAt;
};

struct Row {
    double hosts = 0;
    double bytesPerSecond = 0;
    double processor = 0;
};

Row measure(std::size_t size)
{
    Fleet fleet(size);
    fleet.runFor(warmUpSeconds);
    const auto messages = fleet.messages;
    const auto bytes = fleet.bytes;
    const double processor = processorSeconds();
    const double announcedAt = fleet.seconds();
    fleet.announce(0, 1);
    fleet.runFor(measuredSeconds);
    const double hostSeconds = static_cast<double>(size) * measuredSeconds;
    std::vector<double> spread;
    for (std::size_t host = 0; host < size; ++host) {
        if (fleet.versions[host] == 1)
            spread.push_back(fleet.learntAt[host] - announcedAt);
    }
    std::sort(spread.begin(), spread.end());
    const Row row { static_cast<double>(size), static_cast<double>(fleet.bytes - bytes) / hostSeconds,
        (processorSeconds() - processor) / hostSeconds };
    std::printf("hosts %3zu: sent %.0f B/s, %.2f messages/s, processor %.3f ms/s for each host; "
                "version by digests: %zu hosts, median %.2f s, largest %.2f s\n",
        size, row.bytesPerSecond, static_cast<double>(fleet.messages - messages) / hostSeconds, row.processor * 1e3,
        spread.size(), spread[spread.size() / 2], spread.back());
    std::fflush(stdout);
    return row;
}

void printFit(const char* name, const std::vector<Row>& rows, double Row::*value)
{
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    const auto count = static_cast<double>(rows.size());
    for (const auto& row : rows) {
        sumX += row.hosts;
        sumY += row.*value;
        sumXx += row.hosts * row.hosts;
        sumXy += row.hosts * row.*value;
    }
    const double slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
    std::printf("%s = %.6g + %.6g x hosts (least squares)\n", name, (sumY - slope * sumX) / count, slope);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    const std::size_t limit = argumentCount > 1 ? std::strtoul(arguments[1], nullptr, 10) : 400;
    std::vector<Row> rows;
    for (const std::size_t size : { 4, 16, 64, 200, 400 }) {
        if (size <= limit)
            rows.push_back(measure(size));
    }
    printFit("bytes/s", rows, &Row::bytesPerSecond);
    printFit("processor s/s", rows, &Row::processor);
    return 0;
}
