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
    double share(const planned_job& job) const
    {
        double total = 0;
        for (const auto& [route, used] : this->core_ms)
            total += used;
        return total > 0 ? this->core_ms.at(job.route) / total : 0;
    }

private:
    std::map<std::string, double> core_ms;
};

struct late_job
{
    std::size_t index = 0;
    instant end;
};

/// Returns the first job that ends after it is due, if any. Skips jobs that
/// were shed.
std::optional<late_job> first_late(const std::vector<planned_job>& jobs,
                                   const std::vector<bool>& is_shed,
                                   capacity_plan plan)
{
    // Jobs behind a full plan are judged by a later one.
    for (std::size_t i = 0; i < jobs.size() && !plan.is_full(); ++i)
    {
        if (is_shed[i])
            continue;
        const auto end = plan.add(jobs[i].groups);
        if (end && *end > jobs[i].due)
            return late_job{.index = i, .end = *end};
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

double planned_job::core_ms() const
{
    double total = 0;
    for (const planned_group& group : this->groups)
        total += group.tasks * group.task_ms *
                 static_cast<double>(group.need.millicores) / 1000.0;
    return total;
}

std::vector<shed_job> jobs_to_shed(const std::vector<planned_job>& jobs,
                                   const capacity_plan& plan,
                                   const std::vector<route_use>& used)
{
    std::vector<shed_job> shed;
    if (plan.is_empty())
        return shed;
    route_shares shares(used);
    for (const planned_job& job : jobs)
        shares.add(job);
    std::vector<bool> is_shed(jobs.size(), false);
    std::vector<planned_job> planned = jobs;
    while (shed.size() < max_shed)
    {
        const auto late = first_late(planned, is_shed, plan);
        if (!late)
            break;
        const auto chosen =
            choose_job_to_shed(planned, is_shed, late->index, shares);
        if (!chosen)
        {
            // No job up to it may be shed, so it is accepted as late.
            planned[late->index].due = instant::max();
            continue;
        }
        shed_job& added =
            shed.emplace_back(shed_job{.job = *chosen,
                                       .late_job = late->index,
                                       .late_end = late->end,
                                       .late_due = planned[late->index].due});
        added.route_share = shares.share(planned[*chosen]);
        is_shed[*chosen] = true;
        shares.remove(planned[*chosen]);
    }
    return shed;
}

} // namespace chicorydrum::shard
