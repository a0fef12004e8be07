#include "chicorydrum/cli/client.hpp"

#include <charconv>
#include <optional>

namespace chicorydrum::cli
{

support::result<host_address> parse_host_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    host_address parsed;
    if (colon != std::string::npos)
    {
        parsed.address = text.substr(0, colon);
        const char* const end = text.data() + text.size();
        const auto number =
            std::from_chars(text.data() + colon + 1, end, parsed.port);
        constexpr int max_port = 65535;
        if (number.ec == std::errc() && number.ptr == end && parsed.port > 0 &&
            parsed.port <= max_port && !parsed.address.empty())
            return parsed;
    }
    return support::fail(support::error_kind::bad_request,
                         "'" + text + "' is no host; allowed: IP:PORT");
}

client::client(std::vector<host_address> addresses)
    : entry_hosts(std::move(addresses)), loop({.max_connections = 64}),
      http({.loop = this->loop})
{
}

transport::client_outcome client::exchange(const host_address& host,
                                           transport::http_method method,
                                           const std::string& path,
                                           const std::string& body,
                                           support::milliseconds timeout,
                                           const std::function<void()>& on_wait)
{
    std::optional<transport::client_outcome> outcome;
    this->http.send({.address = host.address,
                     .port = host.port,
                     .method = method,
                     .path = path,
                     .headers = {},
                     .body = body,
                     .timeout = timeout},
                    [&outcome](transport::client_outcome result)
                    { outcome = std::move(result); });
    constexpr support::milliseconds wait_interval{500};
    bool is_wait_over = false;
    transport::timer waiting =
        this->loop.make_timer([&is_wait_over] { is_wait_over = true; });
    while (!outcome)
    {
        is_wait_over = false;
        waiting.start(wait_interval);
        this->loop.run_until([&] { return outcome || is_wait_over; });
        // Called outside the loop, since it may run the loop itself.
        if (!outcome && on_wait)
            on_wait();
    }
    return std::move(*outcome);
}

transport::client_outcome
client::exchange_with_any_host(transport::http_method method,
                               const std::string& path, const std::string& body,
                               support::milliseconds timeout,
                               const std::function<void()>& on_wait)
{
    transport::client_outcome outcome =
        tl::unexpected(transport::client_error::not_sent);
    for (std::size_t i = 0; i < this->entry_hosts.size(); ++i)
    {
        const host_address& host =
            this->entry_hosts[this->next_host % this->entry_hosts.size()];
        outcome = this->exchange(host, method, path, body, timeout, on_wait);
        if (outcome)
            return outcome;
        ++this->next_host;
    }
    return outcome;
}

} // namespace chicorydrum::cli
