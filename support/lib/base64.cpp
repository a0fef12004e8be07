#include "chicorydrum/support/base64.hpp"

#include <openssl/evp.h>

namespace chicorydrum::support
{

std::string encode_base64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    // EVP_DecodeBlock() counts the padding as zero bytes.
    const std::size_t padding =
        text.ends_with("==") ? 2U : (text.ends_with("=") ? 1U : 0U);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace chicorydrum::support
