#include "field_table.hpp"

#include "chicorydrum/schema/field_table.hpp"

#include <cassert>

#include <nlohmann/json.hpp>

namespace chicorydrum::support
{

namespace
{

using nlohmann::json;

field_type parse_field_type(const std::string& type_id)
{
    if (type_id == "bool")
        return field_type::boolean;
    if (type_id == "i32")
        return field_type::i32;
    if (type_id == "i64")
        return field_type::i64;
    if (type_id == "double")
        return field_type::number;
    if (type_id == "struct")
        return field_type::structure;
    if (type_id == "list")
        return field_type::list_of_structures;
    assert(type_id == "string" && "settings schema uses an unknown type");
    return field_type::text;
}

std::optional<double> parse_bound(const json& annotations, const char* name)
{
    if (!annotations.contains(name))
        return std::nullopt;
    return std::stod(annotations[name].get<std::string>());
}

field_entry make_entry(const json& field)
{
    field_entry entry;
    entry.name = field["name"];
    entry.id = field["key"];
    entry.type = parse_field_type(field["typeId"]);
    entry.required = field["required"] == "required";
    if (entry.type == field_type::structure)
        entry.struct_name = field["type"]["class"];
    if (entry.type == field_type::list_of_structures)
        entry.struct_name = field["type"]["elemType"]["class"];
    const json annotations = field.value("annotations", json::object());
    entry.unit = annotations.value("unit", "");
    entry.pattern = annotations.value("pattern", "");
    entry.min = parse_bound(annotations, "min");
    entry.max = parse_bound(annotations, "max");
    return entry;
}

std::map<std::string, struct_fields> build_table()
{
    std::map<std::string, struct_fields> table;
    const json parsed = json::parse(schema::settings_schema_json);
    for (const json& structure : parsed["structs"])
    {
        struct_fields& fields = table[structure["name"].get<std::string>()];
        for (const json& field : structure["fields"])
            fields.push_back(make_entry(field));
    }
    return table;
}

std::string format_number(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

std::string describe_range(const field_entry& field)
{
    if (!field.min && !field.max)
        return "";
    std::string text;
    if (field.min && field.max)
        text = format_number(*field.min) + " to " + format_number(*field.max);
    else if (field.min)
        text = "at least " + format_number(*field.min);
    else
        text = "at most " + format_number(*field.max);
    return field.unit.empty() ? text : text + " " + field.unit;
}

} // namespace

const struct_fields& fields_of(const std::string& struct_name)
{
    static const std::map<std::string, struct_fields> table = build_table();
    const auto found = table.find(struct_name);
    assert(found != table.end() && "no such struct in the settings schema");
    return found->second;
}

std::string describe_allowed(const field_entry& field)
{
    const std::string range = describe_range(field);
    switch (field.type)
    {
    case field_type::boolean:
        return "true or false";
    case field_type::i32:
    case field_type::i64:
        return "a whole number, " + range;
    case field_type::number:
        return "a number, " + range;
    case field_type::text:
        if (field.pattern == "ip")
            return "an IP number such as 127.0.0.1";
        if (field.pattern == "socket")
            return "an IP number and a port, as ADDRESS:PORT";
        if (field.pattern == "level")
            return "debug, info, warning or error";
        return "text of " + range + " characters of a-z 0-9 -";
    case field_type::structure:
        return "a mapping";
    case field_type::list_of_structures:
        return "a list of " + range + " mappings";
    }
    return "";
}

} // namespace chicorydrum::support
