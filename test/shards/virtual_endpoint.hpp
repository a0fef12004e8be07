/// \file
/// Simulates an endpoint in virtual time. It runs tasks under leases and
/// fencing tokens, and reports every run beyond its capacity.
#pragma once

#include "chicorydrum/shard/messages.hpp"
#include "fleet/event_queue.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicorydrum::shards
{

struct virtual_endpoint_options
{
    schema::endpoint_registration entry;
    /// Run time of a task against its work: 2 takes twice as long.
    double slowness = 1;
    /// How much slower its clock runs than true time.
    double clock_slowness = 0;
    std::int64_t clock_start_ms = 100000;
    support::milliseconds longest_lease{1000};
    support::milliseconds stop_time{50};
};

enum class order_kind
{
    start,
    stop,
    list,
};

/// Orders that get no answer and are executed later, as the platform allows
/// for every call.
struct late_order_rules
{
    /// Share of the orders of these kinds that are late.
    int percent = 0;
    std::set<order_kind> kinds = {order_kind::start, order_kind::stop,
                                  order_kind::list};
    support::milliseconds least{2000};
    support::milliseconds most{12000};
    /// An order that was sent to an earlier incarnation is executed by the
    /// present one.
    bool survive_restart = false;
    /// The lease that an order grants is counted from its execution.
    bool lease_counts_from_execution = false;
};

/// What the platform leaves open about an endpoint's answers.
struct answer_rules
{
    /// Most ends in one list; later lists have the rest.
    std::size_t ends_per_list = 500;
    /// A run that is being stopped is not listed as active any more, although
    /// it occupies its capacity until its end is listed.
    bool omits_stopping_runs = false;
    /// Starts beyond the capacity are rejected, but extend the lease.
    bool guards_capacity = false;
};

/// How a new incarnation differs from the previous one; by default only in the
/// time of its start.
struct new_incarnation
{
    std::optional<std::int64_t> clock_start_ms = std::nullopt;
    /// The time of day may have been set back since the previous start.
    std::optional<std::int64_t> born_ms = std::nullopt;
    std::optional<std::int64_t> millicores = std::nullopt;
    std::optional<std::vector<std::string>> labels = std::nullopt;
    std::optional<double> slowness = std::nullopt;
    /// The connections to the previous one close: hosts that reach the endpoint
    /// learn of it, and orders on such a connection are lost. Otherwise hosts
    /// notice nothing, and their next orders reach the new one.
    bool closes_connections = false;
};

constexpr support::milliseconds early_failure{300};

/// The fault injected into an endpoint.
enum class endpoint_fault
{
    none,
    /// No message arrives or leaves; runs continue.
    cut_off,
    /// The process is down and its runs are lost.
    dead,
    /// Starts are executed late and never answered.
    late_starts,
    /// Starts are executed, but the connection fails before the answer.
    loses_answers,
    /// Tasks make no progress.
    hangs,
    /// Every task fails.
    fails_all,
    /// Tasks that start fail after early_failure.
    fails_early,
    /// Another process uses its address, and its runs are lost.
    replaced,
};

class virtual_endpoint
{
public:
    virtual_endpoint(virtual_endpoint_options opts, fleet::event_queue& events,
                     std::function<void(const std::string&)> on_violation,
                     std::uint64_t seed);

    const schema::endpoint_registration& entry() const
    {
        return this->options.entry;
    }
    schema::endpoint_registration& entry()
    {
        return this->options.entry;
    }
    void set_fault(endpoint_fault fault);
    void set_late_orders(late_order_rules rules)
    {
        this->late_orders = rules;
    }
    void set_answers(answer_rules rules)
    {
        this->answers = rules;
    }
    /// Starts a new incarnation under the same id, without runs or tokens.
    void restart(const new_incarnation& next = {});

    // Calls from hosts. A call may stay unanswered.
    void start(const shard::start_order& order,
               std::function<void(shard::order_answered)> reply);
    void stop(const shard::stop_order& order,
              std::function<void(shard::order_answered)> reply);
    void list(const shard::list_request& request,
              std::function<void(shard::runs_listed)> reply);

    /// Resets the connections of list requests that are held open.
    void reset_lists();

    /// Counts the incarnations.
    int incarnation_number() const
    {
        return this->incarnation;
    }

    bool is_up() const
    {
        return this->fault != endpoint_fault::dead;
    }
    bool is_running(const shard::task_key& task) const
    {
        return this->running.contains(task);
    }
    std::size_t running_count() const
    {
        return this->running.size();
    }
    int starts() const
    {
        return this->start_count;
    }

    /// Work and resources of a task, queried at each start.
    std::function<support::milliseconds(const shard::task_key&)> work_of;
    std::function<schema::resources(const shard::task_key&)> need_of;
    /// Called when a run of a task begins or ends here.
    std::function<void(const shard::task_key&)> on_started;
    std::function<void(const shard::task_key&, shard::run_end)> on_ended;

private:
    struct run
    {
        std::int64_t number = 0;
        schema::resources need;
        support::instant began;
        support::milliseconds length{0};
        bool stopping = false;
        bool hangs = false;
        bool fails = false;
    };
    struct pending_list
    {
        shard::list_request request;
        std::function<void(shard::runs_listed)> reply;
    };

    std::int64_t clock_ms() const;
    /// Returns whether the next order, of \p kind, is late, and executes
    /// \p order then.
    bool defer(order_kind kind, std::function<void()> order);
    /// Returns what computes the lease end of an order that is received now
    /// and executed late.
    std::function<std::int64_t()>
    deferred_lease_end(std::int64_t wanted_end_ms) const;
    void execute_stop(const shard::stop_order& order,
                      std::function<void(shard::order_answered)> reply);
    void execute_list(const shard::list_request& request,
                      std::function<void(shard::runs_listed)> reply);
    /// Returns whether \p token is stale; adopts it otherwise.
    bool token_is_stale(shard::fencing_token token);
    void execute_start(const shard::start_order& order,
                       std::function<void(shard::order_answered)> reply);
    void begin_run(const shard::start_order& order);
    /// Returns whether \p need fits beside all runs.
    bool has_capacity_for(const schema::resources& need) const;
    /// Returns whether a call names another endpoint; it may name none.
    bool is_for_another(const shard::endpoint_address& to) const
    {
        return !to.id.empty() && to.id != this->options.entry.id;
    }
    /// Returns whether another process answers at the address.
    bool is_replaced() const
    {
        return this->fault == endpoint_fault::replaced;
    }
    void end_run(const shard::task_key& task, std::int64_t number,
                 shard::run_end how);
    void extend_lease(std::int64_t lease_end_ms);
    void check_lease();
    void answer_lists();
    shard::runs_listed make_list(shard::order_id order) const;

    virtual_endpoint_options options;
    fleet::event_queue& queue;
    std::function<void(const std::string&)> report_violation;
    std::minstd_rand random;
    endpoint_fault fault = endpoint_fault::none;
    late_order_rules late_orders;
    answer_rules answers;
    int incarnation = 0;
    int start_count = 0;
    support::instant incarnation_began;
    shard::fencing_token highest_token = 0;
    std::int64_t lease_end_ms = 0;
    std::int64_t next_end = 1;
    std::map<shard::task_key, run> running;
    /// The highest run of each task that was stopped or has ended here.
    std::map<shard::task_key, std::int64_t> finished;
    std::vector<shard::listed_end> ends;
    std::vector<pending_list> pending_lists;
};

} // namespace chicorydrum::shards
