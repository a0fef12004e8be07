/// \file
/// Runs dispatchers in virtual time against fakes of their surroundings.
#pragma once

#include "event_queue.hpp"
#include "fake_endpoint.hpp"
#include "fake_platform.hpp"
#include "records.hpp"
#include "virtual_links.hpp"

#include "chicorydrum/decision/dispatcher.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chicorydrum::fleet
{

/// Deliberate faults, to show that the checker catches them.
enum class injected_fault
{
    none,
    start_twice,
    truncate_answer,
    cross_answers,
    report_not_run,
    drop_answer,
    answer_twice,
    start_on_leaving,
    revert_bundle,
    stop_early,
};

struct fleet_options
{
    std::uint64_t seed = 1;
    bool keeps_logs = true;
    event_queue::duration domain_latency = support::microseconds(250);
    event_queue::duration cross_latency = support::microseconds(500);
    event_queue::duration caller_latency = support::milliseconds(1);
    injected_fault fault = injected_fault::none;
    /// Changes the options of each dispatcher before it is created.
    std::function<void(decision::dispatcher_options&)> adjust;
};

/// Counts messages between hosts, and refused attempts.
struct message_counts
{
    std::int64_t heartbeats = 0;
    std::int64_t speed_reports = 0;
    std::int64_t denied_slot_requests = 0;
    std::int64_t refused_offers = 0;
    std::int64_t refused_attempts = 0;
    std::int64_t all_peer_messages = 0;
    std::int64_t bundle_messages = 0;

    /// Returns the messages that led to no start and no answer; a refusal
    /// wastes the request and the reply.
    std::int64_t wasted() const
    {
        return this->heartbeats + this->speed_reports +
               2 * (this->denied_slot_requests + this->refused_offers +
                    this->refused_attempts);
    }
};

/// Callbacks of the fleet; each may be empty.
struct fleet_hooks
{
    std::function<void(const std::string& host, const std::string& line)> log;
    /// Called when a call got its answer or lost its connection.
    std::function<void(std::size_t call)> call_ended;
};

class fleet
{
public:
    fleet(fleet_options opts, fleet_hooks callbacks);

    void add_host(const std::string& name, const std::string& domain);
    void add_endpoint(const decision::endpoint_listing& listing,
                      double slowness);

    void kill(const std::string& host);
    void restart(const std::string& host);
    void pause(const std::string& host);
    void resume(const std::string& host);
    void stop(const std::string& host);
    void force_stop(const std::string& host);
    void cut(const std::string& a, const std::string& b)
    {
        this->links.cut(a, b);
    }
    void heal();
    void set_leaving(const std::string& endpoint);
    void remove_from_list(const std::string& endpoint);
    void roll(const std::string& host, const std::string& text,
              const std::function<void(support::result<decision::bundle_step>)>&
                  done);

    /// Registers a submission; its payloads become `<name>/<task>`.
    void define(const std::string& name, submission_entry entry);
    /// Returns a full id under the home that \p host advertises, or advertised
    /// last.
    std::string id_at(const std::string& host, const std::string& key) const;

    /// Sends a defined submission through \p host; returns the call's index.
    std::size_t submit(const std::string& name, const std::string& host);
    std::size_t query(const std::string& name, const std::string& host,
                      bool cancel);

    void run_until(support::instant end)
    {
        this->queue.run_until(end);
    }
    support::instant now() const
    {
        return this->queue.now();
    }
    event_queue& events()
    {
        return this->queue;
    }
    fake_platform& platform()
    {
        return this->simulated_platform;
    }
    fake_endpoint& endpoint(const std::string& name)
    {
        return this->endpoints.at(name);
    }
    const run_records& records() const
    {
        return this->recorded;
    }
    bool is_alive(const std::string& host) const
    {
        return this->hosts.at(host).alive;
    }
    /// Null while the host is down.
    const decision::dispatcher* dispatcher(const std::string& host) const
    {
        return this->hosts.at(host).decisions.get();
    }
    std::vector<std::string> host_names() const;
    const message_counts& messages() const
    {
        return this->counted;
    }

private:
    struct virtual_host
    {
        std::string name;
        std::string domain;
        schema::incarnation self;
        int incarnation = 0;
        bool alive = false;
        bool paused = false;
        support::instant paused_since;
        std::unique_ptr<decision::dispatcher> decisions;
        /// Events that arrived while the host was paused.
        std::deque<decision::event> inbox;
        /// Time since which every poll of the host list succeeded.
        support::instant list_current_since;
        std::int64_t bundle_version = 0;
        /// Home that a caller may have cached when the host ended.
        std::optional<support::home> last_home;
    };

    void start_process(virtual_host& host);
    void deliver(const std::string& host, int incarnation,
                 decision::event event);
    void handle(virtual_host& host, const decision::event& event);
    void perform(virtual_host& host, decision::action& action);
    void perform_one(virtual_host& host, decision::answer_caller& action);
    void perform_one(virtual_host& host, decision::send_to_peer& action);
    void perform_one(virtual_host& host, decision::drop_peer& action);
    void perform_one(virtual_host& host, decision::start_attempt& action);
    void perform_one(virtual_host& host, decision::check_attempt& action);
    void perform_one(virtual_host& host, decision::claim_key& action);
    void perform_one(virtual_host& host, decision::read_key& action);
    void perform_one(virtual_host& host, decision::stop_finished& action);
    void perform_one(virtual_host& host, support::log_line& action);
    void begin_attempt(const std::string& host, int incarnation,
                       const decision::start_attempt& attempt,
                       support::decision_clock::duration after_leaving);
    support::decision_clock::duration
    time_after_leaving(const virtual_host& host,
                       const std::string& endpoint) const;
    support::decision_clock::duration
    run_time_of(const std::string& payload) const;
    void tick(const std::string& host, int incarnation);
    void poll(const std::string& host, int incarnation);
    void poll_once(virtual_host& host);
    void poll_bundle(const std::string& host, int incarnation);
    void record_adoption(virtual_host& host);
    void connect_all();
    std::size_t add_call(const std::string& name, const std::string& host,
                         bool is_submission);
    void drop_open_calls(const std::string& host);
    schema::answer corrupt_answer(const call_record& call,
                                  schema::answer answer);

    fleet_options options;
    fleet_hooks hooks;
    event_queue queue;
    fake_platform simulated_platform;
    virtual_links links;
    std::map<std::string, virtual_host> hosts;
    std::map<std::string, fake_endpoint> endpoints;
    std::map<std::string, support::instant> leaving_since;
    run_records recorded;
    message_counts counted;
    std::int64_t next_nonce = 1;
    std::int64_t next_roll = 1;
    bool fault_was_used = false;
};

} // namespace chicorydrum::fleet
