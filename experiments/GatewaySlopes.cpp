// Measures how the cost of a gateway's decisions depends on the size of the fleet: the owner's plans, the choice of an
// endpoint, and the messages of one second. Usage: GatewaySlopes [hosts engines models adapters]...
//
// Without arguments it runs the sizes of docs/CAPACITY.md. Requests arrive at 14 per second for each 10 engines and are
// spread over the models by a power law. Every engine holds three models and completes orders immediately. Only
// processor time is measured.
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/gateway/EnginePlacement.h>
#include <catkinwell/gateway/GatewayMessage.h>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <vector>

using namespace Catkinwell;

namespace {

struct Size {
    unsigned hosts;
    unsigned engines;
    unsigned models;
    unsigned adapters;
};

constexpr const char* service = "notes";
constexpr double simulatedSeconds = 20;
constexpr Duration step = std::chrono::milliseconds(20);
constexpr double requestsPerEngine = 1.4;
constexpr double runSeconds = 2;
constexpr Duration digestInterval = std::chrono::milliseconds(400);
constexpr Duration waitTime = std::chrono::seconds(4);

double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

GatewayConfiguration configurationOf(const Size& size)
{
    GatewayConfiguration configuration;
    configuration.version = 1;
    GatewayService& notes = configuration.services[service];
    notes.name = service;
    GatewayEngine& engine = notes.engine.emplace();
    engine.batchSize = 64;
    engine.memoryMb = 220000;
    engine.adapterSlots = 8;
    engine.loadsPerSecond = 17;
    for (unsigned i = 0; i < size.models; ++i) {
        GatewayModel model;
        model.id = ModelId("m" + std::to_string(i));
        model.memoryMb = 70000;
        model.adapterMb = 60;
        model.adapterCount = i < 20 ? size.adapters / 20 : 0;
        model.loadFromStore = std::chrono::seconds(8);
        model.loadFromDisk = std::chrono::milliseconds(1700);
        engine.models.emplace(model.id, model);
    }
    return configuration;
}

class FleetRun {
public:
    explicit FleetRun(const Size& size)
        : m_size(size)
        , m_directory(DataCentreId("z0"), 1)
        , m_placement({}, m_directory)
        , m_hosts(size.hosts)
    {
        m_placement.configure(configurationOf(size));
        EffectList ignored;
        for (unsigned i = 0; i < size.engines; ++i) {
            EndpointRecord record;
            record.id = EndpointId("i-" + std::to_string(i));
            record.service = service;
            record.address = "10.0.0.1:1";
            record.dataCentre = DataCentreId("z" + std::to_string(i % 3));
            record.slots = 64;
            record.incarnation = 1;
            for (unsigned model = 0; model < 3; ++model)
                record.models[ModelId("m" + std::to_string((i * 3 + model) % size.models))];
            for (unsigned model = 0; model < 10; ++model)
                record.onDisk.insert(ModelId("m" + std::to_string((i * 10 + model) % size.models)));
            m_directory.put(record, m_now, ignored);
            m_placement.put(record, m_now);
        }
        m_placement.setPermission(
            PlacementPermission { HostId("self"), 1, m_now, m_now + std::chrono::hours(1) }, m_now);
    }

    void run()
    {
        for (const MonotonicTime end = m_now + std::chrono::seconds(static_cast<int>(simulatedSeconds)); m_now < end;)
            advance();
        std::printf("%6u %8u %7u %9u %12.2f %13.1f %12.1f %10zu\n", m_size.hosts, m_size.engines, m_size.models,
            m_size.adapters, m_planSeconds / simulatedSeconds * 100, m_chooseSeconds / m_requests * 1e6,
            static_cast<double>(m_updateBytes) / simulatedSeconds / 1000, m_digestBytes / std::max(1U, m_digests));
    }

private:
    ServiceVariant drawVariant()
    {
        const auto model = static_cast<unsigned>(m_size.models * std::pow(m_random.unit(), 3));
        ModelVariant variant { ModelId("m" + std::to_string(model)), "" };
        if (model < 20 && m_size.adapters > 0 && m_random.unit() < 0.5)
            variant.adapter = "a" + std::to_string(m_random.below(std::max(1U, m_size.adapters / 20)));
        return { service, variant };
    }

