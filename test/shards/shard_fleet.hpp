/// \file
/// Simulates entry hosts, endpoints, the store and callers in virtual time,
/// injects faults, and checks the guarantees on each start and answer.
#pragma once

#include "chicorydrum/shard/entry_host.hpp"
#include "fleet/event_queue.hpp"
#include "virtual_endpoint.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicorydrum::shards
{

/// Size and speed of an endpoint.
struct endpoint_profile
{
    std::int64_t millicores = 16000;
    /// Run time of a task against its work: 2 takes twice as long.
    double slowness = 1;
};

struct fleet_options
{
    int domains = 1;
    int hosts_per_domain = 3;
    int endpoints_per_domain = 4;
    int endpoints_per_shard = 32;
    std::uint64_t seed = 1;
    bool keeps_log = true;
    /// Processor shares of each domain's hosts, by number; 0.25 for the rest.
    std::vector<double> powers = {};
    /// Assigned round-robin to each domain's endpoints.
    std::vector<endpoint_profile> profiles = {{}};
    /// A host that resumes handles all events that arrived meanwhile before its
    /// next tick, as an event loop does; otherwise in the order of their times.
    bool resumes_with_events = false;
    /// Whether callers resend a lost job to hosts of any domain.
    bool copies_leave_domain = false;
    /// Answers of endpoints take up to this long, so that they overtake each
    /// other.
    support::milliseconds longest_answer_delay{0};
    /// Hosts connect only if one of them has read the other's row in the table.
    bool links_need_rows = false;
    /// Bytes that each host's link carries in a millisecond, each way; 0 for
    /// any number. Calls to endpoints queue in it.
    double link_bytes_per_ms = 0;
    /// The same for messages between hosts and the store's answers with a
    /// configuration.
    double peer_bytes_per_ms = 0;
    /// Time that a whole core takes to decode one route. A host has its
    /// processor share of a core, and does nothing else meanwhile.
    support::microseconds decode_time{0};
    /// Rows that the store's answer to a read of changes holds.
    std::size_t changes_per_answer = 500;
    /// Interval in which each endpoint reports to the store, which changes its
    /// row; 0 for only when its entry changes.
    support::milliseconds report_interval{0};
    /// Whether the log also has the faults, the runs that begin and end, and
    /// the lists that endpoints execute.
    bool is_traced = false;
};

/// A caller's job and the answer it got.
struct caller_record
{
    std::string id;
    std::string host;
    support::instant sent;
    support::instant answered;
    std::optional<shard::answer_kind> answer;
    support::milliseconds retry_after{0};
    int attempts = 0;
    bool has_disconnected = false;
    /// The answer to the last cancelling call, and when it came.
    std::optional<shard::answer_kind> cancel_answer = {};
    support::instant cancelled_at = {};

    /// Returns whether no task of it may start any more.
    bool is_cancelled() const
    {
        return this->cancel_answer == shard::answer_kind::cancelled ||
               this->cancel_answer == shard::answer_kind::unknown_job;
    }
};

/// How much longer a task takes away from its data; the product's default.
constexpr int far_factor = 2;

struct job_shape
{
    int tasks = 4;
    std::int64_t millicores = 6800;
    std::int64_t memory_mb = 0;
    support::milliseconds work{100};
    /// Run time that the caller declares; 0 means `work`.
    support::milliseconds estimate{0};
    support::milliseconds timeout{2000};
    std::string route = "quote";
    /// Appended to the id in the path.
    std::string id_suffix = {};
    /// The label that an endpoint must have, if any.
    std::string required_label = {};
    /// The rack that holds the data, if any; elsewhere a task takes far_factor
    /// times as long.
    std::string preferred_rack = {};
    bool wants_one_rack = false;
    /// How long the request waits in its connection before it is read.
    support::milliseconds waited{0};
};

/// A simulated installation. In domain "D1" the hosts are named "D1-h1", ...
/// and the endpoints "D1-e1", ...
class shard_fleet
{
public:
    explicit shard_fleet(fleet_options opts);
    ~shard_fleet();

    void run_for(support::milliseconds span);
    support::instant now() const
    {
        return this->queue.now();
    }
    void at(support::milliseconds when, std::function<void()> hook);

    // Callers.
    /// Sends a job to \p host. After a lost call it is resent to another host
    /// of the domain, as callers do.
    std::string submit(const std::string& host, const job_shape& shape = {});
    /// Sends a refused job again to the same host.
    void submit_again(const std::string& job);
    /// Sends the request of \p job once more, to \p host.
    void repeat(const std::string& job, const std::string& host);
    /// Cancels \p job at \p host.
    void cancel(const std::string& job, const std::string& host);
    void disconnect_caller(const std::string& job);
    /// Sends the copies of all lost jobs to \p host.
    void send_copies_to(const std::string& host);
    /// Breaks the connection of a job's caller. Its host learns of it after
    /// \p told_after, if given. The copy is sent after \p copy_after, if given,
    /// else after the usual delay.
    void
    lose_caller(const std::string& job,
                std::optional<support::milliseconds> told_after = std::nullopt,
                std::optional<support::milliseconds> copy_after = std::nullopt);
    const caller_record& caller(const std::string& job) const;
    int answered(shard::answer_kind kind) const;
    int unanswered() const;
    int submitted() const
    {
        return static_cast<int>(this->callers.size());
    }

    // Faults.
    void kill(const std::string& host);
    /// Ends \p host like kill(), but its links stay open and silent until its
    /// peers close them or it starts again. Its callers send copies after the
    /// usual delay.
    void lose_power(const std::string& host);
    void start(const std::string& host);
    void stop_gracefully(const std::string& host);
    void pause(const std::string& host, support::milliseconds span);
    /// Pauses \p host like pause(); its steady clock stands still meanwhile.
    void suspend(const std::string& host, support::milliseconds span);
    /// Drops all messages between two sets of hosts, endpoints or "store".
    /// Those between hosts are held up until heal(), unless their link is
    /// closed before. Returns the number of the partition.
    int partition(const std::set<std::string>& one,
                  const std::set<std::string>& other);
    /// Drops messages from \p from to \p to only.
    int partition_one_way(const std::set<std::string>& from,
                          const std::set<std::string>& to);
    /// Ends one partition; others stay.
    void heal(int partition_number);
    void heal();
    void reset_links(const std::string& host);
    /// Closes the link between two hosts, which dial again.
    void close_link(const std::string& one, const std::string& other);
    /// Resets the links of \p host and its callers' connections.
    void reset_channels(const std::string& host);
    /// Makes the links of \p host swallow all messages until they are closed
    /// as silent.
    void silence_links(const std::string& host);
    void set_store_up(bool is_up);
    void discard_history();
    /// Makes reads of whole tables show the rows as they were \p lag ago.
    void set_read_lag(support::milliseconds lag);
    /// The same for the reads of one host, which has lost the history of
    /// changes.
    void set_read_lag(const std::string& host, support::milliseconds lag);
    /// Ends the lag of the reads of all hosts.
    void end_read_lags();
    /// Makes the store take \p delay for each read of \p host; the answer shows
    /// the rows as they were when it was asked for.
    void set_read_delay(const std::string& host, support::milliseconds delay);
    /// Makes each answer of \p endpoint take between \p least and \p most.
    /// Its orders are executed in time.
    void set_answer_delay(const std::string& endpoint,
                          support::milliseconds least,
                          support::milliseconds most);
    void set_usual_answer_delay(const std::string& endpoint);
    /// Makes each message between \p host and others wait for \p delay, each
    /// way, as in the queue of its link.
    void set_peer_delay(const std::string& host, support::milliseconds delay);
    /// Stores a configuration whose first route is the most urgent.
    void set_config(std::int64_t version,
                    const std::vector<std::string>& routes);
    /// The operator asks to evacuate \p domain, or ends that.
    void request_evacuation(const std::string& domain);
    void end_evacuation(const std::string& domain);
    /// Another writer leaves a row in the place of a request.
    void spoil_evacuation(const std::string& domain);
    void add_endpoint(const std::string& domain, int number);
    void set_draining(const std::string& endpoint);
    void remove_endpoint(const std::string& endpoint);
    /// Starts a new incarnation of \p endpoint, which the store lists after
    /// \p listed_after. Its clock starts at \p clock_start_ms, if given.
    void restart_endpoint(
        const std::string& endpoint,
        support::milliseconds listed_after = support::milliseconds(0),
        std::optional<std::int64_t> clock_start_ms = std::nullopt);
    void restart_endpoint(const std::string& endpoint,
                          support::milliseconds listed_after,
                          const new_incarnation& next);
    /// Removes the entry of \p endpoint, and lists it again after \p span.
    void unlist_endpoint(const std::string& endpoint,
                         support::milliseconds span);
    /// Another writer leaves an entry under the id of an endpoint that leads to
    /// \p other. The endpoint writes its own one again after \p span.
    void forge_entry(const std::string& id, const std::string& other,
                     support::milliseconds span);
    virtual_endpoint& endpoint(const std::string& id);

    // State queries.
    /// Returns whether the balancer sends callers to \p host.
    bool accepts_callers(const std::string& host) const;
    std::string owner_of(const std::string& domain) const;
    /// Returns the shard count of a domain as its hosts see it; 0 if they
    /// disagree.
    int shards_of(const std::string& domain) const;
    /// Returns the hosts of a domain that own a shard.
    std::vector<std::string> owner_names(const std::string& domain) const;
    /// Returns the number of owned shards of a domain; a shard with two owners
    /// counts twice.
    int owners_of(const std::string& domain) const;
    const shard::entry_host* host(const std::string& name) const;
    std::vector<std::string> host_names() const;
    std::vector<std::string> endpoint_names() const;
    const std::vector<std::string>& violations() const
    {
        return this->recorded_violations;
    }
    const std::vector<std::string>& log() const
    {
        return this->log_lines;
    }
    bool has_logged(const std::string& text) const;
    int starts_of(const std::string& job) const;

private:
    struct process
    {
        std::string domain;
        std::unique_ptr<shard::entry_host> host;
        int incarnation = 0;
        bool stopping = false;
        bool stop_was_forced = false;
        support::instant stop_began;
        support::instant paused_until;
        std::vector<std::function<void()>> deferred_events;
        std::map<shard::call_id, std::string> calls;
        std::map<shard::call_id, std::string> cancelling_calls;
        /// The hosts whose rows this process has read.
        std::set<std::string> known_hosts;
    };
    struct stored_row
    {
        std::int64_t version = 0;
        bool is_removed = false;
        std::optional<schema::host_record> host = {};
        std::optional<schema::endpoint_registration> endpoint = {};
        std::optional<shard::routing_config> config = {};
        /// The row is unusable.
        bool is_malformed = false;
    };

    using row_table = std::map<std::string, stored_row>;
    struct row_change
    {
        support::instant when;
        std::string key;
        stored_row row;
    };

    shard::entry_host_hooks hooks_for(const std::string& name, int incarnation);
    using host_event =
        std::function<void(shard::entry_host&, support::instant now)>;
    /// Runs \p hook on the host if it is still the same incarnation. A paused
    /// host runs it when it resumes.
    void deliver(const std::string& name, int incarnation, host_event hook);
    /// Returns whether messages from \p from to \p to are dropped.
    bool drops(const std::string& from, const std::string& to) const;
    bool are_partitioned(const std::string& one,
                         const std::string& other) const;
    void connect(const std::string& one, const std::string& other);
    void drop_link(const std::string& one, const std::string& other);
    void maintain_links();
    double power_of(const std::string& host) const;
    void tick(const std::string& name, int incarnation);
    void answer(const std::string& host, const shard::caller_answer& answer);
    void resend(const std::string& job);
    void send_job(const std::string& job, const std::string& host);
    void drop_calls(const std::string& host);
    void task_started(const std::string& endpoint, const shard::task_key& task);
    void task_ended(const shard::task_key& task, shard::run_end how);
    void store_row(shard::directory_table table, const std::string& key,
                   stored_row row);
    void read(const std::string& name, int incarnation,
              const shard::table_read& read);
    void write(const std::string& name, int incarnation,
               const shard::registration_write& write);
    void read_cancelled(const std::string& name, int incarnation);
    void write_cancelled(const std::string& name, int incarnation,
                         const shard::cancelled_write& write);
    /// Returns the rows of \p table as they were \p lag ago.
    row_table rows_before(shard::directory_table table,
                          support::milliseconds lag) const;
    /// Adds \p row to the answer to a read.
    static void append_row(shard::table_rows& rows, const std::string& key,
                           const stored_row& row);
    static void append_evacuation(shard::table_rows& rows,
                                  const std::string& key,
                                  const stored_row& row);
    /// Answers a read of changes: each change of a row by itself, in order, as
    /// many as one answer holds.
    void append_changes(shard::table_rows& rows, std::int64_t after) const;
    /// Returns what the configurations in the answer to a read take.
    double config_bytes(const shard::table_read& wanted) const;
    void report_endpoints();
    /// Returns the store's version \p lag ago.
    std::int64_t version_before(support::milliseconds lag) const;
    /// Returns whether hosts must know what was stored at \p since: the store
    /// was undisturbed for \p limit since then.
    bool must_know(support::instant since, support::milliseconds limit) const;
    /// Returns whether an endpoint of \p domain must get no new work: its
    /// evacuation was requested long enough ago, and no partition kept a host
    /// from the store and its peers since.
    bool must_be_evacuated(const std::string& domain) const;
    /// Records a time span in which the store is silent or lags.
    void set_store_disturbed(bool is_disturbed);
    void list_endpoint(const std::string& id);
    /// Closes the connections of all hosts to an endpoint, and tells those that
    /// reach it. For the others, their next order shows it.
    void close_connections(const std::string& id);
    support::microseconds answer_delay(const std::string& endpoint);
    support::milliseconds peer_delay(const std::string& host) const;
    /// Returns how long \p bytes that enter a link now take to leave it, if it
    /// carries \p rate bytes in a millisecond.
    support::microseconds queue_in_link(const std::string& link, double bytes,
                                        double rate);
    /// Keeps \p host busy while it decodes \p routes of a configuration.
    void charge_decoding(const std::string& host, int routes);
    /// Opens a configuration that was stored before, at \p host.
    support::result<shard::config_decoding>
    open_config(const std::string& host, const std::string& document,
                const shard::routing_config& known);
    /// Defers the events of \p host until \p end.
    void defer_events(const std::string& host, support::instant end);
    /// Returns the endpoint that listens at an address.
    virtual_endpoint& endpoint_at(const shard::endpoint_address& to);
    row_table& rows_of(shard::directory_table table)
    {
        return this->tables[static_cast<std::size_t>(table)];
    }
    void report_violation(const std::string& what);
    /// Adds a line to the log of a traced fleet.
    void trace(const std::string& what);
    void deliver_held_messages();
    /// A message has arrived in the link of the host \p to.
    void deliver_message(const std::string& from, const std::string& to,
                         int incarnation, const schema::shard_message& message);

    fleet_options options;
    fleet::event_queue queue;
    std::minstd_rand random;
    std::map<std::string, process> processes;
    std::map<std::string, std::unique_ptr<virtual_endpoint>> endpoints;
    std::set<std::pair<std::string, std::string>> links;
    std::set<std::pair<std::string, std::string>> silent_links;
    /// When each link has sent all that is queued in it.
    std::map<std::string, support::instant> links_free_at;
    /// Hosts and endpoints whose connections have closed unseen.
    std::set<std::pair<std::string, std::string>> closed_connections;
    /// Endpoints that have closed their connections at a restart.
    std::set<std::string> has_closed;
    struct held_message
    {
        std::string from;
        std::string to;
        int incarnation = 0;
        schema::shard_message message;
    };
    std::vector<held_message> held_messages;
    std::string host_of_copies;
    struct partition_rule
    {
        int number = 0;
        std::set<std::string> one;
        std::set<std::string> other;
        bool is_one_way = false;
    };
    std::vector<partition_rule> partitions;
    int next_partition = 1;
    struct delay_span
    {
        support::milliseconds least{0};
        support::milliseconds most{0};
    };
    std::map<std::string, delay_span> answer_delays;
    std::array<row_table, shard::directory_tables> tables;
    /// All changes of each table, for reads of earlier rows.
    std::array<std::vector<row_change>, shard::directory_tables> changes;
    support::milliseconds read_lag{0};
    struct host_lag
    {
        support::milliseconds lag{0};
        /// Changes up to this version are lost for the host.
        std::int64_t history_from = 0;
    };
    std::map<std::string, host_lag> host_lags;
    /// By host; other reads take the usual time.
    std::map<std::string, support::milliseconds> read_delays;
    std::map<std::string, support::milliseconds> peer_delays;
    struct time_span
    {
        support::instant from;
        std::optional<support::instant> to = {};
    };
    /// When the store was silent or lagged, in the order of time.
    std::vector<time_span> store_disturbances;
    /// The ids of cancelled jobs in the store.
    std::set<std::string> cancelled_rows;
    std::int64_t store_version = 0;
    std::int64_t history_from = 0;
    bool store_is_up = true;
    int next_job = 1;
    shard::call_id next_call = 1;
    std::map<std::string, caller_record> callers;
    std::map<std::string, job_shape> shapes;
    std::map<shard::task_key, std::set<std::string>> running_at;
    std::set<shard::task_key> done;
    std::map<std::string, int> job_starts;
    std::map<std::string, support::instant> draining_since;
    /// By domain, while a request stands.
    std::map<std::string, support::instant> evacuated_since;
    /// When a partition ended last.
    support::instant healed_at;
    std::vector<std::string> recorded_violations;
    std::vector<std::string> log_lines;
};

} // namespace chicorydrum::shards
