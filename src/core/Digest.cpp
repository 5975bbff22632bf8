#include <catkinwell/core/Digest.h>

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>
#include <vector>
#include <xxhash.h>

namespace Catkinwell {

namespace {

    std::string hexOf(const unsigned char* bytes, std::size_t size)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        text.reserve(size * 2);
        for (std::size_t i = 0; i < size; ++i) {
            text.push_back(digits[bytes[i] >> 4]);
            text.push_back(digits[bytes[i] & 0xf]);
        }
        return text;
    }

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return hexOf(digest.data(), size);
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(data.data()),
        data.size(), digest.data(), &size);
    return { reinterpret_cast<const char*>(digest.data()), size };
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t stableHash(std::string_view data) { return XXH3_64bits(data.data(), data.size()); }

std::string randomHex(std::size_t count)
{
    std::vector<unsigned char> bytes(count);
    if (RAND_bytes(bytes.data(), static_cast<int>(count)) != 1)
        throw std::runtime_error("the operating system's random generator failed; check /dev/urandom");
    return hexOf(bytes.data(), bytes.size());
}

} // namespace Catkinwell
