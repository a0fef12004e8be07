#include "records.hpp"

#include "chicorydrum/support/error.hpp"

#include <set>

namespace chicorydrum::fleet
{

namespace
{

using support::error_kind;

constexpr support::milliseconds max_start_after_leaving{2000};
/// Allowed delay of an answer after the deadline: the time to detect a dead
/// owner and to ask its witness.
constexpr support::milliseconds answer_slack{4000};

using start_counts = std::map<std::string, int>;

start_counts count_starts(const run_records& records)
{
    start_counts counts;
    for (const start_record& start : records.starts)
        ++counts[start.payload];
    return counts;
}

void check_starts(const run_records& records, const start_counts& counts,
                  std::vector<std::string>& violations)
{
    for (const auto& [name, entry] : records.submissions)
    {
        if (!entry.has_id)
            continue;
        for (const schema::task_spec& task : entry.work.tasks)
        {
            const auto count = counts.find(task.payload);
            if (count != counts.end() && count->second > 1)
                violations.push_back("double_start " + task.payload);
        }
    }
    for (const start_record& start : records.starts)
        if (start.after_leaving > max_start_after_leaving)
            violations.push_back("start_after_leaving " + start.payload +
                                 " on " + start.endpoint);
}

void check_complete(const call_record& call, const submission_entry& entry,
                    std::vector<std::string>& violations)
{
    const auto& tasks = entry.work.tasks;
    if (call.answer.results.size() != tasks.size())
    {
        violations.push_back("partial_answer " + call.name);
        return;
    }
    for (std::size_t i = 0; i < tasks.size(); ++i)
        if (call.answer.results[i] != "done:" + tasks[i].payload)
        {
            violations.push_back("crossed_answer " + call.name);
            return;
        }
}

void check_not_run(const call_record& call, const submission_entry& entry,
                   const start_counts& counts,
                   std::vector<std::string>& violations)
{
    for (const schema::task_spec& task : entry.work.tasks)
        if (counts.contains(task.payload))
        {
            violations.push_back(
                "false_not_run " + call.name + " " +
                std::string(support::get_error_info(call.answer.error).name));
            return;
        }
}

void check_call(const call_record& call, const submission_entry& entry,
                const start_counts& counts, support::instant end,
                std::vector<std::string>& violations)
{
    if (call.answers > 1)
        violations.push_back("second_answer " + call.name);
    if (!call.is_answered)
    {
        if (!call.is_lost && call.deadline + answer_slack < end)
            violations.push_back("no_answer " + call.name + " via " +
                                 call.host);
        return;
    }
    if (call.is_submission && call.answered > call.deadline + answer_slack)
        violations.push_back("late_answer " + call.name);
    if (call.answer.error == error_kind::none)
        check_complete(call, entry, violations);
    else if (!call.answer.results.empty())
        violations.push_back("partial_answer " + call.name);
    if (call.answer.not_run)
        check_not_run(call, entry, counts, violations);
}

void check_adoptions(const run_records& records,
                     std::vector<std::string>& violations)
{
    std::map<std::pair<std::string, int>, std::int64_t> versions;
    for (const adoption_record& adoption : records.adoptions)
    {
        std::int64_t& last = versions[{adoption.host, adoption.incarnation}];
        if (adoption.version <= last)
            violations.push_back("version_fell " + adoption.host);
        last = adoption.version;
    }
}

} // namespace

std::vector<std::string> find_violations(const run_records& records,
                                         support::instant end)
{
    std::vector<std::string> violations;
    const start_counts counts = count_starts(records);
    check_starts(records, counts, violations);
    for (const call_record& call : records.calls)
        check_call(call, records.submissions.at(call.name), counts, end,
                   violations);
    check_adoptions(records, violations);
    for (const std::string& host : records.stops_with_open_calls)
        violations.push_back("stop_cut_calls " + host);
    return violations;
}

} // namespace chicorydrum::fleet
