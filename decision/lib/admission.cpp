#include "chicorydrum/decision/admission.hpp"

#include "chicorydrum/decision/answers.hpp"

#include <algorithm>

namespace chicorydrum::decision
{

using support::error_kind;

admission::admission(admission_options opts, const bundle_view& rules,
                     const scheduler& tasks)
    : options(opts), bundle(rules), scheduling(tasks)
{
}

std::optional<schema::answer>
admission::find_refusal(const schema::submission& work, std::size_t open_bytes,
                        support::instant now)
{
    if (this->bundle.version() == 0)
        return not_run_answer(work.id, error_kind::bundle_missing,
                              "the host has no bundle yet");
    if (this->is_refusing)
        return not_run_answer(work.id, error_kind::stopping,
                              "the host is stopping");
    auto refusal = this->find_invalid(work);
    if (!refusal)
        refusal = this->find_oversized_task(work);
    if (refusal)
        return refusal;
    if (open_bytes > this->options.max_open_bytes)
        return not_run_answer(work.id, error_kind::no_capacity,
                              "the host's queue is full");
    if (this->options.sheds_predicted_late &&
        this->scheduling.would_be_late(work))
        return not_run_answer(work.id, error_kind::shed,
                              "it could not finish before its deadline");
    return this->charge_quota(work, now);
}

std::optional<schema::answer>
admission::find_invalid(const schema::submission& work) const
{
    if (this->bundle.kind(work.kind) == nullptr)
        return not_run_answer(work.id, error_kind::bad_request,
                              "unknown kind '" + work.kind + "'");
    if (this->bundle.team(work.team) == nullptr)
        return not_run_answer(work.id, error_kind::bad_request,
                              "unknown team '" + work.team + "'");
    const auto max_tasks =
        static_cast<std::size_t>(this->bundle.rules().routing.max_job_tasks);
    if (work.tasks.empty() || work.tasks.size() > max_tasks)
        return not_run_answer(work.id, error_kind::bad_request,
                              "a job has 1 to " + std::to_string(max_tasks) +
                                  " tasks");
    if (work.deadline_ms <= 0)
        return not_run_answer(work.id, error_kind::deadline_passed,
                              "its deadline has passed");
    return std::nullopt;
}

std::optional<schema::answer>
admission::find_oversized_task(const schema::submission& work) const
{
    const endpoint_pool& pool = this->scheduling.endpoints();
    // The workers' sizes are unknown until a host list has been read.
    if (pool.endpoints().empty())
        return std::nullopt;
    for (std::size_t task = 0; task < work.tasks.size(); ++task)
        if (!pool.fits_somewhere(this->scheduling.size_of(work, task)))
            return not_run_answer(work.id, error_kind::never_fits,
                                  "task " + std::to_string(task) +
                                      " is larger than every worker");
    return std::nullopt;
}

std::optional<schema::answer>
admission::charge_quota(const schema::submission& work, support::instant now)
{
    const schema::team_rule& team = *this->bundle.team(work.team);
    const double rate = static_cast<double>(team.max_tasks_per_second) /
                        static_cast<double>(this->quota_hosts);
    rate_limiter& limiter = this->team_rates[work.team];
    if (limiter.take(static_cast<double>(work.tasks.size()), rate, now))
        return std::nullopt;
    schema::answer refusal =
        not_run_answer(work.id, error_kind::over_quota,
                       "team '" + work.team + "' is over its quota");
    const double wait_ms = limiter.seconds_until_positive(rate) * 1000;
    refusal.retry_after_ms =
        std::max(refusal.retry_after_ms, static_cast<std::int64_t>(wait_ms));
    return refusal;
}

void admission::set_quota_hosts(std::size_t hosts)
{
    this->quota_hosts = std::max<std::size_t>(1, hosts);
}

} // namespace chicorydrum::decision
