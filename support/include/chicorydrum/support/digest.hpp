/// \file
/// SHA-256 digests and hexadecimal numbers.
#pragma once

#include <string>
#include <string_view>

namespace chicorydrum::support
{

/// Returns the SHA-256 of \p bytes in lower-case hex.
std::string sha256_hex(std::string_view bytes);

/// Returns \p value in lower-case hex without leading zeros.
std::string to_hex(std::uint64_t value);

} // namespace chicorydrum::support
