/// \file
/// Validation of UTF-8.
#pragma once

#include <cstddef>
#include <string_view>

namespace chicorydrum::support
{

/// Returns the length of the UTF-8 sequence of one character at the start of
/// \p text; 0 if there is none.
std::size_t utf8_sequence_length(std::string_view text);

bool is_utf8(std::string_view text);

} // namespace chicorydrum::support
