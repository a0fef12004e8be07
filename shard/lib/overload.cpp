/// \file
/// Load shedding: ends jobs early that an overloaded shard could not run in
/// time.
#include "chicorydrum/shard/shard_owner.hpp"

#include "backlog_plan.hpp"
#include "capacity_plan.hpp"
#include "endpoint_record.hpp"
#include "owned_job.hpp"

#include <algorithm>
#include <cmath>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::log_line;

/// Time constant of the decay of a route's use: about one long target, so that
/// an overload counts while it lasts.
constexpr double use_decay_seconds = 1.0;
/// Assumed remaining time of runs that are overdue or being stopped.
constexpr support::milliseconds min_remaining{25};
/// Predicted wait if no endpoint can be given tasks.
constexpr support::milliseconds no_capacity_wait{1000};

} // namespace

double shard_owner::decayed_use(const recent_use& use, instant now)
{
    const double passed = support::in_seconds(now - use.as_of);
    return use.core_ms * std::exp(-passed / use_decay_seconds);
}

void shard_owner::record_use(const std::string& route, double core_ms,
                             instant now)
{
    recent_use& use = this->uses[route];
    use.core_ms = decayed_use(use, now) + core_ms;
    use.as_of = now;
}

std::vector<endpoint_forecast> shard_owner::forecast(const std::string& pool,
                                                     instant now) const
{
    std::vector<endpoint_forecast> found;
    for (const auto& [id, record] : this->endpoints)
    {
        const schema::endpoint_registration& endpoint = record->lease.entry();
        // A new incarnation is listed within milliseconds.
        const bool is_usable =
            record->is_offered() && record->is_responding &&
            (record->lease.is_known() || record->lease.awaits_incarnation()) &&
            endpoint.pool == pool && now >= record->quarantined_until;
        if (!is_usable)
            continue;
        endpoint_forecast& added = found.emplace_back(
            endpoint_forecast{.id = id,
                              .capacity = endpoint.capacity,
                              .slowness = this->speeds->slowness(id)});
        for (const auto& [task, run] : record->lease.runs())
        {
            const auto job = this->jobs.find(task.job);
            const bool has_length = job != this->jobs.end() && run.need &&
                                    run.state != run_state::stopping;
            const instant end =
                has_length ? run.started_at +
                                 support::duration_from_ms(this->expected_ms(
                                     *job->second, task.group, endpoint))
                           : now;
            // A run of unknown need may take all that the endpoint has.
            added.occupied.push_back(
                {.need = run.need.value_or(endpoint.capacity),
                 .ends = std::max(end, now + min_remaining)});
        }
    }
    return found;
}

capacity_plan shard_owner::plan_queue(const std::string& pool,
                                      instant now) const
{
    capacity_plan plan(this->forecast(pool, now), now);
    for (const owned_job* const job : this->waiting_queue(now))
        if (job->terms.pool == pool && !plan.is_full())
            plan.add(this->waiting_groups(*job));
    return plan;
}

support::milliseconds shard_owner::predicted_wait(const owned_job& job,
                                                  instant now)
{
    const std::string& pool = job.terms.pool;
    const bool is_current = this->last_plan != nullptr &&
                            this->last_plan->as_of == now &&
                            this->last_plan->pool == pool;
    if (!is_current)
        this->last_plan = std::make_unique<pool_plan>(pool_plan{
            .as_of = now, .pool = pool, .plan = this->plan_queue(pool, now)});
    instant starts = now;
    for (const planned_group& group : this->waiting_groups(job))
    {
        const auto run = this->last_plan->plan.first_start(group, now);
        if (!run)
            return no_capacity_wait;
        starts = std::max(starts, run->starts);
    }
    return support::milliseconds(support::whole_ms(starts - now));
}

void shard_owner::shed_overload(instant now)
{
    std::vector<owned_job*> waiting = this->waiting_queue(now);
    std::vector<std::string> shed;
    while (!waiting.empty())
    {
        // One pool of endpoints at a time.
        const std::string pool = waiting.front()->terms.pool;
        const auto others = std::stable_partition(
            waiting.begin(), waiting.end(),
            [&pool](const owned_job* job) { return job->terms.pool == pool; });
        const std::vector<owned_job*> queue(waiting.begin(), others);
        waiting.erase(waiting.begin(), others);
        for (const shed_job& chosen : this->plan_shedding(pool, queue, now))
        {
            const owned_job& job = *queue[chosen.job];
            const owned_job& late = *queue[chosen.late_job];
            this->hooks.log(
                log_line("job_shed")
                    .add("job", job.id())
                    .add("route", job.work.route)
                    .add("priority", job.terms.priority)
                    .add("host", job.caller.host)
                    .add("route_share", chosen.route_share)
                    .add("age_ms", support::whole_ms(now - job.arrived))
                    .add("late_job", late.id())
                    .add("end_ms", support::whole_ms(chosen.late_end - now))
                    .add("due_ms", support::whole_ms(chosen.late_due - now))
                    .add("waiting_jobs",
                         static_cast<std::int64_t>(queue.size())));
            shed.push_back(job.id());
        }
    }
    for (const std::string& id : shed)
        this->finish(id, schema::job_result::not_run, "overload", now);
}

std::vector<shed_job>
shard_owner::plan_shedding(const std::string& pool,
                           const std::vector<owned_job*>& queue,
                           instant now) const
{
    std::vector<planned_job> planned;
    for (const owned_job* const job : queue)
        planned.push_back(this->plan_of(*job, now));
    std::vector<route_use> used;
    for (const auto& [route, use] : this->uses)
        used.push_back({.route = route, .core_ms = decayed_use(use, now)});
    return jobs_to_shed(planned, capacity_plan(this->forecast(pool, now), now),
                        used);
}

planned_job shard_owner::plan_of(const owned_job& job, instant now) const
{
    return {.route = job.work.route,
            .priority = job.terms.priority,
            .groups = this->waiting_groups(job),
            .due = job.is_late(now) ? job.useful_until : job.due(),
            .arrived = job.arrived,
            .may_be_shed = !this->may_have_run(job, now)};
}

std::vector<planned_group>
shard_owner::waiting_groups(const owned_job& job) const
{
    std::vector<planned_group> groups;
    const double kind = this->speeds->route_ratio(job.work.route);
    for (std::size_t i = 0; i < job.work.groups.size(); ++i)
    {
        const schema::task_group& group = job.work.groups[i];
        const auto waiting =
            std::count_if(job.tasks[i].begin(), job.tasks[i].end(),
                          [](const owned_task& task)
                          { return task.state == task_state::waiting; });
        groups.push_back(
            {.need = group.need,
             .tasks = static_cast<int>(waiting),
             .task_ms = static_cast<double>(group.estimate_ms) * kind,
             .after = {group.after.begin(), group.after.end()}});
    }
    return groups;
}

} // namespace chicorydrum::shard
