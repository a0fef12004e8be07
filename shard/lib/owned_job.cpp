#include "owned_job.hpp"

#include <algorithm>
#include <cassert>

namespace chicorydrum::shard
{

namespace
{

/// Answers later than this many targets are worth nothing (defined by the
/// platform).
constexpr int max_useful_targets = 3;
/// Factor by which run time may exceed the estimate before the owner may end a
/// job as too late.
constexpr double estimate_margin = 1.5;
/// Factor by which a job's expected time may exceed its target before the job
/// may be shed for others: run times and targets come from the callers'
/// estimates, which are off by about this factor.
constexpr double due_margin = 1.3;

support::decision_clock::duration target_span(const schema::job_policy& terms,
                                              double longest_ms)
{
    const double span_ms =
        static_cast<double>(terms.slack_ms) + terms.stretch * longest_ms;
    return support::duration_from_ms(span_ms);
}

} // namespace

std::int64_t longest_estimate_ms(const schema::job& work)
{
    // Dependent groups run after others; the sum bounds the length of the
    // chain.
    std::int64_t longest = 0;
    std::int64_t chained = 0;
    for (const schema::task_group& group : work.groups)
    {
        longest = std::max(longest, group.estimate_ms);
        if (!group.after.empty())
            chained += group.estimate_ms;
    }
    return longest + chained;
}

support::decision_clock::duration due_span(const schema::job& work,
                                           const schema::job_policy& terms)
{
    const auto longest = static_cast<double>(longest_estimate_ms(work));
    const auto span = static_cast<double>(target_span(terms, longest).count());
    return support::microseconds(static_cast<std::int64_t>(span * due_margin));
}

support::decision_clock::duration useful_span(const schema::job& work,
                                              const schema::job_policy& terms)
{
    const auto longest = static_cast<double>(longest_estimate_ms(work));
    return max_useful_targets * target_span(terms, longest * estimate_margin);
}

waiting_call::waiting_call(const schema::job_submitted& submitted,
                           std::string at, support::instant now)
    : host(std::move(at)), call(submitted.call),
      arrived(now - support::microseconds(submitted.age_us))
{
    if (submitted.__isset.submission)
        this->submission = submitted.submission;
}

schema::job_ended waiting_call::result_of(const std::string& id,
                                          schema::job_result outcome,
                                          const std::string& reason) const
{
    schema::job_ended ended;
    ended.call = this->call;
    ended.id = id;
    ended.outcome = outcome;
    ended.reason = reason;
    if (this->submission)
        ended.__set_submission(*this->submission);
    return ended;
}

owned_job::owned_job(const schema::job_submitted& submitted, std::string host,
                     support::instant now)
    : work(submitted.work), terms(submitted.terms),
      caller(submitted, std::move(host), now), may_run(submitted.may_run),
      first_shards(submitted.__isset.first_shards
                       ? std::optional<int>(submitted.first_shards)
                       : std::nullopt),
      received(now), arrived(this->caller.arrived),
      deadline(now + support::microseconds(submitted.time_left_us))
{
    for (const schema::task_group& group : this->work.groups)
    {
        this->tasks.emplace_back(static_cast<std::size_t>(group.count));
        this->waiting += group.count;
        if (group.wants_one_rack && group.count > 1 &&
            group.preferred_rack.empty())
            this->without_rack.insert(static_cast<int>(this->racks.size()));
        this->racks.push_back(group.preferred_rack);
    }
    const auto longest = static_cast<double>(this->longest_estimate_ms());
    this->target = this->arrived + target_span(this->terms, longest);
    this->useful_until = this->arrived + useful_span(this->work, this->terms);
    this->useful_until = std::min(this->useful_until, this->deadline);
}

void owned_job::expect_runs_of_others(const schema::job_submitted& submitted,
                                      support::instant now)
{
    this->may_run = true;
    this->received = now;
    if (submitted.__isset.first_shards)
        this->first_shards =
            std::min(this->first_shards.value_or(submitted.first_shards),
                     submitted.first_shards);
}

owned_task* owned_job::find_task(const task_key& key)
{
    const auto group = static_cast<std::size_t>(key.group);
    if (key.group < 0 || group >= this->tasks.size() || key.index < 0 ||
        static_cast<std::size_t>(key.index) >= this->tasks[group].size())
        return nullptr;
    return &this->tasks[group][static_cast<std::size_t>(key.index)];
}

owned_task& owned_job::task(const task_key& key)
{
    owned_task* const found = this->find_task(key);
    assert(found != nullptr && "task outside its job");
    return *found;
}

int& owned_job::count_of(task_state state)
{
    switch (state)
    {
    case task_state::waiting:
        return this->waiting;
    case task_state::placed:
        return this->placed;
    case task_state::done:
        return this->done;
    }
    return this->done;
}

void owned_job::set_state(owned_task& changed, task_state state)
{
    --this->count_of(changed.state);
    changed.state = state;
    ++this->count_of(state);
    this->was_placed = this->was_placed || state != task_state::waiting;
}

bool owned_job::is_ready(int group) const
{
    const auto is_done = [](const owned_task& task)
    {
        return task.state == task_state::done;
    };
    const schema::task_group& checked =
        this->work.groups[static_cast<std::size_t>(group)];
    return std::all_of(checked.after.begin(), checked.after.end(),
                       [this, &is_done](int earlier)
                       {
                           const auto& all =
                               this->tasks[static_cast<std::size_t>(earlier)];
                           return std::all_of(all.begin(), all.end(), is_done);
                       });
}

bool owned_job::is_late(support::instant now) const
{
    return now + support::milliseconds(this->longest_estimate_ms()) >
           this->target;
}

support::instant owned_job::due() const
{
    return this->arrived + due_span(this->work, this->terms);
}

double owned_job::waiting_core_ms() const
{
    double total = 0;
    for (std::size_t group = 0; group < this->tasks.size(); ++group)
    {
        const schema::task_group& shape = this->work.groups[group];
        for (const owned_task& task : this->tasks[group])
            if (task.state == task_state::waiting)
                total += static_cast<double>(shape.estimate_ms) *
                         static_cast<double>(shape.need.millicores) / 1000.0;
    }
    return total;
}

std::int64_t owned_job::waiting_millicores() const
{
    std::int64_t total = 0;
    for (std::size_t group = 0; group < this->tasks.size(); ++group)
        for (const owned_task& task : this->tasks[group])
            if (task.state == task_state::waiting)
                total += this->work.groups[group].need.millicores;
    return total;
}

} // namespace chicorydrum::shard