    void advance()
    {
        m_now += step;
        m_due += requestsPerEngine * m_size.engines * std::chrono::duration<double>(step).count();
        for (; m_due >= 1; --m_due) {
            const ServiceVariant variant = drawVariant();
            m_hosts[m_random.below(m_hosts.size())].arrived(variant, m_now);
            EffectList ignored;
            const double before = processorSeconds();
            const auto choice = m_directory.choose({ "r", service, variant.second, {}, {} }, m_now, ignored);
            m_chooseSeconds += processorSeconds() - before;
            ++m_requests;
            if (choice) {
                m_directory.attemptStarted(choice->endpoint, variant.second, m_now);
                m_running.emplace_back(m_now, choice->endpoint, variant.second);
            } else {
                wait(m_requests % m_hosts.size(), variant);
            }
        }
        while (!m_waiting.empty() && m_now - std::get<0>(m_waiting.front()) > waitTime) {
            m_hosts[std::get<1>(m_waiting.front())].waitEnded(std::get<2>(m_waiting.front()), m_now);
            m_waiting.pop_front();
        }
        while (
            !m_running.empty() && m_now - std::get<0>(m_running.front()) > std::chrono::duration<double>(runSeconds)) {
            EffectList ignored;
            m_directory.attemptEnded(
                std::get<1>(m_running.front()), std::get<2>(m_running.front()), AttemptVerdict::Good, m_now, ignored);
            m_running.pop_front();
        }
        reportDemand();
        plan();
    }

    // A request without a replica waits for a load.
    void wait(std::size_t host, const ServiceVariant& variant)
    {
        m_hosts[host].waitBegan(variant, m_now);
        m_waiting.emplace_back(m_now, host, variant);
    }

    // Each host reports once per interval.
    void reportDemand()
    {
        const double reports = static_cast<double>(m_hosts.size()) * std::chrono::duration<double>(step).count()
            / std::chrono::duration<double>(digestInterval).count();
        for (m_reportsDue += reports; m_reportsDue >= 1; --m_reportsDue) {
            const std::size_t host = m_nextHost++ % m_hosts.size();
            HostDigest digest;
            digest.demand = m_hosts[host].report(m_nextHost % 5 == 0, m_now);
            m_digestBytes += encodeGatewayMessage(digest).size();
            ++m_digests;
            const double before = processorSeconds();
            m_placement.handle(HostId("h" + std::to_string(host)), digest.demand, m_now);
            m_planSeconds += processorSeconds() - before;
        }
    }

    void plan()
    {
        EffectList effects;
        const double before = processorSeconds();
        m_placement.tick(m_now, effects);
        const auto update = m_placement.takeUpdate(m_now);
        m_planSeconds += processorSeconds() - before;
        if (update) {
            m_updateBytes += encodeGatewayMessage(*update).size();
            m_directory.handle(*update, m_now);
        }
        for (const Effect& effect : effects) {
            EffectList ignored;
            if (const auto* order = std::get_if<EngineOrder>(&effect)) {
                m_placement.handle(EngineOrderFinished { *order, EngineOrderOutcome::Accepted }, m_now, ignored);
            } else if (const auto* fetch = std::get_if<FetchEngineStatus>(&effect)) {
                EngineStatus status;
                status.endpoint = fetch->endpoint;
                status.incarnation = 1;
                status.requestedAt = m_now;
                status.models = m_directory.find(fetch->endpoint)->models;
                m_placement.handle(status, m_now, ignored);
            }
        }
    }

    Size m_size;
    MonotonicTime m_now { std::chrono::hours(1) };
    RandomGenerator m_random { 1 };
    EndpointDirectory m_directory;
    EnginePlacement m_placement;
    std::vector<HostDemand> m_hosts;
    std::deque<std::tuple<MonotonicTime, EndpointId, ModelVariant>> m_running;
    std::deque<std::tuple<MonotonicTime, std::size_t, ServiceVariant>> m_waiting;
    double m_due = 0;
    double m_reportsDue = 0;
    std::size_t m_nextHost = 0;
    double m_planSeconds = 0;
    double m_chooseSeconds = 0;
    unsigned m_requests = 0;
    unsigned m_digests = 0;
    std::size_t m_digestBytes = 0;
    std::size_t m_updateBytes = 0;
};

} // namespace

int main(int count, char** arguments)
{
    std::vector<Size> sizes;
    const auto number = [arguments](int i) { return static_cast<unsigned>(std::strtoul(arguments[i], nullptr, 10)); };
    for (int i = 1; i + 3 < count; i += 4)
        sizes.push_back({ number(i), number(i + 1), number(i + 2), number(i + 3) });
    if (sizes.empty())
        sizes = { { 4, 12, 65, 74 }, { 34, 60, 333, 284 }, { 26, 140, 456, 690 }, { 34, 140, 824, 630 },
            { 400, 600, 53, 2300 } };
    std::printf("%6s %8s %7s %9s %12s %13s %12s %10s\n", "hosts", "engines", "models", "adapters", "plans, %core",
        "choice, us", "update, kB/s", "digest, B");
    for (const Size& size : sizes)
        FleetRun(size).run();
    return 0;
}
