#pragma once

#include <catkinwell/core/TokenAmount.h>
#include <optional>
#include <string>
#include <string_view>

namespace Catkinwell {

// Follows an engine's server-sent events on their way to the caller: notices the end
// marker, reads the usage, and leaves out a usage chunk that the caller did not
// ask for. Not thread safe.
class StreamFilter {
public:
    // With removeUsage the usage chunk is not passed on.
    explicit StreamFilter(bool removeUsage)
        : m_removeUsage(removeUsage)
    {
    }

    // Takes the next bytes of the stream and returns the whole events that may go to the caller.
    std::string feed(std::string_view data);

    // Whether "data: [DONE]" has been seen, without which a stream is incomplete.
    bool isComplete() const { return m_complete; }
    // Total tokens of prompt and answer, once the engine has told them.
    std::optional<TokenCount> totalTokens() const { return m_totalTokens; }
    bool removesUsage() const { return m_removeUsage; }
    std::uint64_t eventsSeen() const { return m_events; }
    // Whether the unfinished event exceeds what an engine may send in one.
    bool isOverlong() const;

private:
    bool keepEvent(std::string_view event);

    bool m_removeUsage;
    bool m_complete = false;
    std::optional<TokenCount> m_totalTokens;
    std::uint64_t m_events = 0;
    std::string m_partial;
};

// Reads usage.total_tokens of a whole answer; nothing if it has none. Thread safe.
std::optional<TokenCount> totalTokensOfAnswer(const std::string& body);

} // namespace Catkinwell
