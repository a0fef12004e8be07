/// \file
/// The settings schema at run time: names, types, units and ranges.
#pragma once

namespace chicorydrum::schema
{

/// The Thrift compiler's JSON description of idl/settings.thrift, including
/// the annotations. The YAML reader derives its field table from it.
extern const char* const settings_schema_json;

} // namespace chicorydrum::schema
