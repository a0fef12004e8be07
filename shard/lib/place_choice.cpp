/// \file
/// Places near a task's data or group: which rack a group runs on, and whether
/// a task waits for a better endpoint than the one that is free.
#include "chicorydrum/shard/shard_owner.hpp"

#include "endpoint_record.hpp"
#include "owned_job.hpp"
#include "place_wait.hpp"

#include <algorithm>
#include <array>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::log_line;

/// Larger groups are spread over any endpoints: no rack holds them.
constexpr int max_tasks_on_one_rack = 128;

/// An endpoint in the plan of a group.
struct rack_place
{
    std::string endpoint;
    double run_ms = 0;
};

} // namespace

std::string_view name_of(place_outcome outcome)
{
    static constexpr std::array<std::string_view, 3> names = {
        "reached", "given_up", "started_far"};
    return names[static_cast<std::size_t>(outcome)];
}

void shard_owner::choose_rack(owned_job& job, int group, instant now)
{
    const auto index = static_cast<std::size_t>(group);
    const schema::task_group& shape = job.work.groups[index];
    if (shape.count > max_tasks_on_one_rack)
        return;
    std::map<std::string, std::vector<rack_place>> racks;
    for (const auto& [id, record] : this->endpoints)
    {
        const schema::endpoint_registration& endpoint = record->lease.entry();
        const bool is_usable = endpoint.pool == job.terms.pool &&
                               (shape.required_label.empty() ||
                                has_label(endpoint, shape.required_label));
        if (!is_usable)
            continue;
        const rack_place place{
            .endpoint = id, .run_ms = this->expected_ms(job, group, endpoint)};
        // Without a name: any endpoints, so that the tasks are apart.
        for (const std::string& rack : {rack_of(endpoint), std::string()})
            racks[rack].push_back(place);
        racks[""].back().run_ms *= this->options.far_factor;
    }
    // Loads the forecast, which the plans below start from.
    this->bookings->free_from(job.terms.pool, "", shape.need, now);
    std::string best;
    instant best_end = instant::max();
    for (const auto& [rack, places] : racks)
    {
        // Of the plans of this group only the last one counts.
        place_bookings plan = *this->bookings;
        instant group_end = now;
        for (int task = 0; task < shape.count && group_end < best_end; ++task)
        {
            const rack_place* chosen = nullptr;
            instant chosen_end = instant::max();
            for (const rack_place& place : places)
            {
                const auto free_at = plan.free_from(
                    job.terms.pool, place.endpoint, shape.need, now);
                if (!free_at)
                    continue;
                const instant end =
                    *free_at + support::duration_from_ms(place.run_ms);
                if (end >= chosen_end)
                    continue;
                chosen = &place;
                chosen_end = end;
            }
            group_end = std::max(group_end, chosen_end);
            if (chosen != nullptr)
                plan.book(job.terms.pool, chosen->endpoint, shape.need,
                          chosen_end);
        }
        if (group_end >= best_end)
            continue;
        best = rack;
        best_end = group_end;
    }
    job.racks[index] = best;
    const auto expected_ms =
        best_end == instant::max() ? -1 : support::whole_ms(best_end - now);
    this->hooks.log(log_line("rack_chosen")
                        .add("job", job.id())
                        .add("group", group)
                        .add("rack", best)
                        .add("expected_ms", expected_ms));
}

bool shard_owner::waits_for_place(owned_job& job, const task_key& task,
                                  const endpoint_record& best, double best_ms,
                                  double fastest_ms, instant now)
{
    const auto group_index = static_cast<std::size_t>(task.group);
    const schema::task_group& group = job.work.groups[group_index];
    const bool seeks_place = !job.racks[group_index].empty();
    const bool meets_target =
        now + support::duration_from_ms(best_ms) <= job.target;
    const bool has_better = fastest_ms < best_ms;
    if (!has_better || (meets_target && !seeks_place))
        return false;
    owned_task& state = job.task(task);
    if (!seeks_place)
    {
        const bool waits =
            now + support::duration_from_ms(fastest_ms) <= job.target;
        if (waits && !state.waits_since)
            state.waits_since = now;
        return waits;
    }
    std::vector<place_option> later;
    for (const auto& [id, record] : this->endpoints)
    {
        const schema::endpoint_registration& endpoint = record->lease.entry();
        const bool is_usable =
            record.get() != &best && endpoint.pool == job.terms.pool &&
            (group.required_label.empty() ||
             has_label(endpoint, group.required_label)) &&
            (group.max_per_endpoint == 0 ||
             record->lease.runs_of_group(job.id(), task.group) <
                 group.max_per_endpoint);
        const double run_ms =
            is_usable ? this->expected_ms(job, task.group, endpoint) : best_ms;
        if (run_ms >= best_ms)
            continue;
        const auto free_at =
            this->bookings->free_from(job.terms.pool, id, group.need, now);
        // What is free now and not chosen is withheld or in doubt.
        if (free_at && *free_at > now)
            later.push_back(
                {.endpoint = id, .free_at = *free_at, .run_ms = run_ms});
    }
    const place_option free_now{
        .endpoint = best.lease.entry().id, .free_at = now, .run_ms = best_ms};
    const place_choice choice =
        choose_place(free_now, later, job.target, now, {});
    if (!choice.wait_for)
        return false;
    const place_option& place = later[*choice.wait_for];
    this->bookings->book(job.terms.pool, place.endpoint, group.need,
                         place.free_at +
                             support::duration_from_ms(place.run_ms));
    if (state.waits_since)
        return true;
    state.waits_since = now;
    const auto wait_ms = support::whole_ms(place.free_at - now);
    if (const auto line = this->place_lines.add(wait_ms, now))
        this->hooks.log(
            log_line("place_awaited")
                .add("task", to_text(task))
                .add("reason", name_of(choice.reason))
                .add("endpoint", place.endpoint)
                .add("wait_ms", wait_ms)
                .add("run_ms", place.run_ms)
                .add("free", free_now.endpoint)
                .add("free_run_ms", best_ms)
                .add("pays_ms", support::whole_ms(choice.pays_until - now))
                .add("target_ms", support::whole_ms(job.target - now))
                .add("waits", line->count));
    return true;
}

void shard_owner::note_place(const owned_job& job, owned_task& state,
                             const task_key& task, const endpoint_record& where,
                             instant now)
{
    const bool is_far =
        shard_owner::is_far(job, task.group, where.lease.entry());
    const bool has_waited = state.waits_since.has_value();
    if (!has_waited && !is_far)
        return;
    const instant since = state.waits_since.value_or(now);
    const double run_ms =
        this->expected_ms(job, task.group, where.lease.entry());
    const bool is_in_time =
        now + support::duration_from_ms(run_ms) <= job.target;
    place_outcome outcome = place_outcome::started_far;
    if (has_waited)
        outcome = !is_far && is_in_time ? place_outcome::reached
                                        : place_outcome::given_up;
    state.waits_since.reset();
    if (this->hooks.placed)
        this->hooks.placed(outcome, now - since);
}

} // namespace chicorydrum::shard
