/// \file
/// Selects the waiting jobs that an overloaded shard sheds, so that the others
/// still meet their targets. A pure function of the backlog and of the plan of
/// the shard's capacity.
#pragma once

#include "capacity_plan.hpp"

#include "chicorydrum/support/clock.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

struct planned_job
{
    std::string route;
    /// 0 is the most urgent.
    int priority = 0;
    /// The tasks that wait.
    std::vector<planned_group> groups;
    /// The job is worth its capacity only if it ends by then.
    support::instant due;
    support::instant arrived;
    /// False for a job with tasks that have run: it is completed.
    bool may_be_shed = false;

    double core_ms() const;
};

/// Core time of the shard that one route's tasks have used recently.
struct route_use
{
    std::string route;
    double core_ms = 0;
};

/// A job to shed, and why.
struct shed_job
{
    /// Index of the job.
    std::size_t job = 0;
    /// Index of the job that would end late, when it would end, and when it is
    /// due.
    std::size_t late_job = 0;
    support::instant late_end;
    support::instant late_due;
    /// The route's share of the recent and the planned core time.
    double route_share = 0;
};

/// Adds \p jobs, which are in the order in which they are served, to \p plan,
/// and returns the jobs to shed. For a job that would end after it is due,
/// sheds one of the jobs up to it: among those that may be shed the newest one
/// of the route with the largest use of the shard for its urgency, so that a
/// route that overloads the shard is shed first.
std::vector<shed_job> jobs_to_shed(const std::vector<planned_job>& jobs,
                                   const capacity_plan& plan,
                                   const std::vector<route_use>& used);

} // namespace chicorydrum::shard
