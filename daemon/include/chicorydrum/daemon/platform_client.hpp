/// \file
/// The task that talks to the platform's service.
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

/// Reads the host list and the bundle at an interval, and carries claims and
/// operators' steps. Calls stay within read and write budgets and a circuit
/// breaker; nothing on the path of a request waits here, bare keys aside.
class platform_client
{
public:
    explicit platform_client(platform_client_options given);

    void claim(const decision::claim_key& claim);
    void read(const decision::read_key& read);

    /// The platform as the operators' steps see it.
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
    /// Sends \p request within budget and breaker; a request that may not be
    /// sent ends as not_sent.
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

/// The platform's host list as JSON, or an error that says what is wrong.
support::result<decision::host_list_read>
parse_host_list(const std::string& text);

} // namespace chicorydrum::daemon
