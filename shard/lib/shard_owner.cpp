/// \file
/// Jobs and the ends of their runs. Placement, load shedding and calls to
/// endpoints are in placement.cpp, overload.cpp, shard_endpoints.cpp and
/// shard_orders.cpp.
#include "chicorydrum/shard/shard_owner.hpp"

#include "capacity_plan.hpp"
#include "endpoint_record.hpp"
#include "owned_job.hpp"
#include "place_wait.hpp"
#include "round_trip.hpp"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::log_line;

/// How long a completed run is kept for its job to be submitted again.
constexpr support::seconds unclaimed_age{3};
/// Maximum number of completed runs of an earlier owner that are kept.
constexpr std::size_t max_unclaimed = 4096;
/// Maximum number of tasks of one job; larger jobs are refused.
constexpr std::int64_t max_job_tasks = 10000;

const char* text_of(schema::job_result outcome)
{
    switch (outcome)
    {
    case schema::job_result::completed:
        return "completed";
    case schema::job_result::failed:
        return "failed";
    case schema::job_result::not_run:
        return "not_run";
    case schema::job_result::interrupted:
        return "interrupted";
    case schema::job_result::cancelled_by_caller:
        return "cancelled";
    }
    return "unknown";
}

/// Returns why no owner ever starts \p work, or an empty string.
std::string unsupported_reason(const schema::job& work)
{
    std::int64_t total = 0;
    for (const schema::task_group& group : work.groups)
    {
        if (group.is_gang)
            return "gangs_not_supported";
        total += group.count;
    }
    return total > max_job_tasks ? "too_many_tasks" : "";
}

} // namespace

shard_owner::shard_owner(shard_options opts, shard_hooks callbacks, instant now,
                         std::shared_ptr<learned_speeds> learned)
    : options(std::move(opts)), hooks(std::move(callbacks)), owned_since(now),
      speeds(std::move(learned)), answers(std::make_unique<round_trip>())
{
    if (!this->speeds)
        this->speeds = std::make_shared<learned_speeds>(
            learned_speeds_options{},
            learned_speeds_hooks{.log = this->hooks.log});
    this->hooks.log(log_line("shard_owned")
                        .add("domain", this->options.domain)
                        .add("shard", this->options.shard)
                        .add("shards", this->options.shards)
                        .add("token", this->options.token));
}

shard_owner::~shard_owner()
{
    for (const auto& [id, record] : this->endpoints)
        this->speeds->remove_endpoint(id);
}

void shard_owner::submit(const std::string& host,
                         const schema::job_submitted& job, instant now)
{
    if (this->reattach_caller(host, job, now))
        return;
    std::string reason = unsupported_reason(job.work);
    if (reason.empty())
        reason = this->unplaceable_reason(job.work, job.terms);
    if (!reason.empty())
    {
        this->refuse(host, job, reason, support::seconds(1), now);
        return;
    }
    if (this->displaces_others(host, job, now))
    {
        this->refuse(host, job, "overload",
                     this->predicted_wait(owned_job(job, host, now), now), now);
        return;
    }
    auto new_job = std::make_unique<owned_job>(job, host, now);
    owned_job& added = *new_job;
    this->jobs[added.id()] = std::move(new_job);
    this->hold_if_owner_is_lost(added, now);
    this->adopt_runs(added);
    if (added.may_run)
        this->request_all_lists(now);
    if (added.is_complete())
    {
        this->finish(added.id(), schema::job_result::completed, "", now);
        return;
    }
    if (this->evacuated)
    {
        this->end_evacuated_jobs(now);
        return;
    }
    this->place(now);
    if (added.waiting_tasks() > 0)
        this->shed_overload(now);
}

void shard_owner::decline(const std::string& host,
                          const schema::job_submitted& job,
                          const std::string& reason, instant now)
{
    if (!this->reattach_caller(host, job, now))
        this->refuse(host, job, reason, support::seconds(1), now);
}

