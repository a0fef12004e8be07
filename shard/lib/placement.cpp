/// \file
/// Selects the next job and the endpoints that run its tasks.
#include "chicorydrum/shard/shard_owner.hpp"

#include "endpoint_record.hpp"
#include "owned_job.hpp"
#include "place_wait.hpp"

#include <algorithm>
#include <utility>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::log_line;

/// Assumed for a task without an estimate.
constexpr double default_estimate_ms = 100;
/// The runs of a lost host whose callers' copies arrive now have ended after
/// this time: their owner has ended them 575 ms after the loss (silence 500,
/// grace after a stall 50, tick 25), or its last lease lapses within 1,100 ms
/// more; copies arrive 1,300 ms after the loss at the earliest.
constexpr support::milliseconds longest_hold{375};
/// Shortest run time of a task relative to its estimate: two standard
/// deviations of the callers' estimates.
constexpr double min_run_time_ratio = 0.5;
/// The longest run time for which a lease that is not extended must last.
constexpr double longest_run_time_ratio = 1.5;

/// Returns whether \p record may run tasks of \p group, apart from its free
/// capacity.
bool is_suitable(const endpoint_record& record, const owned_job& job,
                 const schema::task_group& group)
{
    const schema::endpoint_registration& endpoint = record.lease.entry();
    return record.is_offered() && record.lease.has_current_entry() &&
           endpoint.pool == job.terms.pool &&
           (group.required_label.empty() ||
            has_label(endpoint, group.required_label));
}

} // namespace

double
shard_owner::expected_ms(const owned_job& job, int group_index,
                         const schema::endpoint_registration& endpoint) const
{
    const schema::task_group& group =
        job.work.groups[static_cast<std::size_t>(group_index)];
    const double estimate = group.estimate_ms > 0
                                ? static_cast<double>(group.estimate_ms)
                                : default_estimate_ms;
    return estimate * this->speeds->route_ratio(job.work.route) *
           this->speeds->slowness(endpoint.id) *
           (is_far(job, group_index, endpoint) ? this->options.far_factor
                                               : 1.0);
}

bool shard_owner::is_far(const owned_job& job, int group,
                         const schema::endpoint_registration& endpoint)
{
    const auto index = static_cast<std::size_t>(group);
    const std::string& rack = job.racks[index];
    if (!rack.empty())
        return !has_label(endpoint, rack);
    // No rack was chosen for the group, so its tasks are apart anywhere.
    return job.work.groups[index].wants_one_rack &&
           job.work.groups[index].count > 1 &&
           !job.without_rack.contains(group);
}

std::vector<owned_job*> shard_owner::waiting_queue(instant now) const
{
    std::vector<owned_job*> queue;
    const bool may_place_new = this->knows_runs_of_predecessors(now);
    for (const auto& [id, job] : this->jobs)
    {
        if (job->waiting_tasks() == 0 || this->is_held(*job, now))
            continue;
        const bool may_place = job->may_run
                                   ? this->knows_runs_of_others(*job, now)
                                   : may_place_new;
        if (may_place)
            queue.push_back(job.get());
    }
    // Earliest target first among jobs that can still meet it, then the rest.
    std::sort(queue.begin(), queue.end(),
              [now](const owned_job* left, const owned_job* right)
              {
                  const bool left_late = left->is_late(now);
                  const bool right_late = right->is_late(now);
                  if (left_late != right_late)
                      return right_late;
                  return left->target < right->target;
              });
    return queue;
}

void shard_owner::place(instant now)
{
    this->needs_placing = false;
    // An order that fails at once may begin a pass within this one.
    auto outer = std::exchange(this->bookings,
                               std::make_unique<place_bookings>(
                                   [this, now](const std::string& pool)
                                   { return this->forecast(pool, now); }));
    for (owned_job* const job : this->waiting_queue(now))
        this->place_job(*job, now);
    this->bookings = std::move(outer);
    if (std::exchange(this->has_old_clocks, false))
        this->read_old_clocks(now);
}

bool shard_owner::has_listed_all_since(instant since, instant now) const
{
    // An endpoint that was listed under this owner's token takes no more orders
    // of others, and its list shows their runs, but those that they are
    // stopping.
    return std::all_of(this->endpoints.begin(), this->endpoints.end(),
                       [since, now](const auto& entry)
                       {
                           const endpoint_record& record = *entry.second;
                           return record.listed_as_of >= since &&
                                  now >= record.settled_at;
                       });
}

