#include "chicorydrum/daemon/entry_daemon.hpp"

#include "chicorydrum/daemon/entry_metrics.hpp"
#include "chicorydrum/daemon/shard_links.hpp"
#include "chicorydrum/platform/config_codec.hpp"
#include "chicorydrum/platform/job_codec.hpp"
#include "chicorydrum/platform/order_codec.hpp"
#include "chicorydrum/platform/table_codec.hpp"
#include "chicorydrum/shard/entry_host.hpp"
#include "chicorydrum/support/build_info.hpp"
#include "chicorydrum/support/log.hpp"
#include "chicorydrum/transport/http_client.hpp"
#include "chicorydrum/transport/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <random>
#include <unordered_map>

namespace chicorydrum::daemon
{

namespace
{

using shard::call_id;
using support::log_line;
using support::milliseconds;
using transport::http_method;
using transport::http_request;
using transport::http_response;

/// Interval at which deadlines, leases and heartbeats are checked. Short
/// compared with a lease, long compared with the cost of a wake-up.
constexpr milliseconds tick_interval{25};
/// File descriptors for files and for connections to the store, endpoints and
/// peers; the rest is for callers.
constexpr int reserved_descriptors = 400;
constexpr std::size_t max_body_bytes = 256U << 10U;
constexpr std::size_t max_response_bytes = 8U << 20U;
/// Connections kept open to each endpoint: for one list, and for a start and a
/// stop of each task that fits.
constexpr std::size_t endpoint_connections = 6;
/// Connections kept open to the store: for reads of three tables and a write.
/// The cancelled jobs are read once, and written seldom.
constexpr std::size_t store_connections = 4;
/// The load balancer may send callers here until two readiness checks, a second
/// apart, have failed.
constexpr milliseconds balancer_delay{2500};
/// Waiting callers get their final answer this long before the platform kills
/// the process.
constexpr milliseconds final_answers_margin{800};
/// The process exits this long before the platform would kill it, so that sent
/// answers still arrive.
constexpr milliseconds exit_margin{400};
/// Fraction of the longest lease that is requested, so that no endpoint
/// shortens it.
constexpr double lease_fraction = 0.9;

std::atomic<int> stop_signals = 0;
std::atomic<int> reload_signals = 0;

void count_stop_signal(int /*signal*/)
{
    ++stop_signals;
}

void count_reload_signal(int /*signal*/)
{
    ++reload_signals;
}

std::int64_t make_nonce()
{
    std::random_device source;
    std::uniform_int_distribution<std::int64_t> any(1, 1LL << 52);
    return any(source);
}

shard::entry_host_options
make_host_options(const schema::entry_settings& settings, std::int64_t nonce)
{
    shard::entry_host_options options;
    options.self = {.name = settings.name,
                    .domain = settings.domain,
                    .nonce = nonce,
                    .power = settings.limits.processor_share};
    options.record.domain = settings.domain;
    options.record.address = settings.address;
    options.record.peer_port = settings.listeners.peer_port;
    options.record.power = settings.limits.processor_share;
    options.record.nonce = nonce;
    options.endpoints_per_shard =
        shard::endpoints_for_link(settings.limits.link_rate);
    options.configs.routes_per_turn =
        shard::routes_for_share(settings.limits.processor_share);
    options.spread.parts_per_tick =
        shard::parts_for_link(settings.limits.link_rate);
    const milliseconds longest(settings.bounds.longest_lease);
    options.shard.lease = {
        .longest = longest,
        .requested = milliseconds(static_cast<std::int64_t>(
            static_cast<double>(longest.count()) * lease_fraction))};
    options.shard.far_factor = settings.bounds.far_factor;
    return options;
}

support::socket_address parse_socket(const std::string& text)
{
    // The settings reader has validated the text.
    return support::parse_socket_address(text).value();
}

unsigned caller_connections(const schema::entry_settings& settings)
{
    return static_cast<unsigned>(
        std::max(64, settings.limits.descriptors - reserved_descriptors));
}

/// Returns the response to a request that the server itself rejects.
http_response make_rejection(transport::rejection why)
{
    http_response response;
    response.body = R"({"error":"rejected"})";
    switch (why)
    {
    case transport::rejection::too_large:
        response.status = 413;
        break;
    case transport::rejection::too_slow:
        response.status = 408;
        break;
    case transport::rejection::too_many_connections:
        response.status = 503;
        response.headers.push_back({.name = "retry-after", .value = "1"});
        break;
    case transport::rejection::not_http:
        response.status = 400;
        break;
    }
    return response;
}

} // namespace

struct entry_daemon::impl
{
    impl(schema::entry_settings initial_settings,
         std::function<std::optional<schema::entry_settings>()> reload);

