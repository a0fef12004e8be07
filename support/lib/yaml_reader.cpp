/// \file
/// Transcodes YAML into Thrift's binary protocol with the help of the field
/// table; the generated code then reads the struct.
#include "chicorydrum/support/yaml_reader.hpp"

#include "field_table.hpp"

#include "chicorydrum/support/ids.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <set>

#include <arpa/inet.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <yaml-cpp/yaml.h>

namespace chicorydrum::support
{

namespace
{

using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;

/// Thrown and caught only in this file; holds the complete one-line message.
struct invalid_document
{
    std::string line;
};

class transcoder
{
public:
    transcoder(std::string_view source_name, TBinaryProtocol& target)
        : source(source_name), output(target)
    {
    }

    void write_struct(const YAML::Node& node, const std::string& struct_name,
                      const std::string& path);

private:
    [[noreturn]] void reject(const YAML::Node& node, const std::string& key,
                             const std::string& problem) const;
    void check_keys(const YAML::Node& node, const struct_fields& fields,
                    const std::string& path) const;
    void write_field(const YAML::Node& value, const field_entry& field,
                     const std::string& path);
    void write_list(const YAML::Node& value, const field_entry& field,
                    const std::string& path);
    std::string checked_text(const YAML::Node& value, const field_entry& field,
                             const std::string& path) const;
    double checked_number(const YAML::Node& value, const field_entry& field,
                          const std::string& path) const;