bool shard_owner::knows_runs_of_predecessors(instant now) const
{
    // A job that is new to this owner may be a copy whose earlier call a
    // predecessor has served. What is not listed ends with the last lease that
    // the predecessor can have given.
    if (now >= this->predecessors_lapse())
        return true;
    return this->options.knows_endpoints && this->inquiry_has_ended &&
           this->hooks.has_read_endpoints() &&
           std::none_of(this->endpoints.begin(), this->endpoints.end(),
                        [this, now](const auto& entry)
                        {
                            const endpoint_record& record = *entry.second;
                            return this->awaits_first_list(record, now) ||
                                   now < record.settled_at;
                        });
}

bool shard_owner::is_adopting(instant now) const
{
    const auto has_unassigned = [](const auto& entry)
    {
        const auto& runs = entry.second->lease.runs();
        return std::any_of(runs.begin(), runs.end(),
                           [](const auto& run) { return !run.second.need; });
    };
    // A claim is announced before its endpoints are added.
    return now <= this->owned_since || !this->knows_runs_of_predecessors(now) ||
           std::any_of(this->endpoints.begin(), this->endpoints.end(),
                       has_unassigned);
}

instant shard_owner::predecessors_lapse() const
{
    return this->owned_since + lapse_bound(this->options.lease);
}

bool shard_owner::knows_runs_of_others(const owned_job& job, instant now) const
{
    // Another owner may have started tasks of the job on any endpoint,
    // including one that this owner could not reach: without a list the other
    // owner's lease must expire first, or its stop be executed.
    if (now >= job.received + lapse_bound(this->options.lease))
        return true;
    // Nor can this owner list endpoints that it does not know yet, or that
    // belong to other shards since a division.
    const bool was_divided =
        this->options.was_divided ||
        job.first_shards.value_or(this->options.shards) != this->options.shards;
    return !was_divided && this->knows_endpoints(now) &&
           this->hooks.endpoints_are_complete() &&
           this->has_listed_all_since(job.received, now);
}

void shard_owner::hold_if_owner_is_lost(owned_job& job, instant now)
{
    const auto lost = this->hooks.find_lost_owner();
    if (!lost)
        return;
    job.held_until = std::min(lost->lapses_at, now + longest_hold);
    // -1 if it was never heard.
    const std::int64_t heard_ms =
        lost->heard_at ? support::whole_ms(now - *lost->heard_at) : -1;
    this->hooks.log(
        log_line("job_held")
            .add("job", job.id())
            .add("lost_domain", lost->name.domain)
            .add("lost_shard", lost->name.shard)
            .add("heard_ms", heard_ms)
            .add("longest_ms", support::whole_ms(*job.held_until - now)));
}

bool shard_owner::is_held(const owned_job& job, instant now) const
{
    // A lost owner that is heard again has ended the jobs of lost hosts.
    return job.held_until && now < *job.held_until &&
           this->hooks.find_lost_owner();
}

bool shard_owner::place_job(owned_job& job, instant now)
{
    bool placed_any = false;
    for (std::size_t group = 0; group < job.tasks.size(); ++group)
    {
        const auto group_index = static_cast<int>(group);
        if (!job.is_ready(group_index))
            continue;
        if (job.without_rack.contains(group_index))
        {
            this->choose_rack(job, group_index, now);
            job.without_rack.erase(group_index);
        }
        for (std::size_t index = 0; index < job.tasks[group].size(); ++index)
        {
            if (job.tasks[group][index].state != task_state::waiting)
                continue;
            const task_key task{.job = job.id(),
                                .group = group_index,
                                .index = static_cast<int>(index)};
            if (this->has_active_run(task))
                continue;
            endpoint_record* const where = this->choose(job, task, now);
            if (where == nullptr)
                break;
            this->start(job, task, *where, now);
            placed_any = true;
        }
    }
    return placed_any;
}

bool shard_owner::has_active_run(const task_key& task) const
{
    return std::any_of(this->endpoints.begin(), this->endpoints.end(),
                       [&task](const auto& entry)
                       { return entry.second->lease.runs().contains(task); });
}

