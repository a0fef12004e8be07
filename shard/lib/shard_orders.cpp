/// \file
/// The owner's stops, and the answers to its starts and stops.
#include "chicorydrum/shard/shard_owner.hpp"

#include "endpoint_record.hpp"
#include "owned_job.hpp"
#include "round_trip.hpp"

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::log_line;

/// A run that takes this many times as long as expected, and at least this
/// much longer, with little progress, has stalled.
constexpr double stalled_factor = 3;
constexpr support::milliseconds stalled_slack{300};
constexpr int stalled_percent = 60;
/// Added to a run's number that an earlier owner has used. Owners change
/// rarely, so one step usually exceeds all their numbers.
constexpr std::int64_t stale_run_step = 8;
/// Three times what an endpoint may take to stop a run; a list that shows it
/// follows at once.
constexpr support::milliseconds slow_stop{150};

/// Returns whether an endpoint that answers with \p status has extended its
/// lease as requested.
bool was_executed(order_status status)
{
    return status == order_status::accepted ||
           status == order_status::stale_run ||
           status == order_status::insufficient_capacity;
}

} // namespace

void shard_owner::stop_orphans(endpoint_record& record, instant now)
{
    if (!this->adoption_has_ended &&
        now < this->owned_since + this->options.adoption_window)
        return;
    std::vector<task_key> orphans;
    for (const auto& [task, run] : record.lease.runs())
        if (!run.need && run.state == run_state::running)
            orphans.push_back(task);
    for (const task_key& task : orphans)
        this->stop_run(record, task, now);
}

void shard_owner::stop_run(endpoint_record& where, const task_key& task,
                           instant now)
{
    const auto& runs = where.lease.runs();
    const auto found = runs.find(task);
    if (found == runs.end() || found->second.state == run_state::stopping)
        return;
    where.next_list = now;
    this->send_stop(where, task, now);
}

void shard_owner::send_stop(endpoint_record& where, const task_key& task,
                            instant now)
{
    const std::int64_t run = where.lease.runs().at(task).run;
    where.lease.begin_stop(task, now, now + this->retry_interval(where));
    const order_id order = this->hooks.next_order();
    this->orders[order] = {.to = where.lease.address(),
                           .task = task,
                           .token = where.lease.token(),
                           .sent_at = now};
    this->hooks.log(log_line("run_stopped")
                        .add("task", to_text(task))
                        .add("run", run)
                        .add("endpoint", where.lease.entry().id)
                        .add("token", where.lease.token()));
    this->hooks.stop({.order = order,
                      .to = where.lease.address(),
                      .task = task,
                      .run = run,
                      .token = where.lease.token()});
}

void shard_owner::note_stop(const endpoint_record& where,
                            const ended_run& ended, instant now)
{
    const bool is_listed = ended.evidence == end_evidence::listed ||
                           ended.evidence == end_evidence::missing;
    if (!ended.stopped_at || !is_listed)
        return;
    const auto took = now - *ended.stopped_at;
    if (this->hooks.stop_took)
        this->hooks.stop_took(took);
    if (took <= slow_stop)
        return;
    const std::int64_t took_ms = support::whole_ms(took);
    const auto line = this->slow_stops.add(took_ms, now);
    if (!line)
        return;
    this->hooks.log(log_line("stop_slow", support::log_level::warning)
                        .add("task", to_text(ended.task))
                        .add("run", ended.run)
                        .add("endpoint", where.lease.entry().id)
                        .add("took_ms", took_ms)
                        .add("how", name_of(ended.how))
                        .add("evidence", name_of(ended.evidence))
                        .add("count", line->count)
                        .add("longest_ms", line->most));
}

void shard_owner::stop_stalled(endpoint_record& where, instant now)
{
    std::vector<task_key> stalled;
    for (const auto& [task, run] : where.lease.runs())
    {
        const bool has_start = run.started_at != instant();
        if (run.state != run_state::running || !run.need || !has_start ||
            run.percent >= stalled_percent)
            continue;
        const auto job = this->jobs.find(task.job);
        if (job == this->jobs.end())
            continue;
        const double expected =
            this->expected_ms(*job->second, task.group, where.lease.entry());
        const auto limit = support::milliseconds(static_cast<std::int64_t>(
                               expected * stalled_factor)) +
                           stalled_slack;
        if (now - run.started_at > limit)
            stalled.push_back(task);
    }
    if (stalled.empty())
        return;
    where.quarantine(now);
    for (const task_key& task : stalled)
        this->stop_run(where, task, now);
}

