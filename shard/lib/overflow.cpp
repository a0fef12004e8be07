/// \file
/// Overflow between domains, at the owner of a shard: the room that is told to
/// others, and the jobs that they offer.
#include "chicorydrum/shard/shard_owner.hpp"

#include "backlog_plan.hpp"
#include "capacity_forecast.hpp"
#include "endpoint_record.hpp"
#include "owned_job.hpp"
#include "room_digest.hpp"

#include <algorithm>

namespace chicorydrum::shard
{

using support::instant;

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
            const planned_job planned = this->plan_of(*job, now);
            queue.push_back(
                {.count = planned.tasks,
                 .millicores = job->waiting_millicores() / job->waiting_tasks(),
                 .task_ms = planned.task_ms});
        }
        this->measured_rooms.push_back(
            measure_room(pool, this->forecast(pool, now), queue, now));
    }
}

bool shard_owner::displaces_others(const std::string& host,
                                   const owned_job& job, instant now) const
{
    const bool is_of_other_domain =
        this->hooks.is_of_other_domain && this->hooks.is_of_other_domain(host);
    if (!is_of_other_domain || this->may_have_run(job, now))
        return false;
    std::vector<owned_job*> queue = this->waiting_queue(now);
    std::erase_if(queue, [&job](const owned_job* waiting)
                  { return waiting->terms.pool != job.terms.pool; });
    // Without others the job waits only for runs, as one of this domain would.
    return queue.size() > 1 &&
           !this->plan_shedding(job.terms.pool, queue, now).empty();
}

} // namespace chicorydrum::shard
