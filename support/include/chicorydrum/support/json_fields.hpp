/// \file
/// Reads fields of JSON that somebody else wrote, without exceptions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace chicorydrum::support
{

/// \p text as a JSON object; empty if it is none.
inline nlohmann::json parse_json_object(std::string_view text)
{
    nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json::object();
}

/// The string at \p name, or empty if there is none.
inline std::string text_field(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    const bool is_text = found != object.end() && found->is_string();
    return is_text ? found->get<std::string>() : std::string();
}

/// The whole number at \p name, or 0 if there is none.
inline std::int64_t integer_field(const nlohmann::json& object,
                                  const char* name)
{
    const auto found = object.find(name);
    const bool is_integer = found != object.end() && found->is_number_integer();
    return is_integer ? found->get<std::int64_t>() : 0;
}

} // namespace chicorydrum::support