std::optional<shard_owner::sent_order>
shard_owner::settle_order(order_id order, order_status status,
                          std::optional<std::int64_t> clock_ms, instant now)
{
    const auto found = this->orders.find(order);
    if (found == this->orders.end())
        return std::nullopt;
    sent_order sent = std::move(found->second);
    this->orders.erase(found);
    endpoint_record* const record = this->find_endpoint(sent.to.id);
    if (record == nullptr)
        return std::nullopt;
    if (status != order_status::no_answer && status != order_status::not_sent &&
        !sent.is_long_poll)
        this->answers->observe(now - sent.sent_at);
    const bool is_current = sent.token == record->lease.token();
    if (status == order_status::no_answer && sent.is_raising && is_current)
        record->lease.raise_token();
    if (status != order_status::no_answer)
        record->lease.extension_answered(order, was_executed(status), clock_ms,
                                         now);
    // An earlier incarnation's clock says nothing about the present one's.
    if (clock_ms && is_current)
        record->lease.record_clock(*clock_ms, now);
    return sent;
}

void shard_owner::report_fenced(const endpoint_record& record)
{
    this->hooks.fenced(record.lease.entry().id,
                       record.lease.last_listed_incarnation() != 0);
}

bool shard_owner::is_superseded(const endpoint_record& where,
                                const sent_order& order, order_status status)
{
    // Below the present token, the order was overtaken by one of this owner's.
    return status == order_status::stale_token &&
           order.token == where.lease.token();
}

bool shard_owner::is_replaced(const endpoint_record& where,
                              const sent_order& order, order_status status)
{
    return status == order_status::other_incarnation &&
           order.to == where.lease.address() && where.listed_at == order.to;
}

void shard_owner::start_answered(const order_answered& answer, instant now)
{
    const auto settled =
        this->settle_order(answer.order, answer.status, answer.clock_ms, now);
    if (!settled)
        return;
    endpoint_record* const record = this->find_endpoint(settled->to.id);
    const auto run = record->lease.runs().find(settled->task);
    if (run == record->lease.runs().end() ||
        run->second.last_order != answer.order)
        return;
    const std::int64_t number = run->second.run;
    // Already resolved by a list, or by a stop that is under way.
    if (answer.status == order_status::no_answer &&
        run->second.state != run_state::ordered)
        return;
    record->lease.start_answered(settled->task, answer.status,
                                 this->hooks.next_order());
    if (answer.status == order_status::accepted)
    {
        record->is_responding = true;
        this->tick_endpoint(*record, now);
        return;
    }
    this->hooks.log(log_line("start_failed", support::log_level::warning)
                        .add("task", to_text(settled->task))
                        .add("run", number)
                        .add("endpoint", settled->to.id)
                        .add("status", name_of(answer.status)));
    if (answer.status == order_status::no_answer)
    {
        // A list that is requested now shows whether the task runs.
        record->is_responding = false;
        record->last_unanswered = now;
        record->needs_list = true;
        record->next_list = now;
        this->tick_endpoint(*record, now);
        return;
    }
    if (answer.status == order_status::not_sent)
    {
        // Another incarnation may answer at the address by now.
        record->is_responding = false;
        record->needs_list = true;
        record->next_list = now;
    }
    this->start_refused(*record, *settled, answer.status, now);
    this->tick_endpoint(*record, now);
    this->place(now);
}

void shard_owner::start_refused(endpoint_record& where, const sent_order& start,
                                order_status status, instant now)
{
    const bool was_superseded = is_superseded(where, start, status);
    if (was_superseded)
        this->report_fenced(where);
    if (is_replaced(where, start, status))
        this->drop_endpoint_runs(where, end_evidence::other_incarnation, now);
    else if (status != order_status::stale_run &&
             status != order_status::not_sent &&
             status != order_status::other_incarnation &&
             (status != order_status::stale_token || was_superseded))
        where.quarantine(now);
    const auto found = this->jobs.find(start.task.job);
    if (found == this->jobs.end())
        return;
    owned_job& job = *found->second;
    owned_task* const task = job.find_task(start.task);
    if (task == nullptr || task->state != task_state::placed)
        return;
    job.set_state(*task, task_state::waiting);
    // An earlier owner has used the run's number there.
    if (status == order_status::stale_run)
        task->next_run += stale_run_step;
    if (status != order_status::malformed)
        return;
    ++task->failures;
    if (task->failures >= job.terms.max_attempts)
        this->finish(job.id(), schema::job_result::failed, "malformed", now);
}

void shard_owner::stop_answered(const order_answered& answer, instant now)
{
    const auto settled =
        this->settle_order(answer.order, answer.status, answer.clock_ms, now);
    if (!settled)
        return;
    endpoint_record* const record = this->find_endpoint(settled->to.id);
    const auto run = record->lease.runs().find(settled->task);
    if (run == record->lease.runs().end() ||
        answer.order < run->second.last_order ||
        run->second.state != run_state::stopping)
        return;
    if (answer.status == order_status::accepted)
    {
        record->lease.stop_answered(settled->task, this->hooks.next_order());
        // A list that lacks the run frees its capacity.
        record->needs_list = true;
        record->next_list = now;
        this->tick_endpoint(*record, now);
    }
    else if (is_superseded(*record, *settled, answer.status))
        this->report_fenced(*record);
    else if (is_replaced(*record, *settled, answer.status))
        this->drop_endpoint_runs(*record, end_evidence::other_incarnation, now);
    // Other results are resolved by a repeated stop or the lease's end.
}

} // namespace chicorydrum::shard
