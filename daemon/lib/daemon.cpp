#include "chicorydrum/daemon/daemon.hpp"

#include "chicorydrum/daemon/endpoint_client.hpp"
#include "chicorydrum/daemon/http_api.hpp"
#include "chicorydrum/daemon/peer_links.hpp"
#include "chicorydrum/daemon/platform_client.hpp"
#include "chicorydrum/decision/dispatcher.hpp"
#include "chicorydrum/support/build_info.hpp"
#include "chicorydrum/support/log.hpp"

#include <atomic>
#include <csignal>
#include <deque>
#include <random>

namespace chicorydrum::daemon
{

namespace
{

constexpr support::milliseconds tick_interval{20};

// Number of signals received; the only state that the handler modifies.
std::atomic<int> stop_signals{0};

void count_stop_signal(int /*signal*/)
{
    stop_signals.fetch_add(1);
}

std::uint64_t draw_nonce()
{
    std::random_device source;
    constexpr unsigned word_bits = 32;
    constexpr std::uint64_t positive = 0x7fffffffffffffffULL;
    return ((std::uint64_t{source()} << word_bits) | source()) & positive;
}

schema::incarnation make_incarnation(const schema::settings& settings)
{
    schema::incarnation self;
    self.host = settings.name;
    self.nonce = static_cast<std::int64_t>(draw_nonce());
    return self;
}

decision::dispatcher_options
make_dispatcher_options(const schema::settings& settings,
                        const schema::incarnation& self)
{
    using support::milliseconds;
    decision::dispatcher_options options;
    options.members = {.self = self,
                       .domain = settings.domain,
                       .heartbeat_interval =
                           milliseconds(settings.peer_link.heartbeat_interval),
                       .silence_timeout =
                           milliseconds(settings.peer_link.silence_timeout)};
    const milliseconds max_age(settings.retention.answer_age);
    const auto max_bytes =
        static_cast<std::size_t>(settings.retention.answer_bytes);
    options.owner.table.max_age = max_age;
    options.owner.table.max_bytes = max_bytes;
    options.owner.admission_control.max_open_bytes =
        static_cast<std::size_t>(settings.retention.queue_bytes);
    options.owner.claim_timeout =
        milliseconds(settings.peer_link.claim_timeout);
    options.owner.scheduling.self = settings.name;
    options.owner.scheduling.pool.self = settings.name;
    options.owner.scheduling.pool.domain = settings.domain;
    // A witness keeps a record twice as long as the owner, so that it never
    // forgets an id before the owner does.
    options.witnessing = {.max_age = max_age * 2, .max_bytes = max_bytes};
    options.homes.self = self;
    options.keys.writes_per_second = settings.platform.writes_per_second;
    return options;
}

std::vector<known_peer> configured_peers(const schema::settings& settings)
{
    std::vector<known_peer> peers;
    for (const schema::peer_settings& peer : settings.peers)
        if (peer.name != settings.name)
            peers.push_back({.name = peer.name,
                             .domain = peer.domain,
                             .address = peer.address,
                             .peer_port = peer.peer_port});
    return peers;
}

} // namespace

struct daemon::impl
{
    explicit impl(schema::settings initial_settings);

    /// Queues \p event. The dispatcher handles one event after another; an
    /// event posted meanwhile waits.
    void post(decision::event event);
    void handle_events();
    void perform(decision::action&& action);
    void perform_one(decision::answer_caller& action);
    void perform_one(decision::send_to_peer& action);
    void perform_one(decision::drop_peer& action);
    void perform_one(decision::start_attempt& action);
    void perform_one(decision::check_attempt& action);
    void perform_one(decision::claim_key& action);
    void perform_one(decision::read_key& action);
    void perform_one(decision::stop_finished& action);
    void perform_one(support::log_line& action);
    void tick();
    void handle_signals();
    transport_counts counts() const;

