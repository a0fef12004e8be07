/// \file
/// The plan of a shard's capacity: when waiting tasks are expected to start and
/// end on the endpoints, given what each of them needs, what runs there, and
/// what is planned before them. Used by load shedding and Retry-After. Without
/// I/O.
#pragma once

#include "capacity_forecast.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

/// Equal tasks that may run side by side.
struct planned_group
{
    schema::resources need;
    int tasks = 0;
    /// Expected run time of one task on an average endpoint.
    double task_ms = 0;
    /// Indexes of the job's groups that end before this one starts.
    std::vector<int> after = {};
};

/// Where and when a task is expected to run.
struct planned_run
{
    /// Index of the endpoint.
    std::size_t endpoint = 0;
    support::instant starts;
    support::instant ends;
};

/// Free capacity of endpoints over time. Tasks are added in the order in which
/// they are served: a later one takes what is left, also before an earlier one
/// if that isn't delayed by it.
class capacity_plan
{
public:
    capacity_plan(const std::vector<endpoint_forecast>& endpoints,
                  support::instant now);

    bool is_empty() const
    {
        return this->timelines.empty();
    }

    /// Returns whether no more tasks are planned, which bounds the processor
    /// time of a plan.
    bool is_full() const
    {
        return this->planned_tasks >= max_planned_tasks;
    }

    /// Returns the run of a task of \p group that starts first, at \p from or
    /// later, and among those the one that ends first; nothing if it fits on no
    /// endpoint.
    std::optional<planned_run> first_start(const planned_group& group,
                                           support::instant from) const;
    /// Returns the first run of a task of \p group on \p endpoint, if it fits.
    std::optional<planned_run> first_fit(std::size_t endpoint,
                                         const planned_group& group,
                                         support::instant from) const;

    /// Keeps capacity for \p run of a task of \p group.
    void reserve(const planned_group& group, const planned_run& run);

    /// Reserves capacity for the tasks of a job, each where it starts first,
    /// and returns when the last one ends. Returns nothing if a task fits on no
    /// endpoint. Tasks that exceed the plan's bound are left out.
    std::optional<support::instant>
    add(const std::vector<planned_group>& groups);

private:
    /// About a second of tasks that take 30 ms on 32 endpoints, one at a time.
    static constexpr int max_planned_tasks = 1024;

    /// Capacity that is free from a time until the next step.
    struct step
    {
        support::instant from;
        schema::resources available;
    };
    /// Invariant: `steps` is not empty, is sorted, and begins at `start`. The
    /// whole capacity is free from the last step on.
    struct timeline
    {
        std::vector<step> steps;
        double slowness = 1;

        /// Returns the first time from \p from on when \p need is free for
        /// \p length, or nothing if it exceeds the endpoint.
        std::optional<support::instant>
        first_fit(const schema::resources& need, support::instant from,
                  support::decision_clock::duration length) const;
        /// Returns the index of a step that begins at \p when, which is added
        /// if necessary.
        std::size_t split(support::instant when);
    };

    support::instant start;
    std::vector<timeline> timelines;
    int planned_tasks = 0;
};

/// The plan of a pool of endpoints as of a time.
struct pool_plan
{
    support::instant as_of;
    std::string pool;
    capacity_plan plan;
};

} // namespace chicorydrum::shard
