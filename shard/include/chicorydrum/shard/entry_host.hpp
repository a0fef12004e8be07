/// \file
/// One entry host: its callers' jobs, its view of the other hosts, and the
/// shards that it owns. Performs no input or output itself.
#pragma once

#include "chicorydrum/shard/cancellation_store.hpp"
#include "chicorydrum/shard/cancellations.hpp"
#include "chicorydrum/shard/config_loader.hpp"
#include "chicorydrum/shard/config_spread.hpp"
#include "chicorydrum/shard/directory.hpp"
#include "chicorydrum/shard/evacuations.hpp"
#include "chicorydrum/shard/held_submissions.hpp"
#include "chicorydrum/shard/host_view.hpp"
#include "chicorydrum/shard/job_intake.hpp"
#include "chicorydrum/shard/learned_speeds.hpp"
#include "chicorydrum/shard/link_clock.hpp"
#include "chicorydrum/shard/messages.hpp"
#include "chicorydrum/shard/shard_owner.hpp"
#include "chicorydrum/shard/succession.hpp"
#include "chicorydrum/support/line_limit.hpp"
#include "chicorydrum/support/validation.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace chicorydrum::shard
{

/// The actions of an entry host on endpoints, callers, peers and the store.
struct entry_host_hooks
{
    std::function<void(const start_order&)> start;
    std::function<void(const stop_order&)> stop;
    std::function<void(const list_request&)> list;
    std::function<void(const caller_answer&)> answer;
    std::function<void(const std::string& host, const schema::shard_message&)>
        send;
    /// Closes the link to a peer, so that no message that it has held up
    /// arrives any more. Calls peer_lost().
    std::function<void(const std::string& host)> close_link;
    /// Reports another entry host and its address for peers.
    std::function<void(const std::string& host, const schema::host_record&)>
        host_known;
    /// Reports that a host is not registered any more.
    std::function<void(const std::string& host)> host_removed;
    std::function<void(const table_read&)> read;
    std::function<void(const registration_write&)> write;
    /// Reads and writes the cancelled jobs in the store. Both may be empty.
    std::function<void(const cancelled_read&)> read_cancelled = {};
    std::function<void(const cancelled_write&)> write_cancelled = {};
    /// Begins to decode a configuration from the store or a peer.
    config_opener open_config;
    std::function<void(const support::log_line&)> log;
    /// Reports the time between two ticks, pauses included. May be empty.
    std::function<void(support::decision_clock::duration)> tick_gap = {};
    /// Reports how long the stop of a run took; see shard_hooks. May be empty.
    std::function<void(support::decision_clock::duration)> stop_took = {};
    /// Reports the start of a task for which places were weighed; see
    /// shard_hooks. May be empty.
    std::function<void(place_outcome, support::decision_clock::duration)>
        placed = {};
};

/// Larger shards allow better placement but cost their owner more; see
/// docs/CAPACITY.md.
constexpr int max_endpoints_per_shard = 32;

/// Returns for how many endpoints of a shard a link of \p rate Mbit/s carries
/// the orders and lists, about 10 kB a second each, in a third of its rate.
int endpoints_for_link(double rate);

struct entry_host_options
{
    host_identity self;
    schema::host_record record;
    host_view_options view;
    shard_options shard;
    directory_options table;
    intake_options intake;
    cancellation_options cancellations;
    cancellation_store_options stored_cancellations;
    /// A new process that has not read the cancelled jobs claims no shard for
    /// this long; as long as it waits for a store that does not list its peers.
    support::milliseconds cancelled_wait{1200};
    config_loader_options configs;
    config_spread_options spread;
    succession_options successors;
    evacuation_options evacuations;
    learned_speeds_options speeds;
    /// How often an owner tells of the run times that it has learned, and how
    /// many hosts of its domain keep them for its successor.
    support::milliseconds speed_report_interval{1000};
    std::size_t speed_keepers = 2;
    /// Other hosts of the domain that keep each cancellation that is recorded
    /// here.
    std::size_t cancellation_keepers = 2;
    /// To hosts of the own domain.
    support::milliseconds local_heartbeat_interval{150};
    /// To hosts of other domains.
    support::milliseconds remote_heartbeat_interval{300};
    /// Target number of endpoints per shard, which endpoints_for_link()
    /// chooses.
    int endpoints_per_shard = max_endpoints_per_shard;
    int max_shards = support::max_shards;
    /// Interval between looks at what the shards' endpoints are.
    support::milliseconds succession_interval{500};
    /// An owner whose last read of the endpoints is this old tells of all of
    /// them: others forget endpoints that they have dropped 30 s ago.
    support::milliseconds old_reads{10000};
    held_options held;
    /// A request that arrived before this much after a configuration became
    /// active here may have been sent under the earlier one, and runs:
    /// rollback_slack_ms of the platform is no less.
    support::milliseconds config_slack{250};
    /// How long a shard is offered to stronger hosts before the offer ends.
    support::milliseconds offer_time{1000};
    /// When the last tick is this long ago, the process was paused. Shorter
    /// than the time in which others can succeed it.
    support::milliseconds pause_limit{400};
    /// A tick that comes later than this after the last one is logged. Above
    /// what a busy machine does often, below what the leases' sums allow for.
    support::milliseconds late_tick{100};
    /// When the last tick is this long ago, peers may seem silent whose
    /// messages have arrived but were not read yet.
    support::milliseconds stall_limit{300};
    /// A request that may have waited this long before it was read is refused:
    /// callers send a lost one again after 1,300 ms, maybe to another domain,
    /// and it takes up to 300 ms to learn that they have left and to stop.
    support::milliseconds oldest_request{1000};
    /// Requests that are read within this time of a pause may have waited since
    /// it began.
    support::milliseconds wake_time{250};
};

class entry_host
{
public:
    entry_host(entry_host_options opts, entry_host_hooks callbacks,
               support::instant now);

    // Callers.
    void submitted(caller_submission request, support::instant now);
    void queried(const caller_query& query, support::instant now);
    void caller_left(call_id call, support::instant now);

    // Endpoints.
    void start_answered(const order_answered& answer, support::instant now);
    void stop_answered(const order_answered& answer, support::instant now);
    void runs_listed(const shard::runs_listed& list, support::instant now);
    /// The server at an endpoint's address has closed a connection that no call
    /// was using. Another incarnation may answer there.
    void endpoint_disconnected(const std::string& address, int port,
                               support::instant now);

    // Peers.
    void peer_connected(const host_identity& peer, support::instant now);
    void peer_lost(const std::string& peer, support::instant now);
    void peer_message_received(const std::string& peer,
                               const schema::shard_message& message,
                               support::instant now);

    // The store.
    void rows_read(const table_rows& rows, support::instant now);
    void cancelled_rows_read(const cancelled_rows& rows, support::instant now);
    void cancelled_written(bool is_written, support::instant now);
    void registration_answered(const registration_written& answer,
                               support::instant now);

    /// Begins a planned stop. All callers are answered by \p last_answers, so
    /// that new jobs that cannot end by then are refused at once.
    void stop_requested(support::instant last_answers, support::instant now);
    /// Gives every waiting caller its final answer, as the time for a planned
    /// stop is nearly over.
    void stop_forced(support::instant now);
    void tick(support::instant now);

    /// Returns whether new callers should be sent to this host.
    bool is_ready() const;
    /// Returns whether no job is open at this host or in its shards, so that
    /// other hosts can take them over.
    bool is_drained() const;
    std::size_t open_jobs() const
    {
        return this->intake.open_jobs();
    }
    /// Returns what became of the jobs of this host's callers.
    const intake_counts& intake_totals() const
    {
        return this->intake.counts();
    }
    const host_identity& identity() const
    {
        return this->options.self;
    }
    const config_view& config() const
    {
        return this->configs.active();
    }
    const std::map<int, std::unique_ptr<shard_owner>>& owned_shards() const
    {
        return this->shards;
    }
    const host_view& hosts() const
    {
        return this->view;
    }
    const shard::evacuations& evacuations() const
    {
        return this->evacuation_state;
    }
    bool store_is_available() const
    {
        return this->table.is_available();
    }
    const learned_speeds& run_times() const
    {
        return *this->speeds;
    }
    /// Returns the time since another host last told of run times, if any did.
    std::optional<support::decision_clock::duration> speed_report_age() const
    {
        return this->speeds->report_age(this->current_time);
    }
    /// Returns the age of what this host knows of the endpoints in the store,
    /// as of the last event, or nothing before the first read.
    std::optional<support::decision_clock::duration> endpoints_age() const
    {
        const auto as_of = this->table.endpoints_as_of();
        if (!as_of)
            return std::nullopt;
        return this->current_time - *as_of;
    }
    /// The same for the configuration.
    std::optional<support::decision_clock::duration> config_age() const
    {
        const auto as_of = this->table.config_as_of();
        if (!as_of)
            return std::nullopt;
        return this->current_time - *as_of;
    }
    /// Returns for how long a peer has had a configuration that has not arrived
    /// here; 0 if none has.
    support::decision_clock::duration config_lag() const
    {
        const auto since = this->spread.behind_since();
        return since ? this->current_time - *since
                     : support::decision_clock::duration(0);
    }

private:
    void handle_heartbeat(const std::string& peer,
                          const schema::shard_heartbeat& heartbeat,
                          std::optional<support::instant> sent,
                          support::instant now);
    config_loader_hooks loader_hooks();
    config_spread_hooks spread_hooks();
    /// A document with a configuration has arrived from a peer or the store.
    /// Returns its version, or 0 if it has none.
    std::int64_t load_config(std::string document, const std::string& source);
    void tick_configs(support::instant now);
    /// Returns whether a configuration was heard of that is not in force here,
    /// so that a route that is missing here may exist.
    bool knows_newer_config() const;
    void deliver_submission(const std::string& owner,
                            const schema::job_submitted& job,
                            support::instant now);
    void decline(const std::string& peer, const schema::job_submitted& job);
    /// Sends \p message with its times.
    void send(const std::string& peer, schema::shard_message message);
    /// Returns when a message of \p peer was sent, or earlier; nothing if that
    /// is not known.
    std::optional<support::instant>
    sent_at(const std::string& peer, const schema::shard_message& message,
            support::instant now);
    /// Passes a job of \p peer to its shard, if the peer is live that sent it
    /// at \p sent or later.
    void accept_submission(const std::string& peer,
                           const schema::job_submitted& job,
                           std::optional<support::instant> sent,
                           support::instant now);
    /// Returns whether an order for a job of \p peer may be given under the
    /// active configuration. Otherwise the job is held until it may, or
    /// refused.
    bool config_allows(const std::string& peer,
                       const schema::job_submitted& job,
                       std::optional<support::instant> sent,
                       support::instant now);
    /// Passes on the held jobs whose configuration has become active, and
    /// refuses those that have waited for too long.
    void release_held(support::instant now);
    void refuse_submission(const std::string& peer,
                           const schema::job_submitted& job,
                           const std::string& reason, support::instant now);
    bool knows_cancelled_jobs(support::instant now) const;
    /// Tells the owner of a job's home shard that the job is cancelled.
    void tell_cancellation(const std::string& owner,
                           const schema::job_cancelled& job);
    /// Cancels a job in a shard of this host. Returns nothing if this host does
    /// not own the shard.
    /// Has other hosts keep a cancellation for the successors of this owner.
    void share_cancellation(const schema::job_cancelled& job);
    std::optional<schema::cancellation_recorded>
    record_cancellation(const schema::job_cancelled& job, support::instant now);
    void report_end(const std::string& host, const schema::job_ended& end);
    /// Passes the results that owned shards reported to the intake. Must be
    /// called last by every function that calls a shard or makes the intake
    /// submit.
    void deliver_local_results(support::instant now);
    /// Logs a tick that comes \p gap after the last one if that is late.
    void note_tick_gap(support::decision_clock::duration gap,
                       support::instant now);
    /// Must be called first by every function that handles an event: after a
    /// pause of this process, gives all shards up before anything else happens.
    void begin_event(support::instant now);
    /// Returns for how long \p request may have waited before it was read.
    support::milliseconds waiting_time(const caller_submission& request,
                                       support::instant now) const;
    /// Returns the owned shard \p number of \p domain, or null.
    shard_owner* find_shard(const std::string& domain, int number);
    shard_hooks hooks_for_shard(int number);
    void update_ownership(support::instant now);
    /// Updates ownership if an endpoint has just accepted a higher token.
    void update_ownership_if_fenced(support::instant now);
    void claim(int number, support::instant now);
    /// Logs what the claim of a shard rests on, before anything is read anew.
    void log_claim(int number, fencing_token token, support::instant now);
    void release_shard(int number, const std::string& reason,
                       support::instant now);
    /// Updates the view with the shards of this host and their load.
    void update_owned();
    std::vector<schema::ownership> owned_now() const;
    /// Hands the shards of a stopping host over once that is due.
    void begin_handover_if_due(support::instant now);
    /// Offers a shard of this host to a much stronger host of the domain.
    void offer_shard(support::instant now);
    void send_heartbeats(support::instant now, bool to_all);
    /// Returns the leaving endpoints that \p peer is to be told of on its link.
    std::vector<schema::leaving_endpoint> news_for(const std::string& peer,
                                                   support::instant now);
    /// Applies a change of the evacuated domains, if there is one, and tells
    /// the peers at once.
    void update_evacuations(support::instant now);
    /// Logs requests to evacuate a domain where no endpoint is.
    void check_evacuated_domains();
    /// Tells the peers that do not follow the endpoints of those that leave,
    /// without waiting for the next heartbeat.
    void tell_lacking_peers(support::instant now);
    /// Returns whether a shard of this host, for the first time since its
    /// claim, is not adopting any more: jobs may wait elsewhere until that is
    /// heard.
    bool has_settled_shard();
    /// Tells \p owner what this host has open there. Must follow all
    /// submissions to it.
    void send_open_jobs(const std::string& owner);
    /// Ends the open jobs when this host has lost all its peers.
    void end_jobs_if_isolated();
    /// Tells owners with new tokens what this host has open there.
    void answer_new_owners();
    /// Ends the adoption window of shards that all live hosts have answered.
    void end_answered_adoptions();
    /// Returns the longest time in microseconds since a host was heard whose
    /// jobs this host's shards have.
    std::int64_t longest_caller_silence() const;
    schema::shard_message make_heartbeat(bool to_own_domain) const;
    /// Prepares a report of learned run times for few peers, if one is due.
    void prepare_speed_report(support::instant now);
    /// Adds the report to a heartbeat if it was prepared for \p peer.
    void add_speed_report(const std::string& peer,
                          schema::shard_heartbeat& heartbeat);
    /// Sends a heartbeat, with what \p peer must know to succeed this host, and
    /// with endpoints that are \p known_here.
    void
    send_heartbeat(const std::string& peer, schema::shard_message message,
                   const std::vector<schema::held_endpoint>& known_here = {});
    /// Applies what \p peer tells of its endpoints. Returns whether it must be
    /// answered at once.
    bool apply_succession(const std::string& peer,
                          const schema::shard_heartbeat& heartbeat,
                          std::optional<support::instant> sent,
                          support::instant now);
    /// Returns whether this host knows all endpoints of shard \p number where
    /// earlier owners may have runs.
    bool knows_endpoints_of(int number, support::instant now) const;
    /// Ends the wait of shards that no live process has known an earlier owner
    /// of, once the endpoints were read as late as one can have read them.
    void check_first_claims(support::instant now);
    /// Notes at which endpoints this host's shards may have runs.
    void update_succession(support::instant now);
    void update_shard_endpoints(support::instant now);
    /// Takes over the rooms that \p heartbeat tells of.
    void hear_rooms(const std::string& peer,
                    const schema::shard_heartbeat& heartbeat,
                    support::instant sent, support::instant now);
    /// Takes over the rooms of this host's shards.
    void note_own_rooms();

    entry_host_options options;
    entry_host_hooks hooks;
    support::instant current_time;
    support::instant last_tick;
    support::line_limit late_ticks;
    /// The last pause of this process.
    support::instant paused_at;
    support::instant woke_at;
    support::instant next_local_heartbeat;
    support::instant next_remote_heartbeat;
    config_loader configs;
    config_spread spread;
    held_submissions held_jobs;
    /// When the active configuration became active.
    support::instant config_active_since;
    /// The version that was last read from the store.
    std::int64_t stored_config_version = 0;
    host_view view;
    succession successors;
    shard::evacuations evacuation_state;
    /// The last change of it that was applied.
    std::int64_t applied_evacuations = 0;
    support::instant next_succession_update;
    job_intake intake;
    shard::cancellations cancellations;
    cancellation_store stored_cancellations;
    directory table;
    /// Shared with the shards.
    std::shared_ptr<learned_speeds> speeds;
    support::instant next_speed_report;
    /// The report that is being sent, and to whom it still goes: run times to
    /// all, endpoints to hosts of this domain.
    schema::learned_speeds_report speed_report;
    std::set<std::string> speed_targets;
    /// Counts the reports, so that other owners get them in turn.
    std::size_t speed_reports = 0;
    /// By number; all belong to this host's domain.
    std::map<int, std::unique_ptr<shard_owner>> shards;
    /// This host is stopping, and others may claim its shards.
    bool is_handing_over = false;
    /// Why this host last gave each shard up.
    std::map<int, std::string> release_reasons;
    std::optional<int> offered;
    support::instant offer_ends;
    std::int64_t shard_endpoints_version = -1;
    std::int64_t shard_doubts_version = -1;
    bool stopping = false;
    /// While stopping: when the last callers are answered.
    support::instant last_answers;
    /// Shards with endpoints that accepted a higher token than this host's, and
    /// whether all of these had accepted this host's before.
    std::map<int, bool> fenced;
    bool is_isolated = false;
    /// A link was opened or closed since ownership was last updated.
    bool links_have_changed = false;
    /// What a peer was told of leaving endpoints on its present link.
    struct told_news
    {
        /// The number of the last news, and the version that the peer had read
        /// to then.
        std::int64_t last = 0;
        std::int64_t version = 0;
    };
    std::map<std::string, told_news> told_peers;
    /// As the last heartbeat to all said.
    bool lacked_endpoints = false;
    /// The owners that the last heartbeats named.
    std::vector<schema::heard_owner> last_heard;
    /// Owned shards that this process knew no earlier owner of, while others
    /// are asked whether they do.
    std::set<int> first_claims;
    /// By shard: the last token under which it was not adopting.
    std::map<int, fencing_token> settled_tokens;
    struct peer_clock
    {
        /// Of the peer's process.
        std::int64_t nonce = 0;
        link_clock clock;
    };
    /// Kept while a peer dials again.
    std::map<std::string, peer_clock> clocks;
    /// The peers whose malformed rooms were logged.
    std::set<std::string> malformed_rooms;
    order_id last_order = 0;
    /// By owner and shard: the token that was answered with this host's jobs.
    std::map<std::string, std::map<int, fencing_token>> answered_tokens;
    /// By peer and shard: this host's token that the peer has answered so.
    std::map<std::string, std::map<int, fencing_token>> answered_by;
    /// Results of jobs of this host's own callers. Queued until the shard that
    /// reported them has returned, since the intake may submit the job to
    /// another shard at once.
    std::deque<schema::job_ended> local_results;
};

} // namespace chicorydrum::shard
