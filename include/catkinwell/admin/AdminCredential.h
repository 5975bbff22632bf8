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
    // Reads everything; grants and removes keys.
    GrantKeys,
};

std::string_view nameOf(AdminRole);

// A bearer token of the administration API and its roles, as set in the process settings.
struct AdminCredential {
    // Identifies the operator in the audit log.
    std::string name;
    // SHA-256 of the bearer token in lower-case hexadecimal digits.
    std::string sha256Hex;
    std::vector<AdminRole> roles;
};

} // namespace Catkinwell
