#include "chicorydrum/shard/job_intake.hpp"

#include "chicorydrum/shard/refused_jobs.hpp"

#include <algorithm>
#include <vector>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::log_line;
using support::milliseconds;

/// Sent to callers when the duration of a refusal is unknown.
constexpr milliseconds default_retry_after{1000};
/// Jobs are offered to a shard of another domain only below this load, so that
/// a failing domain does not overload the others.
constexpr double remote_load_limit = 0.8;
/// Load that is added to the rank of a shard of another domain.
constexpr double remote_penalty = 1.0;

/// Returns the result that copies of a job get whose caller got \p kind.
std::optional<schema::job_result> result_of(answer_kind kind)
{
    if (kind == answer_kind::completed)
        return schema::job_result::completed;
    if (kind == answer_kind::failed)
        return schema::job_result::failed;
    return std::nullopt;
}

} // namespace

job_intake::job_intake(intake_options opts, intake_hooks callbacks)
    : options(std::move(opts)), hooks(std::move(callbacks))
{
}

void job_intake::submit(call_id call, schema::job work,
                        schema::job_policy terms, milliseconds timeout,
                        milliseconds waited, instant now)
{
    open_job& job = this->jobs[call];
    job.work = std::move(work);
    job.terms = std::move(terms);
    job.arrived = now - waited;
    job.read = now;
    job.deadline = job.arrived + timeout;
    if (this->jobs.size() > this->options.max_open_jobs)
    {
        this->finish(call, answer_kind::not_run, default_retry_after,
                     "too_many_jobs", now);
        return;
    }
    this->send(call, job, now);
}

std::optional<shard_name> job_intake::choose(const open_job& job,
                                             instant now) const
{
    const shard_name home{.domain = this->options.domain,
                          .shard = shard_of(job.work.id, this->shards)};
    // A copy of a job that may still run must meet it in its home shard.
    if (job.refused_by.empty())
    {
        const auto owner = this->owners.find(home);
        if (owner != this->owners.end())
            return owner->second.is_reachable ? std::optional(home)
                                              : std::nullopt;
        if (now - job.read < this->options.home_wait)
            return std::nullopt;
    }
    std::optional<shard_name> best;
    double best_rank = 0;
    for (const auto& [name, owner] : this->owners)
    {
        const bool has_refused =
            std::find(job.refused_by.begin(), job.refused_by.end(), name) !=
            job.refused_by.end();
        const bool is_local = name.domain == this->options.domain;
        const double load =
            owner.capacity_millicores > 0
                ? static_cast<double>(owner.wanted_millicores) /
                      static_cast<double>(owner.capacity_millicores)
                : 1.0;
        const bool is_wanted = is_local || this->may_leave_domain(job, load);
        if (has_refused || !is_wanted || !owner.is_reachable ||
            this->evacuated.contains(name.domain))
            continue;
        const double rank = is_local ? load : load + remote_penalty;
        if (best && rank >= best_rank)
            continue;
        best = name;
        best_rank = rank;
    }
    return best;
}

bool job_intake::may_leave_domain(const open_job& job, double load) const
{
    // Nothing starts in the own domain: the others are all that is left.
    if (this->evacuated.contains(this->options.domain))
        return true;
    // Used only after a refusal, and if it has capacity.
    return !job.refused_by.empty() && load < remote_load_limit;
}

