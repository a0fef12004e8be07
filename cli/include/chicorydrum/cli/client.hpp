/// \file
/// A blocking HTTP client for the command line, over the transport's loop.
#pragma once

#include "chicorydrum/support/error.hpp"
#include "chicorydrum/transport/http_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace chicorydrum::cli
{

/// Where an entry host's HTTP listener answers.
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
    explicit client(std::vector<host_address> entry_hosts);

    /// One exchange with one host. While it waits, \p on_wait runs twice a
    /// second if it is given.
    transport::client_outcome
    exchange(const host_address& host, transport::http_method method,
             const std::string& path, const std::string& body,
             support::milliseconds timeout,
             const std::function<void()>& on_wait = {});

    /// Tries the hosts in turn until one answers. Only for requests that may
    /// be repeated: reads, and writes that an id or a digest protects.
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
