#include "chicorydrum/shard/job_intake.hpp"

#include "chicorydrum/shard/refused_jobs.hpp"
#include "offer_ranking.hpp"
#include "owned_job.hpp"

#include <algorithm>
#include <limits>
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
/// Returns the result that copies of a job get whose caller got \p kind.
std::optional<schema::job_result> result_of(answer_kind kind)
{
    if (kind == answer_kind::completed)
        return schema::job_result::completed;
    if (kind == answer_kind::failed)
        return schema::job_result::failed;
    return std::nullopt;
}

double load_of(const shard_owner_ref& owner)
{
    return owner.capacity_millicores > 0
               ? static_cast<double>(owner.wanted_millicores) /
                     static_cast<double>(owner.capacity_millicores)
               : 1.0;
}

/// Returns what \p work needs that arrived at \p arrived.
offer_need need_of(const schema::job& work, const schema::job_policy& terms,
                   instant arrived, instant deadline, instant now)
{
    std::int64_t first = 0;
    std::int64_t widest = 0;
    std::int64_t tasks = 0;
    std::int64_t millicores = 0;
    for (const schema::task_group& group : work.groups)
    {
        first += group.after.empty() ? group.count : 0;
        widest = std::max<std::int64_t>(widest, group.count);
        tasks += group.count;
        millicores += group.count * group.need.millicores;
    }
    const milliseconds run(longest_estimate_ms(work));
    // As its owner decides: estimates are off, and a late answer has some value
    // too.
    instant due = arrived + due_span(work, terms);
    if (now + run > due)
        due = std::min(arrived + useful_span(work, terms), deadline);
    return {.tasks = static_cast<int>(std::max(first, widest)),
            .millicores = tasks > 0 ? millicores / tasks : 0,
            .priority = terms.priority,
            .run = run,
            .left = support::duration_cast<milliseconds>(due - now)};
}

} // namespace

std::string_view name_of(offer_place place)
{
    static constexpr std::array<std::string_view, offer_places> names = {
        "home", "own_domain", "other_domain"};
    return names[static_cast<std::size_t>(place)];
}

std::string_view name_of(refusal_cause cause)
{
    static constexpr std::array<std::string_view, refusal_causes> names = {
        "no_room", "offers_used", "no_owner", "too_many_jobs", "host_ends"};
    return names[static_cast<std::size_t>(cause)];
}

job_intake::job_intake(intake_options opts, intake_hooks callbacks)
    : options(std::move(opts)), hooks(std::move(callbacks)),
      random(static_cast<std::minstd_rand::result_type>(this->options.seed))
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
        this->note_refusal(refusal_cause::too_many_jobs);
        this->finish(call, answer_kind::not_run, default_retry_after,
                     "too_many_jobs", now);
        return;
    }
    this->send(call, job, now);
}

std::optional<shard_name> job_intake::choose(const open_job& job,
                                             instant now) const
{
    // A copy of a job that may still run must meet it in its home shard.
    const shard_name home = this->home_of(job.work.id);
    const auto home_owner = this->owners.find(home);
    if (home_owner != this->owners.end())
        return home_owner->second.is_reachable ? std::optional(home)
                                               : std::nullopt;
    if (now - job.read < this->options.home_wait)
        return std::nullopt;
    const bool is_evacuated = this->evacuated.contains(this->options.domain);
    std::optional<shard_name> best;
    double best_load = 0;
    for (const auto& [name, owner] : this->owners)
    {
        const bool is_local = name.domain == this->options.domain;
        // Nothing starts in the own domain if it is evacuated.
        const bool is_wanted =
            is_evacuated ? !this->evacuated.contains(name.domain) : is_local;
        if (!is_wanted || !owner.is_reachable)
            continue;
        const double load = load_of(owner);
        if (best && load >= best_load)
            continue;
        best = name;
        best_load = load;
    }
    return best;
}

