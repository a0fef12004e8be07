#include "backlog_plan.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace chicorydrum::shard
{

namespace
{

using support::instant;

/// Maximum number of jobs shed by one plan; the next plan continues.
constexpr std::size_t max_shed = 64;

bool is_free_later(const capacity_unit& left, const capacity_unit& right)
{
    return left.free_at > right.free_at;
}

/// Use of the shard by each route, weighted by urgency: a route's fair share is
/// inversely proportional to its priority's number.
class route_shares
{
public:
    explicit route_shares(const std::vector<route_use>& used)
    {
        for (const route_use& use : used)
            this->core_ms[use.route] += use.core_ms;
    }

    void add(const planned_job& job)
    {
        this->core_ms[job.route] += job.core_ms();
    }
    void remove(const planned_job& job)
    {
        this->core_ms[job.route] -= job.core_ms();
    }
    double excess(const planned_job& job) const
    {
        return this->core_ms.at(job.route) * (1 + job.priority);
    }

private:
    std::map<std::string, double> core_ms;
};

/// Returns the index of the first job that ends after it is due, if any. Skips
/// jobs that were shed.
std::optional<std::size_t> first_late(const std::vector<planned_job>& jobs,
                                      const std::vector<bool>& is_shed,
                                      std::vector<capacity_unit> units)
{
    std::make_heap(units.begin(), units.end(), is_free_later);
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        if (is_shed[i])
            continue;
        const planned_job& job = jobs[i];
        instant end;
        for (int task = 0; task < job.tasks; ++task)
        {
            std::pop_heap(units.begin(), units.end(), is_free_later);
            capacity_unit& unit = units.back();
            unit.free_at +=
                support::duration_from_ms(job.task_ms * unit.slowness);
            end = std::max(end, unit.free_at);
            std::push_heap(units.begin(), units.end(), is_free_later);
        }
        if (end > job.due)
            return i;
    }
    return std::nullopt;
}

std::optional<std::size_t>
choose_job_to_shed(const std::vector<planned_job>& jobs,
                   const std::vector<bool>& is_shed, std::size_t late,
                   const route_shares& shares)
{
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i <= late; ++i)
    {
        if (is_shed[i] || !jobs[i].may_be_shed)
            continue;
        if (!chosen)
        {
            chosen = i;
            continue;
        }
        const double excess = shares.excess(jobs[i]);
        const double chosen_excess = shares.excess(jobs[*chosen]);
        const bool is_newer = jobs[i].arrived > jobs[*chosen].arrived;
        if (excess > chosen_excess || (excess == chosen_excess && is_newer))
            chosen = i;
    }
    return chosen;
}

} // namespace

std::vector<std::size_t> jobs_to_shed(const std::vector<planned_job>& jobs,
                                      std::vector<capacity_unit> units,
                                      const std::vector<route_use>& used)
{
    std::vector<std::size_t> shed;
    if (units.empty())
        return shed;
    route_shares shares(used);
    for (const planned_job& job : jobs)
        shares.add(job);
    std::vector<bool> is_shed(jobs.size(), false);
    std::vector<planned_job> planned = jobs;
    while (shed.size() < max_shed)
    {
        const auto late = first_late(planned, is_shed, units);
        if (!late)
            break;
        const auto chosen = choose_job_to_shed(planned, is_shed, *late, shares);
        if (!chosen)
        {
            // No job up to it may be shed, so it is accepted as late.
            planned[*late].due = instant::max();
            continue;
        }
        is_shed[*chosen] = true;
        shares.remove(planned[*chosen]);
        shed.push_back(*chosen);
    }
    return shed;
}

} // namespace chicorydrum::shard
