/// \file
/// Which waiting jobs an overloaded shard gives up, so that the others still
/// meet their targets. A pure function of the backlog and of when the room of
/// the endpoints is expected to be free.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

/// Room for one task at a time on one endpoint.
struct capacity_unit
{
    support::instant free_at;
    /// Run time of a task there against an average endpoint.
    double slowness = 1;
};

struct planned_job
{
    std::string route;
    /// 0 is the most urgent.
    int priority = 0;
    /// Tasks that wait, and the expected run time of one.
    int tasks = 0;
    double task_ms = 0;
    /// Cores of one task.
    double cores = 0;
    /// It is worth its room only if it ends by then.
    support::instant due;
    support::instant arrived;
    /// A job with tasks that have run is carried through.
    bool may_be_shed = false;

    double core_ms() const
    {
        return this->tasks * this->task_ms * this->cores;
    }
};

/// What the tasks of one route have lately taken of the shard.
struct route_use
{
    std::string route;
    double core_ms = 0;
};

/// Simulates list scheduling of \p jobs, which are in the order in which they
/// are served, and returns the indexes of jobs to shed. A job that would end
/// after it is due makes room among the jobs up to it: of those that may be
/// shed the newest one of the route that takes the most of the shard for its
/// urgency, so that a flood of one kind costs that kind first.
std::vector<std::size_t> jobs_to_shed(const std::vector<planned_job>& jobs,
                                      std::vector<capacity_unit> rooms,
                                      const std::vector<route_use>& used);

} // namespace chicorydrum::shard
