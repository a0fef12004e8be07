/// \file
/// Decides when and on which endpoint each waiting task starts.
#pragma once

#include "chicorydrum/decision/bundle_view.hpp"
#include "chicorydrum/decision/endpoint_pool.hpp"
#include "chicorydrum/decision/fair_queue.hpp"
#include "chicorydrum/decision/membership.hpp"
#include "chicorydrum/decision/slot_lease_manager.hpp"
#include "chicorydrum/decision/usage_model.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace chicorydrum::decision
{

/// Chooses the next record among those that may start. Comparisons replace
/// fair queueing with it.
using queue_policy = std::function<record_ptr(fair_queue&, const flow_filter&)>;

struct scheduler_options
{
    std::string self;
    endpoint_pool_options pool;
    slot_lease_options slot_leases;
    /// Fair queueing unless a comparison replaces it.
    queue_policy next_record =
        [](fair_queue& queue, const flow_filter& is_allowed)
    {
        return queue.peek(is_allowed);
    };
    /// Whether tasks that cannot finish in time are dropped before they start.
    bool drops_late_tasks = true;
    /// Whether slots are borrowed from peers and tasks offered to other
    /// domains.
    bool shares_work = true;
};

/// A running attempt, on an own endpoint or at a host of another domain.
struct running_attempt
{
    record_ptr record;
    std::size_t task = 0;
    std::string endpoint;
    /// The host that got the task as an offer; empty for an own endpoint.
    std::string peer;
    int slots = 0;
    support::instant started;
    /// When the endpoint is next queried for its state; never for offers.
    support::instant check_at = support::instant::max();
    support::decision_clock::duration check_interval{};
    int unreachable_checks = 0;
};

/// Callbacks of the scheduler.
struct scheduler_hooks
{
    /// A task of the record was sent to an endpoint or a peer.
    std::function<void(const running_attempt&)> on_started;
    /// The record's next task cannot finish before the deadline.
    std::function<void(const record_ptr&)> on_late;
    /// Logs a routing or placement decision about a submission.
    std::function<void(const std::string& id, support::log_line)> on_decision;
};

/// Owns the queue, the endpoints and the attempts of one host.
class scheduler
{
public:
    scheduler(scheduler_options opts, scheduler_hooks callbacks,
              const membership& peers, action_queue& actions);

    void adopt(const bundle_view& bundle);

    void enqueue(const record_ptr& record);
    /// Removes the waiting tasks of a record that has just finished.
    void drop_waiting(const record_ptr& record);

    /// Starts all tasks that can start now.
    void start_ready_tasks(support::instant now);

    /// Starts the single task of \p record on an own endpoint, or returns false
    /// if it cannot start at once: offers from other domains are never queued.
    bool start_now(const record_ptr& record, support::instant now);

    /// Removes and returns an attempt that ended. Returns none if it is
    /// unknown, since its answer came late.
    std::optional<running_attempt> finish(const attempt_finished& ended,
                                          support::instant now);

    /// Applies the result of a check; returns the end of the attempt if it has
    /// ended.
    std::optional<attempt_finished> resolve_check(const attempt_checked& check,
                                                  support::instant now);

    /// Requeues a task that was refused, so certainly not run.
    void requeue(const running_attempt& refused);

    /// Sets the number of idle slots that a peer reported.
    void set_peer_idle_slots(const std::string& host, int slots);
    /// Adds an idle slot: an offer to the peer succeeded and its slot is free.
    void add_peer_idle_slot(const std::string& host);
    /// Stops offers to a peer that refused one until it reports idle slots.
    void clear_peer_idle_slots(const std::string& host);
    /// Sets the number of hosts that the platform lists; team quotas are split
    /// among them.
    void set_quota_hosts(std::size_t hosts);

    /// Returns the attempts that were offered to \p host.
    std::vector<attempt_id> attempts_on_peer(const std::string& host) const;

    void tick(support::instant now);

    /// Prevents starts until resume(), as the host was paused and its host list
    /// may be outdated.
    void suspend()
    {
        this->suspended = true;
    }
    void resume()
    {
        this->suspended = false;
    }
    bool is_suspended() const
    {
        return this->suspended;
    }

    /// Returns whether \p work would miss its deadline behind the current queue
    /// if every backlogged flow uses its full share.
    bool would_be_late(const schema::submission& work) const;

    /// Returns the size of one task of \p work, corrected by the learned ratio.
    task_size size_of(const schema::submission& work, std::size_t task) const;

    endpoint_pool& endpoints()
    {
        return this->pool;
    }
    const endpoint_pool& endpoints() const
    {
        return this->pool;
    }
    slot_lease_manager& slot_leases()
    {
        return this->leases;
    }
    const slot_lease_manager& slot_leases() const
    {
        return this->leases;
    }
    std::size_t waiting_tasks() const
    {
        return this->queue.waiting_tasks();
    }
    std::size_t running_attempts() const
    {
        return this->attempts.size();
    }
    /// Returns the number of answers to attempts that had already ended.
    std::int64_t late_answers() const
    {
        return this->late_answer_count;
    }

private:
    double cost_of(const std::string& kind) const;
    double predicted_wait_seconds(const schema::submission& work) const;
    bool is_late(const submission_record& record, support::instant now) const;
    bool reserve_allows(const std::string& kind, int idle) const;
    bool quota_allows(const std::string& team) const;
    /// Returns whether the record should leave a slot on a slow endpoint to the
    /// backlog of other kinds and wait briefly for a faster one.
    bool should_wait_for_faster(const submission_record& record,
                                const endpoint_state& endpoint,
                                support::instant now) const;
    void release_stale_hold();
    /// Applies the queue policy to the flows that may start now.
    record_ptr next_allowed(const std::set<std::string>& blocked_kinds,
                            int idle);
    void start(const record_ptr& record, endpoint_state& endpoint, int needed,
               support::instant now);
    void log_start(const running_attempt& attempt,
                   const endpoint_state& endpoint) const;
    void hold_endpoint_for(const record_ptr& record, const task_size& size);
    void request_capacity(support::instant now);
    bool offer_to_peer(support::instant now);
    /// Returns the size declared by the caller, or else by the bundle for the
    /// kind.
    task_size declared_size(const schema::submission& work,
                            std::size_t task) const;
    support::decision_clock::duration
    initial_check_delay(const submission_record& record,
                        const endpoint_state& endpoint) const;
    void check_overdue_attempts(support::instant now);

    scheduler_options options;
    scheduler_hooks hooks;
    const membership& members;
    action_queue& out;
    const bundle_view* bundle = nullptr;
    fair_queue queue;
    endpoint_pool pool;
    slot_lease_manager leases;
    std::unordered_map<attempt_id, running_attempt> attempts;
    attempt_id next_attempt = 1;
    usage_model usage;
    std::unordered_map<std::string, int> slots_in_use_by_kind;
    std::unordered_map<std::string, std::size_t> running_by_team;
    /// Endpoint held free for a large task; empty if there is none.
    std::string held_endpoint;
    std::weak_ptr<submission_record> held_for;
    bool suspended = false;
    std::size_t quota_hosts = 1;
    /// Offers that each peer may still get, by the idle slots it reported.
    std::unordered_map<std::string, int> offers_left;
    double recent_starts = 0;
    double recent_offers = 0;
    std::int64_t late_answer_count = 0;
};

} // namespace chicorydrum::decision
