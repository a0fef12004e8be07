/// \file
/// Reads fields of untrusted JSON without exceptions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace chicorydrum::support
{

/// Parses \p text as a JSON object; returns an empty object if it is not one.
inline nlohmann::json parse_json_object(std::string_view text)
{
    nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json::object();
}

/// Returns the string at \p name, or an empty string if there is none.
inline std::string text_field(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    const bool is_text = found != object.end() && found->is_string();
    return is_text ? found->get<std::string>() : std::string();
}

/// Returns the integer at \p name, or 0 if there is none.
inline std::int64_t integer_field(const nlohmann::json& object,
                                  const char* name)
{
    const auto found = object.find(name);
    const bool is_integer = found != object.end() && found->is_number_integer();
    return is_integer ? found->get<std::int64_t>() : 0;
}

} // namespace chicorydrum::support
