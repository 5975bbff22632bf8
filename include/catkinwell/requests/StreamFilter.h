#pragma once

#include <catkinwell/core/TokenAmount.h>
#include <optional>
#include <string>
#include <string_view>

namespace Catkinwell {

// Filters an engine's stream of server-sent events for the caller: detects the end marker, reads the token usage and
// removes a usage chunk that the caller did not ask for. Not thread safe.
class StreamFilter {
public:
    // With removeUsage, the usage chunk is removed from the stream.
    explicit StreamFilter(bool removeUsage)
        : m_removeUsage(removeUsage)
    {
    }

    // Adds the next bytes of the stream and returns the complete events to forward to the caller.
    std::string feed(std::string_view data);

    // Whether the end marker "data: [DONE]" has been received. A stream without it is incomplete.
    bool isComplete() const { return m_complete; }
    // Total tokens of prompt and answer, once the engine has reported them.
    std::optional<TokenCount> totalTokens() const { return m_totalTokens; }
    bool removesUsage() const { return m_removeUsage; }
    std::uint64_t eventsSeen() const { return m_events; }
    // Whether the incomplete event exceeds the size limit of an event.
    bool isOverlong() const;

private:
    // Reads the token usage and the end marker, and returns whether to forward the event to the caller.
    bool processEvent(std::string_view event);

    bool m_removeUsage;
    bool m_complete = false;
    std::optional<TokenCount> m_totalTokens;
    std::uint64_t m_events = 0;
    std::string m_partial;
};

// Returns usage.total_tokens of a complete answer, or nothing if it has none. Thread safe.
std::optional<TokenCount> totalTokensOfAnswer(const std::string& body);

} // namespace Catkinwell
