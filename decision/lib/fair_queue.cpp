#include "chicorydrum/decision/fair_queue.hpp"

#include <algorithm>
#include <cassert>

namespace chicorydrum::decision
{

std::size_t bytes_held(const submission_record& record)
{
    constexpr std::size_t fixed_bytes = 512;
    std::size_t bytes = fixed_bytes + record.work.id.size() * 2;
    for (const schema::task_spec& task : record.work.tasks)
        bytes += task.payload.size() + sizeof(task);
    for (const std::string& result : record.outcome.results)
        bytes += result.size() + sizeof(std::string);
    return bytes;
}

fair_queue::team_flow& fair_queue::add_tasks(const schema::submission& work,
                                             std::size_t tasks)
{
    kind_flow& kind = this->kinds[work.kind];
    if (kind.tasks == 0)
        kind.start_tag = std::max(kind.start_tag, this->virtual_time);
    team_flow& team = kind.teams[work.team];
    if (team.tasks == 0)
        team.start_tag = std::max(team.start_tag, kind.virtual_time);
    kind.tasks += tasks;
    team.tasks += tasks;
    this->task_count += tasks;
    return team;
}

void fair_queue::remove_tasks(const schema::submission& work, std::size_t tasks)
{
    kind_flow& kind = this->kinds[work.kind];
    team_flow& team = kind.teams[work.team];
    assert(team.tasks >= tasks && "a flow must not count less than zero tasks");
    kind.tasks -= tasks;
    team.tasks -= tasks;
    this->task_count -= tasks;
}

void fair_queue::add(const record_ptr& record)
{
    assert(!record->waiting.empty() &&
           "a queued record must have waiting tasks");
    team_flow& team = this->add_tasks(record->work, record->waiting.size());
    team.by_urgency[record->work.urgency].push_back(record);
}

void fair_queue::put_back(const queued_task& refused)
{
    submission_record& record = *refused.record;
    const bool is_queued = !record.waiting.empty();
    record.waiting.push_back(refused.task);
    team_flow& team = this->add_tasks(record.work, 1);
    if (!is_queued)
        team.by_urgency[record.work.urgency].push_front(refused.record);
}

record_ptr fair_queue::front(team_flow& flow)
{
    while (!flow.by_urgency.empty())
    {
        auto& queue = flow.by_urgency.begin()->second;
        while (!queue.empty())
        {
            const record_ptr& first = queue.front();
            if (!first->finished() && !first->waiting.empty())
                return first;
            queue.pop_front();
        }
        flow.by_urgency.erase(flow.by_urgency.begin());
    }
    return nullptr;
}

fair_queue::team_flow* fair_queue::next_team(const std::string& kind,
                                             kind_flow& flow,
                                             const flow_filter& is_allowed)
{
    team_flow* best = nullptr;
    for (auto& [name, team] : flow.teams)
    {
        if (team.tasks == 0 || !is_allowed(kind, name))
            continue;
        if (best == nullptr || team.start_tag < best->start_tag)
            best = &team;
    }
    return best;
}

record_ptr fair_queue::peek(const flow_filter& is_allowed)
{
    double best_tag = 0;
    team_flow* best_team = nullptr;
    for (auto& [name, kind] : this->kinds)
    {
        if (kind.tasks == 0 ||
            (best_team != nullptr && kind.start_tag >= best_tag))
            continue;
        team_flow* const team = next_team(name, kind, is_allowed);
        if (team == nullptr)
            continue;
        best_tag = kind.start_tag;
        best_team = team;
    }
    return best_team == nullptr ? nullptr : front(*best_team);
}

record_ptr fair_queue::peek_first(
    const std::function<bool(const submission_record&,
                             const submission_record&)>& comes_before)
{
    record_ptr best;
    for (auto& [name, kind] : this->kinds)
        for (auto& [team_name, team] : kind.teams)
        {
            const record_ptr first = front(team);
            if (first != nullptr &&
                (best == nullptr || comes_before(*first, *best)))
                best = first;
        }
    return best;
}

record_ptr fair_queue::peek_oldest()
{
    return this->peek_first(
        [](const submission_record& a, const submission_record& b)
        { return a.arrived < b.arrived; });
}

record_ptr fair_queue::peek_most_urgent()
{
    return this->peek_first(
        [](const submission_record& a, const submission_record& b)
        {
            return std::pair(-a.work.urgency, a.arrived) <
                   std::pair(-b.work.urgency, b.arrived);
        });
}

queued_task fair_queue::take(const record_ptr& record, double cost)
{
    assert(!record->waiting.empty() && "take() must follow peek()");
    kind_flow& kind = this->kinds[record->work.kind];
    team_flow& team = kind.teams[record->work.team];
    this->virtual_time = std::max(this->virtual_time, kind.start_tag);
    kind.virtual_time = std::max(kind.virtual_time, team.start_tag);
    kind.start_tag += cost / this->shares.kind_share(record->work.kind);
    team.start_tag += cost / this->shares.team_share(record->work.team);
    this->remove_tasks(record->work, 1);
    const queued_task taken{.record = record, .task = record->waiting.back()};
    record->waiting.pop_back();
    return taken;
}

std::size_t fair_queue::waiting_tasks(const std::string& kind,
                                      const std::string& team) const
{
    const auto found = this->kinds.find(kind);
    if (found == this->kinds.end())
        return 0;
    const auto flow = found->second.teams.find(team);
    return flow == found->second.teams.end() ? 0 : flow->second.tasks;
}

std::size_t fair_queue::waiting_tasks_of_others(const std::string& kind) const
{
    const auto found = this->kinds.find(kind);
    const std::size_t own =
        found == this->kinds.end() ? 0 : found->second.tasks;
    return this->task_count - own;
}

double fair_queue::guaranteed_fraction(const std::string& kind,
                                       const std::string& team) const
{
    double kind_sum = this->shares.kind_share(kind);
    double team_sum = this->shares.team_share(team);
    for (const auto& [other_kind, flow] : this->kinds)
        if (flow.tasks > 0 && other_kind != kind)
            kind_sum += this->shares.kind_share(other_kind);
    const auto own = this->kinds.find(kind);
    if (own != this->kinds.end())
        for (const auto& [other_team, state] : own->second.teams)
            if (state.tasks > 0 && other_team != team)
                team_sum += this->shares.team_share(other_team);
    return this->shares.kind_share(kind) / kind_sum *
           this->shares.team_share(team) / team_sum;
}

void fair_queue::forget(const submission_record& record)
{
    this->remove_tasks(record.work, record.waiting.size());
}

} // namespace chicorydrum::decision