bool shard_owner::reattach_caller(const std::string& host,
                                  const schema::job_submitted& job, instant now)
{
    waiting_call caller(job, host, now);
    const auto active = this->jobs.find(job.work.id);
    if (active != this->jobs.end())
    {
        // A caller sends a copy only after it has lost the earlier call.
        waiting_call& newest = active->second->caller;
        if (!caller.is_same_call(newest) && job.may_run)
        {
            // The known call came as new, before the one that another owner
            // was sent.
            active->second->expect_runs_of_others(job, now);
            this->request_all_lists(now);
        }
        if (caller.is_same_call(newest) || caller.arrived >= newest.arrived)
            std::swap(newest, caller);
        if (!caller.is_same_call(newest))
            this->hooks.report(caller.host,
                               caller.result_of(job.work.id,
                                                schema::job_result::interrupted,
                                                "superseded"));
        return true;
    }
    if (const auto outcome = this->results.find(job.work.id))
    {
        this->hooks.log(log_line("job_repeated")
                            .add("job", job.work.id)
                            .add("host", host)
                            .add("outcome", text_of(*outcome)));
        this->hooks.report(host,
                           caller.result_of(job.work.id, *outcome, "repeated"));
        return true;
    }
    if (!this->refused.may_run_elsewhere(job.work.id,
                                         {.host = host, .call = job.call}, now))
        return false;
    this->hooks.log(log_line("copy_interrupted")
                        .add("job", job.work.id)
                        .add("host", host)
                        .add("reason", "offered_elsewhere"));
    this->hooks.report(host, caller.result_of(job.work.id,
                                              schema::job_result::interrupted,
                                              "offered_elsewhere"));
    return true;
}

std::string
shard_owner::unplaceable_reason(const schema::job& work,
                                const schema::job_policy& terms) const
{
    for (const schema::task_group& group : work.groups)
    {
        const auto could_run = [&group, &terms](const auto& entry)
        {
            const schema::endpoint_registration& endpoint =
                entry.second->lease.entry();
            return endpoint.pool == terms.pool &&
                   fits(group.need, endpoint.capacity) &&
                   (group.required_label.empty() ||
                    has_label(endpoint, group.required_label));
        };
        if (!std::any_of(this->endpoints.begin(), this->endpoints.end(),
                         could_run))
            return "no_endpoint_fits";
    }
    return "";
}

void shard_owner::refuse(const std::string& host,
                         const schema::job_submitted& job,
                         const std::string& reason,
                         support::milliseconds retry_after, instant now)
{
    const bool may_run =
        this->may_have_run(job.work, job.may_run, now) ||
        (unsupported_reason(job.work).empty() && this->hooks.find_lost_owner());
    const schema::job_result outcome =
        may_run ? schema::job_result::interrupted : schema::job_result::not_run;
    schema::job_ended ended =
        waiting_call(job, host, now).result_of(job.work.id, outcome, reason);
    ended.retry_after_ms = retry_after.count();
    if (outcome == schema::job_result::not_run)
    {
        this->update_rooms(now);
        this->record_refusal(job.work.id, {.host = host, .call = job.call},
                             now + support::microseconds(job.time_left_us),
                             now);
    }
    this->hooks.log(log_line("job_refused")
                        .add("job", job.work.id)
                        .add("route", job.work.route)
                        .add("reason", reason)
                        .add("outcome", text_of(outcome))
                        .add("retry_after_ms", ended.retry_after_ms)
                        .add("config", job.terms.config_version));
    this->hooks.report(host, ended);
}

