/// \file
/// The HTTP listener task: owns its sockets, hands over whole requests and
/// takes whole responses.
#pragma once

#include "chicorydrum/transport/event_loop.hpp"
#include "chicorydrum/transport/http.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace chicorydrum::transport
{

/// One request that waits for its response.
using exchange_id = std::uint64_t;

/// Why the server itself turned a request away.
enum class rejection
{
    too_large,
    too_slow,
    too_many_connections,
    /// The first line is no HTTP request line with a known method.
    not_http,
};

struct http_server_options
{
    event_loop& loop;
    std::string address;
    int port = 0;
    std::size_t max_body_bytes = 8U << 20U;
    /// Requests that may be open at once; idle connections do not count.
    unsigned max_connections = 2000;
    support::milliseconds receive_timeout{10000};
    /// Request headers, in lower case, that are copied into
    /// http_request::headers.
    std::vector<std::string> captured_headers = {};
    /// A whole request arrived; respond() is due, now or later.
    std::function<void(exchange_id, http_request)> on_request;
    /// The caller went away before its response.
    std::function<void(exchange_id)> on_abandoned = {};
    /// The response for a request that the server turns away.
    std::function<http_response(rejection)> on_rejected;
};

class http_server
{
public:
    /// Listens at once; throws std::runtime_error if it cannot.
    explicit http_server(http_server_options options);
    ~http_server();

    /// Sends \p response; an id whose caller is gone is ignored.
    void respond(exchange_id id, http_response response);

    /// Closes each connection after its next response from now on.
    void close_after_responses();

    /// Responses that are due or not yet fully sent.
    std::size_t open_exchanges() const;

    /// Connections that callers have opened so far.
    std::int64_t connections_accepted() const;

    struct state;

private:
    std::unique_ptr<state> owned_state;
};

} // namespace chicorydrum::transport