    shard::entry_host_hooks make_hooks();
    transport::http_server_options caller_options();
    transport::http_server_options readiness_options();
    transport::http_server_options metrics_options();
    void on_caller_request(transport::exchange_id id,
                           const http_request& request);
    void on_readiness_request(transport::exchange_id id);
    void on_metrics_request(transport::exchange_id id);
    void answer(const shard::caller_answer& answer);
    void tick();
    void handle_signals(support::instant now);
    bool may_exit(support::instant now) const;
    milliseconds stop_grace() const;
    entry_counts counts() const;

    schema::entry_settings settings;
    std::function<std::optional<schema::entry_settings>()> read_settings;
    std::int64_t nonce;
    transport::event_loop loop;
    support::socket_address store;
    transport::http_client endpoint_calls;
    transport::http_client store_calls;
    platform::endpoint_cache known_entries;
    entry_metrics host_metrics;
    shard::entry_host host;
    shard_links links;
    transport::http_server callers;
    transport::http_server readiness;
    transport::http_server metrics_server;
    transport::timer tick_timer;
    std::unordered_map<call_id, support::instant> arrivals;
    std::optional<support::instant> stop_requested_at;
    bool is_stop_forced = false;
    int reloads_done = 0;
};

entry_daemon::impl::impl(
    schema::entry_settings initial_settings,
    std::function<std::optional<schema::entry_settings>()> reload)
    : settings(std::move(initial_settings)), read_settings(std::move(reload)),
      nonce(make_nonce()),
      loop({.max_connections = static_cast<unsigned>(
                std::max(64, this->settings.limits.descriptors - 200))}),
      store(parse_socket(this->settings.store)),
      endpoint_calls({.loop = this->loop,
                      .max_response_bytes = max_response_bytes,
                      .max_pooled_connections = endpoint_connections,
                      .on_idle_closed =
                          [this](const std::string& address, int port)
                      {
                          this->host.endpoint_disconnected(
                              address, port, transport::event_loop::now());
                      }}),
      store_calls({.loop = this->loop,
                   .max_response_bytes = max_response_bytes,
                   .max_pooled_connections = store_connections}),
      host(make_host_options(this->settings, this->nonce), this->make_hooks(),
           transport::event_loop::now()),
      links({.loop = this->loop,
             .self = make_host_options(this->settings, this->nonce).self,
             .address = this->settings.address,
             .peer_port = this->settings.listeners.peer_port,
             .on_connected = [this](const shard::host_identity& peer)
             { this->host.peer_connected(peer, transport::event_loop::now()); },
             .on_lost = [this](const std::string& peer)
             { this->host.peer_lost(peer, transport::event_loop::now()); },
             .on_message =
                 [this](const std::string& peer,
                        const schema::shard_message& message)
             {
                 this->host.peer_message_received(peer, message,
                                                  transport::event_loop::now());
             }}),
      callers(this->caller_options()), readiness(this->readiness_options()),
      metrics_server(this->metrics_options()),
      tick_timer(this->loop.make_timer([this] { this->tick(); }))
{
    this->tick_timer.start(milliseconds(1));
}

shard::entry_host_hooks entry_daemon::impl::make_hooks()
{
    const auto now = []
    {
        return transport::event_loop::now();
    };
    shard::entry_host_hooks hooks;
    hooks.start = [this, now](const shard::start_order& order)
    {
        ++this->host_metrics.starts;
        this->endpoint_calls.send(
            platform::encode(order),
            [this, now, id = order.order](transport::client_outcome outcome)
            {
                this->host.start_answered(
                    platform::decode_order_answer(id, outcome), now());
            });
    };
    hooks.stop = [this, now](const shard::stop_order& order)
    {
        ++this->host_metrics.stops;
        this->endpoint_calls.send(
            platform::encode(order),
            [this, now, id = order.order](transport::client_outcome outcome)
            {
                this->host.stop_answered(
                    platform::decode_order_answer(id, outcome), now());
            });
    };
    hooks.list = [this, now](const shard::list_request& request)
    {
        ++this->host_metrics.lists;
        this->endpoint_calls.send(
            platform::encode(request),
            [this, now, id = request.order](transport::client_outcome outcome) {
                this->host.runs_listed(platform::decode_list(id, outcome),
                                       now());
            });
    };
    hooks.answer = [this](const shard::caller_answer& answer)
    {
        this->answer(answer);
    };
    hooks.send =
        [this](const std::string& peer, const schema::shard_message& message)
    {
        this->links.send(peer, message);
    };
    hooks.close_link = [this](const std::string& peer)
    {
        this->links.close(peer);
    };
    hooks.host_known =
        [this](const std::string& peer, const schema::host_record& record)
    {
        this->links.update_host(peer, record);
    };
    hooks.host_removed = [this](const std::string& peer)
    {
        this->links.remove_host(peer);
    };
    hooks.read = [this, now](const shard::table_read& read)
    {
        ++this->host_metrics.store_reads;
        this->store_calls.send(
            platform::encode(read, this->store),
            [this, now, read](transport::client_outcome outcome)
            {
                this->host.rows_read(
                    platform::decode_rows(read, outcome, this->known_entries),
                    now());
            });
    };
    hooks.write = [this, now](const shard::registration_write& write)
    {
        ++this->host_metrics.store_writes;
        this->store_calls.send(platform::encode(write, this->store),
                               [this, now](transport::client_outcome outcome)
                               {
                                   this->host.registration_answered(
                                       platform::decode_write_result(outcome),
                                       now());
                               });
    };
    hooks.read_cancelled = [this, now](const shard::cancelled_read& read)
    {
        ++this->host_metrics.store_reads;
        this->store_calls.send(
            platform::encode(read, this->store),
            [this, now, read](transport::client_outcome outcome)
            {
                this->host.cancelled_rows_read(
                    platform::decode_cancelled(read, outcome), now());
            });
    };
    hooks.write_cancelled = [this, now](const shard::cancelled_write& write)
    {
        ++this->host_metrics.store_writes;
        this->store_calls.send(
            platform::encode(write, this->store),
            [this, now](transport::client_outcome outcome)
            {
                this->host.cancelled_written(
                    platform::decode_cancelled_write(outcome), now());
            });
    };
    hooks.open_config = platform::open_config;
    hooks.log = [](const log_line& line)
    {
        support::write_log(line);
    };
    hooks.stop_took = [this](support::decision_clock::duration took)
    {
        this->host_metrics.observe_stop(took);
    };
    hooks.placed = [this](shard::place_outcome outcome,
                          support::decision_clock::duration waited)
    {
        this->host_metrics.observe_place(outcome, waited);
    };
    hooks.tick_gap = [this](support::decision_clock::duration gap)
    {
        this->host_metrics.observe_tick_gap(gap);
    };
    return hooks;
}

transport::http_server_options entry_daemon::impl::caller_options()
{
    const support::socket_address socket =
        parse_socket(this->settings.listeners.callers);
    return {.loop = this->loop,
            .address = socket.address,
            .port = socket.port,
            .max_body_bytes = max_body_bytes,
            .max_connections = caller_connections(this->settings),
            .captured_headers = platform::submission_headers(),
            .on_request =
                [this](transport::exchange_id id, const http_request& request)
            { this->on_caller_request(id, request); },
            .on_abandoned =
                [this](transport::exchange_id id)
            {
                this->arrivals.erase(id);
                this->host.caller_left(id, transport::event_loop::now());
            },
            .on_rejected = make_rejection};
}

transport::http_server_options entry_daemon::impl::readiness_options()
{
    const support::socket_address socket =
        parse_socket(this->settings.listeners.readiness);
    return {.loop = this->loop,
            .address = socket.address,
            .port = socket.port,
            .on_request = [this](transport::exchange_id id,
                                 const http_request& /*request*/)
            { this->on_readiness_request(id); },
            .on_rejected = make_rejection};
}

transport::http_server_options entry_daemon::impl::metrics_options()
{
    return {.loop = this->loop,
            .address = this->settings.address,
            .port = this->settings.listeners.metrics_port,
            .on_request = [this](transport::exchange_id id,
                                 const http_request& /*request*/)
            { this->on_metrics_request(id); },
            .on_rejected = make_rejection};
}

void entry_daemon::impl::on_caller_request(transport::exchange_id id,
                                           const http_request& request)
{
    const support::instant now = transport::event_loop::now();
    this->arrivals[id] = now;
    ++this->host_metrics.requests;
    switch (request.method)
    {
    case http_method::post:
        this->host.submitted(platform::decode_submission(id, request), now);
        return;
    case http_method::get:
    case http_method::del:
        this->host.queried({.call = id,
                            .host = request.host,
                            .path = request.path,
                            .cancels = request.method == http_method::del},
                           now);
        return;
    default:
        this->answer({.call = id, .kind = shard::answer_kind::malformed});
        return;
    }
}

void entry_daemon::impl::on_readiness_request(transport::exchange_id id)
{
    http_response response;
    response.status = this->host.is_ready() ? 200 : 503;
    response.body = "{}";
    this->readiness.respond(id, std::move(response));
}

void entry_daemon::impl::on_metrics_request(transport::exchange_id id)
{
    http_response response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = this->host_metrics.scrape(this->host, this->counts());
    this->metrics_server.respond(id, std::move(response));
}

void entry_daemon::impl::answer(const shard::caller_answer& answer)
{
    const auto arrived = this->arrivals.find(answer.call);
    if (arrived != this->arrivals.end())
    {
        this->host_metrics.observe_answer(
            answer.kind, transport::event_loop::now() - arrived->second);
        this->arrivals.erase(arrived);
    }
    this->callers.respond(answer.call, platform::encode_answer(answer));
}

entry_counts entry_daemon::impl::counts() const
{
    return {.peer_bytes_sent = this->links.bytes_sent(),
            .peer_config_bytes_sent = this->links.config_bytes_sent(),
            .peer_bytes_received = this->links.bytes_received(),
            .open_exchanges = this->callers.open_exchanges()};
}

void entry_daemon::impl::tick()
{
    this->tick_timer.start(tick_interval);
    const support::instant now = transport::event_loop::now();
    this->handle_signals(now);
    this->host.tick(now);
    support::flush_log();
}

void entry_daemon::impl::handle_signals(support::instant now)
{
    if (stop_signals.load() > 0 && !this->stop_requested_at)
    {
        this->stop_requested_at = now;
        this->callers.close_after_responses();
        this->host.stop_requested(
            now + this->stop_grace() - final_answers_margin, now);
    }
    if (this->stop_requested_at && !this->is_stop_forced &&
        now - *this->stop_requested_at >=
            this->stop_grace() - final_answers_margin)
    {
        this->is_stop_forced = true;
        this->host.stop_forced(now);
    }
    const int reloads = reload_signals.load();
    if (reloads == this->reloads_done)
        return;
    this->reloads_done = reloads;
    const auto new_settings = this->read_settings();
    const bool is_valid = new_settings.has_value();
    support::write_log(log_line("settings_reloaded").add("accepted", is_valid));
    if (is_valid)
        support::start_logging(new_settings->log_level);
}

milliseconds entry_daemon::impl::stop_grace() const
{
    return milliseconds(
        static_cast<std::int64_t>(this->settings.bounds.stop_grace * 1000));
}

bool entry_daemon::impl::may_exit(support::instant now) const
{
    if (!this->stop_requested_at)
        return false;
    const auto stopping_for = now - *this->stop_requested_at;
    if (stopping_for >= this->stop_grace() - exit_margin)
        return true;
    return stopping_for >= balancer_delay && this->host.is_drained() &&
           this->callers.open_exchanges() == 0;
}

entry_daemon::entry_daemon(
    schema::entry_settings settings,
    std::function<std::optional<schema::entry_settings>()> reload)
    : pimpl(std::make_unique<impl>(std::move(settings), std::move(reload)))
{
}

entry_daemon::~entry_daemon() = default;

void entry_daemon::run()
{
    std::signal(SIGTERM, count_stop_signal);
    std::signal(SIGINT, count_stop_signal);
    std::signal(SIGHUP, count_reload_signal);
    std::signal(SIGPIPE, SIG_IGN);
    impl& state = *this->pimpl;
    support::write_log(log_line("started")
                           .add("version", support::build_version())
                           .add("commit", support::build_commit())
                           .add("host", state.settings.name)
                           .add("domain", state.settings.domain)
                           .add("nonce", state.nonce)
                           .add("callers", state.settings.listeners.callers)
                           .add("peer_port", state.settings.listeners.peer_port)
                           .add("store", state.settings.store));
    state.loop.run_until(
        [&state] { return state.may_exit(transport::event_loop::now()); });
    support::write_log(log_line("exited").add(
        "open_exchanges",
        static_cast<std::int64_t>(state.callers.open_exchanges())));
}

} // namespace chicorydrum::daemon