void shard_owner::adopt_runs(owned_job& job)
{
    for (auto& [id, record] : this->endpoints)
    {
        std::vector<std::pair<task_key, std::int64_t>> found;
        const task_key first{.job = job.id(), .group = -1, .index = 0};
        const auto& runs = record->lease.runs();
        for (auto run = runs.lower_bound(first);
             run != runs.end() && run->first.job == job.id(); ++run)
            if (run->second.state == run_state::running && !run->second.need)
                found.emplace_back(run->first, run->second.run);
        for (const auto& [task, run] : found)
        {
            owned_task* const known = job.find_task(task);
            if (known == nullptr || known->state != task_state::waiting)
                continue;
            const auto group = static_cast<std::size_t>(task.group);
            record->lease.adopt_run(task, job.work.groups[group].need);
            known->next_run = run + 1;
            known->endpoint = id;
            job.set_state(*known, task_state::placed);
            this->hooks.log(log_line("run_adopted")
                                .add("task", to_text(task))
                                .add("run", run)
                                .add("endpoint", id));
        }
    }
    for (auto done = this->unclaimed_completions.lower_bound(
             {.job = job.id(), .group = -1, .index = 0});
         done != this->unclaimed_completions.end() &&
         done->first.job == job.id();)
    {
        owned_task* const known = job.find_task(done->first);
        if (known != nullptr && known->state == task_state::waiting)
            job.set_state(*known, task_state::done);
        done = this->unclaimed_completions.erase(done);
    }
}

void shard_owner::withdraw(const std::string& host,
                           const schema::job_withdrawn& job, instant now)
{
    const caller_call call{.host = host, .call = job.call};
    if (job.__isset.outcome && this->refused.call_of(job.id) == call)
        this->results.add(job.id, job.outcome, now);
    this->refused.call_ended(job.id, call, now);
    const auto found = this->jobs.find(job.id);
    if (found == this->jobs.end())
        return;
    const waiting_call& caller = found->second->caller;
    if (caller.host == host && caller.call == job.call)
        this->remove(job.id, now);
}

void shard_owner::remove(const std::string& id, instant now)
{
    const auto found = this->jobs.find(id);
    this->hooks.log(log_line("job_withdrawn")
                        .add("job", id)
                        .add("placed", found->second->placed_tasks())
                        .add("waiting", found->second->waiting_tasks()));
    this->stop_runs_of(*found->second, now);
    this->jobs.erase(found);
}

bool shard_owner::cancel(const std::string& id, instant now)
{
    const bool is_open = this->jobs.contains(id);
    this->hooks.log(
        log_line("job_cancelled").add("job", id).add("open", is_open));
    if (is_open)
        this->finish(id, schema::job_result::cancelled_by_caller, "cancelled",
                     now);
    this->results.add(id, schema::job_result::cancelled_by_caller, now);
    // The host of a job that was refused here may have offered it to others.
    const auto offered = this->refused.call_of(id);
    if (offered)
        this->report_cancelled(id, *offered);
    return is_open || offered;
}

void shard_owner::report_cancelled(const std::string& id,
                                   const caller_call& call) const
{
    schema::job_ended end;
    end.call = call.call;
    end.id = id;
    end.outcome = schema::job_result::cancelled_by_caller;
    end.reason = "cancelled";
    this->hooks.report(call.host, end);
}

void shard_owner::withdraw_all(const std::string& host,
                               const std::vector<std::string>& open,
                               instant now)
{
    const std::set<std::string> kept(open.begin(), open.end());
    std::vector<std::string> ids;
    for (const auto& [id, job] : this->jobs)
        if (job->caller.host == host && !kept.contains(id))
            ids.push_back(id);
    for (const std::string& id : ids)
        this->remove(id, now);
}

