/// \file
/// The settings schema as a table for the YAML reader.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorydrum::support
{

enum class field_type
{
    boolean,
    i32,
    i64,
    number,
    text,
    structure,
    list_of_structures,
};

/// One field of a settings struct and its allowed values.
struct field_entry
{
    std::string name;
    int id = 0;
    field_type type = field_type::text;
    bool required = false;
    /// The name of the struct, for structures and lists of structures.
    std::string struct_name;
    std::string unit;
    /// The format of a text: name, ip, socket or level.
    std::string pattern;
    /// Bounds of a number, or of the length of a text or list.
    std::optional<double> min;
    std::optional<double> max;
};

using struct_fields = std::vector<field_entry>;

/// Returns the fields of \p struct_name in the settings schema.
const struct_fields& fields_of(const std::string& struct_name);

/// Describes the allowed values of \p field for an error message.
std::string describe_allowed(const field_entry& field);

} // namespace chicorydrum::support
