#pragma once

#include <catkinwell/admin/AdminCredential.h>
#include <catkinwell/core/Clock.h>
#include <catkinwell/reducer/Effect.h>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Catkinwell {

// Returns whether the credential may do what the role stands for. Every role may read.
bool mayAct(const AdminCredential&, AdminRole);

// Finds the credential of a presented token and limits the work and log lines that
// failures cause. Not thread safe.
class AdminAuthenticator {
public:
    AdminAuthenticator(std::vector<AdminCredential>, std::uint32_t maximumFailures, Duration window);

    // Returns nullptr if no credential has this digest. Compares with every
    // credential in constant time.
    const AdminCredential* find(std::string_view keyDigest) const;

    // Counts a failure; returns false if there were too many in this window. Logs those within the limit.
    bool countFailure(MonotonicTime now, std::string_view path, EffectList& effects);

private:
    std::vector<AdminCredential> m_credentials;
    std::uint32_t m_maximumFailures;
    Duration m_window;
    MonotonicTime m_windowStart {};
    std::uint32_t m_failures = 0;
};

} // namespace Catkinwell
