/// \file
/// Overflow between domains, at the owner of a shard: the room that is told to
/// others, and the jobs that they offer.
#include "chicorydrum/shard/shard_owner.hpp"

#include "capacity_plan.hpp"
#include "endpoint_record.hpp"
#include "owned_job.hpp"
#include "room_digest.hpp"

#include <algorithm>

namespace chicorydrum::shard
{

using support::instant;

namespace
{

/// Returns whether all tasks of \p work that come first fit on \p endpoints
/// now.
bool can_start(const schema::job& work,
               const std::vector<endpoint_forecast>& endpoints)
{
    std::vector<schema::resources> free;
    for (const endpoint_forecast& endpoint : endpoints)
    {
        schema::resources& available = free.emplace_back(endpoint.capacity);
        for (const occupied_capacity& run : endpoint.occupied)
            subtract(available, run.need);
    }
    for (const schema::task_group& group : work.groups)
    {
        std::int32_t waiting = group.after.empty() ? group.count : 0;
        for (schema::resources& available : free)
            for (; waiting > 0 && fits(group.need, available); --waiting)
                subtract(available, group.need);
        if (waiting > 0)
            return false;
    }
    return true;
}

} // namespace

void shard_owner::update_rooms(instant now)
{
    if (now - this->rooms_measured_at < max_room_age)
        return;
    this->rooms_measured_at = now;
    this->measured_rooms.clear();
    std::map<std::string, std::int64_t> capacities;
    for (const auto& [id, record] : this->endpoints)
    {
        const schema::endpoint_registration& entry = record->lease.entry();
        capacities[entry.pool] += entry.capacity.millicores;
    }
    std::vector<std::pair<std::int64_t, std::string>> pools;
    for (const auto& [pool, millicores] : capacities)
        pools.emplace_back(millicores, pool);
    std::sort(pools.rbegin(), pools.rend());
    if (pools.size() > max_told_pools)
        pools.resize(max_told_pools);
    const std::vector<owned_job*> waiting = this->waiting_queue(now);
    for (const auto& [millicores, pool] : pools)
    {
        std::vector<waiting_tasks> queue;
        for (const owned_job* const job : waiting)
        {
            if (job->terms.pool != pool)
                continue;
            for (const planned_group& group : this->waiting_groups(*job))
                queue.push_back({.count = group.tasks,
                                 .millicores = group.need.millicores,
                                 .task_ms = group.task_ms});
        }
        const pool_rooms measured =
            measure_rooms(pool, this->forecast(pool, now), queue, now);
        this->measured_rooms.insert(this->measured_rooms.end(),
                                    measured.begin(), measured.end());
    }
}

bool shard_owner::displaces_others(const std::string& host,
                                   const schema::job_submitted& job,
                                   instant now)
{
    const bool is_of_other_domain =
        this->hooks.is_of_other_domain && this->hooks.is_of_other_domain(host);
    if (!is_of_other_domain || this->may_have_run(job.work, job.may_run, now) ||
        this->hooks.find_lost_owner())
        return false;
    // The jobs that wait have the first choice.
    this->place(now);
    const std::string& pool = job.terms.pool;
    const std::vector<owned_job*> queue = this->waiting_queue(now);
    const bool has_backlog = std::any_of(queue.begin(), queue.end(),
                                         [&pool](const owned_job* waiting) {
                                             return waiting->terms.pool == pool;
                                         });
    return has_backlog && !can_start(job.work, this->forecast(pool, now));
}

} // namespace chicorydrum::shard
