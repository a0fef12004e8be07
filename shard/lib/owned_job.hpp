/// \file
/// One job as the owner of its shard sees it.
#pragma once

#include "chicorydrum/shard/messages.hpp"

#include <string>
#include <vector>

namespace chicorydrum::shard
{

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
    /// Where it was last placed; a task that did not end well there goes
    /// elsewhere if it can.
    std::string endpoint;
};

/// Invariant: waiting + placed + done is the number of tasks.
class owned_job
{
public:
    owned_job(const schema::job_submitted& submitted, std::string host,
              support::instant now);

    const std::string& id() const
    {
        return this->work.id;
    }
    owned_task& task(const task_key& key);
    /// Null if the job has no such task.
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
    /// Whether all groups that \p group comes after are done.
    bool is_ready(int group) const;
    std::int64_t longest_estimate_ms() const;
    /// Whether it can't meet its target any more if its estimate is right.
    bool is_late(support::instant now) const;
    /// By when it is to end as planned, so that it is worth its room.
    support::instant due() const;
    /// Run time times cores of the tasks that still wait.
    double waiting_core_ms() const;
    std::int64_t waiting_millicores() const;

    schema::job work;
    schema::job_policy terms;
    /// The entry host that waits for the end, and its call there.
    std::string caller_host;
    std::int64_t call = 0;
    bool may_run = false;
    /// When it came to this owner, and when to its entry host.
    support::instant received;
    support::instant arrived;
    /// An answer by then earns its full value.
    support::instant target;
    /// No start of the last task helps the caller after this.
    support::instant useful_until;
    support::instant deadline;
    /// By group and index.
    std::vector<std::vector<owned_task>> tasks;

private:
    int& count_of(task_state state);

    int waiting = 0;
    int placed = 0;
    int done = 0;
    bool was_placed = false;
};

} // namespace chicorydrum::shard
