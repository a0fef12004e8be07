#include "chicorydrum/daemon/http_api.hpp"

#include "chicorydrum/daemon/json_codec.hpp"
#include "chicorydrum/support/digest.hpp"
#include "chicorydrum/support/json_fields.hpp"
#include "chicorydrum/support/yaml_reader.hpp"

#include <algorithm>
#include <chrono>

#include <nlohmann/json.hpp>

namespace chicorydrum::daemon
{

namespace
{

using nlohmann::json;
using support::error_kind;
using transport::exchange_id;
using transport::http_request;
using transport::http_response;

constexpr std::int64_t home_use_within_ms = 60000;
constexpr std::int64_t default_deadline_ms = 30000;
constexpr int max_history_rows = 20;
constexpr const char* home_header = "chicorydrum-home";

std::string error_json(error_kind kind, const std::string& detail)
{
    schema::answer answer;
    answer.error = kind;
    answer.detail = detail;
    answer.not_run = support::get_error_info(kind).implies_not_run;
    answer.tasks_maybe_run = -1;
    return to_json(answer);
}

http_response make_rejection(transport::rejection why)
{
    error_kind kind = error_kind::too_large;
    if (why == transport::rejection::too_slow)
        kind = error_kind::too_slow;
    if (why == transport::rejection::too_many_connections)
        kind = error_kind::too_many_connections;
    if (why == transport::rejection::not_http)
        kind = error_kind::bad_request;
    const support::error_info& row = support::get_error_info(kind);
    return {.status = row.http_status,
            .headers = {},
            .body = error_json(kind, std::string(row.text)),
            .close = true};
}

/// Converts \p when of the monotonic clock to Unix time.
std::int64_t to_unix_ms(support::instant when)
{
    using std::chrono::system_clock;
    const auto age = transport::event_loop::now() - when;
    const auto wall = system_clock::now() -
                      support::duration_cast<system_clock::duration>(age);
    return support::duration_cast<support::milliseconds>(
               wall.time_since_epoch())
        .count();
}

} // namespace

const std::vector<http_api::route>& http_api::routes()
{
    using enum transport::http_method;
    static const std::vector<route> table = {
        {get, "/v1/home", &http_api::get_home},
        {put, "/v1/jobs/", &http_api::put_job},
        {get, "/v1/jobs/", &http_api::get_job},
        {del, "/v1/jobs/", &http_api::delete_job},
        {post, "/v1/requests/", &http_api::post_request},
        {get, "/healthz", &http_api::get_healthz},
        {get, "/readyz", &http_api::get_readyz},
        {get, "/metrics", &http_api::get_metrics},
        {get, "/v1/hosts", &http_api::get_hosts},
        {get, "/v1/endpoints", &http_api::get_endpoints},
        {get, "/v1/explain/", &http_api::get_trace},
        {post, "/v1/drain", &http_api::post_drain},
        {get, "/v1/bundle", &http_api::get_bundle},
        {get, "/v1/bundle/history", &http_api::get_bundle_history},
        {post, "/v1/bundle/check", &http_api::post_bundle_check},
        {post, "/v1/bundle/propose", &http_api::post_bundle_propose},
        {post, "/v1/bundle/sign-off", &http_api::post_bundle_sign_off},
        {post, "/v1/bundle/roll", &http_api::post_bundle_roll},
    };
    return table;
}

http_api::http_api(http_api_options opts)
    : options(std::move(opts)),
      server({.loop = this->options.loop,
              .address = this->options.settings.address,
              .port = this->options.settings.http_port,
              .max_body_bytes = static_cast<std::size_t>(
                  this->options.settings.listener.max_body),
              .max_connections = static_cast<unsigned>(
                  this->options.settings.listener.max_connections),
              .receive_timeout = support::milliseconds(
                  this->options.settings.listener.receive_timeout),
              .on_request = [this](exchange_id id, const http_request& request)
              { this->dispatch(id, request); },
              .on_abandoned =
                  [this](exchange_id id)
              {
                  this->arrivals.erase(id);
                  this->options.on_event(decision::caller_disconnected{id});
              },
              .on_rejected = make_rejection})
{
}

void http_api::dispatch(exchange_id id, const http_request& request)
{
    this->arrivals[id] = transport::event_loop::now();
    bool path_exists = false;
    for (const route& row : routes())
    {
        const bool is_prefix = row.path.ends_with('/');
        const bool matches = is_prefix
                                 ? request.path.starts_with(row.path) &&
                                       request.path.size() > row.path.size()
                                 : request.path == row.path;
        if (!matches)
            continue;
        path_exists = true;
        if (row.method != request.method)
            continue;
        const std::string rest =
            is_prefix ? request.path.substr(row.path.size()) : "";
        (this->*row.handle)(id, request, rest);
        return;
    }
    if (path_exists)
        this->respond_error(id, error_kind::method_not_allowed,
                            "the path does not take this method", true);
    else
        this->respond_error(id, error_kind::not_found, "no such path");
}

void http_api::respond_json(exchange_id id, int status, std::string body)
{
    const auto arrived = this->arrivals.find(id);
    if (arrived != this->arrivals.end())
    {
        this->host_metrics.observe_answer(transport::event_loop::now() -
                                          arrived->second);
        this->arrivals.erase(arrived);
    }
    this->server.respond(id,
                         {.status = status,
                          .headers = {{.name = home_header,
                                       .value = support::to_text(
                                           this->options.dispatcher.home())}},
                          .body = std::move(body),
                          .close = this->options.dispatcher.is_stopping()});
}

void http_api::respond_error(exchange_id id, error_kind kind,
                             const std::string& detail, bool close)
{
    this->arrivals.erase(id);
    this->server.respond(id,
                         {.status = support::get_error_info(kind).http_status,
                          .headers = {},
                          .body = error_json(kind, detail),
                          .close = close});
}

void http_api::answer(decision::call_id call, const schema::answer& result)
{
    this->respond_json(call, support::get_error_info(result.error).http_status,
                       to_json(result));
}

void http_api::get_home(exchange_id id, const http_request& /*request*/,
                        const std::string& /*rest*/)
{
    this->respond_json(
        id, 200,
        json{{"home", support::to_text(this->options.dispatcher.home())},
             {"use_within_ms", home_use_within_ms}}
            .dump());
}

void http_api::submit(exchange_id id, schema::submission work)
{
    if (work.deadline_ms == 0)
    {
        const schema::kind_rule* const rule =
            this->options.dispatcher.bundle().kind(work.kind);
        work.deadline_ms =
            rule == nullptr ? default_deadline_ms : rule->default_deadline;
    }
    work.digest = digest_of(work);
    this->options.on_event(
        decision::caller_submitted{.call = id, .work = std::move(work)});
}

void http_api::put_job(exchange_id id, const http_request& request,
                       const std::string& rest)
{
    auto work = parse_job(request.body);
    if (!work)
    {
        this->respond_error(id, work.error().kind, work.error().detail);
        return;
    }
    work->id = rest;
    this->submit(id, std::move(*work));
}

void http_api::get_job(exchange_id id, const http_request& /*request*/,
                       const std::string& rest)
{
    this->options.on_event(
        decision::caller_queried{.call = id, .id = rest, .cancel = false});
}

void http_api::delete_job(exchange_id id, const http_request& /*request*/,
                          const std::string& rest)
{
    this->options.on_event(
        decision::caller_queried{.call = id, .id = rest, .cancel = true});
}

void http_api::post_request(exchange_id id, const http_request& request,
                            const std::string& rest)
{
    auto work = parse_request(request.body, rest);
    if (!work)
    {
        this->respond_error(id, work.error().kind, work.error().detail);
        return;
    }
    this->submit(id, std::move(*work));
}

void http_api::get_healthz(exchange_id id, const http_request& /*request*/,
                           const std::string& /*rest*/)
{
    this->respond_json(id, 200, json{{"alive", true}}.dump());
}

void http_api::get_readyz(exchange_id id, const http_request& /*request*/,
                          const std::string& /*rest*/)
{
    const bool is_ready = this->options.dispatcher.is_ready();
    this->respond_json(id, is_ready ? 200 : 503,
                       json{{"ready", is_ready}}.dump());
}

void http_api::get_metrics(exchange_id id, const http_request& /*request*/,
                           const std::string& /*rest*/)
{
    this->arrivals.erase(id);
    this->server.respond(
        id, {.status = 200,
             .content_type = "text/plain; version=0.0.4",
             .headers = {},
             .body = this->host_metrics.scrape(this->options.dispatcher,
                                               this->options.counts())});
}

void http_api::get_hosts(exchange_id id, const http_request& /*request*/,
                         const std::string& /*rest*/)
{
    const decision::dispatcher& dispatcher = this->options.dispatcher;
    const schema::settings& settings = this->options.settings;
    json hosts = json::array();
    hosts.push_back({{"name", settings.name},
                     {"domain", settings.domain},
                     {"address", settings.address},
                     {"http_port", settings.http_port},
                     {"bundle_version", dispatcher.bundle().version()},
                     {"ready", dispatcher.is_ready()},
                     {"stopping", dispatcher.is_stopping()}});
    for (const auto& [name, peer] : dispatcher.members().peers())
    {
        const peer_address* const address =
            this->options.peers.address_of(name);
        hosts.push_back(
            {{"name", name},
             {"domain", peer.domain},
             {"address", address == nullptr ? "" : address->address},
             {"http_port", address == nullptr ? 0 : address->http_port},
             {"bundle_version", peer.bundle_version},
             {"ready", peer.ready},
             {"stopping", peer.stopping}});
    }
    this->respond_json(id, 200, json{{"hosts", hosts}}.dump());
}

void http_api::get_endpoints(exchange_id id, const http_request& /*request*/,
                             const std::string& /*rest*/)
{
    const decision::endpoint_pool& pool =
        this->options.dispatcher.owner().tasks().endpoints();
    const support::instant now = transport::event_loop::now();
    json endpoints = json::array();
    for (const auto& [name, state] : pool.endpoints())
        endpoints.push_back(
            {{"name", name},
             {"domain", state.listing.domain},
             {"rack", state.listing.rack},
             {"state", state.may_start() ? "live" : "leaving"},
             {"health", decision::name_of(pool.health().state(name, now))},
             {"slots", state.listing.slots},
             {"usable", state.usable()},
             {"in_use", state.in_use},
             {"slowness", state.slowness}});
    this->respond_json(id, 200, json{{"endpoints", endpoints}}.dump());
}

void http_api::get_trace(exchange_id id, const http_request& /*request*/,
                         const std::string& rest)
{
    json lines = json::array();
    for (const decision::trace_line& line :
         this->options.dispatcher.trace(rest))
        lines.push_back({{"time_ms", to_unix_ms(line.when)},
                         {"host", this->options.settings.name},
                         {"line", line.text}});
    this->respond_json(id, 200, json{{"id", rest}, {"story", lines}}.dump());
}

void http_api::post_drain(exchange_id id, const http_request& /*request*/,
                          const std::string& /*rest*/)
{
    this->options.on_event(decision::stop_requested{});
    this->respond_json(id, 202, json{{"draining", true}}.dump());
}

void http_api::get_bundle(exchange_id id, const http_request& /*request*/,
                          const std::string& /*rest*/)
{
    const decision::bundle_view& bundle = this->options.dispatcher.bundle();
    json hosts = json::object();
    hosts[this->options.settings.name] = bundle.version();
    for (const auto& [name, peer] : this->options.dispatcher.members().peers())
        hosts[name] = peer.bundle_version;
    const std::string digest =
        bundle.version() == 0 ? "" : support::sha256_hex(bundle.text());
    this->respond_json(id, 200,
                       json{{"version", bundle.version()},
                            {"digest", digest},
                            {"hosts", hosts},
                            {"text", bundle.text()}}
                           .dump());
}

void http_api::get_bundle_history(exchange_id id,
                                  const http_request& /*request*/,
                                  const std::string& /*rest*/)
{
    this->options.platform.bundle_store().read(
        decision::current_bundle_key,
        [this, id](const support::result<decision::table_row>& row)
        {
            const auto current =
                row ? decision::parse_accepted_bundle(row->value)
                    : support::result<decision::accepted_bundle>(
                          tl::unexpected(row.error()));
            if (!current)
                this->respond_error(id, current.error().kind,
                                    current.error().detail);
            else
                this->collect_history(id, current->version, "",
                                      max_history_rows);
        });
}

void http_api::collect_history(exchange_id id, std::int64_t version,
                               std::string lines, int rows_left)
{
    if (version < 1 || rows_left == 0)
    {
        this->respond_json(id, 200, "{\"history\":[" + lines + "]}");
        return;
    }
    this->options.platform.bundle_store().read(
        decision::history_key(version),
        [this, id, version, lines = std::move(lines),
         rows_left](const support::result<decision::table_row>& row)
        {
            if (!row)
            {
                this->respond_error(id, row.error().kind, row.error().detail);
                return;
            }
            const std::string separator = lines.empty() ? "" : ",";
            this->collect_history(
                id, version - 1, lines + separator + row->value, rows_left - 1);
        });
}

decision::bundle_step_hook http_api::step_callback(exchange_id id)
{
    return [this, id](const support::result<decision::bundle_step>& step)
    {
        if (!step)
        {
            this->respond_error(id, step.error().kind, step.error().detail);
            return;
        }
        if (step->version > 0)
            this->options.on_event(decision::bundle_read{
                .version = step->version, .text = step->text});
        this->respond_json(
            id, 200,
            json{{"digest", step->digest}, {"version", step->version}}.dump());
    };
}

void http_api::post_bundle_check(exchange_id id, const http_request& request,
                                 const std::string& /*rest*/)
{
    const auto checked = support::read_bundle(request.body, "bundle");
    std::string problem = checked ? "" : checked.error().detail;
    if (checked)
        problem = decision::find_bundle_conflict(
            this->options.dispatcher.bundle().rules(), *checked);
    if (!problem.empty())
        this->respond_error(id, error_kind::bad_request, problem);
    else
        this->respond_json(
            id, 200,
            json{{"digest", support::sha256_hex(request.body)}}.dump());
}

void http_api::post_bundle_propose(exchange_id id, const http_request& request,
                                   const std::string& /*rest*/)
{
    const json body = support::parse_json_object(request.body);
    const std::string operator_name = support::text_field(body, "operator");
    if (operator_name.empty())
        this->respond_error(id, error_kind::bad_request,
                            "'operator' is missing");
    else
        decision::propose_bundle(this->options.platform.bundle_store(),
                                 support::text_field(body, "text"),
                                 operator_name, this->step_callback(id));
}

void http_api::post_bundle_sign_off(exchange_id id, const http_request& request,
                                    const std::string& /*rest*/)
{
    const json body = support::parse_json_object(request.body);
    const std::string operator_name = support::text_field(body, "operator");
    const std::string digest = support::text_field(body, "digest");
    if (operator_name.empty() || digest.empty())
        this->respond_error(id, error_kind::bad_request,
                            "'operator' or 'digest' is missing");
    else
        decision::sign_off_bundle(this->options.platform.bundle_store(), digest,
                                  operator_name, this->step_callback(id));
}

void http_api::post_bundle_roll(exchange_id id, const http_request& request,
                                const std::string& /*rest*/)
{
    const json body = support::parse_json_object(request.body);
    const std::string operator_name = support::text_field(body, "operator");
    const std::string digest = support::text_field(body, "digest");
    if (operator_name.empty() || digest.empty())
    {
        this->respond_error(id, error_kind::bad_request,
                            "'operator' or 'digest' is missing");
        return;
    }
    const std::string token =
        support::to_text(this->options.dispatcher.members().self()) + "." +
        std::to_string(this->next_roll++);
    decision::roll_bundle(this->options.platform.bundle_store(), digest,
                          operator_name, token, this->step_callback(id));
}

} // namespace chicorydrum::daemon
