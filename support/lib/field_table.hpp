/// \file
/// The settings schema as a table that the YAML reader walks.
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

/// One field of a settings struct, with what the schema allows in it.
struct field_entry
{
    std::string name;
    int id = 0;
    field_type type = field_type::text;
    bool required = false;
    /// The struct's name, for structures and lists of them.
    std::string struct_name;
    std::string unit;
    /// The name of a character class for text: name, ip or level.
    std::string pattern;
    /// Bounds of a number's value, or of the length of text and lists.
    std::optional<double> min;
    std::optional<double> max;
};

using struct_fields = std::vector<field_entry>;

/// The fields of the struct called \p struct_name in the settings schema.
const struct_fields& fields_of(const std::string& struct_name);

/// What is allowed in \p field, for an error line.
std::string describe_allowed(const field_entry& field);

} // namespace chicorydrum::support
