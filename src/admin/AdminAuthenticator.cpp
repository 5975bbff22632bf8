#include <admin/AdminAuthenticator.h>

#include <algorithm>
#include <catkinwell/core/Digest.h>
#include <catkinwell/core/EnumNames.h>

namespace Catkinwell {

namespace {

    constexpr EnumNames<AdminRole, 3> adminRoleNames { {
        { AdminRole::Read, "read" },
        { AdminRole::Operate, "operate" },
        { AdminRole::GrantKeys, "grant_keys" },
    } };

    constexpr std::size_t maximumLoggedPath = 200;

} // namespace

std::string_view nameOf(AdminRole role) { return adminRoleNames.nameOf(role); }

bool isPermitted(const AdminCredential& credential, AdminRole role)
{
    const auto& roles = credential.roles;
    return role == AdminRole::Read ? !roles.empty() : std::find(roles.begin(), roles.end(), role) != roles.end();
}

AdminAuthenticator::AdminAuthenticator(
    std::vector<AdminCredential> credentials, std::uint32_t maximumFailures, Duration window)
    : m_credentials(std::move(credentials))
    , m_maximumFailures(maximumFailures)
    , m_window(window)
{
}

const AdminCredential* AdminAuthenticator::find(std::string_view keyDigest) const
{
    const AdminCredential* found = nullptr;
    for (const AdminCredential& credential : m_credentials) {
        // A credential with an empty digest must not admit requests without a token.
        if (equalInConstantTime(credential.sha256Hex, keyDigest) && !keyDigest.empty())
            found = &credential;
    }
    return found;
}

bool AdminAuthenticator::countFailure(MonotonicTime now, std::string_view path, EffectList& effects)
{
    if (now - m_windowStart >= m_window) {
        m_windowStart = now;
        m_failures = 0;
    }
    effects.emplace_back(RecordMetric { Metric::AuthenticationFailuresTotal, "admin" });
    if (m_failures >= m_maximumFailures)
        return false;
    ++m_failures;
    effects.emplace_back(LogEntry {
        LogEvent::AdminAuthenticationFailed, { { "path", std::string(path.substr(0, maximumLoggedPath)) } } });
    return true;
}

} // namespace Catkinwell
