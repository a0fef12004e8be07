#include "chicorydrum/shard/leased_endpoint.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <set>

namespace chicorydrum::shard
{

namespace
{

/// An endpoint's clock may be this much slower than this host's (guaranteed by
/// the platform).
constexpr double clock_slowness = 0.02;

/// Returns the longest time that \p span of an endpoint's clock takes on this
/// host's.
support::decision_clock::duration longest_duration(support::milliseconds span)
{
    const double longest =
        static_cast<double>(span.count()) / (1.0 - clock_slowness);
    return support::milliseconds(static_cast<std::int64_t>(std::ceil(longest)));
}

} // namespace

std::string_view name_of(run_state state)
{
    static constexpr std::array<std::string_view, 4> names = {
        "ordered", "unconfirmed", "running", "stopping"};
    return names[static_cast<std::size_t>(state)];
}

std::string_view name_of(end_evidence evidence)
{
    static constexpr std::array<std::string_view, 6> names = {
        "listed",       "missing",           "fenced_off",
        "lease_lapsed", "other_incarnation", "unlisted"};
    return names[static_cast<std::size_t>(evidence)];
}

support::milliseconds lapse_bound(const lease_rules& lease)
{
    return lease.longest * 11 / 10;
}

bool has_label(const schema::endpoint_registration& endpoint,
               const std::string& label)
{
    return std::find(endpoint.labels.begin(), endpoint.labels.end(), label) !=
           endpoint.labels.end();
}

std::string rack_of(const schema::endpoint_registration& endpoint)
{
    constexpr std::size_t rack_label = 1;
    return endpoint.labels.size() > rack_label ? endpoint.labels[rack_label]
                                               : std::string();
}

leased_endpoint::leased_endpoint(schema::endpoint_registration initial_entry,
                                 lease_rules lease, fencing_token owner,
                                 fencing_token first_raises)
    : registered(std::move(initial_entry)), rules(lease), owner_token(owner),
      raises(first_raises)
{
}

void leased_endpoint::raise_token()
{
    this->raises = std::min(this->raises + 1, max_raises);
}

void leased_endpoint::begin_incarnation()
{
    this->raise_token();
    this->known = false;
    this->is_awaiting = true;
    this->clock.reset();
    this->extended_at.reset();
    this->latest_lease_end_ms.reset();
}

endpoint_address leased_endpoint::address() const
{
    return {.id = this->registered.id,
            .address = this->registered.address,
            .port = this->registered.port};
}

void leased_endpoint::update_entry(schema::endpoint_registration changed)
{
    assert(changed.id == this->registered.id && "entry of another endpoint");
    this->registered = std::move(changed);
}

schema::resources leased_endpoint::free_capacity() const
{
    schema::resources left = this->registered.capacity;
    for (const auto& [task, run] : this->active_runs)
    {
        if (!run.need)
            return {};
        left.millicores -= run.need->millicores;
        left.memory_mb -= run.need->memory_mb;
        left.accelerators -= run.need->accelerators;
    }
    return left;
}

bool leased_endpoint::has_capacity_for(const schema::resources& need) const
{
    const bool knows_all_needs = std::all_of(
        this->active_runs.begin(), this->active_runs.end(),
        [](const auto& entry) { return entry.second.need.has_value(); });
    if (!this->known || !knows_all_needs)
        return false;
    const schema::resources left = this->free_capacity();
    return need.millicores <= left.millicores &&
           need.memory_mb <= left.memory_mb &&
           need.accelerators <= left.accelerators;
}

int leased_endpoint::runs_of_group(const std::string& job, int group) const
{
    const task_key first{.job = job, .group = group, .index = 0};
    int count = 0;
    for (auto found = this->active_runs.lower_bound(first);
         found != this->active_runs.end() && found->first.job == job &&
         found->first.group == group;
         ++found)
        ++count;
    return count;
}

std::optional<std::int64_t> leased_endpoint::extend_lease(order_id order,
                                                          support::instant now)
{
    const auto clock_now = this->earliest_clock_at(now);
    if (!clock_now || this->clock_is_old(now))
        return std::nullopt;
    const std::int64_t end = *clock_now + this->rules.requested.count();
    this->open_extensions[order] = {.token = this->token(),
                                    .lease_end_ms = end};
    this->latest_lease_end_ms =
        std::max(this->latest_lease_end_ms.value_or(end), end);
    return end;
}

std::optional<std::int64_t> leased_endpoint::keep_lease(order_id order)
{
    if (!this->latest_lease_end_ms)
        return std::nullopt;
    // Executed late, it may be granted from then on.
    this->open_extensions[order] = {.token = this->token(),
                                    .lease_end_ms = *this->latest_lease_end_ms};
    return this->latest_lease_end_ms;
}

support::milliseconds
leased_endpoint::remaining_lease(support::instant now) const
{
    const auto clock_now = this->clock_at(now);
    if (!clock_now || !this->latest_lease_end_ms)
        return support::milliseconds(0);
    return support::milliseconds(
        std::max<std::int64_t>(0, *this->latest_lease_end_ms - *clock_now));
}

std::optional<std::int64_t>
leased_endpoint::clock_at(support::instant now) const
{
    if (!this->clock)
        return std::nullopt;
    return this->clock->clock_ms + support::whole_ms(now - this->clock->taken);
}

std::optional<std::int64_t>
leased_endpoint::earliest_clock_at(support::instant now) const
{
    if (!this->clock)
        return std::nullopt;
    const auto passed =
        static_cast<double>(support::whole_ms(now - this->clock->taken));
    return this->clock->clock_ms +
           static_cast<std::int64_t>(passed * (1.0 - clock_slowness));
}

bool leased_endpoint::clock_is_old(support::instant now) const
{
    return this->clock && now - this->clock->taken > this->rules.clock_age;
}

void leased_endpoint::extension_answered(order_id order, bool was_executed,
                                         std::optional<std::int64_t> clock_ms,
                                         support::instant now)
{
    const auto found = this->open_extensions.find(order);
    if (found == this->open_extensions.end())
        return;
    if (was_executed)
    {
        // By the clock of another incarnation it may grant more than was meant.
        const support::milliseconds granted =
            clock_ms ? std::clamp(support::milliseconds(
                                      found->second.lease_end_ms - *clock_ms),
                                  this->rules.requested, this->rules.longest)
                     : this->rules.longest;
        this->raise_bound(granted, now);
        this->extended_at = now;
    }
    this->open_extensions.erase(found);
}

void leased_endpoint::raise_bound(support::milliseconds granted,
                                  support::instant now)
{
    const support::instant bound = now + longest_duration(granted);
    this->answered_bound =
        std::max(this->answered_bound.value_or(bound), bound);
}

void leased_endpoint::fence_off_extensions(fencing_token token,
                                           support::instant now)
{
    if (token <= this->listed_token)
        return;
    // Those of them that were executed were executed before this list.
    this->listed_token = token;
    this->raise_bound(this->rules.longest, now);
    std::erase_if(this->open_extensions, [token](const auto& entry)
                  { return entry.second.token < token; });
}

std::optional<support::instant> leased_endpoint::lease_bound() const
{
    if (!this->answered_bound)
        return std::nullopt;
    return *this->answered_bound +
           longest_duration(this->rules.longest) *
               static_cast<std::int64_t>(this->open_extensions.size());
}

void leased_endpoint::record_clock(std::int64_t clock_ms, support::instant now)
{
    this->clock = clock_sample{.clock_ms = clock_ms, .taken = now};
}

void leased_endpoint::add_run(const task_key& task, endpoint_run run)
{
    assert(!this->active_runs.contains(task) && "two runs of one task");
    this->active_runs[task] = run;
}

void leased_endpoint::start_answered(const task_key& task, order_status status,
                                     order_id last_order)
{
    const auto found = this->active_runs.find(task);
    if (found == this->active_runs.end())
        return;
    endpoint_run& run = found->second;
    if (status == order_status::accepted)
    {
        run.started_after = last_order;
        if (run.state != run_state::stopping)
            run.state = run_state::running;
    }
    else if (status == order_status::no_answer)
    {
        if (run.state == run_state::ordered)
            run.state = run_state::unconfirmed;
    }
    else
    {
        this->active_runs.erase(found);
    }
}

void leased_endpoint::begin_stop(const task_key& task, support::instant now,
                                 support::instant repeat_at)
{
    const auto found = this->active_runs.find(task);
    if (found == this->active_runs.end())
        return;
    found->second.state = run_state::stopping;
    found->second.next_stop = repeat_at;
    if (!found->second.stopped_at)
        found->second.stopped_at = now;
}

std::vector<task_key> leased_endpoint::stops_due(support::instant now) const
{
    std::vector<task_key> due;
    for (const auto& [task, run] : this->active_runs)
        if (run.state == run_state::stopping && !run.stopped_after &&
            now >= run.next_stop)
            due.push_back(task);
    return due;
}

bool leased_endpoint::awaits_stop() const
{
    return std::any_of(this->active_runs.begin(), this->active_runs.end(),
                       [](const auto& entry)
                       {
                           const endpoint_run& run = entry.second;
                           return run.state == run_state::stopping &&
                                  !run.stopped_after && !run.gone_by;
                       });
}

void leased_endpoint::stop_answered(const task_key& task, order_id last_order)
{
    const auto found = this->active_runs.find(task);
    if (found != this->active_runs.end())
        found->second.stopped_after = last_order;
}

void leased_endpoint::adopt_run(const task_key& task,
                                const schema::resources& need)
{
    const auto found = this->active_runs.find(task);
    if (found != this->active_runs.end())
        found->second.need = need;
}

std::vector<ended_run> leased_endpoint::apply_list(const runs_listed& list,
                                                   fencing_token token,
                                                   order_id last_order,
                                                   support::instant now)
{
    this->fence_off_extensions(token, now);
    if (token == this->token())
    {
        this->known = true;
        this->is_awaiting = false;
    }
    if (list.born_ms != this->listed_incarnation)
    {
        this->last_end = 0;
        for (auto& [task, run] : this->active_runs)
        {
            run.stopped_after.reset();
            run.gone_by.reset();
        }
    }
    this->listed_incarnation = list.born_ms;
    std::vector<ended_run> ended = this->apply_ends(list);
    for (ended_run& missing : this->drop_missing_runs(list, token, now))
        ended.push_back(std::move(missing));
    for (const listed_run& listed : list.running)
    {
        const auto found = this->active_runs.find(listed.task);
        if (found == this->active_runs.end())
        {
            this->active_runs[listed.task] = {.run = listed.run,
                                              .state = run_state::running,
                                              .need = std::nullopt,
                                              .started_at = {},
                                              .started_after = last_order,
                                              .percent = listed.percent};
            continue;
        }
        endpoint_run& run = found->second;
        if (run.run != listed.run)
            continue;
        run.percent = listed.percent;
        if (!run.started_after)
        {
            run.started_after = last_order;
            this->raise_bound(this->rules.longest, now);
        }
        if (run.state != run_state::stopping)
            run.state = run_state::running;
    }
    return ended;
}

std::vector<ended_run> leased_endpoint::apply_ends(const runs_listed& list)
{
    std::vector<ended_run> ended;
    for (const listed_end& end : list.ended)
    {
        if (end.number <= this->last_end)
            continue;
        this->last_end = end.number;
        ended_run run{.task = end.task, .run = end.run, .how = end.how};
        const auto found = this->active_runs.find(end.task);
        if (found != this->active_runs.end() && found->second.run == end.run)
        {
            run.started_at = found->second.started_at;
            run.last_state = found->second.state;
            run.stopped_at = found->second.stopped_at;
            this->active_runs.erase(found);
        }
        ended.push_back(std::move(run));
    }
    return ended;
}

std::vector<ended_run>
leased_endpoint::drop_missing_runs(const runs_listed& list, fencing_token token,
                                   support::instant now)
{
    if (list.has_more_ends)
        return {};
    std::set<std::pair<task_key, std::int64_t>> present;
    for (const listed_run& listed : list.running)
        present.emplace(listed.task, listed.run);
    std::vector<ended_run> ended;
    for (auto entry = this->active_runs.begin();
         entry != this->active_runs.end();)
    {
        endpoint_run& run = entry->second;
        const auto was_before = [&list](const std::optional<order_id>& order)
        {
            return order && *order < list.order;
        };
        const bool is_missing =
            was_before(run.started_after) || was_before(run.stopped_after);
        const bool is_fenced_off = !run.started_after && run.token < token;
        const bool has_ended = !present.contains({entry->first, run.run}) &&
                               (is_missing || is_fenced_off);
        if (!has_ended)
        {
            run.gone_by.reset();
            ++entry;
            continue;
        }
        // The endpoint may list a run that it is stopping as neither active
        // nor ended.
        if (run.state == run_state::stopping)
        {
            if (!run.gone_by)
                run.gone_by = now + longest_duration(this->rules.longest_stop);
            ++entry;
            continue;
        }
        ended.push_back({.task = entry->first,
                         .run = run.run,
                         .how = run_end::lapsed,
                         .started_at = run.started_at,
                         .evidence = is_missing ? end_evidence::missing
                                                : end_evidence::fenced_off,
                         .last_state = run.state});
        entry = this->active_runs.erase(entry);
    }
    return ended;
}

std::vector<ended_run> leased_endpoint::drop_stopped_runs(support::instant now)
{
    std::vector<ended_run> ended;
    for (auto entry = this->active_runs.begin();
         entry != this->active_runs.end();)
    {
        const endpoint_run& run = entry->second;
        if (!run.gone_by || now < *run.gone_by)
        {
            ++entry;
            continue;
        }
        ended.push_back({.task = entry->first,
                         .run = run.run,
                         .how = run_end::stopped,
                         .started_at = run.started_at,
                         .evidence = end_evidence::missing,
                         .last_state = run.state,
                         .stopped_at = run.stopped_at});
        entry = this->active_runs.erase(entry);
    }
    return ended;
}

bool leased_endpoint::has_confirmed_runs() const
{
    return std::any_of(this->active_runs.begin(), this->active_runs.end(),
                       [](const auto& entry)
                       { return entry.second.started_after.has_value(); });
}

std::vector<ended_run> leased_endpoint::drop_runs(end_evidence evidence)
{
    std::vector<ended_run> ended;
    for (auto entry = this->active_runs.begin();
         entry != this->active_runs.end();)
    {
        const endpoint_run& run = entry->second;
        if (evidence == end_evidence::lease_lapsed && !run.started_after)
        {
            ++entry;
            continue;
        }
        ended.push_back({.task = entry->first,
                         .run = run.run,
                         .how = run_end::lapsed,
                         .started_at = run.started_at,
                         .evidence = evidence,
                         .last_state = run.state});
        entry = this->active_runs.erase(entry);
    }
    this->known = false;
    this->extended_at.reset();
    return ended;
}

} // namespace chicorydrum::shard
