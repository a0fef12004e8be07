/// \file
/// Runs real entry hosts on loopback under injected faults. This process acts
/// as the platform's store, endpoints and callers, and checks the guarantees.
#pragma once

#include "chicorydrum/transport/http_client.hpp"
#include "chicorydrum/transport/http_server.hpp"
#include "process/process_fleet.hpp"
#include "shards/virtual_endpoint.hpp"
#include "tcp_proxy.hpp"

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace chicorydrum::faults
{

/// Size of the hosts' installation. Domains are named "d1", ...
struct session_shape
{
    int domains = 1;
    int hosts_per_domain = 3;
    int endpoints_per_domain = 4;
    /// Mbit/s; decides how many endpoints a shard has.
    double link_rate = 1000;
    int most_tasks = 3;
    int longest_work_ms = 330;
    int caller_timeout_ms = 2500;
    /// How long callers wait before they close the connection.
    int caller_patience_ms = 3500;
    /// What each task needs of an endpoint's 16,000.
    int task_millicores = 6800;
    /// Most changes in one answer of the store.
    int rows_per_answer = 500;
    /// Of the hosts, in turn.
    std::vector<double> processor_shares = {0.25};
    /// Every link of a host is its own, so that it can lose its power.
    bool loses_power = false;
    /// Endpoints that may join a domain in the session.
    int later_endpoints_per_domain = 0;
    /// What the link of each host carries, in Mbit/s; 0 for any number. Needs
    /// links of its own.
    double host_link_rate = 0;
    /// Starts on leaving endpoints are checked by the host that ordered them,
    /// and not by the store alone.
    bool checks_contact = false;

    /// An endpoint and the link to it, or its address alone if each host has a
    /// link of its own.
    int ports_per_endpoint() const
    {
        return this->loses_power ? 1 : 2;
    }
};

/// Four domains of two shards each.
session_shape installation_shape();
/// Two domains of two shards each, whose hosts may lose their power.
session_shape power_shape();
/// The users' installation: four domains of seven unequal hosts and several
/// shards.
session_shape whole_shape();
/// The same without losses of power, on links of 19 Mbit/s.
session_shape config_shape();

/// One domain of three hosts, with tasks that outlast a takeover.
session_shape successor_shape();

/// How the store refuses a host that it does not serve.
enum class store_refusal
{
    silent,
    /// Each call is answered with 503.
    busy,
    reset,
};

class fault_session
{
public:
    explicit fault_session(std::uint64_t seed, session_shape shape = {});
    ~fault_session();

    /// Runs one session; returns the violated guarantees.
    std::vector<std::string> run_session();
    /// Runs a session in which all hosts start anew or stand still, more than
    /// once, while the store is silent, refuses some of them, lags or forgets,
    /// and endpoints leave; returns the violated guarantees.
    std::vector<std::string> run_installation();
    /// Runs a session in which hosts lose their power, one after the other or
    /// all at once, beside cuts between hosts, stalls, floods, and endpoints
    /// that restart or are late; returns the violated guarantees.
    std::vector<std::string> run_power();
    /// Runs a session in which endpoints come and go all the time while hosts
    /// are restarted one by one, lost alone, in chains and all at once, and the
    /// store is in trouble; returns the violated guarantees.
    std::vector<std::string> run_whole();
    /// Runs a session in which a configuration of 1,400 routes changes in
    /// series, beside planned restarts and a store that refuses some hosts;
    /// returns the violated guarantees.
    std::vector<std::string> run_configs();
    /// Runs a session in which hosts are restarted in turn while their reads of
    /// the endpoints differ; returns the violated guarantees.
    std::vector<std::string> run_successors();
    /// Runs a session without faults in which another writer leaves odd rows in
    /// all tables; returns the violated guarantees.
    std::vector<std::string> run_odd_entries();
    const std::string& directory() const
    {
        return this->work_directory;
    }

private:
    struct entry_process
    {
        std::string name;
        std::string domain;
        int callers_port = 0;
        int first_port = 0;
        std::unique_ptr<process_test::child_process> child;
        /// Between the host and the store.
        tcp_proxy* store_proxy = nullptr;
        /// Before the callers' port, if hosts lose their power.
        tcp_proxy* callers_proxy = nullptr;
        bool is_stopping = false;
        bool is_dark = false;
        /// The store answers its calls with 503.
        bool is_store_busy = false;
        /// The end of the last disturbance of its process or its links.
        support::instant calm_since;
        /// The store does not serve it until then.
        support::instant refused_until;
        /// If the installation's links have a rate.
        std::unique_ptr<link_rate> rate;
    };
    struct endpoint_server
    {
        std::unique_ptr<shards::virtual_endpoint> endpoint;
        std::unique_ptr<transport::http_server> server;
        /// One for all hosts; if hosts lose their power, one for each of its
        /// domain.
        std::vector<tcp_proxy*> proxies;
        std::optional<support::instant> draining_since;
        /// The end of the last fault of its links.
        support::instant calm_since;
        std::int64_t reports = 0;
        /// It does not reach the store until then.
        support::instant silent_until;
        bool has_exited = false;
    };
    struct caller_state
    {
        int tasks = 0;
        int work_ms = 0;
        int attempts = 0;
        int patience_ms = 0;
        /// Of the last attempt.
        std::size_t host = 0;
        bool was_always_refused = true;
        int final_status = 0;
    };

    /// Brings the clock of the endpoints up to date, so that a session that was
    /// delayed does not handle a request before a lapse that was due earlier.
    void advance_time();
    void start_host(entry_process& host);
    void add_endpoint(const std::string& id, const std::string& domain,
                      int port);
    void add_host(const std::string& name, const std::string& domain, int port);
    void note_start(const std::string& endpoint, const shard::task_key& task);
    /// Notes that \p host is disturbed for \p span.
    void disturb(entry_process& host, support::milliseconds span);
    /// Reports a start on a leaving endpoint if the host that ordered it was in
    /// touch.
    void check_leaving(const endpoint_server& where,
                       const shard::task_key& task);
    std::size_t pick_host()
    {
        return static_cast<std::size_t>(
            this->pick(static_cast<int>(this->hosts.size())));
    }
    /// Waits until all hosts are ready; false after a time limit.
    bool wait_ready();
    void submit_for(support::milliseconds span, int longest_gap_ms);
    tcp_proxy& add_proxy(const proxy_route& route);
    /// The address from which a host's links are seen to come, and to which it
    /// sends: one for each host that may lose its power.
    std::string address_of(std::size_t host) const;
    /// Null if no host that may lose its power has it.
    entry_process* host_at(const std::string& address) const;
    void add_power_links(entry_process& host);
    /// Gives the links of all hosts their rate.
    void set_link_rates();
    /// Shows \p rows to the host that reads them at \p reader: with the
    /// addresses of its own links.
    void localize(nlohmann::json& rows, const std::string& reader) const;
    /// Writes to the session's own log, beside those of the hosts.
    void note(const std::string& what);
    void lose_power(std::size_t host, bool callers_notice);
    void restore_power(std::size_t host);
    void plan_loss(std::size_t host, support::milliseconds when,
                   support::milliseconds span);
    void plan_chain(support::milliseconds when);
    void plan_blackout(support::milliseconds when);
    void plan_cut(support::milliseconds when);
    void plan_stalls(support::milliseconds when);
    void plan_endpoint_restarts(support::milliseconds when);
    void plan_late_endpoints(const std::string& domain,
                             support::milliseconds when);
    void plan_flood(support::milliseconds when);
    std::vector<std::size_t> hosts_of(const std::string& domain) const;
    std::string pick_domain()
    {
        return "d" + std::to_string(1 + this->pick(this->shape.domains));
    }
    /// Returns the host of a job's next attempt.
    std::size_t next_host(const caller_state& caller);
    /// Checks that all hosts are ready again and serve.
    void check_recovery();
    void plan_restarts(support::milliseconds when);
    void plan_standstill(support::milliseconds when);
    void plan_store_trouble(support::milliseconds when);
    void plan_leaving(support::milliseconds when);
    /// The store does not serve \p host for a time, and may serve others.
    void plan_refusal(entry_process& host, store_refusal kind,
                      support::milliseconds when, support::milliseconds span);
    void plan_refusals(support::milliseconds when);
    /// Plans that an endpoint at work loses the store, and its entry.
    void plan_lapse(support::milliseconds when);
    void plan_absence(support::milliseconds when);
    void plan_outage(support::milliseconds when);
    void plan_isolation(support::milliseconds when);
    void plan_rolling_restart(support::milliseconds when);
    void finish_renewal(entry_process& host);
    /// Plans one of what endpoints do all the time, and then the next.
    void change_endpoints(support::instant end);
    void join(const std::string& domain);
    void leave(endpoint_server& server, support::milliseconds served_on);
    void restart_endpoint(endpoint_server& server);
    void exit_endpoint(endpoint_server& server);
    /// Those of \p domain that take work.
    std::vector<endpoint_server*> endpoints_of(const std::string& domain) const;
    /// Sets whether the store is disturbed for all hosts.
    void set_store(bool is_up, bool lags);
    /// Kills \p host if it runs, and starts it after \p span.
    void restart_host(entry_process& host, support::milliseconds span);
    void serve_store(transport::exchange_id id,
                     const transport::http_request& request);
    struct table_wait
    {
        std::string table;
        std::string reader;
        std::int64_t after = 0;
        support::instant until;
    };
    void answer_changes(transport::exchange_id id, const table_wait& wait);
    void serve_endpoint(endpoint_server& where, transport::exchange_id id,
                        const transport::http_request& request);
    struct stored_row
    {
        std::string value = {};
        std::int64_t version = 0;
        std::string part = {};
        /// The row's key if it is in another part than the empty one.
        std::string key = {};
        bool is_removed = false;
    };
    /// Gives \p row the next version.
    void store_row(const std::string& table, const std::string& key,
                   stored_row row);
    void put_row(const std::string& table, const std::string& key,
                 const std::string& value);
    void remove_row(const std::string& table, const std::string& key);
    void put_config();
    /// Adds \p added routes to the configuration and removes one that is there.
    void change_config(int added);
    void plan_config_changes(support::instant end);
    void plan_renewal(entry_process& host, support::milliseconds when);
    /// Asks a host for a route that was added or removed.
    void probe_config();
    /// Reports what says that a host took another one for lost.
    void check_nobody_lost();
    /// Returns how many dials by \p host took too long where it or the dialled
    /// host was renewed in the session.
    int count_slow_dials(const entry_process& host) const;
    /// Writes the endpoint's entry to the store.
    void put_entry(endpoint_server& server);
    /// Writes it again and again, as long as the endpoint is there.
    void report_endpoint(endpoint_server& server);
    void put_odd_rows();
    /// Sends jobs until some more are completed; false after a time limit.
    bool serve_jobs();
    bool wait_for(const std::function<bool()>& condition);
    int count_log_lines(const entry_process& host,
                        const std::string& text) const;
    static std::int64_t resident_kb(const entry_process& host);
    void check_hosts();
    void submit_one();
    void send(const std::string& job, std::size_t host);
    void handle_answer(const std::string& job,
                       const transport::client_outcome& outcome);
    void plan_faults();
    void plan_fault(support::milliseconds when);
    void clear_faults();
    bool all_ready();
    void run_for(support::milliseconds span);
    void report_violation(const std::string& what);
    int pick(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(this->random);
    }

    std::uint64_t seed;
    session_shape shape;
    std::minstd_rand random;
    std::string work_directory;
    std::ofstream journal;
    transport::event_loop loop;
    support::instant began;
    support::instant last_pump;
    fleet::event_queue queue;
    transport::timer pump;
    transport::http_client calls;
    std::unique_ptr<transport::http_server> store;
    int store_port = 0;
    bool store_is_up = true;
    std::map<std::string, std::map<std::string, stored_row>> tables;
    /// What whole reads show while the store lags.
    struct stored_tables
    {
        std::map<std::string, std::map<std::string, stored_row>> tables;
        std::int64_t version = 0;
    };
    std::optional<stored_tables> lagging;
    struct stored_change
    {
        std::string table;
        std::string key;
        stored_row row;
        support::instant at;
    };
    /// Each change by itself, in the order of versions.
    std::deque<stored_change> history;
    /// Changes up to this version are forgotten.
    std::int64_t history_from = 0;
    /// Since when the store is up and does not lag.
    support::instant store_calm_since;
    std::int64_t store_version = 0;
    std::int64_t config_version = 0;
    /// A route beside the one of the jobs, by the number in its name.
    struct added_route
    {
        support::instant added_at;
        std::optional<support::instant> removed_at = {};
    };
    std::map<int, added_route> added_routes;
    /// Hosts that were stopped as planned and started again.
    std::set<std::string> renewed_hosts;
    int probes = 0;
    std::vector<std::unique_ptr<tcp_proxy>> proxies;
    /// All links with an end at a host, by its number; if hosts lose their
    /// power.
    std::map<std::size_t, std::vector<tcp_proxy*>> links_of;
    /// By the numbers of the host that dials and of the other one.
    std::map<std::pair<std::size_t, std::size_t>, tcp_proxy*> peer_links;
    std::vector<std::unique_ptr<entry_process>> hosts;
    std::vector<std::unique_ptr<endpoint_server>> endpoints;
    std::map<std::string, caller_state> callers;
    /// The host that sent the start under way.
    entry_process* starting_host = nullptr;
    /// By domain, the port of the next endpoint.
    std::map<std::string, int> next_endpoint_port;
    /// The worst delay of this process lately.
    support::instant late_at;
    support::milliseconds late_by{0};
    int open_calls = 0;
    int completed = 0;
    std::map<shard::task_key, std::set<std::string>> running_at;
    std::set<shard::task_key> done;
    std::set<std::string> started_jobs;
    /// The endpoint of the last start.
    std::string last_started;
    std::vector<std::string> recorded_violations;
};

} // namespace chicorydrum::faults
