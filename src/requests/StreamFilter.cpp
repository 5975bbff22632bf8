#include <catkinwell/requests/StreamFilter.h>

#include <catkinwell/core/BoundedJson.h>
#include <nlohmann/json.hpp>

namespace Catkinwell {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maximumEventBytes = 1024 * 1024;
    constexpr std::string_view dataField = "data:";

    std::optional<TokenCount> totalTokensOf(const Json& document)
    {
        if (!document.is_object() || !document.contains("usage") || !document["usage"].is_object())
            return std::nullopt;
        const Json& usage = document["usage"];
        if (!usage.contains("total_tokens") || !usage["total_tokens"].is_number_unsigned())
            return std::nullopt;
        return usage["total_tokens"].get<TokenCount>();
    }

    std::string_view payloadOf(std::string_view event)
    {
        if (!event.starts_with(dataField))
            return {};
        event.remove_prefix(dataField.size());
        while (!event.empty() && event.front() == ' ')
            event.remove_prefix(1);
        while (!event.empty() && (event.back() == '\n' || event.back() == '\r'))
            event.remove_suffix(1);
        return event;
    }

} // namespace

std::string StreamFilter::feed(std::string_view data)
{
    // The end of an event may begin with the last byte that is kept; the bytes before it were searched.
    const std::size_t searched = m_partial.empty() ? 0 : m_partial.size() - 1;
    m_partial.append(data);
    std::string passed;
    std::size_t start = 0;
    for (std::size_t end = m_partial.find("\n\n", searched); end != std::string::npos;
         end = m_partial.find("\n\n", start)) {
        const std::string_view event = std::string_view(m_partial).substr(start, end + 2 - start);
        if (processEvent(event))
            passed.append(event);
        start = end + 2;
    }
    m_partial.erase(0, start);
    return passed;
}

bool StreamFilter::processEvent(std::string_view event)
{
    const std::string_view payload = payloadOf(event);
    ++m_events;
    if (payload == "[DONE]") {
        m_complete = true;
        return true;
    }
    // Most events hold a token and no usage. Only those that mention it are parsed.
    if (payload.find("\"usage\"") == std::string_view::npos)
        return true;
    const Json document = parseBoundedJson(payload);
    const auto total = totalTokensOf(document);
    if (!total)
        return true;
    m_totalTokens = total;
    const bool usageOnly = document.contains("choices") && document["choices"].empty();
    return !(m_removeUsage && usageOnly);
}

bool StreamFilter::isOverlong() const { return m_partial.size() > maximumEventBytes; }

std::optional<TokenCount> totalTokensOfAnswer(const std::string& body) { return totalTokensOf(parseBoundedJson(body)); }

} // namespace Catkinwell