void job_intake::send(call_id call, open_job& job, instant now)
{
    if (!job.shard)
        job.shard = this->choose(job, now);
    const auto owner =
        job.shard ? this->owners.find(*job.shard) : this->owners.end();
    if (owner == this->owners.end() || !owner->second.is_reachable)
        return;
    // The earlier owner, if it is still there, may not know of its successor.
    // In the own domain it learns of it by the heartbeats.
    if (job.shard->domain != this->options.domain &&
        job.sent_to != owner->second.host)
        this->withdraw(call, job);
    job.may_run = job.may_run || !job.sent_to.empty();
    job.sent_to = owner->second.host;
    job.token = owner->second.token;
    // Estimates the load until the next heartbeat of the owner.
    for (const schema::task_group& group : job.work.groups)
        owner->second.wanted_millicores += group.count * group.need.millicores;
    schema::job_submitted message;
    message.call = static_cast<std::int64_t>(call);
    message.work = job.work;
    message.terms = job.terms;
    message.age_us = (now - job.arrived).count();
    message.time_left_us = (job.deadline - now).count();
    message.may_run = job.may_run;
    message.domain = job.shard->domain;
    message.shard = job.shard->shard;
    message.__set_submission(++job.submission);
    if (job.shard->domain == this->options.domain)
    {
        if (job.first_shards == 0)
            job.first_shards = this->shards;
        message.__set_first_shards(job.first_shards);
    }
    job.holders[job.sent_to] = job.submission;
    this->hooks.log(log_line("job_forwarded")
                        .add("job", job.work.id)
                        .add("route", job.work.route)
                        .add("domain", job.shard->domain)
                        .add("shard", job.shard->shard)
                        .add("owner", job.sent_to)
                        .add("token", job.token)
                        .add("may_run", job.may_run)
                        .add("submission", job.submission)
                        .add("config", job.terms.config_version));
    // A copy, as the owner's answer may end the job before this returns.
    const std::string to = job.sent_to;
    this->hooks.submit(to, message);
}

bool job_intake::offer_elsewhere(call_id call, open_job& job, instant now)
{
    if (job.may_run || !job.shard)
        return false;
    job.refused_by.push_back(*job.shard);
    if (static_cast<int>(job.refused_by.size()) >= this->options.max_offers)
        return false;
    const auto next = this->choose(job, now);
    if (!next)
        return false;
    job.shard = next;
    job.sent_to.clear();
    this->send(call, job, now);
    return true;
}

void job_intake::finish(call_id call, answer_kind kind,
                        milliseconds retry_after, const std::string& reason,
                        instant now)
{
    const auto found = this->jobs.find(call);
    if (found == this->jobs.end())
        return;
    const open_job job = std::move(found->second);
    this->jobs.erase(found);
    // Withdrawn first, so that no task runs when the answer arrives.
    this->withdraw_ended(call, job, result_of(kind));
    const bool may_run = kind != answer_kind::completed &&
                         kind != answer_kind::failed &&
                         kind != answer_kind::not_run;
    if (may_run)
        this->keep_withdrawn(call, job, now);
    this->hooks.log(log_line("job_answered")
                        .add("job", job.work.id)
                        .add("route", job.work.route)
                        .add("answer", name_of(kind))
                        .add("reason", reason));
    this->hooks.answer(
        {.call = call, .kind = kind, .retry_after = retry_after});
}

void job_intake::caller_left(call_id call, instant now)
{
    const auto found = this->jobs.find(call);
    if (found == this->jobs.end())
        return;
    const open_job job = std::move(found->second);
    this->jobs.erase(found);
    this->hooks.log(log_line("caller_left").add("job", job.work.id));
    this->withdraw_ended(call, job, std::nullopt);
    this->keep_withdrawn(call, job, now);
}

void job_intake::withdraw(call_id call, const open_job& job)
{
    if (job.holders.empty())
        return;
    schema::job_withdrawn message;
    message.call = static_cast<std::int64_t>(call);
    message.id = job.work.id;
    message.domain = job.shard->domain;
    message.shard = job.shard->shard;
    for (const auto& [host, submission] : job.holders)
        this->hooks.withdraw(host, message);
}

