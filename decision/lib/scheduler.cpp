#include "chicorydrum/decision/scheduler.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace chicorydrum::decision
{

namespace
{

constexpr double default_kind_seconds = 0.2;
/// An attempt is checked over a new connection after this many times its
/// expected run time, but not before the minimum delay.
constexpr double check_factor = 10;
constexpr support::milliseconds min_check_delay{2000};
/// Number of unanswered checks after which an attempt is considered lost.
constexpr int max_unreachable_checks = 2;
constexpr support::milliseconds unreachable_interval{1000};
/// A task waits for a faster endpoint instead of using one that is slower than
/// the fastest by this factor, for at most this fraction of its expected run
/// time.
constexpr double slow_endpoint_factor = 1.2;
constexpr double max_wait_fraction = 1.0;
/// Decay factor per tick of the counts of recent starts and offers.
constexpr double recent_decay = 0.99;

/// Formats names for a log line: the first few and the number of others.
class name_list
{
public:
    void add(const std::string& name)
    {
        constexpr std::size_t max_names = 4;
        if (++this->count > max_names)
            return;
        this->names += (this->names.empty() ? "" : ",") + name;
        this->shown = this->count;
    }

    std::string text() const
    {
        if (this->count == 0)
            return "none";
        if (this->count == this->shown)
            return this->names;
        return this->names + ",+" + std::to_string(this->count - this->shown);
    }

private:
    std::string names;
    std::size_t count = 0;
    std::size_t shown = 0;
};

} // namespace

scheduler::scheduler(scheduler_options opts, scheduler_hooks callbacks,
                     const membership& peers, action_queue& actions)
    : options(std::move(opts)), hooks(std::move(callbacks)), members(peers),
      out(actions), queue({.kind_share =
                               [this](const std::string& kind)
                           {
                               const auto* rule = this->bundle->kind(kind);
                               return rule == nullptr ? 1.0 : rule->share;
                           },
                           .team_share =
                               [this](const std::string& team)
                           {
                               const auto* rule = this->bundle->team(team);
                               return rule == nullptr ? 1.0 : rule->share;
                           }}),
      pool(this->options.pool),
      leases(this->options.slot_leases, this->pool, peers, actions)
{
}

void scheduler::adopt(const bundle_view& adopted)
{
    this->bundle = &adopted;
    const schema::routing_rule& routing = adopted.rules().routing;
    this->leases.set_lease(support::milliseconds(routing.slot_lease));
    this->pool.health().set_max_ejected_percent(routing.max_ejected);
}

double scheduler::cost_of(const std::string& kind) const
{
    const schema::kind_rule* const rule = this->bundle->kind(kind);
    const double prior =
        rule == nullptr ? default_kind_seconds
                        : static_cast<double>(rule->expected_run_time) / 1000.0;
    return this->pool.run_times().kind_seconds(kind, prior);
}

task_size scheduler::declared_size(const schema::submission& work,
                                   std::size_t task) const
{
    const schema::task_spec& declared = work.tasks[task];
    const schema::kind_rule* const rule = this->bundle->kind(work.kind);
    task_size size{.millicores = static_cast<double>(declared.millicores),
                   .memory_mb = static_cast<double>(declared.memory_mb)};
    if (size.millicores <= 0 && rule != nullptr)
        size.millicores = rule->cores;
    if (size.memory_mb <= 0 && rule != nullptr)
        size.memory_mb = rule->memory;
    return size;
}

task_size scheduler::size_of(const schema::submission& work,
                             std::size_t task) const
{
    return this->usage.correct(work.kind, this->declared_size(work, task));
}

void scheduler::enqueue(const record_ptr& record)
{
    this->queue.add(record);
}

void scheduler::drop_waiting(const record_ptr& record)
{
    assert(record->finished() && "only finished records may be dropped");
    this->queue.forget(*record);
    record->waiting.clear();
}

bool scheduler::is_late(const submission_record& record,
                        support::instant now) const
{
    if (!this->options.drops_late_tasks)
        return false;
    const double remaining = support::in_seconds(record.deadline - now);
    return remaining < this->cost_of(record.work.kind);
}

bool scheduler::reserve_allows(const std::string& kind, int idle) const
{
    int reserved_for_others = 0;
    const int usable = this->pool.usable_slots();
    for (const schema::kind_rule& rule : this->bundle->rules().kinds)
    {
        if (rule.reserved_slots == 0 || rule.name == kind)
            continue;
        const auto used = this->slots_in_use_by_kind.find(rule.name);
        const int in_use =
            used == this->slots_in_use_by_kind.end() ? 0 : used->second;
        reserved_for_others +=
            std::max(0, usable * rule.reserved_slots / 100 - in_use);
    }
    return idle > reserved_for_others;
}

bool scheduler::quota_allows(const std::string& team) const
{
    const schema::team_rule* const rule = this->bundle->team(team);
    const auto running = this->running_by_team.find(team);
    if (rule == nullptr || running == this->running_by_team.end())
        return true;
    const auto limit = static_cast<std::size_t>(rule->max_concurrent_tasks);
    return running->second * this->quota_hosts < limit;
}

record_ptr scheduler::next_allowed(const std::set<std::string>& blocked_kinds,
                                   int idle)
{
    return this->options.next_record(
        this->queue,
        [&](const std::string& kind, const std::string& team)
        {
            return !blocked_kinds.contains(kind) &&
                   this->reserve_allows(kind, idle) && this->quota_allows(team);
        });
}

bool scheduler::should_wait_for_faster(const submission_record& record,
                                       const endpoint_state& endpoint,
                                       support::instant now) const
{
    // Wait only if other kinds have enough tasks for all slots, so that no slot
    // stays idle.
    const auto usable =
        static_cast<std::size_t>(std::max(1, this->pool.usable_slots()));
    if (this->queue.waiting_tasks_of_others(record.work.kind) < usable)
        return false;
    const double waited = support::in_seconds(now - record.arrived);
    if (waited > max_wait_fraction * this->cost_of(record.work.kind))
        return false;
    return endpoint.slowness >
           slow_endpoint_factor * this->pool.fastest_slowness();
}

void scheduler::release_stale_hold()
{
    const record_ptr holder = this->held_for.lock();
    if (holder != nullptr && !holder->finished() && !holder->waiting.empty())
        return;
    this->held_for.reset();
    this->held_endpoint.clear();
}

void scheduler::set_quota_hosts(std::size_t hosts)
{
    this->quota_hosts = std::max<std::size_t>(1, hosts);
}

void scheduler::start_ready_tasks(support::instant now)
{
    if (this->bundle == nullptr || this->suspended)
        return;
    this->release_stale_hold();
    int idle = this->pool.idle_slots();
    std::set<std::string> blocked_kinds;
    while (idle > 0)
    {
        const record_ptr record = this->next_allowed(blocked_kinds, idle);
        // A policy that ignores the filter may return a blocked kind.
        if (record == nullptr || blocked_kinds.contains(record->work.kind))
            break;
        if (this->is_late(*record, now))
        {
            this->hooks.on_late(record);
            continue;
        }
        const task_size size =
            this->size_of(record->work, record->waiting.back());
        const bool is_holder = this->held_for.lock() == record;
        endpoint_state* const endpoint =
            this->pool.choose(size, is_holder ? "" : this->held_endpoint, now);
        if (endpoint == nullptr)
        {
            blocked_kinds.insert(record->work.kind);
            this->hold_endpoint_for(record, size);
            continue;
        }
        if (!is_holder && this->should_wait_for_faster(*record, *endpoint, now))
        {
            blocked_kinds.insert(record->work.kind);
            continue;
        }
        if (is_holder)
        {
            this->held_for.reset();
            this->held_endpoint.clear();
        }
        const int needed = endpoint_pool::slots_needed(size, endpoint->listing);
        idle -= needed;
        this->start(record, *endpoint, needed, now);
    }
    if (this->queue.waiting_tasks() > 0 && this->options.shares_work)
        this->request_capacity(now);
}

void scheduler::hold_endpoint_for(const record_ptr& record,
                                  const task_size& size)
{
    if (this->held_for.lock() != nullptr)
        return;
    const endpoint_state* const endpoint = this->pool.choose_to_hold(size);
    if (endpoint == nullptr ||
        endpoint_pool::slots_needed(size, endpoint->listing) == 1)
        return;
    this->held_for = record;
    this->held_endpoint = endpoint->listing.name;
    if (this->out.logs())
        this->hooks.on_decision(record->work.id,
                                support::log_line("hold")
                                    .add("endpoint", this->held_endpoint)
                                    .add("reason", "task_needs_many_slots"));
}

void scheduler::start(const record_ptr& record, endpoint_state& endpoint,
                      int needed, support::instant now)
{
    const double cost = this->cost_of(record->work.kind) * needed;
    const queued_task taken = this->queue.take(record, cost);
    this->pool.started(endpoint, needed);
    const attempt_id id = this->next_attempt++;
    const auto check_delay = this->initial_check_delay(*record, endpoint);
    const running_attempt attempt{.record = record,
                                  .task = taken.task,
                                  .endpoint = endpoint.listing.name,
                                  .peer = "",
                                  .slots = needed,
                                  .started = now,
                                  .check_at = now + check_delay,
                                  .check_interval = check_delay};
    this->attempts.emplace(id, attempt);
    this->slots_in_use_by_kind[record->work.kind] += needed;
    ++this->running_by_team[record->work.team];
    ++this->recent_starts;
    if (this->out.logs())
        this->log_start(attempt, endpoint);
    this->hooks.on_started(attempt);
    this->out.push(
        start_attempt{.attempt = id,
                      .endpoint = endpoint.listing.name,
                      .address = endpoint.listing.address,
                      .port = endpoint.listing.port,
                      .kind = record->work.kind,
                      .payload = record->work.tasks[taken.task].payload,
                      .timeout = support::milliseconds(
                          this->bundle->rules().routing.attempt_timeout)});
}

void scheduler::log_start(const running_attempt& attempt,
                          const endpoint_state& endpoint) const
{
    name_list busy;
    name_list unhealthy;
    name_list leaving;
    for (const auto& [name, state] : this->pool.endpoints())
    {
        const bool is_healthy =
            this->pool.health().state(name, attempt.started) ==
            health_state::healthy;
        if (name == attempt.endpoint)
            continue;
        if (!state.may_start())
            leaving.add(name);
        else if (!is_healthy)
            unhealthy.add(name);
        else if (state.free() <= 0)
            busy.add(name);
    }
    this->hooks.on_decision(
        attempt.record->work.id,
        support::log_line("route")
            .add("task", static_cast<std::int64_t>(attempt.task))
            .add("endpoint", attempt.endpoint)
            .add("reason", "fastest_free")
            .add("slowness", endpoint.slowness)
            .add("slots", attempt.slots)
            .add("passed_over_busy", busy.text())
            .add("passed_over_unhealthy", unhealthy.text())
            .add("passed_over_leaving", leaving.text()));
}

support::decision_clock::duration
scheduler::initial_check_delay(const submission_record& record,
                               const endpoint_state& endpoint) const
{
    const double expected =
        this->cost_of(record.work.kind) * std::max(1.0, endpoint.slowness);
    return std::max(min_check_delay,
                    support::milliseconds(static_cast<std::int64_t>(
                        expected * check_factor * 1000)));
}

void scheduler::check_overdue_attempts(support::instant now)
{
    std::vector<attempt_id> overdue;
    for (const auto& [id, attempt] : this->attempts)
        if (now >= attempt.check_at)
            overdue.push_back(id);
    std::sort(overdue.begin(), overdue.end());
    for (const attempt_id id : overdue)
    {
        running_attempt& attempt = this->attempts.at(id);
        // Repeats the check with exponential backoff.
        attempt.check_interval *= 2;
        attempt.check_at = now + attempt.check_interval;
        const endpoint_state* const endpoint =
            this->pool.find(attempt.endpoint);
        if (endpoint == nullptr)
            continue;
        if (this->out.logs())
            this->hooks.on_decision(
                attempt.record->work.id,
                support::log_line("check_attempt")
                    .add("task", static_cast<std::int64_t>(attempt.task))
                    .add("endpoint", attempt.endpoint)
                    .add("reason", "silent_for_long"));
        this->out.push(check_attempt{.attempt = id,
                                     .endpoint = attempt.endpoint,
                                     .address = endpoint->listing.address,
                                     .port = endpoint->listing.port});
    }
}

std::optional<attempt_finished>
scheduler::resolve_check(const attempt_checked& check, support::instant now)
{
    const auto found = this->attempts.find(check.attempt);
    if (found == this->attempts.end())
        return std::nullopt;
    running_attempt& attempt = found->second;
    attempt_finished ended;
    ended.attempt = check.attempt;
    switch (check.state)
    {
    case attempt_check::running:
        attempt.unreachable_checks = 0;
        return std::nullopt;
    case attempt_check::succeeded:
        ended.outcome = attempt_outcome::succeeded;
        ended.result = check.result;
        return ended;
    case attempt_check::failed:
        ended.outcome = attempt_outcome::failed;
        return ended;
    case attempt_check::unknown:
        return ended;
    case attempt_check::unreachable:
        if (++attempt.unreachable_checks >= max_unreachable_checks)
            return ended;
        attempt.check_at = now + unreachable_interval;
        return std::nullopt;
    }
    return std::nullopt;
}

bool scheduler::start_now(const record_ptr& record, support::instant now)
{
    if (this->bundle == nullptr || this->suspended ||
        this->queue.waiting_tasks() > 0)
        return false;
    if (!this->reserve_allows(record->work.kind, this->pool.idle_slots()))
        return false;
    const task_size size = this->size_of(record->work, 0);
    endpoint_state* const endpoint =
        this->pool.choose(size, this->held_endpoint, now);
    if (endpoint == nullptr)
        return false;
    this->queue.add(record);
    this->start(record, *endpoint,
                endpoint_pool::slots_needed(size, endpoint->listing), now);
    return true;
}

std::optional<running_attempt> scheduler::finish(const attempt_finished& ended,
                                                 support::instant now)
{
    const auto found = this->attempts.find(ended.attempt);
    if (found == this->attempts.end())
    {
        ++this->late_answer_count;
        return std::nullopt;
    }
    running_attempt attempt = std::move(found->second);
    this->attempts.erase(found);
    const std::string& kind = attempt.record->work.kind;
    --this->running_by_team[attempt.record->work.team];
    if (!attempt.peer.empty())
        return attempt;
    this->slots_in_use_by_kind[kind] -= attempt.slots;
    this->pool.finished(attempt.endpoint, attempt.slots);
    this->pool.learn(attempt.endpoint, kind, ended.outcome,
                     now - attempt.started, now);
    this->usage.observe(
        kind, this->declared_size(attempt.record->work, attempt.task),
        {.millicores = static_cast<double>(ended.used_millicores),
         .memory_mb = static_cast<double>(ended.used_memory_mb)});
    return attempt;
}

void scheduler::requeue(const running_attempt& refused)
{
    this->queue.put_back({.record = refused.record, .task = refused.task});
}

std::vector<attempt_id>
scheduler::attempts_on_peer(const std::string& host) const
{
    std::vector<attempt_id> found;
    for (const auto& [id, attempt] : this->attempts)
        if (attempt.peer == host)
            found.push_back(id);
    std::sort(found.begin(), found.end());
    return found;
}

void scheduler::tick(support::instant now)
{
    this->recent_starts *= recent_decay;
    this->recent_offers *= recent_decay;
    this->check_overdue_attempts(now);
    this->pool.settle_shares(now);
    this->leases.tick(this->queue.waiting_tasks() > 0, now);
}

double scheduler::predicted_wait_seconds(const schema::submission& work) const
{
    const bool can_start_now =
        this->queue.waiting_tasks() == 0 &&
        this->pool.idle_slots() >= static_cast<int>(work.tasks.size());
    if (can_start_now)
        return 0;
    const auto waiting = static_cast<double>(
        this->queue.waiting_tasks(work.kind, work.team) + work.tasks.size());
    const double fraction =
        this->queue.guaranteed_fraction(work.kind, work.team);
    // Peers of the domain lend idle slots. Count half of them, as other hosts
    // may request them too.
    double slots = std::max(1, this->pool.usable_slots());
    for (const auto& [host, peer] : this->members.peers())
        if (peer.domain == this->members.domain())
            slots += peer.idle_slots / 2.0;
    return this->cost_of(work.kind) * waiting / (slots * fraction);
}

bool scheduler::would_be_late(const schema::submission& work) const
{
    const double deadline = static_cast<double>(work.deadline_ms) / 1000.0;
    const double mean = this->cost_of(work.kind);
    const double wait = this->predicted_wait_seconds(work);
    if (wait <= 0)
        return mean > deadline;
    // Allow for a long run, but for at most half of a short deadline.
    const double run =
        std::min(deadline / 2,
                 this->pool.run_times().kind_tail_seconds(work.kind, mean));
    return wait + std::max(mean, run) > deadline;
}

} // namespace chicorydrum::decision
