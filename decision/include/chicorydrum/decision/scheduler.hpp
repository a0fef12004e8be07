/// \file
/// Decides which waiting task starts where, and when.
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

/// Chooses the record to serve next among those that may start; replaces fair
/// queueing in comparisons.
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
    /// Whether a task that cannot finish in time is dropped before its start.
    bool drops_late_tasks = true;
    /// Whether slots are borrowed and tasks offered to other domains.
    bool shares_work = true;
};

/// One attempt that runs now, here or on a host of another domain.
struct running_attempt
{
    record_ptr record;
    std::size_t task = 0;
    std::string endpoint;
    /// The host that an offer went to; empty for an own endpoint.
    std::string peer;
    int slots = 0;
    support::instant started;
    /// When the endpoint is asked what became of it; never for offers.
    support::instant check_at = support::instant::max();
    support::decision_clock::duration check_interval{};
    int unreachable_checks = 0;
};

/// What the scheduler tells its owner.
struct scheduler_hooks
{
    /// A task of the record was handed to an endpoint or a peer.
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
    scheduler(scheduler_options given, scheduler_hooks told,
              const membership& peers, action_queue& actions);

    void adopt(const bundle_view& bundle);

    void enqueue(const record_ptr& record);
    /// Drops the waiting tasks of a record that has just finished.
    void drop_waiting(const record_ptr& record);

    /// Starts everything that can start now.
    void start_ready_tasks(support::instant now);

    /// Starts the single task of \p record at once on an own endpoint, or
    /// refuses: another domain's offer must not wait here.
    bool start_now(const record_ptr& record, support::instant now);

    /// Ends an attempt; none if it is unknown, since its answer came late or
    /// crossed.
    std::optional<running_attempt> finish(const attempt_finished& ended,
                                          support::instant now);

    /// Takes an endpoint's word on an attempt; gives the attempt's end if it
    /// has ended.
    std::optional<attempt_finished> resolve_check(const attempt_checked& check,
                                                  support::instant now);

    /// Takes a task back that was refused for certain.
    void requeue(const running_attempt& refused);

    /// A peer said how many slots it has idle.
    void set_peer_idle_slots(const std::string& host, int slots);
    /// An offer to a peer succeeded, so its slot is free again.
    void add_peer_idle_slot(const std::string& host);
    /// A peer refused an offer: none more until it has idle slots again.
    void clear_peer_idle_slots(const std::string& host);
    /// Hosts that the platform lists; quotas are split among them.
    void set_quota_hosts(std::size_t hosts);

    /// Ends the offers that went to \p host, whose link broke.
    std::vector<attempt_id> attempts_on_peer(const std::string& host) const;

    void tick(support::instant now);

    /// No start until resume(): the host was paused and its lists are old.
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

    /// Whether \p work would miss its deadline behind what waits now, if
    /// every flow with work keeps its share busy.
    bool would_be_late(const schema::submission& work) const;

    /// Size of one task of \p work after correction by the learned ratio.
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
        return this->lending;
    }
    const slot_lease_manager& slot_leases() const
    {
        return this->lending;
    }
    std::size_t waiting_tasks() const
    {
        return this->queue.waiting_tasks();
    }
    std::size_t running_attempts() const
    {
        return this->attempts.size();
    }
    /// Answers of attempts that nobody waited for any more.
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
    /// Whether the record leaves a slow slot to a backlog of other kinds and
    /// waits a little for a faster one.
    bool waits_for_faster(const submission_record& record,
                          const endpoint_state& endpoint,
                          support::instant now) const;
    void release_stale_hold();
    /// Runs the queue policy over the flows that may start now.
    record_ptr next_allowed(const std::set<std::string>& blocked_kinds,
                            int idle);
    void start(const record_ptr& record, endpoint_state& endpoint, int needed,
               support::instant now);
    void log_start(const running_attempt& attempt,
                   const endpoint_state& endpoint) const;
    void hold_endpoint_for(const record_ptr& record, const task_size& size);
    void seek_capacity(support::instant now);
    bool offer_to_peer(support::instant now);
    /// What the caller declared, or else the bundle for the kind.
    task_size declared_size(const schema::submission& work,
                            std::size_t task) const;
    support::decision_clock::duration
    expected_bound(const submission_record& record,
                   const endpoint_state& endpoint) const;
    void check_silent_attempts(support::instant now);

    scheduler_options options;
    scheduler_hooks hooks;
    const membership& members;
    action_queue& out;
    const bundle_view* bundle = nullptr;
    fair_queue queue;
    endpoint_pool pool;
    slot_lease_manager lending;
    std::unordered_map<attempt_id, running_attempt> attempts;
    attempt_id next_attempt = 1;
    usage_model usage;
    std::unordered_map<std::string, int> slots_in_use_by_kind;
    std::unordered_map<std::string, std::size_t> running_by_team;
    /// A large task waits for this endpoint to drain; empty if none does.
    std::string held_endpoint;
    std::weak_ptr<submission_record> held_for;
    bool suspended = false;
    std::size_t quota_hosts = 1;
    /// Offers that each peer may still get by its last word on idle slots.
    std::unordered_map<std::string, int> offers_left;
    double recent_starts = 0;
    double recent_offers = 0;
    std::int64_t late_answer_count = 0;
};

} // namespace chicorydrum::decision