void job_intake::withdraw_ended(call_id call, const open_job& job,
                                std::optional<schema::job_result> outcome)
{
    this->withdraw(call, job);
    // Those that know that another shard may have the job.
    std::set<shard_name> homes;
    if (!job.refused_by.empty())
        homes.insert(job.refused_by.front());
    const shard_name home{.domain = this->options.domain,
                          .shard = shard_of(job.work.id, this->shards)};
    if (job.shard && *job.shard != home)
        homes.insert(home);
    for (const shard_name& name : homes)
    {
        const auto owner = this->owners.find(name);
        if (owner == this->owners.end())
            continue;
        schema::job_withdrawn message;
        message.call = static_cast<std::int64_t>(call);
        message.id = job.work.id;
        message.domain = name.domain;
        message.shard = name.shard;
        if (outcome)
            message.__set_outcome(*outcome);
        this->hooks.withdraw(owner->second.host, message);
    }
}

bool job_intake::is_open(const std::string& id) const
{
    return std::any_of(this->jobs.begin(), this->jobs.end(),
                       [&id](const auto& entry)
                       { return entry.second.work.id == id; });
}

std::vector<std::string> job_intake::jobs_at(const std::string& host) const
{
    std::vector<std::string> ids;
    for (const auto& [call, job] : this->jobs)
        if (job.sent_to == host)
            ids.push_back(job.work.id);
    return ids;
}

std::vector<schema::job_elsewhere>
job_intake::jobs_elsewhere(const shard_name& shard, int shard_count,
                           instant now) const
{
    std::vector<schema::job_elsewhere> found;
    const auto add = [&found, &shard](call_id call, const std::string& id,
                                      support::decision_clock::duration left)
    {
        schema::job_elsewhere& named = found.emplace_back();
        named.call = static_cast<std::int64_t>(call);
        named.id = id;
        named.domain = shard.domain;
        named.shard = shard.shard;
        named.time_left_us =
            support::duration_cast<support::microseconds>(left).count();
    };
    // Those that came later are named last, as the receiver keeps the last call
    // of a job.
    for (const withdrawn_job& job : this->withdrawn)
        if (now < job.at + withdrawal_time &&
            this->has_copies_at(shard, shard_count, job.id, job.shard,
                                job.refused_by))
            add(job.call, job.id, job.at + withdrawal_time - now);
    for (const auto& [call, job] : this->jobs)
        if (job.shard && this->has_copies_at(shard, shard_count, job.work.id,
                                             *job.shard, job.refused_by))
            add(call, job.work.id, job.deadline - now);
    return found;
}

bool job_intake::has_copies_at(const shard_name& shard, int shard_count,
                               const std::string& id, const shard_name& current,
                               const std::vector<shard_name>& refused_by) const
{
    if (current == shard)
        return false;
    // The home of a job that was sent before a division may be another now.
    const bool is_home = shard.domain == this->options.domain &&
                         shard.shard == shard_of(id, shard_count);
    return is_home || std::find(refused_by.begin(), refused_by.end(), shard) !=
                          refused_by.end();
}

void job_intake::keep_withdrawn(call_id call, const open_job& job, instant now)
{
    while (!this->withdrawn.empty() &&
           (now >= this->withdrawn.front().at + withdrawal_time ||
            this->withdrawn.size() >= this->options.max_open_jobs))
        this->withdrawn.pop_front();
    if (job.shard && !job.sent_to.empty())
        this->withdrawn.push_back({.call = call,
                                   .id = job.work.id,
                                   .shard = *job.shard,
                                   .refused_by = job.refused_by,
                                   .at = now});
}

std::set<std::string> job_intake::holders() const
{
    std::set<std::string> hosts;
    for (const auto& [call, job] : this->jobs)
        for (const auto& [host, submission] : job.holders)
            hosts.insert(host);
    return hosts;
}

bool job_intake::cancel(const std::string& id, instant now)
{
    std::vector<call_id> calls;
    for (const auto& [call, job] : this->jobs)
        if (job.work.id == id)
            calls.push_back(call);
    for (const call_id call : calls)
        this->finish(call, answer_kind::cancelled, {}, "cancelled", now);
    return !calls.empty();
}

