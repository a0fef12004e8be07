/// \file
/// Selects the waiting jobs that an overloaded shard sheds, so that the others
/// still meet their targets. A pure function of the backlog and of when
/// capacity on the endpoints is expected to be free.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

/// Capacity for one task at a time on one endpoint.
struct capacity_unit
{
    support::instant free_at;
    /// Run time of a task there relative to an average endpoint.
    double slowness = 1;
};

struct planned_job
{
    std::string route;
    /// 0 is the most urgent.
    int priority = 0;
    /// Waiting tasks, and the expected run time of one.
    int tasks = 0;
    double task_ms = 0;
    /// Cores that one task needs.
    double cores = 0;
    /// The job is worth its capacity only if it ends by then.
    support::instant due;
    support::instant arrived;
    /// False for a job with tasks that have run: it is completed.
    bool may_be_shed = false;

    double core_ms() const
    {
        return this->tasks * this->task_ms * this->cores;
    }
};

/// Core time of the shard that one route's tasks have used recently.
struct route_use
{
    std::string route;
    double core_ms = 0;
};

/// Simulates list scheduling of \p jobs, which are in the order in which they
/// are served, on \p units, and returns the indexes of jobs to shed. For a job
/// that would end after it is due, sheds one of the jobs up to it: among those
/// that may be shed the newest one of the route with the largest use of the
/// shard for its urgency, so that a route that overloads the shard is shed
/// first.
std::vector<std::size_t> jobs_to_shed(const std::vector<planned_job>& jobs,
                                      std::vector<capacity_unit> units,
                                      const std::vector<route_use>& used);

} // namespace chicorydrum::shard
