#include "chicorydrum/support/digest.hpp"

#include <array>
#include <charconv>

#include <openssl/evp.h>

namespace chicorydrum::support
{

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned int length = 0;
    EVP_Digest(bytes.data(), bytes.size(), hash.data(), &length, EVP_sha256(),
               nullptr);
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(length * 2UL);
    for (unsigned int i = 0; i < length; ++i)
    {
        text += digits[hash[i] >> 4U];
        text += digits[hash[i] & 0xfU];
    }
    return text;
}

std::string to_hex(std::uint64_t value)
{
    std::array<char, 16> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return {digits.data(), written.ptr};
}

} // namespace chicorydrum::support
