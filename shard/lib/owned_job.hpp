/// \file
/// A job and the state of its tasks at the owner of its shard.
#pragma once

#include "chicorydrum/shard/messages.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

/// Returns the estimated run time of a job whose tasks start at once.
std::int64_t longest_estimate_ms(const schema::job& work);
/// Returns how long after its arrival a job must be expected to end to be worth
/// its capacity, and after how long its answer is worth nothing.
support::decision_clock::duration due_span(const schema::job& work,
                                           const schema::job_policy& terms);
support::decision_clock::duration useful_span(const schema::job& work,
                                              const schema::job_policy& terms);

enum class task_state
{
    waiting,
    placed,
    done,
};

struct owned_task
{
    task_state state = task_state::waiting;
    std::int64_t next_run = 1;
    int failures = 0;
    /// Where the task was last placed. After a run that did not complete there,
    /// other endpoints are preferred.
    std::string endpoint;
    /// Since when it waits for an endpoint that is expected to be free later,
    /// although another one is free.
    std::optional<support::instant> waits_since = {};
};

/// A call at an entry host that waits for a job's result.
struct waiting_call
{
    waiting_call(const schema::job_submitted& submitted, std::string at,
                 support::instant now);

    bool is_same_call(const waiting_call& other) const
    {
        return this->host == other.host && this->call == other.call;
    }
    /// Returns the result of job \p id for this call.
    schema::job_ended result_of(const std::string& id,
                                schema::job_result outcome,
                                const std::string& reason) const;

    std::string host;
    std::int64_t call = 0;
    /// The number of the call's newest submission, if its host numbers them.
    std::optional<std::int32_t> submission;
    /// When the call reached its host.
    support::instant arrived;
};

/// Invariant: waiting + placed + done is the number of tasks.
class owned_job
{
public:
    owned_job(const schema::job_submitted& submitted, std::string host,
              support::instant now);

    /// Another owner was sent the job before, as \p submitted tells that
    /// arrives now.
    void expect_runs_of_others(const schema::job_submitted& submitted,
                               support::instant now);

    const std::string& id() const
    {
        return this->work.id;
    }
    owned_task& task(const task_key& key);
    /// Returns null if the job has no such task.
    owned_task* find_task(const task_key& key);
    void set_state(owned_task& changed, task_state state);

    bool is_complete() const
    {
        return this->waiting == 0 && this->placed == 0;
    }
    int waiting_tasks() const
    {
        return this->waiting;
    }
    int placed_tasks() const
    {
        return this->placed;
    }
    bool has_started() const
    {
        return this->placed > 0 || this->done > 0 || this->was_placed;
    }
    /// Returns whether all groups that \p group comes after are done.
    bool is_ready(int group) const;
    std::int64_t longest_estimate_ms() const
    {
        return shard::longest_estimate_ms(this->work);
    }
    /// Returns whether the job can't meet its target any more if its estimate
    /// is right.
    bool is_late(support::instant now) const;
    /// Returns by when the job must be expected to end to be worth its
    /// capacity.
    support::instant due() const;
    /// Returns the sum of run time times cores over the waiting tasks.
    double waiting_core_ms() const;
    std::int64_t waiting_millicores() const;

    schema::job work;
    schema::job_policy terms;
    waiting_call caller;
    bool may_run = false;
    /// The domain's number of shards when another owner may first have started
    /// tasks of it, if known.
    std::optional<int> first_shards;
    /// When the last leases of owners of other shards have lapsed that were
    /// lost when the job arrived; unset if none was.
    std::optional<support::instant> held_until;
    /// When the job reached this owner, and when its first entry host.
    support::instant received;
    support::instant arrived;
    /// An answer by then has its full value.
    support::instant target;
    /// An answer after this is worth nothing to the caller.
    support::instant useful_until;
    support::instant deadline;
    /// By group and index.
    std::vector<std::vector<owned_task>> tasks;
    /// The rack that each group should run on: the one that holds its data, or
    /// that was chosen for a group that wants one rack. Empty if any will do.
    std::vector<std::string> racks;
    /// Groups that want one rack and for which none was chosen yet.
    std::set<int> without_rack;

private:
    int& count_of(task_state state);

    int waiting = 0;
    int placed = 0;
    int done = 0;
    bool was_placed = false;
};

} // namespace chicorydrum::shard
