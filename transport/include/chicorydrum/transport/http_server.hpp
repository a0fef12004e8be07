/// \file
/// An HTTP listener that owns its sockets, delivers complete requests and
/// accepts complete responses.
#pragma once

#include "chicorydrum/transport/event_loop.hpp"
#include "chicorydrum/transport/http.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace chicorydrum::transport
{

/// Identifies a request and its response.
using exchange_id = std::uint64_t;

/// Why the server rejected a request without delivering it.
enum class rejection
{
    too_large,
    too_slow,
    too_many_connections,
    /// The first line is not an HTTP request line with a known method.
    not_http,
};

struct http_server_options
{
    event_loop& loop;
    std::string address;
    int port = 0;
    std::size_t max_body_bytes = 8U << 20U;
    /// Maximum number of open requests; idle connections do not count.
    unsigned max_connections = 2000;
    support::milliseconds receive_timeout{10000};
    /// Request headers, in lower case, that are copied into
    /// http_request::headers.
    std::vector<std::string> captured_headers = {};
    /// Called with a complete request, which respond() answers now or later.
    std::function<void(exchange_id, http_request)> on_request;
    /// Called if the caller disconnects before it has a response.
    std::function<void(exchange_id)> on_abandoned = {};
    /// Returns the response to a request that the server rejects.
    std::function<http_response(rejection)> on_rejected;
};

class http_server
{
public:
    /// Starts to listen; throws std::runtime_error on failure.
    explicit http_server(http_server_options options);
    ~http_server();

    /// Sends \p response; does nothing if the caller has disconnected.
    void respond(exchange_id id, http_response response);

    /// Closes each connection after its next response.
    void close_after_responses();

    /// Returns the number of requests whose response is not fully sent yet.
    std::size_t open_exchanges() const;

    /// Returns the number of connections accepted so far.
    std::int64_t connections_accepted() const;

    struct state;

private:
    std::unique_ptr<state> owned_state;
};

} // namespace chicorydrum::transport