void job_intake::ended(const std::string& host, const schema::job_ended& end,
                       instant now)
{
    const auto call = static_cast<call_id>(end.call);
    const auto found = this->jobs.find(call);
    if (found == this->jobs.end() || found->second.work.id != end.id)
        return;
    open_job& job = found->second;
    if (end.outcome == schema::job_result::cancelled_by_caller)
    {
        // It may come from the home shard while another shard, maybe of the
        // same host, has the job.
        this->finish(call, answer_kind::cancelled, {}, end.reason, now);
        return;
    }
    const auto holder = job.holders.find(host);
    const bool is_newest_there =
        holder != job.holders.end() &&
        (!end.__isset.submission || end.submission == holder->second);
    if (is_newest_there)
        job.holders.erase(holder);
    const bool is_current = is_newest_there && host == job.sent_to;
    const milliseconds retry_after(end.retry_after_ms);
    switch (end.outcome)
    {
    case schema::job_result::completed:
        this->finish(call, answer_kind::completed, {}, end.reason, now);
        return;
    case schema::job_result::failed:
        this->finish(call, answer_kind::failed, {}, end.reason, now);
        return;
    case schema::job_result::cancelled_by_caller:
        return;
    case schema::job_result::not_run:
        if (!is_current || this->offer_elsewhere(call, job, now))
            return;
        this->finish(
            call, job.may_run ? answer_kind::interrupted : answer_kind::not_run,
            std::max(retry_after, default_retry_after), end.reason, now);
        return;
    case schema::job_result::interrupted:
        if (!is_current)
            return;
        this->finish(call,
                     now >= job.deadline ? answer_kind::timed_out
                                         : answer_kind::interrupted,
                     {}, end.reason, now);
        return;
    }
}

void job_intake::set_owners(shard_owners changed, int shard_count, instant now)
{
    this->shards = shard_count;
    this->owners = std::move(changed);
    this->resend_all(
        [this](const open_job& job)
        {
            if (!job.shard)
                return !this->owners.empty();
            const auto owner = this->owners.find(*job.shard);
            return owner != this->owners.end() && owner->second.is_reachable &&
                   (owner->second.host != job.sent_to ||
                    owner->second.token != job.token);
        },
        now);
}

void job_intake::resubmit_to(const std::string& host, instant now)
{
    this->resend_all(
        [&host](const open_job& job) { return job.sent_to == host; }, now);
}

void job_intake::resend_all(
    const std::function<bool(const open_job&)>& is_concerned, instant now)
{
    std::vector<call_id> calls;
    for (const auto& [call, job] : this->jobs)
        if (is_concerned(job))
            calls.push_back(call);
    for (const call_id call : calls)
    {
        // The answer to an earlier call may have ended the job.
        const auto found = this->jobs.find(call);
        if (found != this->jobs.end())
            this->send(call, found->second, now);
    }
}

void job_intake::tick(instant now)
{
    struct late_call
    {
        call_id call;
        bool was_sent;
    };
    std::vector<late_call> late;
    for (const auto& [call, job] : this->jobs)
    {
        const bool was_sent = !job.sent_to.empty();
        const milliseconds slack =
            was_sent ? this->options.answer_slack : milliseconds(0);
        if (now >= job.deadline + slack)
            late.push_back({.call = call, .was_sent = was_sent});
    }
    for (const late_call& ended : late)
    {
        if (ended.was_sent)
            this->finish(ended.call, answer_kind::timed_out, {},
                         "deadline_passed", now);
        else
            this->finish(ended.call, answer_kind::not_run, default_retry_after,
                         "no_owner", now);
    }
}

void job_intake::end_all(const std::string& reason, instant now)
{
    std::vector<call_id> calls;
    for (const auto& [call, job] : this->jobs)
        calls.push_back(call);
    for (const call_id call : calls)
    {
        if (this->jobs.at(call).sent_to.empty())
            this->finish(call, answer_kind::not_run, default_retry_after,
                         reason, now);
        else
            this->finish(call, answer_kind::interrupted, {}, reason, now);
    }
}

} // namespace chicorydrum::shard
