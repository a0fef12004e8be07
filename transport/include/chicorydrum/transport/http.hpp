/// \file
/// HTTP requests and responses, independent of the transport library.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorydrum::transport
{

enum class http_method
{
    get,
    put,
    post,
    del,
    other,
};

std::string_view name_of(http_method method);

struct http_header
{
    /// Lower case, without the colon.
    std::string name;
    std::string value;
};

struct http_request
{
    http_method method = http_method::get;
    /// As normalized_path() returns it.
    std::string path;
    std::string body = {};
    /// The query string, without the question mark.
    std::string query = {};
    /// The Host header, as normalized_host() returns it.
    std::string host = {};
    /// The headers of http_server_options::captured_headers that are present.
    std::vector<http_header> headers = {};
    /// How long ago its last bytes arrived, as far as the kernel tells: a
    /// process that was stopped or busy reads them late.
    support::milliseconds waited{0};
};

/// Returns the form in which names of hosts are compared: in lower case,
/// without a port, without the dot of the root and without blanks around it.
std::string normalized_host(std::string_view host);

/// Returns the form in which the server delivers \p path: escapes and plus
/// signs are decoded, repeated slashes are one, and "." and ".." are resolved.
std::string normalized_path(std::string_view path);

/// Returns the value of the header \p name without blanks around it, or an
/// empty string.
std::string_view find_header(const std::vector<http_header>& headers,
                             std::string_view name);

struct http_response
{
    int status = 200;
    std::string content_type = "application/json";
    std::vector<http_header> headers = {};
    std::string body = {};
    /// Closes the connection after the response.
    bool close = false;
};

} // namespace chicorydrum::transport
