#pragma once

#include <catkinwell/core/Clock.h>
#include <optional>

namespace Catkinwell {

// Tells when a streamed answer has gone on for so long that its request cannot be one that crashes endpoints. Not
// thread safe.
class AnswerProof {
public:
    bool hasBegun() const { return m_begunAt.has_value(); }

    // More of the answer arrived. Returns whether this shows that the request is harmless: from some seconds after the
    // beginning, and then once a second.
    bool noteData(MonotonicTime now)
    {
        if (!m_begunAt)
            m_begunAt = now;
        if (now - *m_begunAt < longAnswer || (m_provenAt && now - *m_provenAt < interval))
            return false;
        m_provenAt = now;
        return true;
    }

private:
    static constexpr Duration longAnswer = std::chrono::seconds(5);
    static constexpr Duration interval = std::chrono::seconds(1);

    std::optional<MonotonicTime> m_begunAt;
    std::optional<MonotonicTime> m_provenAt;
};

} // namespace Catkinwell
