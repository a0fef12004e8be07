/// \file
/// Effects of the end of an attempt on its submission.
#include "chicorydrum/decision/submission_owner.hpp"

#include "chicorydrum/decision/answers.hpp"

#include <algorithm>

namespace chicorydrum::decision
{

using support::error_kind;

namespace
{

/// Upper limit of the retry budget that successful tasks accumulate.
constexpr double max_retry_tokens = 20;

} // namespace

void submission_owner::attempt_ended(const attempt_finished& ended,
                                     support::instant now)
{
    const auto attempt = this->scheduling.finish(ended, now);
    if (!attempt)
    {
        if (this->out.logs())
            this->hooks.log("", support::log_line("late_answer")
                                    .add("attempt", static_cast<std::int64_t>(
                                                        ended.attempt)));
        return;
    }
    this->end_attempt(*attempt, ended, now);
}

void submission_owner::on_attempt_checked(const attempt_checked& check,
                                          support::instant now)
{
    const auto ended = this->scheduling.resolve_check(check, now);
    if (ended)
        this->attempt_ended(*ended, now);
}

void submission_owner::offer_replied(const std::string& from,
                                     const schema::offer_reply& reply,
                                     support::instant now)
{
    attempt_finished ended;
    ended.attempt = static_cast<attempt_id>(reply.call);
    if (reply.result.error == error_kind::none &&
        reply.result.results.size() == 1)
    {
        ended.outcome = attempt_outcome::succeeded;
        ended.result = reply.result.results.front();
        this->scheduling.add_peer_idle_slot(from);
    }
    else if (reply.result.not_run)
    {
        ended.outcome = attempt_outcome::refused;
        this->scheduling.clear_peer_idle_slots(from);
    }
    else
        ended.outcome = attempt_outcome::failed;
    this->attempt_ended(ended, now);
}

void submission_owner::end_attempt(const running_attempt& attempt,
                                   const attempt_finished& ended,
                                   support::instant now)
{
    submission_record& record = *attempt.record;
    --record.running;
    if (ended.outcome == attempt_outcome::refused)
        --record.maybe_run;
    if (record.finished())
        return;
    switch (ended.outcome)
    {
    case attempt_outcome::succeeded:
        this->task_succeeded(attempt, ended.result, now);
        return;
    case attempt_outcome::refused:
        this->task_refused(attempt, now);
        return;
    case attempt_outcome::failed:
    case attempt_outcome::lost:
        this->task_failed(attempt, ended.outcome, now);
        return;
    }
}

void submission_owner::task_refused(const running_attempt& attempt,
                                    support::instant now)
{
    const submission_record& record = *attempt.record;
    if (this->out.logs())
        this->hooks.log(
            record.work.id,
            support::log_line("refused_attempt")
                .add("task", static_cast<std::int64_t>(attempt.task))
                .add("endpoint", attempt.endpoint)
                .add("host", attempt.peer));
    const bool is_offer =
        std::any_of(record.waiters.begin(), record.waiters.end(),
                    [](const waiter& recipient)
                    {
                        const auto* const peer =
                            std::get_if<peer_waiter>(&recipient);
                        return peer != nullptr && peer->is_offer;
                    });
    if (!is_offer)
    {
        this->scheduling.requeue(attempt);
        return;
    }
    // The offering host decides where the task goes next.
    this->finish(attempt.record,
                 not_run_answer(record.work.id, error_kind::no_capacity,
                                "the endpoint refused it"),
                 now);
}

void submission_owner::task_succeeded(const running_attempt& attempt,
                                      std::string result, support::instant now)
{
    submission_record& record = *attempt.record;
    const double earned_tokens =
        static_cast<double>(this->bundle.rules().routing.retry_budget) / 100;
    this->retry_tokens =
        std::min(max_retry_tokens, this->retry_tokens + earned_tokens);
    record.results[attempt.task] = std::move(result);
    ++record.succeeded;
    if (record.succeeded < record.work.tasks.size())
        return;
    schema::answer outcome;
    outcome.id = record.work.id;
    outcome.error = error_kind::none;
    outcome.tasks_maybe_run = static_cast<std::int32_t>(record.maybe_run);
    this->finish(attempt.record, std::move(outcome), now);
}

bool submission_owner::may_retry(const submission_record& record)
{
    // Tasks of a submission with an id are never retried, whatever the kind.
    if (!record.anonymous || !record.repeatable || this->retry_tokens < 1)
        return false;
    this->retry_tokens -= 1;
    return true;
}

void submission_owner::task_failed(const running_attempt& attempt,
                                   attempt_outcome outcome,
                                   support::instant now)
{
    submission_record& record = *attempt.record;
    if (this->out.logs())
        this->hooks.log(
            record.work.id,
            support::log_line("failed_attempt")
                .add("task", static_cast<std::int64_t>(attempt.task))
                .add("endpoint", attempt.endpoint)
                .add("host", attempt.peer)
                .add("outcome",
                     outcome == attempt_outcome::lost ? "lost" : "failed"));
    if (now < record.deadline && this->may_retry(record))
    {
        ++record.retries;
        ++this->totals.retries;
        this->scheduling.requeue(attempt);
        return;
    }
    this->fail_unfinished(attempt.record, error_kind::endpoint_failed,
                          "task " + std::to_string(attempt.task) + " " +
                              (outcome == attempt_outcome::lost
                                   ? "got no whole answer"
                                   : "failed on its endpoint"),
                          now);
}

} // namespace chicorydrum::decision
