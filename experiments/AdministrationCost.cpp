// Measures the cost of metrics, the decision journal and usage accounting for each call, at their maximum sizes. Prints
// one line for each call.
#include <catkinwell/admin/DecisionJournal.h>
#include <catkinwell/admin/UsageAccounting.h>
#include <catkinwell/metrics/MetricCatalogue.h>
#include <catkinwell/metrics/MetricsRegistry.h>
#include <cstdio>
#include <functional>

using namespace Catkinwell;

namespace {

void measure(const char* what, int repeats, const std::function<void(int)>& action)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < repeats; ++i)
        action(i);
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - begin;
    std::printf("%-45s %10.3f microseconds each, %d calls\n", what, spent.count() / repeats, repeats);
}

void measureMetrics()
{
    MetricsRegistry registry;
    measure("record a counter", 1000000, [&](int i) {
        registry.record({ Metric::RequestsTotal, "account-" + std::to_string(i % 200), 1 });
    });
    measure("record a sample of a summary", 1000000, [&](int i) {
        registry.record({ Metric::RequestSeconds, "model-" + std::to_string(i % 200), 0.001 * (i % 977) });
    });
    for (const MetricDescription& description : metricCatalogue()) {
        for (std::size_t i = 0; i < MetricsRegistry::maximumLabelValues; ++i)
            registry.record({ description.metric, "label-" + std::to_string(i), 1 });
    }
    std::size_t bytes = 0;
    measure("render all metrics at the label bound", 100, [&](int) { bytes = registry.renderText().size(); });
    std::printf("%-45s %10zu bytes\n", "size of that page", bytes);
}

void measureJournal()
{
    DecisionJournal journal;
    measure("add to the full journal", 100000, [&](int i) {
        journal.add({ LogEvent::EndpointChosen,
                        { { "request", std::to_string(i) }, { "model", "notes-7b" }, { "endpoint", "engine-1" },
                            { "scores", "engine-1=0.21 engine-2=0.47 engine-3=1.02" } } },
            MonotonicTime());
    });
    std::printf("%-45s %10zu entries, %zu bytes\n", "the full journal", journal.entries(), journal.bytes());
    measure("explain one request", 100, [&](int i) { journal.entriesOfRequest(std::to_string(99000 + i)); });
}

void measureUsage()
{
    using namespace std::chrono_literals;
    const MonotonicTime start { 1h };
    UsageAccounting usage(HostId("host-1"), start, WallTime());
    for (int i = 0; i < 4800; ++i)
        usage.replicaLoaded(
            EndpointId(std::to_string(i / 8)), ModelId(std::to_string(i)), ReplicaOrigin::LoadedNow, start);
    EffectList effects;
    measure("tick with 4800 replicas", 100000,
        [&](int i) { usage.tick(start + i * 20ms, WallTime(i * 20ms), { 1e9 }, effects); });
    measure("count tokens", 1000000,
        [&](int i) { usage.tokensUsed(AccountId(std::to_string(i % 5)), ModelId(std::to_string(i % 2353)), 100); });
    measure("report with 4800 replicas", 20, [&](int) { usage.report(start + 1h, WallTime(1h)); });
}

} // namespace

int main()
{
    measureMetrics();
    measureJournal();
    measureUsage();
    return 0;
}
