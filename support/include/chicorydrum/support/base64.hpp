/// \file
/// Base64 as the platform's store uses it: padded, without line breaks.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace chicorydrum::support
{

std::string encode_base64(std::string_view bytes);

/// Returns nothing if \p text is not base64.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace chicorydrum::support
