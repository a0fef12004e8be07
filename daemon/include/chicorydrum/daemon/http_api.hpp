/// \file
/// The HTTP API for callers and operators. It turns requests into events for
/// the dispatcher.
#pragma once

#include "chicorydrum/daemon/metrics.hpp"
#include "chicorydrum/daemon/peer_links.hpp"
#include "chicorydrum/daemon/platform_client.hpp"
#include "chicorydrum/decision/dispatcher.hpp"
#include "chicorydrum/schema/generated/settings_types.h"
#include "chicorydrum/transport/http_server.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicorydrum::daemon
{

struct http_api_options
{
    transport::event_loop& loop;
    const schema::settings& settings;
    const decision::dispatcher& dispatcher;
    const peer_links& peers;
    platform_client& platform;
    std::function<void(decision::event)> on_event;
    std::function<transport_counts()> counts;
};

/// Translates between HTTP and the dispatcher's events and actions; it makes
/// no decisions.
class http_api
{
public:
    explicit http_api(http_api_options opts);

    /// Sends \p result to the caller that waits for it.
    void answer(decision::call_id call, const schema::answer& result);

    std::size_t open_exchanges() const
    {
        return this->server.open_exchanges();
    }

private:
    using handler = void (http_api::*)(transport::exchange_id,
                                       const transport::http_request&,
                                       const std::string& rest);

    /// Maps a method and path to a handler. A path that ends in a slash is a
    /// prefix; the handler gets what follows it as \p rest.
    struct route
    {
        transport::http_method method;
        std::string_view path;
        handler handle;
    };

    static const std::vector<route>& routes();
    void dispatch(transport::exchange_id id,
                  const transport::http_request& request);

    void get_home(transport::exchange_id id, const transport::http_request&,
                  const std::string& rest);
    void put_job(transport::exchange_id id, const transport::http_request&,
                 const std::string& rest);
    void get_job(transport::exchange_id id, const transport::http_request&,
                 const std::string& rest);
    void delete_job(transport::exchange_id id, const transport::http_request&,
                    const std::string& rest);
    void post_request(transport::exchange_id id, const transport::http_request&,
                      const std::string& rest);
    void get_healthz(transport::exchange_id id, const transport::http_request&,
                     const std::string& rest);
    void get_readyz(transport::exchange_id id, const transport::http_request&,
                    const std::string& rest);
    void get_metrics(transport::exchange_id id, const transport::http_request&,
                     const std::string& rest);
    void get_hosts(transport::exchange_id id, const transport::http_request&,
                   const std::string& rest);
    void get_endpoints(transport::exchange_id id,
                       const transport::http_request&, const std::string& rest);
    void get_trace(transport::exchange_id id, const transport::http_request&,
                   const std::string& rest);
    void post_drain(transport::exchange_id id, const transport::http_request&,
                    const std::string& rest);
    void get_bundle(transport::exchange_id id, const transport::http_request&,
                    const std::string& rest);
    void get_bundle_history(transport::exchange_id id,
                            const transport::http_request&,
                            const std::string& rest);
    void post_bundle_check(transport::exchange_id id,
                           const transport::http_request&,
                           const std::string& rest);
    void post_bundle_propose(transport::exchange_id id,
                             const transport::http_request&,
                             const std::string& rest);
    void post_bundle_sign_off(transport::exchange_id id,
                              const transport::http_request&,
                              const std::string& rest);
    void post_bundle_roll(transport::exchange_id id,
                          const transport::http_request&,
                          const std::string& rest);

    void submit(transport::exchange_id id, schema::submission work);
    void collect_history(transport::exchange_id id, std::int64_t version,
                         std::string lines, int rows_left);
    /// Returns a callback that responds with the outcome of an operator's step.
    decision::bundle_step_hook step_callback(transport::exchange_id id);
    void respond_json(transport::exchange_id id, int status, std::string body);
    void respond_error(transport::exchange_id id, support::error_kind kind,
                       const std::string& detail, bool close = false);

    http_api_options options;
    transport::http_server server;
    metrics host_metrics;
    std::unordered_map<transport::exchange_id, support::instant> arrivals;
    std::int64_t next_roll = 1;
};

} // namespace chicorydrum::daemon
