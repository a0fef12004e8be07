/// \file
/// Reads YAML into schema structs. Names, types and ranges are checked against
/// the schema.
#pragma once

#include "chicorydrum/schema/generated/settings_types.h"
#include "chicorydrum/support/error.hpp"

#include <string>
#include <string_view>

namespace chicorydrum::support
{

/// Reads \p text as the settings of one process. The detail of an error is one
/// line with \p source, the line number, the key and what is allowed.
result<schema::settings> read_settings(std::string_view text,
                                       std::string_view source);

/// Reads \p text as the settings of an entry host on the platform.
result<schema::entry_settings> read_entry_settings(std::string_view text,
                                                   std::string_view source);

/// Reads \p text as the rate of a host's link in Mbit/s, within the limits of
/// the settings.
result<double> parse_link_rate(const std::string& text);

/// An IP address and a TCP port.
struct socket_address
{
    std::string address;
    int port = 0;
};

/// Returns whether \p text is an IPv4 or IPv6 address and not a host name.
bool is_ip_address(const std::string& text);

/// Parses ADDRESS:PORT; fails with bad_request on anything else.
result<socket_address> parse_socket_address(const std::string& text);

/// Reads \p text as a bundle, including the checks across several fields.
result<schema::bundle> read_bundle(std::string_view text,
                                   std::string_view source);

/// Reads the whole file at \p path, at most \p max_bytes.
result<std::string> read_file(const std::string& path, std::size_t max_bytes);

} // namespace chicorydrum::support
