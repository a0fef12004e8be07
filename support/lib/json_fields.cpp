#include "chicorydrum/support/json_fields.hpp"

#include "chicorydrum/support/utf8.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace chicorydrum::support
{

namespace
{

using nlohmann::json;

/// Maximum nesting of a document.
constexpr std::size_t max_nesting = 32;

/// Leaves out values that are nested too deeply.
bool is_kept(int depth, json::parse_event_t /*event*/, json& /*parsed*/)
{
    return static_cast<std::size_t>(depth) < max_nesting;
}

/// Returns the code unit of an escape \uXXXX at the start of \p text.
std::optional<unsigned> escaped_unit(std::string_view text)
{
    constexpr std::size_t length = 6;
    if (text.size() < length || !text.starts_with("\\u"))
        return std::nullopt;
    unsigned unit = 0;
    const char* const end = text.data() + length;
    const auto parsed = std::from_chars(text.data() + 2, end, unit, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return unit;
}

bool is_high_surrogate(unsigned unit)
{
    return unit >= 0xd800 && unit <= 0xdbff;
}

bool is_low_surrogate(unsigned unit)
{
    return unit >= 0xdc00 && unit <= 0xdfff;
}

/// Returns the length of the character or escape at the start of \p text, which
/// is inside a string; 0 if it is not Unicode.
std::size_t string_item_length(std::string_view text)
{
    constexpr std::size_t escape_length = 6;
    if (const auto unit = escaped_unit(text))
    {
        if (is_low_surrogate(*unit))
            return 0;
        if (!is_high_surrogate(*unit))
            return escape_length;
        const auto next = escaped_unit(text.substr(escape_length));
        return next && is_low_surrogate(*next) ? 2 * escape_length : 0;
    }
    if (text.front() == '\\')
        return std::min<std::size_t>(2, text.size());
    const bool is_control = static_cast<unsigned char>(text.front()) < 0x20;
    return is_control ? 0 : support::utf8_sequence_length(text);
}

/// Returns the length of the number at the start of \p text; 0 if it has none.
std::size_t number_length(std::string_view text)
{
    if (text.front() != '-' && (text.front() < '0' || text.front() > '9'))
        return 0;
    return std::min(text.find_first_not_of("+-.0123456789eE"), text.size());
}

/// Returns whether a double can hold \p number, as the parser requires.
bool is_in_range(std::string_view number)
{
    double value = 0;
    return std::from_chars(number.data(), number.data() + number.size(), value)
               .ec != std::errc::result_out_of_range;
}

} // namespace

bool is_nested_too_deeply(std::string_view text)
{
    std::size_t depth = 0;
    bool is_in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char c = text[i];
        if (is_in_string)
        {
            if (c == '\\')
                ++i;
            else if (c == '"')
                is_in_string = false;
        }
        else if (c == '"')
            is_in_string = true;
        else if (c == '[' || c == '{')
            ++depth;
        else if ((c == ']' || c == '}') && depth > 0)
            --depth;
        if (depth > max_nesting)
            return true;
    }
    return false;
}

json parse_json(std::string_view text)
{
    // The parser's callback costs time for each value.
    if (is_nested_too_deeply(text))
        return json::parse(text, is_kept, false);
    return json::parse(text, nullptr, false);
}

std::string repair_json(std::string_view text)
{
    constexpr const char* replacement = "\\ufffd";
    constexpr std::size_t escape_length = 6;
    std::string repaired;
    repaired.reserve(text.size());
    bool is_in_string = false;
    while (!text.empty())
    {
        std::size_t length = 1;
        if (is_in_string && text.front() != '"')
        {
            length = string_item_length(text);
            if (length == 0)
            {
                repaired += replacement;
                text.remove_prefix(escaped_unit(text) ? escape_length : 1);
                continue;
            }
        }
        else if (text.front() == '"')
            is_in_string = !is_in_string;
        else if (const std::size_t digits = number_length(text);
                 !is_in_string && digits > 0)
        {
            length = digits;
            if (!is_in_range(text.substr(0, length)))
            {
                repaired += "null";
                text.remove_prefix(length);
                continue;
            }
        }
        repaired += text.substr(0, length);
        text.remove_prefix(length);
    }
    return repaired;
}

json parse_repaired_json(std::string_view text)
{
    json parsed = parse_json(text);
    if (parsed.is_discarded())
        parsed = parse_json(repair_json(text));
    return parsed;
}

json parse_json_object(std::string_view text)
{
    json parsed = parse_json(text);
    if (!parsed.is_object())
        return json::object();
    return parsed;
}

} // namespace chicorydrum::support
