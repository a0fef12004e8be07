/// \file
/// The HTTP client task: one request, one outcome, on a connection of its
/// own or on a kept one that no other request uses at the time.
#pragma once

#include "chicorydrum/transport/event_loop.hpp"
#include "chicorydrum/transport/http.hpp"

#include <cstdint>
#include <functional>
#include <memory>

#include <tl/expected.hpp>

namespace chicorydrum::transport
{

/// What is known of a request that got no whole response.
enum class client_error
{
    /// Nothing was sent: the other side cannot have acted on it.
    not_sent,
    /// It was sent, at least in part; the other side may have acted on it.
    no_response,
    /// It was sent, and no whole response came within the timeout.
    timed_out,
};

std::string_view name_of(client_error error);

struct client_request
{
    std::string address;
    int port = 0;
    http_method method = http_method::get;
    std::string path;
    /// The Host header; the address and port if empty. Only for requests with
    /// a connection of their own.
    std::string host = {};
    std::vector<http_header> headers;
    std::string body;
    support::milliseconds timeout{1000};
};

using client_outcome = tl::expected<http_response, client_error>;

struct http_client_options
{
    event_loop& loop;
    std::size_t max_response_bytes = 64U << 20U;
    /// Connections that are kept open for each server; a request beyond them
    /// gets a connection of its own. No request ever waits for another one's
    /// response.
    std::size_t max_pooled_connections = 0;
    /// How long an idle connection is kept.
    support::seconds idle_timeout{60};
    /// Response headers that are copied into http_response::headers.
    std::vector<std::string> captured_headers = {};
};

class http_client
{
public:
    explicit http_client(http_client_options options);
    ~http_client();

    /// Sends \p request and runs \p on_outcome exactly once, never before
    /// send() returns.
    void send(client_request request,
              std::function<void(client_outcome)> on_outcome);

    std::size_t open_requests() const;

    struct state;

private:
    std::unique_ptr<state> owned_state;
};

} // namespace chicorydrum::transport