bool job_intake::may_offer(const open_job& job, const shard_name& name,
                           const shard_owner_ref& owner) const
{
    // An adopting shard keeps new jobs waiting, and refuses them as
    // interrupted.
    if (!owner.is_reachable || owner.is_adopting ||
        this->evacuated.contains(name.domain))
        return false;
    const bool has_refused =
        std::find(job.refused_by.begin(), job.refused_by.end(), name) !=
        job.refused_by.end();
    if (has_refused)
        return false;
    if (name.domain != this->options.domain)
        return true;
    const auto local_offers =
        std::count_if(job.refused_by.begin(), job.refused_by.end(),
                      [this](const shard_name& refused)
                      { return refused.domain == this->options.domain; });
    return local_offers < this->options.max_local_offers;
}

job_intake::next_offer job_intake::choose_next(const open_job& job, instant now)
{
    if (static_cast<int>(job.refused_by.size()) >= this->options.max_offers)
        return {.cause = refusal_cause::offers_used};
    const offer_need need =
        need_of(job.work, job.terms, job.arrived, job.deadline, now);
    std::vector<shard_name> names;
    std::vector<offer_candidate> candidates;
    for (const auto& [name, owner] : this->owners)
    {
        if (!this->may_offer(job, name, owner))
            continue;
        const known_room known =
            this->known_rooms.find(name, job.terms.pool, need.millicores, now);
        names.push_back(name);
        candidates.push_back({.is_local = name.domain == this->options.domain,
                              .room = known.room,
                              .age = known.age,
                              .sent_millicores = known.sent_millicores,
                              .way = known.way,
                              .risk = owner.lost_hosts,
                              .load = load_of(owner)});
    }
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    offer_options ranking;
    const bool is_evacuated = this->evacuated.contains(this->options.domain);
    // Nothing starts at home; the neighbours' owners still prefer the jobs of
    // their own callers that wait.
    if (is_evacuated)
        ranking.remote_reserve = 0;
    offer_choice choice =
        choose_offer(ranking, need, candidates, draw(this->random));
    if (!choice.chosen && is_evacuated)
    {
        // Room is told for usual sizes: a smaller job may fit beside them.
        for (offer_candidate& candidate : candidates)
            candidate.room = nullptr;
        ranking.remote_load_limit = std::numeric_limits<double>::infinity();
        choice.chosen =
            choose_offer(ranking, need, candidates, draw(this->random)).chosen;
    }
    next_offer next{.cause = candidates.empty() ? refusal_cause::no_owner
                                                : refusal_cause::no_room,
                    .soonest = choice.soonest};
    if (!choice.chosen)
        return next;
    const offer_candidate& chosen = candidates[*choice.chosen];
    next.shard = names[*choice.chosen];
    next.basis = {.wait = choice.wait,
                  .age = chosen.age,
                  .way = chosen.way,
                  .risk = chosen.risk};
    return next;
}

offer_place job_intake::place_of(const open_job& job,
                                 const shard_name& name) const
{
    if (name.domain != this->options.domain)
        return offer_place::other_domain;
    const bool is_first =
        job.refused_by.empty() || job.refused_by.front() == name;
    return is_first ? offer_place::home : offer_place::own_domain;
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
    std::int64_t millicores = 0;
    for (const schema::task_group& group : job.work.groups)
        millicores += group.count * group.need.millicores;
    owner->second.wanted_millicores += millicores;
    this->known_rooms.sent(*job.shard, job.terms.pool, millicores,
                           now + job.basis.wait +
                               milliseconds(longest_estimate_ms(job.work)),
                           now);
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
    this->hooks.log(
        log_line("job_forwarded")
            .add("job", job.work.id)
            .add("route", job.work.route)
            .add("domain", job.shard->domain)
            .add("shard", job.shard->shard)
            .add("owner", job.sent_to)
            .add("token", job.token)
            .add("may_run", job.may_run)
            .add("submission", job.submission)
            .add("config", job.terms.config_version)
            .add("offer", static_cast<std::int64_t>(job.refused_by.size() + 1))
            .add("wait_ms", job.basis.wait.count())
            .add("news_ms", job.basis.age.count())
            .add("way_ms", job.basis.way.count())
            .add("risk", job.basis.risk));
    // A copy, as the owner's answer may end the job before this returns.
    const std::string to = job.sent_to;
    this->hooks.submit(to, message);
}

