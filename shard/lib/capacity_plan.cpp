#include "capacity_plan.hpp"

#include <algorithm>
#include <queue>
#include <tuple>

namespace chicorydrum::shard
{

namespace
{

using support::instant;

support::decision_clock::duration length_on(const planned_group& group,
                                            double slowness)
{
    return support::duration_from_ms(group.task_ms * slowness);
}

/// Orders a heap so that the run that starts first is on top, and among those
/// the one that ends first, as placement does.
struct starts_later
{
    bool operator()(const planned_run& left, const planned_run& right) const
    {
        return std::tie(left.starts, left.ends) >
               std::tie(right.starts, right.ends);
    }
};

} // namespace

std::optional<instant> capacity_plan::timeline::first_fit(
    const schema::resources& need, instant from,
    support::decision_clock::duration length) const
{
    std::optional<instant> begin;
    for (std::size_t i = 0; i < this->steps.size(); ++i)
    {
        const bool is_last = i + 1 == this->steps.size();
        if (!is_last && this->steps[i + 1].from <= from)
            continue;
        if (!fits(need, this->steps[i].available))
        {
            begin.reset();
            continue;
        }
        if (!begin)
            begin = std::max(from, this->steps[i].from);
        if (is_last || *begin + length <= this->steps[i + 1].from)
            return begin;
    }
    return std::nullopt;
}

std::size_t capacity_plan::timeline::split(instant when)
{
    const auto after = std::upper_bound(
        this->steps.begin(), this->steps.end(), when,
        [](instant time, const step& other) { return time < other.from; });
    const auto index =
        static_cast<std::size_t>(after - this->steps.begin()) - 1;
    if (this->steps[index].from == when)
        return index;
    this->steps.insert(
        after, {.from = when, .available = this->steps[index].available});
    return index + 1;
}

capacity_plan::capacity_plan(const std::vector<endpoint_forecast>& endpoints,
                             instant now)
    : start(now)
{
    this->timelines.reserve(endpoints.size());
    for (const endpoint_forecast& endpoint : endpoints)
    {
        timeline& added = this->timelines.emplace_back();
        added.slowness = endpoint.slowness;
        added.steps.push_back({.from = now, .available = endpoint.capacity});
        for (const occupied_capacity& run : endpoint.occupied)
        {
            if (run.ends <= now)
                continue;
            const std::size_t end = added.split(run.ends);
            for (std::size_t i = 0; i < end; ++i)
                subtract(added.steps[i].available, run.need);
        }
    }
}

std::optional<planned_run> capacity_plan::first_fit(std::size_t endpoint,
                                                    const planned_group& group,
                                                    instant from) const
{
    const timeline& where = this->timelines[endpoint];
    const auto length = length_on(group, where.slowness);
    const auto begin =
        where.first_fit(group.need, std::max(from, this->start), length);
    if (!begin)
        return std::nullopt;
    return planned_run{
        .endpoint = endpoint, .starts = *begin, .ends = *begin + length};
}

std::optional<planned_run>
capacity_plan::first_start(const planned_group& group, instant from) const
{
    std::optional<planned_run> best;
    for (std::size_t i = 0; i < this->timelines.size(); ++i)
    {
        const auto run = this->first_fit(i, group, from);
        if (run && (!best || starts_later()(*best, *run)))
            best = run;
    }
    return best;
}

void capacity_plan::reserve(const planned_group& group, const planned_run& run)
{
    if (run.ends <= run.starts)
        return;
    timeline& where = this->timelines[run.endpoint];
    const std::size_t begin = where.split(run.starts);
    const std::size_t end = where.split(run.ends);
    for (std::size_t i = begin; i < end; ++i)
        subtract(where.steps[i].available, group.need);
}

std::optional<instant>
capacity_plan::add(const std::vector<planned_group>& groups)
{
    std::vector<instant> ends(groups.size(), this->start);
    instant last = this->start;
    for (std::size_t i = 0; i < groups.size(); ++i)
    {
        const planned_group& group = groups[i];
        instant from = this->start;
        for (const int earlier : group.after)
            from = std::max(from, ends[static_cast<std::size_t>(earlier)]);
        ends[i] = from;
        if (group.tasks == 0)
            continue;
        // A reservation changes the next run on its own endpoint only.
        std::priority_queue<planned_run, std::vector<planned_run>, starts_later>
            next;
        for (std::size_t endpoint = 0; endpoint < this->timelines.size();
             ++endpoint)
            if (const auto run = this->first_fit(endpoint, group, from))
                next.push(*run);
        if (next.empty())
            return std::nullopt;
        for (int task = 0; task < group.tasks && !this->is_full(); ++task)
        {
            ++this->planned_tasks;
            const planned_run run = next.top();
            next.pop();
            this->reserve(group, run);
            ends[i] = std::max(ends[i], run.ends);
            if (const auto again =
                    this->first_fit(run.endpoint, group, run.starts))
                next.push(*again);
        }
        last = std::max(last, ends[i]);
    }
    return last;
}

} // namespace chicorydrum::shard