endpoint_record* shard_owner::choose(owned_job& job, const task_key& task,
                                     instant now)
{
    const schema::task_group& group =
        job.work.groups[static_cast<std::size_t>(task.group)];
    const owned_task& state = job.tasks[static_cast<std::size_t>(task.group)]
                                       [static_cast<std::size_t>(task.index)];
    endpoint_record* best = nullptr;
    bool best_is_doubted = false;
    double best_ms = 0;
    double fastest_ms = 0;
    for (const auto& [id, record] : this->endpoints)
    {
        if (!is_suitable(*record, job, group) || !record->is_responding ||
            now < record->quarantined_until || now < record->settled_at)
            continue;
        double expected =
            this->expected_ms(job, task.group, record->lease.entry());
        if (fastest_ms == 0 || expected < fastest_ms)
            fastest_ms = expected;
        const bool is_full =
            !record->lease.has_capacity_for(group.need) ||
            (group.max_per_endpoint > 0 &&
             record->lease.runs_of_group(job.id(), task.group) >=
                 group.max_per_endpoint);
        const bool is_withheld =
            this->hooks.may_start_at &&
            !this->hooks.may_start_at(record->lease.entry());
        if (is_full || is_withheld ||
            this->lapses_early(*record, expected, now))
            continue;
        // An endpoint where the task did not complete is chosen last.
        if (id == state.endpoint)
            expected *= 4;
        const bool is_doubted = record->doubt != entry_doubt::none;
        const bool is_better = best == nullptr || (is_doubted == best_is_doubted
                                                       ? expected < best_ms
                                                       : best_is_doubted);
        if (is_better)
        {
            best_is_doubted = is_doubted;
            best = record.get();
            best_ms = expected;
        }
    }
    if (best == nullptr)
        return nullptr;
    if (best->lease.clock_is_old(now))
    {
        best->needs_list = true;
        this->has_old_clocks = true;
        return nullptr;
    }
    const bool waits =
        best->lease.entry().id == state.endpoint
            // Its last run did not complete there: it is left for others while
            // these could still meet the target.
            ? now + support::duration_from_ms(best_ms) > job.target &&
                  now + support::duration_from_ms(fastest_ms) < job.target
            : this->waits_for_place(job, task, *best, best_ms, fastest_ms, now);
    return waits ? nullptr : best;
}

bool shard_owner::lapses_early(const endpoint_record& where, double run_ms,
                               instant now) const
{
    return this->reason_to_withhold(where) &&
           where.lease.remaining_lease(now) <
               support::duration_from_ms(run_ms * longest_run_time_ratio);
}

void shard_owner::start(owned_job& job, const task_key& task,
                        endpoint_record& where, instant now)
{
    const order_id order = this->hooks.next_order();
    const auto lease_end = this->reason_to_withhold(where)
                               ? where.lease.keep_lease(order)
                               : where.lease.extend_lease(order, now);
    if (!lease_end)
        return;
    const schema::task_group& group =
        job.work.groups[static_cast<std::size_t>(task.group)];
    owned_task& state = job.task(task);
    const std::int64_t run = state.next_run++;
    where.lease.add_run(task, {.run = run,
                               .state = run_state::ordered,
                               .need = group.need,
                               .started_at = now,
                               .token = where.lease.token(),
                               .last_order = order});
    state.endpoint = where.lease.entry().id;
    job.set_state(state, task_state::placed);
    const double run_ms =
        this->expected_ms(job, task.group, where.lease.entry());
    this->record_use(
        job.work.route,
        run_ms * static_cast<double>(group.need.millicores) / 1000.0, now);
    this->bookings->book(job.terms.pool, state.endpoint, group.need,
                         now + support::duration_from_ms(run_ms));
    this->note_place(job, state, task, where, now);
    this->orders[order] = {.to = where.lease.address(),
                           .task = task,
                           .token = where.lease.token(),
                           .sent_at = now,
                           .is_raising = true};
    this->hooks.log(
        log_line("task_started")
            .add("task", to_text(task))
            .add("run", run)
            .add("endpoint", state.endpoint)
            .add("born_ms", where.lease.last_listed_incarnation())
            .add("token", where.lease.token())
            .add("expected_ms", run_ms)
            .add("free_millicores", where.lease.free_capacity().millicores)
            .add("age_ms", support::whole_ms(now - job.arrived)));
    this->hooks.start({.order = order,
                       .to = where.lease.address(),
                       .task = task,
                       .run = run,
                       .spec = job.work.spec,
                       .token = where.lease.token(),
                       .lease_end_ms = *lease_end});
}

support::decision_clock::duration
shard_owner::min_remaining_time(const owned_job& job) const
{
    double longest_ms = 0;
    for (std::size_t group = 0; group < job.tasks.size(); ++group)
    {
        const bool waits =
            std::any_of(job.tasks[group].begin(), job.tasks[group].end(),
                        [](const owned_task& task)
                        { return task.state == task_state::waiting; });
        if (!waits)
            continue;
        double fastest_ms = 0;
        for (const auto& [id, record] : this->endpoints)
        {
            if (!is_suitable(*record, job, job.work.groups[group]))
                continue;
            const double expected = this->expected_ms(
                job, static_cast<int>(group), record->lease.entry());
            if (fastest_ms == 0 || expected < fastest_ms)
                fastest_ms = expected;
        }
        longest_ms = std::max(longest_ms, fastest_ms);
    }
    return support::duration_from_ms(longest_ms * min_run_time_ratio);
}

} // namespace chicorydrum::shard