void job_intake::shard_refused(call_id call, open_job& job,
                               const schema::job_ended& refusal, instant now)
{
    const milliseconds owner_wait(refusal.retry_after_ms);
    if (job.may_run || !job.shard)
    {
        this->finish(
            call, job.may_run ? answer_kind::interrupted : answer_kind::not_run,
            std::max(owner_wait, default_retry_after), refusal.reason, now);
        return;
    }
    ++this->counted
          .offered[static_cast<std::size_t>(this->place_of(job, *job.shard))]
          .refused;
    job.refused_by.push_back(*job.shard);
    const next_offer next = this->choose_next(job, now);
    if (next.shard)
    {
        job.shard = next.shard;
        job.basis = next.basis;
        job.sent_to.clear();
        this->send(call, job, now);
        return;
    }
    const milliseconds retry_after =
        this->spread_retry(owner_wait, next.soonest);
    // -1 where nothing tells.
    this->hooks.log(
        log_line("offers_ended")
            .add("job", job.work.id)
            .add("route", job.work.route)
            .add("cause", name_of(next.cause))
            .add("offers", static_cast<std::int64_t>(job.refused_by.size()))
            .add("age_ms", support::whole_ms(now - job.arrived))
            .add("room_in_ms", next.soonest ? next.soonest->count() : -1)
            .add("retry_after_ms", retry_after.count()));
    this->note_refusal(next.cause);
    this->finish(call, answer_kind::not_run, retry_after, refusal.reason, now);
}

milliseconds job_intake::spread_retry(milliseconds owner_wait,
                                      std::optional<milliseconds> soonest)
{
    if (!soonest)
        return std::max(owner_wait, default_retry_after);
    // The home is asked first again.
    const milliseconds wait = std::max(owner_wait, *soonest);
    std::uniform_int_distribution<std::int64_t> spread(0, wait.count() / 2);
    return wait + milliseconds(spread(this->random));
}

void job_intake::note_refusal(refusal_cause cause)
{
    ++this->counted.refused[static_cast<std::size_t>(cause)];
}

void job_intake::hear_rooms(const std::vector<schema::shard_room>& rooms,
                            instant sent)
{
    for (const schema::shard_room& told : rooms)
        if (auto pools = read_room(told.pools))
            this->known_rooms.told({.domain = told.domain, .shard = told.shard},
                                   told.token, std::move(*pools),
                                   sent - support::microseconds(told.age_us));
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
    const shard_name home = this->home_of(job.work.id);
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
    const bool is_accepted =
        is_current && job.shard && end.outcome != schema::job_result::not_run;
    if (is_accepted)
        ++this->counted
              .offered[static_cast<std::size_t>(
                  this->place_of(job, *job.shard))]
              .accepted;
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
        if (is_current)
            this->shard_refused(call, job, end, now);
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
    this->known_rooms.keep_only([this](const shard_name& name)
                                { return this->owners.contains(name); });
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
        {
            this->note_refusal(refusal_cause::no_owner);
            this->finish(ended.call, answer_kind::not_run, default_retry_after,
                         "no_owner", now);
        }
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
        {
            this->note_refusal(refusal_cause::host_ends);
            this->finish(call, answer_kind::not_run, default_retry_after,
                         reason, now);
        }
        else
            this->finish(call, answer_kind::interrupted, {}, reason, now);
    }
}

} // namespace chicorydrum::shard
