#pragma once

#include <catkinwell/admin/AdminCredential.h>
#include <catkinwell/core/Clock.h>
#include <catkinwell/reducer/Effect.h>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Catkinwell {

// Returns whether the credential has the role. Every role includes Read.
bool isPermitted(const AdminCredential&, AdminRole);

// Finds the credential that matches a token, and limits the rate of logged authentication
// failures. Not thread safe.
class AdminAuthenticator {
public:
    AdminAuthenticator(std::vector<AdminCredential>, std::uint32_t maximumFailures, Duration window);

    // Returns nullptr if no credential has this digest. Compares it with the digest of every credential
    // in constant time.
    const AdminCredential* find(std::string_view keyDigest) const;

    // Counts a failure and logs it while the limit of this window is not exceeded; returns false once it is.
    bool countFailure(MonotonicTime now, std::string_view path, EffectList& effects);

private:
    std::vector<AdminCredential> m_credentials;
    std::uint32_t m_maximumFailures;
    Duration m_window;
    MonotonicTime m_windowStart {};
    std::uint32_t m_failures = 0;
};

} // namespace Catkinwell
