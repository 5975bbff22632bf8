#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Catkinwell {

// Returns the SHA-256 digest of the data as 64 lower-case hexadecimal digits. Thread safe.
std::string sha256Hex(std::string_view data);

// Returns the HMAC-SHA-256 of the data under the key as 32 raw bytes. Thread safe.
std::string hmacSha256(std::string_view key, std::string_view data);

// Compares two strings in time that depends only on their lengths. Thread safe.
bool equalInConstantTime(std::string_view, std::string_view);

// Returns a 64-bit non-cryptographic hash (XXH3), stable across hosts and versions. Thread safe.
std::uint64_t stableHash(std::string_view data);

// Returns count bytes of the operating system's random generator as hexadecimal digits. Thread safe.
std::string randomHex(std::size_t count);

} // namespace Catkinwell
