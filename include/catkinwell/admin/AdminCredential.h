#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Catkinwell {

enum class AdminRole {
    // Reads everything.
    Read,
    // Reads everything and changes everything except keys.
    Operate,
    // Reads everything, grants and removes keys.
    GrantKeys,
};

std::string_view nameOf(AdminRole);

// Who may use the administration API. Comes from the process settings.
struct AdminCredential {
    // Appears in the audit list.
    std::string name;
    // SHA-256 of the bearer token in lower-case hexadecimal digits.
    std::string sha256Hex;
    std::vector<AdminRole> roles;
};

} // namespace Catkinwell
