/// \file
/// Reads fields of untrusted JSON without exceptions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace chicorydrum::support
{

/// Returns whether arrays and objects in \p text are nested too deeply for the
/// recursive functions of the JSON library. Also holds for the part of a
/// malformed text that a parser reads.
bool is_nested_too_deeply(std::string_view text);

/// Parses \p text without the values that are nested too deeply, so that one of
/// them does not hide the others. Returns a discarded value if it is not JSON.
nlohmann::json parse_json(std::string_view text);

/// Replaces what is not Unicode in strings by U+FFFD and numbers that are too
/// large by null, so that one entry does not make a whole list unreadable.
std::string repair_json(std::string_view text);

/// Parses \p text; repairs it first if it is not JSON.
nlohmann::json parse_repaired_json(std::string_view text);

/// Parses \p text as a JSON object; returns an empty object if it is not one.
nlohmann::json parse_json_object(std::string_view text);

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
