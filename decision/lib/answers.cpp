#include "chicorydrum/decision/answers.hpp"

namespace chicorydrum::decision
{

namespace
{

constexpr std::int64_t retry_after_ms = 1000;

} // namespace

schema::answer status_answer(const std::string& id, support::error_kind kind,
                             std::string detail)
{
    schema::answer answer;
    answer.id = id;
    answer.error = kind;
    answer.detail = std::move(detail);
    if (support::get_error_info(kind).advice == support::retry_advice::later)
        answer.retry_after_ms = retry_after_ms;
    return answer;
}

schema::answer not_run_answer(const std::string& id, support::error_kind kind,
                              std::string detail)
{
    schema::answer answer = status_answer(id, kind, std::move(detail));
    answer.not_run = true;
    return answer;
}

schema::answer maybe_run_answer(const std::string& id, support::error_kind kind,
                                std::string detail,
                                std::int32_t tasks_maybe_run)
{
    schema::answer answer = status_answer(id, kind, std::move(detail));
    answer.tasks_maybe_run = tasks_maybe_run;
    return answer;
}

} // namespace chicorydrum::decision