void shard_owner::note_elsewhere(const std::string& host,
                                 const schema::job_elsewhere& job, instant now)
{
    // Copies arrive at the home shard only.
    if (shard_of(job.id, this->options.shards) != this->options.shard)
        return;
    const caller_call call{.host = host, .call = job.call};
    const auto active = this->jobs.find(job.id);
    const bool has_copy = active != this->jobs.end() &&
                          call != caller_call{active->second->caller.host,
                                              active->second->caller.call};
    this->hooks.log(log_line("job_elsewhere")
                        .add("job", job.id)
                        .add("shard", this->options.shard)
                        .add("host", host)
                        .add("copy", has_copy));
    // It has arrived before the answer of the earlier call's host.
    if (has_copy)
        this->finish(job.id, schema::job_result::interrupted,
                     "offered_elsewhere", now);
    this->record_refusal(job.id, call,
                         now + support::microseconds(job.time_left_us), now);
    // The host was told over an earlier link, or by an earlier owner, and names
    // the job since it did not hear of that.
    if (this->results.find(job.id) == schema::job_result::cancelled_by_caller)
        this->report_cancelled(job.id, call);
}

std::optional<instant> shard_owner::needs_all_hosts_since() const
{
    if (!this->options.was_divided)
        return std::nullopt;
    return this->owned_since - lapse_bound(this->options.lease);
}

void shard_owner::end_inquiry(instant now)
{
    if (std::exchange(this->inquiry_has_ended, true))
        return;
    this->hooks.log(
        log_line("inquiry_ended")
            .add("shard", this->options.shard)
            .add("age_ms", support::whole_ms(now - this->owned_since)));
}

void shard_owner::end_jobs_of(const std::string& host, instant now)
{
    std::vector<std::string> ids;
    for (const auto& [id, job] : this->jobs)
        if (job->caller.host == host)
            ids.push_back(id);
    for (const std::string& id : ids)
        this->finish(id, schema::job_result::interrupted, "host_silent", now);
    this->refused.host_lost(host, now);
}

void shard_owner::finish(const std::string& id, schema::job_result outcome,
                         const std::string& reason, instant now)
{
    const auto found = this->jobs.find(id);
    assert(found != this->jobs.end() && "job that ends is not open");
    const std::unique_ptr<owned_job> job = std::move(found->second);
    this->jobs.erase(found);
    this->stop_runs_of(*job, now);
    schema::job_ended ended = job->caller.result_of(id, outcome, reason);
    if (outcome == schema::job_result::not_run)
    {
        ended.retry_after_ms = this->predicted_wait(*job, now).count();
        this->update_rooms(now);
        this->record_refusal(
            id, {.host = job->caller.host, .call = job->caller.call},
            job->deadline, now);
    }
    if (outcome == schema::job_result::completed ||
        outcome == schema::job_result::failed)
        this->results.add(id, outcome, now);
    this->hooks.log(
        log_line("job_ended")
            .add("job", id)
            .add("route", job->work.route)
            .add("outcome", text_of(outcome))
            .add("reason", reason)
            .add("age_ms", support::whole_ms(now - job->arrived))
            .add("target_ms", support::whole_ms(job->target - job->arrived)));
    this->hooks.report(job->caller.host, ended);
}

void shard_owner::record_refusal(const std::string& id, caller_call call,
                                 instant deadline, instant now)
{
    // Copies are submitted to the home shard first.
    if (shard_of(id, this->options.shards) == this->options.shard)
        this->refused.add(id, std::move(call), deadline, now);
}

void shard_owner::stop_runs_of(const owned_job& job, instant now)
{
    for (const auto& group : job.tasks)
        for (const owned_task& task : group)
        {
            if (task.state != task_state::placed)
                continue;
            endpoint_record* const where = this->find_endpoint(task.endpoint);
            const auto group_index = static_cast<int>(&group - &job.tasks[0]);
            const auto index = static_cast<int>(&task - &group[0]);
            if (where != nullptr)
                this->stop_run(
                    *where,
                    {.job = job.id(), .group = group_index, .index = index},
                    now);
        }
}

