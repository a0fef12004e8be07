/// \file
/// The HTTP client of the platform's service.
#pragma once

#include "chicorydrum/decision/bundle_operator.hpp"
#include "chicorydrum/decision/circuit_breaker.hpp"
#include "chicorydrum/decision/messages.hpp"
#include "chicorydrum/decision/rate_limiter.hpp"
#include "chicorydrum/transport/http_client.hpp"

#include <functional>
#include <string>

namespace chicorydrum::daemon
{

struct platform_client_options
{
    transport::event_loop& loop;
    std::string address;
    int port = 0;
    support::milliseconds request_timeout{1000};
    support::milliseconds poll_interval{1000};
    int writes_per_second = 50;
    int reads_per_second = 100;
    std::uint64_t seed = 0;
    std::function<void(decision::event)> on_event;
};

/// Polls the host list and the bundle, and sends key claims and the steps of
/// operators. Rate limits for reads and writes and a circuit breaker apply to
/// all calls. No request waits for the platform, except one with a bare key,
/// whose owner is claimed in the platform's table.
class platform_client
{
public:
    explicit platform_client(platform_client_options opts);

    void claim(const decision::claim_key& claim);
    void read(const decision::read_key& read);

    /// Returns the interface to the platform for operators' steps.
    decision::bundle_store bundle_store();

    bool is_available() const
    {
        return !this->breaker.is_open();
    }
    std::int64_t reads() const
    {
        return this->read_count;
    }
    std::int64_t writes() const
    {
        return this->write_count;
    }

private:
    using outcome_callback = std::function<void(transport::client_outcome)>;

    void poll();
    void poll_hosts();
    void handle_host_list(const transport::client_outcome& outcome);
    void poll_bundle();
    void fetch_bundle(const decision::accepted_bundle& accepted);
    /// Sends \p request if the rate limits and the circuit breaker allow it;
    /// otherwise calls \p done with not_sent.
    void send(transport::client_request request, const outcome_callback& done);
    transport::client_request make_request(transport::http_method method,
                                           std::string path,
                                           std::string body) const;
    void
    read_row(const std::string& key,
             std::function<void(support::result<decision::table_row>)> done);
    void transact(const std::vector<decision::table_write>& writes,
                  const std::function<void(decision::store_outcome)>& done);

    platform_client_options options;
    transport::http_client http;
    decision::circuit_breaker breaker;
    decision::rate_limiter read_budget;
    decision::rate_limiter write_budget;
    transport::timer poll_timer;
    std::int64_t known_bundle_version = 0;
    /// Revision of the host list that was read last; 0 before the first.
    std::int64_t host_list_revision = 0;
    bool is_fetching_bundle = false;
    std::int64_t read_count = 0;
    std::int64_t write_count = 0;
};

/// Parses the platform's host list; fails with bad_request.
support::result<decision::host_list_read>
parse_host_list(const std::string& text);

} // namespace chicorydrum::daemon
