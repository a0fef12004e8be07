/// \file
/// A blocking HTTP client for the command line, based on
/// transport::http_client.
#pragma once

#include "chicorydrum/support/error.hpp"
#include "chicorydrum/transport/http_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace chicorydrum::cli
{

/// The address of an entry host's HTTP listener.
struct host_address
{
    std::string address;
    int port = 0;
};

/// Parses `IP:PORT`.
support::result<host_address> parse_host_address(const std::string& text);

class client
{
public:
    explicit client(std::vector<host_address> addresses);

    /// Sends one request to \p host and waits for the response. Meanwhile calls
    /// \p on_wait, if set, twice a second.
    transport::client_outcome
    exchange(const host_address& host, transport::http_method method,
             const std::string& path, const std::string& body,
             support::milliseconds timeout,
             const std::function<void()>& on_wait = {});

    /// Tries the hosts in turn until one answers. Only for idempotent requests:
    /// reads, and writes that carry an id or a digest.
    transport::client_outcome
    exchange_with_any_host(transport::http_method method,
                           const std::string& path, const std::string& body,
                           support::milliseconds timeout,
                           const std::function<void()>& on_wait = {});

    const std::vector<host_address>& hosts() const
    {
        return this->entry_hosts;
    }

private:
    std::vector<host_address> entry_hosts;
    std::size_t next_host = 0;
    transport::event_loop loop;
    transport::http_client http;
};

} // namespace chicorydrum::cli