void shard_owner::run_ended(endpoint_record& where, const ended_run& ended,
                            instant now)
{
    this->needs_placing = true;
    this->note_stop(where, ended, now);
    const auto found = this->jobs.find(ended.task.job);
    if (found == this->jobs.end())
    {
        if (ended.how == run_end::done &&
            this->unclaimed_completions.size() < max_unclaimed)
            this->unclaimed_completions[ended.task] = now;
        return;
    }
    owned_job& job = *found->second;
    owned_task* const task = job.find_task(ended.task);
    if (task == nullptr || task->state == task_state::done)
        return;
    task->next_run = std::max(task->next_run, ended.run + 1);
    if (ended.how == run_end::done)
    {
        this->update_run_times(job, ended, where, now);
        where.run_succeeded();
        job.set_state(*task, task_state::done);
        // A later run, started when this one seemed lost.
        for (const auto& [id, record] : this->endpoints)
            this->stop_run(*record, ended.task, now);
        if (job.is_complete())
            this->finish(job.id(), schema::job_result::completed, "", now);
        return;
    }
    // An end that is listed again, or first to a new owner, may be that of an
    // earlier run than the one that is active there.
    const bool is_active = where.lease.runs().contains(ended.task);
    if (task->endpoint == where.lease.entry().id && !is_active &&
        task->state == task_state::placed)
        job.set_state(*task, task_state::waiting);
    this->hooks.log(log_line("run_ended")
                        .add("task", to_text(ended.task))
                        .add("run", ended.run)
                        .add("endpoint", where.lease.entry().id)
                        .add("how", name_of(ended.how))
                        .add("evidence", name_of(ended.evidence))
                        .add("active", is_active)
                        .add("state", ended.last_state
                                          ? name_of(*ended.last_state)
                                          : std::string_view("unknown"))
                        .add("born_ms", where.lease.last_listed_incarnation())
                        .add("failures", task->failures));
    if (ended.how != run_end::failed)
        return;
    where.run_failed(now);
    ++task->failures;
    if (task->failures >= job.terms.max_attempts)
        this->finish(job.id(), schema::job_result::failed, "attempts_used",
                     now);
}

void shard_owner::update_run_times(const owned_job& job, const ended_run& ended,
                                   const endpoint_record& where, instant now)
{
    const bool was_seen_in_time = ended.started_at != instant() &&
                                  ended.started_at > where.last_unanswered;
    const schema::task_group& group =
        job.work.groups[static_cast<std::size_t>(ended.task.group)];
    if (!was_seen_in_time || group.estimate_ms <= 0)
        return;
    // The model observes the ratio of run time to estimate, so that routes and
    // endpoints of any size are comparable.
    const schema::endpoint_registration& endpoint = where.lease.entry();
    const double nominal_ms =
        static_cast<double>(group.estimate_ms) *
        (is_far(job, ended.task.group, endpoint) ? this->options.far_factor
                                                 : 1.0);
    const double ratio =
        support::in_seconds(now - ended.started_at) * 1000.0 / nominal_ms;
    this->speeds->observe(job.work.route, endpoint.id, ratio, now);
}

bool shard_owner::has_runs_of(const std::string& job) const
{
    const task_key first{.job = job, .group = -1, .index = 0};
    return std::any_of(this->endpoints.begin(), this->endpoints.end(),
                       [&first](const auto& entry)
                       {
                           const auto& runs = entry.second->lease.runs();
                           const auto found = runs.lower_bound(first);
                           return found != runs.end() &&
                                  found->first.job == first.job;
                       });
}

bool shard_owner::may_have_run(const schema::job& work, bool was_sent_to_others,
                               instant now) const
{
    // An earlier owner may have started what other owners have received, and
    // the first call of a job whose copy this is.
    return was_sent_to_others || this->has_runs_of(work.id) ||
           (unsupported_reason(work).empty() &&
            !this->knows_runs_of_predecessors(now));
}

bool shard_owner::may_have_run(const owned_job& job, instant now) const
{
    return job.has_started() || this->is_held(job, now) ||
           this->may_have_run(job.work, job.may_run, now);
}