    schema::settings settings;
    schema::incarnation self;
    transport::event_loop loop;
    decision::dispatcher dispatcher;
    std::deque<decision::event> event_queue;
    bool is_handling = false;
    peer_links peers;
    platform_client platform;
    endpoint_client endpoints;
    http_api api;
    transport::timer tick_timer;
    transport::timer grace_timer;
    bool is_stop_requested = false;
    bool is_stop_forced = false;
    bool finished = false;
};

daemon::impl::impl(schema::settings initial_settings)
    : settings(std::move(initial_settings)),
      self(make_incarnation(this->settings)), loop({}),
      dispatcher(make_dispatcher_options(this->settings, this->self),
                 transport::event_loop::now()),
      peers({.loop = this->loop,
             .self = this->self,
             .domain = this->settings.domain,
             .address = this->settings.address,
             .peer_port = this->settings.peer_port,
             .http_port = this->settings.http_port,
             .redial_interval = support::milliseconds(
                 this->settings.peer_link.redial_interval),
             .configured_peers = configured_peers(this->settings),
             .on_event =
                 [this](decision::event event)
             {
                 this->post(std::move(event));
             }}),
      platform({.loop = this->loop,
                .address = this->settings.platform.address,
                .port = this->settings.platform.port,
                .request_timeout = support::milliseconds(
                    this->settings.platform.request_timeout),
                .poll_interval = support::milliseconds(
                    this->settings.platform.poll_interval),
                .writes_per_second = this->settings.platform.writes_per_second,
                .reads_per_second = this->settings.platform.reads_per_second,
                .seed = static_cast<std::uint64_t>(this->self.nonce),
                .on_event =
                    [this](decision::event event)
                {
                    if (const auto* list =
                            std::get_if<decision::host_list_read>(&event))
                        this->peers.update_known_peers(list->hosts);
                    this->post(std::move(event));
                }}),
      endpoints({.loop = this->loop,
                 .self = this->self,
                 .on_finished = [this](decision::attempt_finished ended)
                 { this->post(std::move(ended)); },
                 .on_checked =
                     [this](decision::attempt_checked checked)
                 {
                     this->post(std::move(checked));
                 }}),
      api({.loop = this->loop,
           .settings = this->settings,
           .dispatcher = this->dispatcher,
           .peers = this->peers,
           .platform = this->platform,
           .on_event = [this](decision::event event)
           { this->post(std::move(event)); },
           .counts =
               [this]
           {
               return this->counts();
           }}),
      tick_timer(this->loop.make_timer([this] { this->tick(); })),
      grace_timer(this->loop.make_timer(
          [this] { this->post(decision::stop_forced{}); }))
{
    this->tick_timer.start(tick_interval);
}

void daemon::impl::post(decision::event event)
{
    this->event_queue.push_back(std::move(event));
    if (!this->is_handling)
        this->handle_events();
}

void daemon::impl::handle_events()
{
    this->is_handling = true;
    while (!this->event_queue.empty())
    {
        const decision::event next = std::move(this->event_queue.front());
        this->event_queue.pop_front();
        this->dispatcher.handle(next, transport::event_loop::now());
        for (decision::action& action : this->dispatcher.take_actions())
            this->perform(std::move(action));
    }
    this->is_handling = false;
}

void daemon::impl::perform(decision::action&& action)
{
    std::visit([this](auto& alternative) { this->perform_one(alternative); },
               action);
}

void daemon::impl::perform_one(decision::answer_caller& action)
{
    this->api.answer(action.call, action.result);
}

void daemon::impl::perform_one(decision::send_to_peer& action)
{
    this->peers.send(action.host, action.message);
}

void daemon::impl::perform_one(decision::drop_peer& action)
{
    this->peers.drop(action.host);
}

void daemon::impl::perform_one(decision::start_attempt& action)
{
    this->endpoints.start(action);
}

void daemon::impl::perform_one(decision::check_attempt& action)
{
    this->endpoints.check(action);
}

void daemon::impl::perform_one(decision::claim_key& action)
{
    this->platform.claim(action);
}

void daemon::impl::perform_one(decision::read_key& action)
{
    this->platform.read(action);
}

void daemon::impl::perform_one(decision::stop_finished& /*action*/)
{
    this->finished = true;
}

void daemon::impl::perform_one(support::log_line& action)
{
    support::write_log(action);
}

void daemon::impl::tick()
{
    this->tick_timer.start(tick_interval);
    this->handle_signals();
    this->post(decision::ticked{});
    support::flush_log();
}

void daemon::impl::handle_signals()
{
    const int signals = stop_signals.load();
    const bool is_stopping = signals > 0 || this->dispatcher.is_stopping();
    if (is_stopping && !this->is_stop_requested)
    {
        this->is_stop_requested = true;
        this->grace_timer.start(
            support::milliseconds(this->settings.stop_grace));
        this->post(decision::stop_requested{});
    }
    if (signals > 1 && !this->is_stop_forced)
    {
        this->is_stop_forced = true;
        this->post(decision::stop_forced{});
    }
}

transport_counts daemon::impl::counts() const
{
    return {.peer_bytes_sent = this->peers.bytes_sent(),
            .peer_bytes_received = this->peers.bytes_received(),
            .peer_frames_rejected = this->peers.frames_rejected(),
            .platform_reads = this->platform.reads(),
            .platform_writes = this->platform.writes(),
            .platform_available = this->platform.is_available(),
            .open_exchanges = this->api.open_exchanges()};
}

daemon::daemon(schema::settings settings)
    : pimpl(std::make_unique<impl>(std::move(settings)))
{
}

daemon::~daemon() = default;

void daemon::run()
{
    std::signal(SIGTERM, count_stop_signal);
    std::signal(SIGINT, count_stop_signal);
    std::signal(SIGPIPE, SIG_IGN);
    impl& state = *this->pimpl;
    support::write_log(support::log_line("started")
                           .add("version", support::build_version())
                           .add("commit", support::build_commit())
                           .add("host", support::to_text(state.self))
                           .add("domain", state.settings.domain)
                           .add("address", state.settings.address)
                           .add("http_port", state.settings.http_port)
                           .add("peer_port", state.settings.peer_port));
    // After the stop, open responses are still sent, up to a time limit.
    static constexpr support::milliseconds flush_limit{2000};
    support::instant flush_until;
    state.loop.run_until(
        [&state, &flush_until]
        {
            if (!state.finished)
                return false;
            const support::instant now = transport::event_loop::now();
            if (flush_until == support::instant())
                flush_until = now + flush_limit;
            return state.api.open_exchanges() == 0 || now >= flush_until;
        });
    support::write_log(support::log_line("exited"));
}

} // namespace chicorydrum::daemon
