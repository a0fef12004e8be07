#include "chicorydrum/support/json_fields.hpp"

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

json parse_json_object(std::string_view text)
{
    json parsed = parse_json(text);
    if (!parsed.is_object())
        return json::object();
    return parsed;
}

} // namespace chicorydrum::support
