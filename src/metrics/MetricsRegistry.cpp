#include <catkinwell/metrics/MetricsRegistry.h>

#include <array>
#include <catkinwell/metrics/MetricCatalogue.h>
#include <charconv>
#include <cmath>
#include <map>
#include <metrics/SampleSummary.h>
#include <variant>

namespace Catkinwell {

namespace {

    constexpr std::string_view prefix = "catkinwell_";
    constexpr std::string_view otherLabel = "other";

    using Series = std::variant<double, SampleSummary>;
    using Family = std::map<std::string, Series, std::less<>>;

    std::string_view typeOf(MetricKind kind)
    {
        switch (kind) {
        case MetricKind::Counter:
            return "counter";
        case MetricKind::Gauge:
            return "gauge";
        case MetricKind::Summary:
            return "summary";
        }
        return "untyped";
    }

    void appendNumber(std::string& text, double value)
    {
        std::array<char, 64> digits {};
        const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value);
        text.append(digits.data(), result.ptr);
    }

    // Escapes a label value as the exposition format requires.
    void appendEscaped(std::string& text, std::string_view value)
    {
        for (const char character : value) {
            if (character == '\\')
                text += "\\\\";
            else if (character == '"')
                text += "\\\"";
            else if (character == '\n')
                text += "\\n";
            else
                text += character;
        }
    }

    // Truncates at a character boundary, because the exposition format must be valid UTF-8.
    std::string_view truncatedLabel(std::string_view label)
    {
        if (label.size() <= MetricsRegistry::maximumLabelBytes)
            return label;
        std::size_t end = MetricsRegistry::maximumLabelBytes;
        while (end > 0 && (static_cast<unsigned char>(label[end]) & 0xc0) == 0x80)
            --end;
        return label.substr(0, end);
    }

    struct Sample {
        std::string_view suffix;
        std::string_view label;
        std::string_view quantile;
        double value = 0;
    };

    void appendSample(std::string& text, const MetricDescription& description, const Sample& sample)
    {
        text.append(prefix).append(description.name).append(sample.suffix);
        if (!sample.label.empty() || !sample.quantile.empty()) {
            text += '{';
            if (!sample.label.empty()) {
                text.append(description.labelName).append("=\"");
                appendEscaped(text, sample.label);
                text += '"';
            }
            if (!sample.quantile.empty()) {
                text.append(sample.label.empty() ? "" : ",").append("quantile=\"").append(sample.quantile).append("\"");
            }
            text += '}';
        }
        text += ' ';
        appendNumber(text, sample.value);
        text += '\n';
    }

    void appendSummary(
        std::string& text, const MetricDescription& description, std::string_view label, const SampleSummary& summary)
    {
        constexpr std::array<std::string_view, 3> quantileNames { "0.5", "0.95", "0.99" };
        for (std::size_t i = 0; i < quantileNames.size(); ++i)
            appendSample(text, description, { "", label, quantileNames.at(i), summary.quantile(i) });
        appendSample(text, description, { "_sum", label, "", summary.sum() });
        appendSample(text, description, { "_count", label, "", static_cast<double>(summary.count()) });
    }

} // namespace

struct MetricsRegistry::Families {
    std::map<Metric, Family> byMetric;
};

MetricsRegistry::MetricsRegistry()
    : m_families(std::make_unique<Families>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::record(const RecordMetric& sample)
{
    const MetricDescription* description = describe(sample.metric);
    if (!description || !std::isfinite(sample.value)
        || (description->kind == MetricKind::Counter && sample.value < 0)) {
        ++m_rejectedSamples;
        return;
    }
    Family& family = m_families->byMetric[sample.metric];
    std::string_view label = truncatedLabel(sample.label);
    auto series = family.find(label);
    if (series == family.end()) {
        if (family.size() >= maximumLabelValues)
            label = otherLabel;
        Series fresh
            = description->kind == MetricKind::Summary ? Series(SampleSummary()) : Series(std::in_place_type<double>);
        series = family.try_emplace(std::string(label), std::move(fresh)).first;
    }
    if (auto* summary = std::get_if<SampleSummary>(&series->second))
        summary->add(sample.value);
    else if (description->kind == MetricKind::Counter)
        std::get<double>(series->second) += sample.value;
    else
        std::get<double>(series->second) = sample.value;
}

std::string MetricsRegistry::renderText() const
{
    std::string text;
    for (const MetricDescription& description : metricCatalogue()) {
        text.append("# HELP ").append(prefix).append(description.name).append(" ").append(description.help);
        text.append("\n# TYPE ").append(prefix).append(description.name).append(" ");
        text.append(typeOf(description.kind)).append("\n");
        const auto family = m_families->byMetric.find(description.metric);
        if (family == m_families->byMetric.end())
            continue;
        for (const auto& [label, series] : family->second) {
            if (const auto* summary = std::get_if<SampleSummary>(&series))
                appendSummary(text, description, label, *summary);
            else
                appendSample(text, description, { "", label, "", std::get<double>(series) });
        }
    }
    return text;
}

} // namespace Catkinwell
