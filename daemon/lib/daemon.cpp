#include "chicorydrum/daemon/daemon.hpp"

#include "chicorydrum/daemon/endpoint_client.hpp"
#include "chicorydrum/daemon/http_api.hpp"
#include "chicorydrum/daemon/peer_links.hpp"
#include "chicorydrum/daemon/platform_client.hpp"
#include "chicorydrum/decision/dispatcher.hpp"
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

// Signals that came so far; the only state that a signal handler touches.
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

schema::incarnation make_self(const schema::settings& settings)
{
    schema::incarnation self;
    self.host = settings.name;
    self.nonce = static_cast<std::int64_t>(draw_nonce());
    return self;
}

decision::dispatcher_options make_options(const schema::settings& settings,
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
    // A witness keeps a record longer than its owner, so that it never knows
    // less about an id than the owner's last word.
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
    explicit impl(schema::settings given);

    /// Queues an event; the dispatcher handles events one after the other,
    /// never inside another task's call.
    void post(decision::event happened);
    void handle_posted();
    void perform(decision::action&& todo);
    void perform_one(decision::answer_caller& todo);
    void perform_one(decision::send_to_peer& todo);
    void perform_one(decision::drop_peer& todo);
    void perform_one(decision::start_attempt& todo);
    void perform_one(decision::check_attempt& todo);
    void perform_one(decision::claim_key& todo);
    void perform_one(decision::read_key& todo);
    void perform_one(decision::stop_finished& todo);
    void perform_one(support::log_line& todo);
    void tick();
    void follow_signals();
    transport_counts counts() const;

    schema::settings settings;
    schema::incarnation self;
    transport::event_loop loop;
    decision::dispatcher decisions;
    std::deque<decision::event> posted;
    bool is_handling = false;
    peer_links peers;
    platform_client platform;
    endpoint_client endpoints;
    http_api api;
    transport::timer tick_timer;
    transport::timer grace;
    bool stop_began = false;
    bool stop_was_forced = false;
    bool finished = false;
};

daemon::impl::impl(schema::settings given)
    : settings(std::move(given)), self(make_self(this->settings)), loop({}),
      decisions(make_options(this->settings, this->self),
                transport::event_loop::now()),
      peers({.loop = this->loop,
             .self = this->self,
             .domain = this->settings.domain,
             .address = this->settings.address,
             .peer_port = this->settings.peer_port,
             .http_port = this->settings.http_port,
             .redial_interval = support::milliseconds(
                 this->settings.peer_link.redial_interval),
             .configured = configured_peers(this->settings),
             .on_event =
                 [this](decision::event happened)
             {
                 this->post(std::move(happened));
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
                    [this](decision::event happened)
                {
                    if (const auto* list =
                            std::get_if<decision::host_list_read>(&happened))
                        this->peers.update_known_peers(list->hosts);
                    this->post(std::move(happened));
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
           .decisions = this->decisions,
           .peers = this->peers,
           .platform = this->platform,
           .on_event = [this](decision::event happened)
           { this->post(std::move(happened)); },
           .counts =
               [this]
           {
               return this->counts();
           }}),
      tick_timer(this->loop.make_timer([this] { this->tick(); })),
      grace(this->loop.make_timer([this]
                                  { this->post(decision::stop_forced{}); }))
{
    this->tick_timer.start(tick_interval);
}

void daemon::impl::post(decision::event happened)
{
    this->posted.push_back(std::move(happened));
    if (!this->is_handling)
        this->handle_posted();
}

void daemon::impl::handle_posted()
{
    this->is_handling = true;
    while (!this->posted.empty())
    {
        const decision::event next = std::move(this->posted.front());
        this->posted.pop_front();
        this->decisions.handle(next, transport::event_loop::now());
        for (decision::action& todo : this->decisions.take_actions())
            this->perform(std::move(todo));
    }
    this->is_handling = false;
}

void daemon::impl::perform(decision::action&& todo)
{
    std::visit([this](auto& wanted) { this->perform_one(wanted); }, todo);
}

void daemon::impl::perform_one(decision::answer_caller& todo)
{
    this->api.answer(todo.call, todo.result);
}

void daemon::impl::perform_one(decision::send_to_peer& todo)
{
    this->peers.send(todo.host, todo.message);
}

void daemon::impl::perform_one(decision::drop_peer& todo)
{
    this->peers.drop(todo.host);
}

void daemon::impl::perform_one(decision::start_attempt& todo)
{
    this->endpoints.start(todo);
}

void daemon::impl::perform_one(decision::check_attempt& todo)
{
    this->endpoints.check(todo);
}

void daemon::impl::perform_one(decision::claim_key& todo)
{
    this->platform.claim(todo);
}

void daemon::impl::perform_one(decision::read_key& todo)
{
    this->platform.read(todo);
}

void daemon::impl::perform_one(decision::stop_finished& /*todo*/)
{
    this->finished = true;
}

void daemon::impl::perform_one(support::log_line& todo)
{
    support::write_log(todo);
}

void daemon::impl::tick()
{
    this->tick_timer.start(tick_interval);
    this->follow_signals();
    this->post(decision::ticked{});
    support::flush_log();
}

void daemon::impl::follow_signals()
{
    const int signals = stop_signals.load();
    const bool is_stopping = signals > 0 || this->decisions.is_stopping();
    if (is_stopping && !this->stop_began)
    {
        this->stop_began = true;
        this->grace.start(support::milliseconds(this->settings.stop_grace));
        this->post(decision::stop_requested{});
    }
    if (signals > 1 && !this->stop_was_forced)
    {
        this->stop_was_forced = true;
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
    impl& all = *this->pimpl;
    support::write_log(support::log_line("started")
                           .add("host", support::to_text(all.self))
                           .add("domain", all.settings.domain)
                           .add("address", all.settings.address)
                           .add("http_port", all.settings.http_port)
                           .add("peer_port", all.settings.peer_port));
    // Answers that were given are still sent whole, within a bound.
    static constexpr support::milliseconds flush_limit{2000};
    support::instant flush_until;
    all.loop.run_until(
        [&all, &flush_until]
        {
            if (!all.finished)
                return false;
            const support::instant now = transport::event_loop::now();
            if (flush_until == support::instant())
                flush_until = now + flush_limit;
            return all.api.open_exchanges() == 0 || now >= flush_until;
        });
    support::write_log(support::log_line("exited"));
}

} // namespace chicorydrum::daemon
