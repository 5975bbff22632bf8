#include <algorithm>
#include <catch2/catch.hpp>
#include <catkinwell/core/RandomGenerator.h>
#include <catkinwell/metrics/MetricCatalogue.h>
#include <catkinwell/metrics/MetricsRegistry.h>
#include <cmath>
#include <limits>
#include <metrics/SampleSummary.h>
#include <vector>

using namespace Catkinwell;
using Catch::Matchers::Contains;

// Guards against output that is not valid in the exposition format.
TEST_CASE("renderText follows the exposition format")
{
    MetricsRegistry registry;
    registry.record({ Metric::RequestsTotal, "quay-3", 2 });
    registry.record({ Metric::RequestsTotal, "quay-3", 1 });
    registry.record({ Metric::QueueLength, "", 7 });
    registry.record({ Metric::QueueLength, "", 4 });
    registry.record({ Metric::RefusalsTotal, "a\"b\\c\nd", 1 });
    for (const double seconds : { 0.25, 0.5, 0.75, 1.0 })
        registry.record({ Metric::RequestSeconds, "notes-7b", seconds });
    const std::string text = registry.renderText();
    CHECK_THAT(text,
        Contains("# HELP catkinwell_requests_total Requests that arrived from callers.\n"
                 "# TYPE catkinwell_requests_total counter\n"
                 "catkinwell_requests_total{account=\"quay-3\"} 3\n"));
    CHECK_THAT(text, Contains("# TYPE catkinwell_queue_length gauge\ncatkinwell_queue_length 4\n"));
    CHECK_THAT(text, Contains("catkinwell_refusals_total{reason=\"a\\\"b\\\\c\\nd\"} 1\n"));
    CHECK_THAT(text,
        Contains("# TYPE catkinwell_request_seconds summary\n"
                 "catkinwell_request_seconds{model=\"notes-7b\",quantile=\"0.5\"} 0.5\n"
                 "catkinwell_request_seconds{model=\"notes-7b\",quantile=\"0.95\"} 1\n"
                 "catkinwell_request_seconds{model=\"notes-7b\",quantile=\"0.99\"} 1\n"
                 "catkinwell_request_seconds_sum{model=\"notes-7b\"} 2.5\n"
                 "catkinwell_request_seconds_count{model=\"notes-7b\"} 4\n"));
    CHECK(text.back() == '\n');
}

// Guards against unbounded growth of memory and answers with the number of label values.
TEST_CASE("label values beyond the bound are counted under other")
{
    MetricsRegistry registry;
    const std::size_t extra = 50;
    for (std::size_t i = 0; i < MetricsRegistry::maximumLabelValues + extra; ++i)
        registry.record({ Metric::RequestsTotal, "account-" + std::to_string(i), 1 });
    registry.record({ Metric::RequestsTotal, std::string(4096, 'x'), 1 });
    const std::string text = registry.renderText();
    CHECK_THAT(text, Contains("{account=\"other\"} 51\n"));
    CHECK_THAT(text, Contains("{account=\"account-199\"} 1\n"));
    CHECK_THAT(text, !Contains("{account=\"account-200\"}"));
    std::size_t lines = 0;
    for (std::size_t at = text.find("\ncatkinwell_requests_total{"); at != std::string::npos;
         at = text.find("\ncatkinwell_requests_total{", at + 1))
        ++lines;
    CHECK(lines == MetricsRegistry::maximumLabelValues + 1);
    registry.record({ Metric::StoreCallsTotal, std::string(127, 'y') + "\xc3\xa9", 1 });
    CHECK_THAT(registry.renderText(), Contains("\"" + std::string(127, 'y') + "\"} 1"));
}

// Guards against a single invalid sample that permanently corrupts a series.
TEST_CASE("samples that are not finite or reduce a counter are ignored")
{
    MetricsRegistry registry;
    registry.record({ Metric::RequestsTotal, "a", -1 });
    registry.record({ Metric::RequestSeconds, "a", std::numeric_limits<double>::quiet_NaN() });
    registry.record({ Metric::QueueLength, "a", std::numeric_limits<double>::infinity() });
    registry.record({ static_cast<Metric>(10000), "a", 1 });
    CHECK(registry.rejectedSamples() == 4);
    CHECK_THAT(registry.renderText(), !Contains("\"a\""));
}

// Guards against a metric in the enumeration that has no description and is never rendered.
TEST_CASE("the catalogue lists every metric once, in order")
{
    int expected = 0;
    for (const MetricDescription& description : metricCatalogue()) {
        CHECK(static_cast<int>(description.metric) == expected++);
        CHECK(!description.help.empty());
        CHECK((description.kind == MetricKind::Counter) == description.name.ends_with("_total"));
    }
    CHECK(metricCatalogue().back().metric == Metric::InvalidResponsesTotal);
}

// Guards against inaccurate estimates: the rank error of each must be within two percentage points.
TEST_CASE("quantiles of many samples are close to the exact ones")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    RandomGenerator random(seed);
    SampleSummary summary;
    std::vector<double> samples;
    for (int i = 0; i < 20000; ++i) {
        samples.push_back(-std::log(1.0 - random.unit()));
        summary.add(samples.back());
    }
    std::sort(samples.begin(), samples.end());
    for (std::size_t i = 0; i < SampleSummary::probabilities.size(); ++i) {
        const auto below = std::lower_bound(samples.begin(), samples.end(), summary.quantile(i)) - samples.begin();
        const double rank = static_cast<double>(below) / static_cast<double>(samples.size());
        INFO("seed " << seed << " estimate " << summary.quantile(i) << " rank " << rank);
        CHECK(std::abs(rank - SampleSummary::probabilities.at(i)) <= 0.02);
    }
}