    std::string source;
    TBinaryProtocol& output;
};

void transcoder::reject(const YAML::Node& node, const std::string& key,
                        const std::string& problem) const
{
    const int line = node.Mark().line + 1;
    throw invalid_document{this->source + ":" + std::to_string(line) +
                           ": key '" + key + "': " + problem};
}

void transcoder::check_keys(const YAML::Node& node, const struct_fields& fields,
                            const std::string& path) const
{
    std::set<std::string> seen;
    for (const auto& item : node)
    {
        const auto key = item.first.as<std::string>("");
        const bool known = std::any_of(fields.begin(), fields.end(),
                                       [&key](const field_entry& field)
                                       { return field.name == key; });
        if (!known)
        {
            std::string allowed;
            for (const field_entry& field : fields)
                allowed += (allowed.empty() ? "" : ", ") + field.name;
            this->reject(item.first, path + key,
                         "unknown key; allowed here: " + allowed);
        }
        if (!seen.insert(key).second)
            this->reject(item.first, path + key, "given twice");
    }
}

TType wire_type(field_type type)
{
    switch (type)
    {
    case field_type::boolean:
        return apache::thrift::protocol::T_BOOL;
    case field_type::i32:
        return apache::thrift::protocol::T_I32;
    case field_type::i64:
        return apache::thrift::protocol::T_I64;
    case field_type::number:
        return apache::thrift::protocol::T_DOUBLE;
    case field_type::text:
        return apache::thrift::protocol::T_STRING;
    case field_type::structure:
        return apache::thrift::protocol::T_STRUCT;
    case field_type::list_of_structures:
        return apache::thrift::protocol::T_LIST;
    }
    return apache::thrift::protocol::T_STOP;
}

void transcoder::write_struct(const YAML::Node& node,
                              const std::string& struct_name,
                              const std::string& path)
{
    if (!node.IsMap())
        this->reject(node, path.empty() ? "(document)" : path,
                     "allowed: a mapping");
    const std::string prefix = path.empty() ? "" : path + ".";
    const struct_fields& fields = fields_of(struct_name);
    this->check_keys(node, fields, prefix);
    this->output.writeStructBegin(struct_name.c_str());
    for (const field_entry& field : fields)
    {
        const YAML::Node value = node[field.name];
        if (!value.IsDefined())
        {
            if (field.required)
                this->reject(node, prefix + field.name,
                             "missing; allowed: " + describe_allowed(field));
            continue;
        }
        this->output.writeFieldBegin(field.name.c_str(), wire_type(field.type),
                                     static_cast<std::int16_t>(field.id));
        this->write_field(value, field, prefix + field.name);
        this->output.writeFieldEnd();
    }
    this->output.writeFieldStop();
    this->output.writeStructEnd();
}

void transcoder::write_field(const YAML::Node& value, const field_entry& field,
                             const std::string& path)
{
    switch (field.type)
    {
    case field_type::boolean:
    {
        bool parsed = false;
        if (!value.IsScalar() || !YAML::convert<bool>::decode(value, parsed))
            this->reject(value, path, "allowed: " + describe_allowed(field));
        this->output.writeBool(parsed);
        return;
    }
    case field_type::i32:
        this->output.writeI32(static_cast<std::int32_t>(
            this->checked_number(value, field, path)));
        return;
    case field_type::i64:
        this->output.writeI64(static_cast<std::int64_t>(
            this->checked_number(value, field, path)));
        return;
    case field_type::number:
        this->output.writeDouble(this->checked_number(value, field, path));
        return;
    case field_type::text:
        this->output.writeString(this->checked_text(value, field, path));
        return;
    case field_type::structure:
        this->write_struct(value, field.struct_name, path);
        return;
    case field_type::list_of_structures:
        this->write_list(value, field, path);
        return;
    }
}

bool is_within(double value, const field_entry& field)
{
    return (!field.min || value >= *field.min) &&
           (!field.max || value <= *field.max);
}

void transcoder::write_list(const YAML::Node& value, const field_entry& field,
                            const std::string& path)
{
    if (!value.IsSequence() ||
        !is_within(static_cast<double>(value.size()), field))
        this->reject(value, path, "allowed: " + describe_allowed(field));
    this->output.writeListBegin(apache::thrift::protocol::T_STRUCT,
                                static_cast<std::uint32_t>(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i)
        this->write_struct(value[i], field.struct_name,
                           path + "[" + std::to_string(i) + "]");
    this->output.writeListEnd();
}

bool matches_pattern(const std::string& text, const field_entry& field)
{
    if (field.pattern == "ip")
        return is_ip_address(text);
    if (field.pattern == "socket")
        return parse_socket_address(text).has_value();
    if (field.pattern == "level")
        return text == "debug" || text == "info" || text == "warning" ||
               text == "error";
    return is_valid_name(text, text.size());
}

std::string transcoder::checked_text(const YAML::Node& value,
                                     const field_entry& field,
                                     const std::string& path) const
{
    const bool usable =
        value.IsScalar() &&
        is_within(static_cast<double>(value.Scalar().size()), field) &&
        matches_pattern(value.Scalar(), field);
    if (!usable)
        this->reject(value, path, "allowed: " + describe_allowed(field));
    return value.Scalar();
}

double transcoder::checked_number(const YAML::Node& value,
                                  const field_entry& field,
                                  const std::string& path) const
{
    double parsed = 0;
    const bool is_number = value.IsScalar() && value.Tag() != "!" &&
                           YAML::convert<double>::decode(value, parsed) &&
                           std::isfinite(parsed);
    const bool must_be_whole = field.type != field_type::number;
    if (!is_number || !is_within(parsed, field) ||
        (must_be_whole && parsed != std::floor(parsed)))
        this->reject(value, path, "allowed: " + describe_allowed(field));
    return parsed;
}

template <typename T>
result<T> read_document(std::string_view text, std::string_view source,
                        const std::string& struct_name)
{
    try
    {
        const YAML::Node document = YAML::Load(std::string(text));
        const auto buffer = std::make_shared<TMemoryBuffer>();
        TBinaryProtocol protocol(buffer);
        transcoder(source, protocol).write_struct(document, struct_name, "");
        T value;
        value.read(&protocol);
        return value;
    }
    catch (const invalid_document& invalid)
    {
        return fail(error_kind::bad_request, invalid.line);
    }
    catch (const YAML::Exception& invalid)
    {
        return fail(error_kind::bad_request,
                    std::string(source) + ":" +
                        std::to_string(invalid.mark.line + 1) + ": " +
                        invalid.msg);
    }
}

/// Returns the first duplicate name in \p rules, or an empty string.
template <typename Rules>
std::string duplicate_name(const Rules& rules)
{
    std::set<std::string> seen;
    for (const auto& rule : rules)
        if (!seen.insert(rule.name).second)
            return rule.name;
    return "";
}

} // namespace

result<schema::settings> read_settings(std::string_view text,
                                       std::string_view source)
{
    return read_document<schema::settings>(text, source, "settings");
}

result<schema::entry_settings> read_entry_settings(std::string_view text,
                                                   std::string_view source)
{
    return read_document<schema::entry_settings>(text, source,
                                                 "entry_settings");
}

result<double> parse_link_rate(const std::string& text)
{
    const auto limits = read_document<schema::host_limits>(
        "link_rate: " + text, "the rate of the link", "host_limits");
    if (!limits)
        return tl::unexpected(limits.error());
    return limits->link_rate;
}

bool is_ip_address(const std::string& text)
{
    in6_addr parsed{};
    // The C functions would ignore what follows a zero byte.
    return text.find('\0') == std::string::npos &&
           (inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
            inet_pton(AF_INET6, text.c_str(), &parsed) == 1);
}

result<socket_address> parse_socket_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return fail(error_kind::bad_request, "no ADDRESS:PORT: " + text);
    const std::string address = text.substr(0, colon);
    const char* const first = text.data() + colon + 1;
    const char* const last = text.data() + text.size();
    constexpr int max_port = 65535;
    int port = 0;
    const auto [end, problem] = std::from_chars(first, last, port);
    const bool is_port =
        problem == std::errc() && end == last && port >= 1 && port <= max_port;
    if (!is_port || !is_ip_address(address))
        return fail(error_kind::bad_request, "no ADDRESS:PORT: " + text);
    return socket_address{.address = address, .port = port};
}

result<schema::bundle> read_bundle(std::string_view text,
                                   std::string_view source)
{
    auto bundle = read_document<schema::bundle>(text, source, "bundle");
    if (!bundle)
        return bundle;
    const std::string kind = duplicate_name(bundle->kinds);
    if (!kind.empty())
        return fail(error_kind::bad_request, std::string(source) + ": kind '" +
                                                 kind + "' is given twice");
    const std::string team = duplicate_name(bundle->teams);
    if (!team.empty())
        return fail(error_kind::bad_request, std::string(source) + ": team '" +
                                                 team + "' is given twice");
    int reserved_percent = 0;
    for (const schema::kind_rule& rule : bundle->kinds)
        reserved_percent += rule.reserved_slots;
    constexpr int max_reserved_percent = 50;
    if (reserved_percent > max_reserved_percent)
        return fail(error_kind::bad_request,
                    std::string(source) +
                        ": reserved_slots of all kinds sum to " +
                        std::to_string(reserved_percent) +
                        " percent; allowed: at most 50");
    return bundle;
}

result<std::string> read_file(const std::string& path, std::size_t max_bytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return fail(error_kind::bad_request, path + ": cannot be read");
    std::string text(max_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_bytes)
        return fail(error_kind::bad_request, path + ": larger than " +
                                                 std::to_string(max_bytes) +
                                                 " bytes");
    return text;
}

} // namespace chicorydrum::support
