#include "store/Base64.h"

#include <openssl/evp.h>

namespace Catkinwell {

std::string base64Encoded(std::string_view data)
{
    std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(data.data()), static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string base64Decoded(std::string_view text)
{
    if (text.empty() || text.size() % 4 != 0)
        return {};
    std::string data(3 * (text.size() / 4), '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (size < 0)
        return {};
    std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    data.resize(static_cast<std::size_t>(size) - padding);
    return data;
}

} // namespace Catkinwell
