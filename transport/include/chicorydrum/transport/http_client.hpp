/// \file
/// An asynchronous HTTP client. Each request has exactly one outcome and uses a
/// dedicated connection or an idle pooled one; requests are never pipelined.
#pragma once

#include "chicorydrum/transport/event_loop.hpp"
#include "chicorydrum/transport/http.hpp"

#include <cstdint>
#include <functional>
#include <memory>

#include <tl/expected.hpp>

namespace chicorydrum::transport
{

/// How far a request got that has no complete response.
enum class client_error
{
    /// Nothing was sent, so the server cannot have acted on it.
    not_sent,
    /// At least a part was sent; the server may have acted on it.
    no_response,
    /// At least a part was sent, and no complete response arrived in time.
    timed_out,
};

std::string_view name_of(client_error error);

struct client_request
{
    std::string address;
    int port = 0;
    http_method method = http_method::get;
    std::string path;
    /// The Host header; ADDRESS:PORT if empty. Ignored on pooled connections.
    std::string host = {};
    std::vector<http_header> headers;
    std::string body;
    support::milliseconds timeout{1000};
    /// Sends nothing if a connection to the server is found closed: another
    /// process may answer at its address by now.
    bool needs_same_server = false;
};

using client_outcome = tl::expected<http_response, client_error>;

struct http_client_options
{
    event_loop& loop;
    std::size_t max_response_bytes = 64U << 20U;
    /// Maximum number of pooled connections for each server. A request that
    /// finds them all in use gets a dedicated connection instead of waiting.
    std::size_t max_pooled_connections = 0;
    /// How long an idle pooled connection stays open.
    support::seconds idle_timeout{60};
    /// Response headers that are copied into http_response::headers.
    std::vector<std::string> captured_headers = {};
    /// Called when an idle pooled connection was closed by its server. Requests
    /// that use a connection when it closes have an outcome that says so.
    std::function<void(const std::string& address, int port)> on_idle_closed =
        {};
};

class http_client
{
public:
    explicit http_client(http_client_options options);
    ~http_client();

    /// Sends \p request. Calls \p on_outcome exactly once, never before send()
    /// returns.
    void send(client_request request,
              std::function<void(client_outcome)> on_outcome);

    std::size_t open_requests() const;

    struct state;

private:
    std::unique_ptr<state> owned_state;
};

} // namespace chicorydrum::transport
