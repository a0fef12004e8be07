/// \file
/// Load shedding: ends jobs early that an overloaded shard could not run in
/// time.
#include "chicorydrum/shard/shard_owner.hpp"

#include "backlog_plan.hpp"
#include "capacity_forecast.hpp"
#include "endpoint_record.hpp"
#include "owned_job.hpp"

#include <algorithm>
#include <cmath>

namespace chicorydrum::shard
{

namespace
{

using support::instant;

/// Time constant of the decay of a route's use: about one long target, so that
/// an overload counts while it lasts.
constexpr double use_decay_seconds = 1.0;
/// Tasks that need less are planned with this need, which bounds the capacity
/// units of an endpoint.
constexpr double min_unit_millicores = 250;
/// Assumed remaining time of runs that are overdue or being stopped.
constexpr support::milliseconds min_remaining{25};

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

std::vector<capacity_unit>
shard_owner::expected_capacity(const std::string& pool, double millicores,
                               instant now) const
{
    std::vector<capacity_unit> units;
    for (const endpoint_forecast& endpoint : this->forecast(pool, now))
    {
        const auto count = static_cast<std::size_t>(
            static_cast<double>(endpoint.capacity.millicores) / millicores);
        for (const occupied_capacity& run : endpoint.occupied)
            units.push_back(
                {.free_at = run.ends, .slowness = endpoint.slowness});
        for (std::size_t used = endpoint.occupied.size(); used < count; ++used)
            units.push_back({.free_at = now, .slowness = endpoint.slowness});
    }
    return units;
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
        for (const std::size_t index : this->plan_shedding(pool, queue, now))
            shed.push_back(queue[index]->id());
    }
    for (const std::string& id : shed)
        this->finish(id, schema::job_result::not_run, "overload", now);
}

std::vector<std::size_t>
shard_owner::plan_shedding(const std::string& pool,
                           const std::vector<owned_job*>& queue,
                           instant now) const
{
    std::vector<planned_job> planned;
    double millicores = 0;
    int tasks = 0;
    for (const owned_job* const job : queue)
    {
        planned.push_back(this->plan_of(*job, now));
        millicores += static_cast<double>(job->waiting_millicores());
        tasks += job->waiting_tasks();
    }
    std::vector<route_use> used;
    for (const auto& [route, use] : this->uses)
        used.push_back({.route = route, .core_ms = decayed_use(use, now)});
    const double unit_millicores =
        std::max(millicores / tasks, min_unit_millicores);
    return jobs_to_shed(
        planned, this->expected_capacity(pool, unit_millicores, now), used);
}

planned_job shard_owner::plan_of(const owned_job& job, instant now) const
{
    const double task_ms = static_cast<double>(job.longest_estimate_ms()) *
                           this->speeds->route_ratio(job.work.route);
    const int tasks = job.waiting_tasks();
    return {.route = job.work.route,
            .priority = job.terms.priority,
            .tasks = tasks,
            .task_ms = task_ms,
            .cores =
                static_cast<double>(job.waiting_millicores()) / 1000.0 / tasks,
            .due = job.is_late(now) ? job.useful_until : job.due(),
            .arrived = job.arrived,
            .may_be_shed = !this->may_have_run(job, now)};
}

} // namespace chicorydrum::shard
