/// \file
/// The HTTP client that runs attempts on endpoints, as the default adapter.
#pragma once

#include "chicorydrum/decision/messages.hpp"
#include "chicorydrum/transport/http_client.hpp"

#include <functional>
#include <string>

namespace chicorydrum::daemon
{

struct endpoint_client_options
{
    transport::event_loop& loop;
    /// Makes attempt ids unique across hosts and restarts.
    schema::incarnation self;
    std::function<void(decision::attempt_finished)> on_finished;
    std::function<void(decision::attempt_checked)> on_checked;
};

/// Starts attempts with `POST /run`, which carries attempt id, kind and
/// payload. Each attempt uses its own connection, so that an unresponsive
/// connection costs one attempt and no later one.
class endpoint_client
{
public:
    explicit endpoint_client(endpoint_client_options opts);

    void start(const decision::start_attempt& attempt);

    /// Queries an attempt with `GET /attempts/{id}` on a new connection.
    void check(const decision::check_attempt& attempt);

    std::size_t open_attempts() const
    {
        return this->http.open_requests();
    }

private:
    /// Returns the attempt's id on the wire, unique across hosts and restarts.
    std::string wire_id(decision::attempt_id attempt) const;

    endpoint_client_options options;
    transport::http_client http;
};

/// Decodes an endpoint's response to an attempt. 200 with a JSON `result` is
/// success, 503 with `not-run: true` means that the attempt did not start, any
/// other status that it failed.
decision::attempt_finished
read_endpoint_response(decision::attempt_id attempt,
                       const transport::client_outcome& outcome);

/// Decodes an endpoint's response to a query for an attempt's state.
decision::attempt_checked
read_check_response(decision::attempt_id attempt,
                    const transport::client_outcome& outcome);

} // namespace chicorydrum::daemon
