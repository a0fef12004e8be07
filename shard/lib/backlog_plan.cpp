#include "backlog_plan.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace chicorydrum::shard
{

namespace
{

using support::instant;

/// Shedding stops after so many jobs at a time; the next plan goes on.
constexpr std::size_t max_shed = 64;

bool is_free_later(const capacity_unit& left, const capacity_unit& right)
{
    return left.free_at > right.free_at;
}

/// What each route takes of the shard, against its urgency: a route's share
/// is inverse to its priority's number.
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

/// The index of the first job that ends after it is due, if any. Skips jobs
/// that were shed.
std::optional<std::size_t> first_late(const std::vector<planned_job>& jobs,
                                      const std::vector<bool>& is_shed,
                                      std::vector<capacity_unit> rooms)
{
    std::make_heap(rooms.begin(), rooms.end(), is_free_later);
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        if (is_shed[i])
            continue;
        const planned_job& job = jobs[i];
        instant end;
        for (int task = 0; task < job.tasks; ++task)
        {
            std::pop_heap(rooms.begin(), rooms.end(), is_free_later);
            capacity_unit& room = rooms.back();
            room.free_at +=
                support::duration_from_ms(job.task_ms * room.slowness);
            end = std::max(end, room.free_at);
            std::push_heap(rooms.begin(), rooms.end(), is_free_later);
        }
        if (end > job.due)
            return i;
    }
    return std::nullopt;
}

std::optional<std::size_t> choose_victim(const std::vector<planned_job>& jobs,
                                         const std::vector<bool>& is_shed,
                                         std::size_t late,
                                         const route_shares& shares)
{
    std::optional<std::size_t> victim;
    for (std::size_t i = 0; i <= late; ++i)
    {
        if (is_shed[i] || !jobs[i].may_be_shed)
            continue;
        if (!victim)
        {
            victim = i;
            continue;
        }
        const double excess = shares.excess(jobs[i]);
        const double most = shares.excess(jobs[*victim]);
        const bool is_newer = jobs[i].arrived > jobs[*victim].arrived;
        if (excess > most || (excess == most && is_newer))
            victim = i;
    }
    return victim;
}

} // namespace

std::vector<std::size_t> jobs_to_shed(const std::vector<planned_job>& jobs,
                                      std::vector<capacity_unit> rooms,
                                      const std::vector<route_use>& used)
{
    std::vector<std::size_t> shed;
    if (rooms.empty())
        return shed;
    route_shares shares(used);
    for (const planned_job& job : jobs)
        shares.add(job);
    std::vector<bool> is_shed(jobs.size(), false);
    std::vector<planned_job> planned = jobs;
    while (shed.size() < max_shed)
    {
        const auto late = first_late(planned, is_shed, rooms);
        if (!late)
            break;
        const auto victim = choose_victim(planned, is_shed, *late, shares);
        if (!victim)
        {
            // Nothing before it can go, so that it is left as it is.
            planned[*late].due = instant::max();
            continue;
        }
        is_shed[*victim] = true;
        shares.remove(planned[*victim]);
        shed.push_back(*victim);
    }
    return shed;
}

} // namespace chicorydrum::shard