void shard_owner::end_expired_jobs(instant now)
{
    this->refused.remove_expired(now);
    this->results.remove_expired(now);
    struct job_end
    {
        std::string id;
        schema::job_result outcome;
        const char* reason;
    };
    std::vector<job_end> ended;
    for (const auto& [id, job] : this->jobs)
    {
        if (now >= job->deadline)
        {
            const bool not_run = !this->may_have_run(*job, now);
            ended.push_back({id,
                             not_run ? schema::job_result::not_run
                                     : schema::job_result::interrupted,
                             "deadline_passed"});
            continue;
        }
        if (job->waiting_tasks() == 0 ||
            now + this->min_remaining_time(*job) <= job->useful_until)
            continue;
        const bool not_run = !this->may_have_run(*job, now);
        ended.push_back({id,
                         not_run ? schema::job_result::not_run
                                 : schema::job_result::interrupted,
                         "too_late"});
    }
    for (const job_end& end : ended)
        this->finish(end.id, end.outcome, end.reason, now);
    std::erase_if(this->unclaimed_completions, [now](const auto& entry)
                  { return now - entry.second > unclaimed_age; });
}

void shard_owner::set_evacuated(bool is_evacuated, instant now)
{
    if (std::exchange(this->evacuated, is_evacuated) == is_evacuated)
        return;
    for (const auto& [id, record] : this->endpoints)
        record->is_evacuated = is_evacuated;
    this->hooks.log(
        log_line("shard_evacuated")
            .add("domain", this->options.domain)
            .add("shard", this->options.shard)
            .add("evacuated", is_evacuated)
            .add("jobs", static_cast<std::int64_t>(this->jobs.size()))
            .add("runs", this->running_tasks()));
    this->end_evacuated_jobs(now);
    this->needs_placing = true;
}

void shard_owner::end_evacuated_jobs(instant now)
{
    if (!this->evacuated)
        return;
    std::vector<std::pair<std::string, schema::job_result>> ended;
    for (const owned_job* const job : this->waiting_queue(now))
        ended.emplace_back(job->id(), this->may_have_run(*job, now)
                                          ? schema::job_result::interrupted
                                          : schema::job_result::not_run);
    for (const auto& [id, outcome] : ended)
        this->finish(id, outcome, "evacuated", now);
}

std::map<std::string, std::int32_t> shard_owner::waiting_by_route() const
{
    std::map<std::string, std::int32_t> waiting;
    for (const auto& [id, job] : this->jobs)
        if (!job->has_started())
            ++waiting[job->work.route];
    return waiting;
}

schema::ownership shard_owner::load() const
{
    schema::ownership state;
    state.domain = this->options.domain;
    state.shard = this->options.shard;
    state.token = this->options.token;
    for (const auto& [id, record] : this->endpoints)
    {
        const schema::endpoint_registration& endpoint = record->lease.entry();
        const bool is_usable = record->is_offered() && record->is_responding &&
                               record->lease.is_known();
        if (!is_usable)
            continue;
        const std::int64_t all = endpoint.capacity.millicores;
        state.capacity_millicores += all;
        state.wanted_millicores +=
            all - record->lease.free_capacity().millicores;
    }
    for (const auto& [id, job] : this->jobs)
        state.wanted_millicores += job->waiting_millicores();
    return state;
}

std::vector<std::string> shard_owner::caller_hosts() const
{
    std::set<std::string> hosts;
    for (const auto& [id, job] : this->jobs)
        hosts.insert(job->caller.host);
    for (const std::string& host : this->refused.hosts())
        hosts.insert(host);
    return {hosts.begin(), hosts.end()};
}

bool shard_owner::has_unlisted_runs() const
{
    return std::any_of(this->endpoints.begin(), this->endpoints.end(),
                       [](const auto& entry) {
                           return !entry.second->is_listed &&
                                  !entry.second->lease.runs().empty();
                       });
}

int shard_owner::running_tasks() const
{
    int running = 0;
    for (const auto& [id, record] : this->endpoints)
        running += static_cast<int>(record->lease.runs().size());
    return running;
}

} // namespace chicorydrum::shard
