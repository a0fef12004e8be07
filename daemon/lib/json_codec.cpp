#include "chicorydrum/daemon/json_codec.hpp"

#include "chicorydrum/support/digest.hpp"
#include "chicorydrum/support/json_fields.hpp"

#include <nlohmann/json.hpp>

namespace chicorydrum::daemon
{

namespace
{

using nlohmann::json;
using support::error_kind;
using support::fail;

constexpr std::int64_t max_deadline_ms = 3600000;
constexpr int max_urgency = 9;
constexpr int max_millicores = 1024000;
constexpr int max_memory_mb = 4194304;
constexpr std::size_t max_name_bytes = 64;

/// Thrown and caught inside this file only.
struct invalid_body
{
    std::string detail;
};

std::string text_field(const json& object, const char* name,
                       std::size_t max_bytes)
{
    const auto found = object.find(name);
    if (found == object.end())
        return "";
    if (!found->is_string())
        throw invalid_body{std::string("'") + name + "' must be a string"};
    auto text = found->get<std::string>();
    if (text.size() > max_bytes)
        throw invalid_body{std::string("'") + name + "' is longer than " +
                           std::to_string(max_bytes) + " bytes"};
    return text;
}

std::int64_t number_field(const json& object, const char* name,
                          std::int64_t max)
{
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    const bool in_range = found->is_number_integer() &&
                          found->get<double>() >= 0 &&
                          found->get<double>() <= static_cast<double>(max);
    if (!in_range)
        throw invalid_body{std::string("'") + name +
                           "' must be a whole number from 0 to " +
                           std::to_string(max)};
    return found->get<std::int64_t>();
}

void check_keys(const json& object,
                std::initializer_list<std::string_view> allowed)
{
    for (const auto& [key, value] : object.items())
        if (std::find(allowed.begin(), allowed.end(), key) == allowed.end())
            throw invalid_body{"unknown field '" + key + "'"};
}

schema::task_spec parse_task(const json& object)
{
    schema::task_spec task;
    task.payload =
        text_field(object, "payload", std::numeric_limits<int>::max());
    task.millicores = static_cast<std::int32_t>(
        number_field(object, "millicores", max_millicores));
    task.memory_mb = static_cast<std::int32_t>(
        number_field(object, "memory_mb", max_memory_mb));
    return task;
}

schema::submission parse_common(const json& object)
{
    schema::submission work;
    work.team = text_field(object, "team", max_name_bytes);
    work.caller = text_field(object, "caller", max_name_bytes);
    work.deadline_ms = number_field(object, "deadline_ms", max_deadline_ms);
    work.urgency =
        static_cast<std::int32_t>(number_field(object, "urgency", max_urgency));
    return work;
}

json parse_object(std::string_view body)
{
    if (support::is_nested_too_deeply(body))
        throw invalid_body{"the body is nested too deeply"};
    json parsed = json::parse(body, nullptr, false);
    if (parsed.is_discarded())
        throw invalid_body{"the body is not JSON"};
    if (!parsed.is_object())
        throw invalid_body{"the body must be a JSON object"};
    return parsed;
}

std::string_view state_of(const schema::answer& answer)
{
    if (answer.error == error_kind::none)
        return "complete";
    return answer.error == error_kind::running ? "running" : "failed";
}

} // namespace

support::result<schema::submission> parse_job(std::string_view body)
{
    try
    {
        const json object = parse_object(body);
        check_keys(object, {"kind", "team", "caller", "deadline_ms", "urgency",
                            "tasks"});
        schema::submission work = parse_common(object);
        work.kind = text_field(object, "kind", max_name_bytes);
        if (work.kind.empty())
            throw invalid_body{"'kind' is missing"};
        const auto tasks = object.find("tasks");
        if (tasks == object.end() || !tasks->is_array() || tasks->empty())
            throw invalid_body{"'tasks' must be a list of at least one task"};
        for (const json& task : *tasks)
        {
            if (!task.is_object())
                throw invalid_body{"each task must be a JSON object"};
            check_keys(task, {"payload", "millicores", "memory_mb"});
            work.tasks.push_back(parse_task(task));
        }
        return work;
    }
    catch (const invalid_body& invalid)
    {
        return fail(error_kind::bad_request, invalid.detail);
    }
}

support::result<schema::submission> parse_request(std::string_view body,
                                                  const std::string& kind)
{
    try
    {
        const json object = parse_object(body);
        check_keys(object, {"id", "team", "caller", "deadline_ms", "urgency",
                            "payload", "millicores", "memory_mb"});
        schema::submission work = parse_common(object);
        constexpr std::size_t max_id_bytes = 256;
        work.id = text_field(object, "id", max_id_bytes);
        work.kind = kind;
        work.tasks.push_back(parse_task(object));
        return work;
    }
    catch (const invalid_body& invalid)
    {
        return fail(error_kind::bad_request, invalid.detail);
    }
}

std::string to_json(const schema::answer& answer)
{
    json object = {{"state", state_of(answer)}};
    if (!answer.id.empty())
        object["id"] = answer.id;
    if (answer.error == error_kind::none)
    {
        object["results"] = answer.results;
        return object.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    const support::error_info& row = support::get_error_info(answer.error);
    object["error"] = row.name;
    object["detail"] =
        answer.detail.empty() ? std::string(row.text) : answer.detail;
    object["not_run"] = answer.not_run;
    object["retry"] = support::name_of(row.advice);
    if (answer.retry_after_ms > 0)
        object["retry_after_ms"] = answer.retry_after_ms;
    if (!answer.not_run && answer.tasks_maybe_run >= 0)
        object["tasks_maybe_run"] = answer.tasks_maybe_run;
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string digest_of(const schema::submission& work)
{
    std::string bytes;
    const auto add = [&bytes](std::string_view part)
    {
        bytes += std::to_string(part.size());
        bytes += ':';
        bytes += part;
    };
    add(work.kind);
    add(work.team);
    add(work.caller);
    for (const schema::task_spec& task : work.tasks)
    {
        add(task.payload);
        add(std::to_string(task.millicores));
        add(std::to_string(task.memory_mb));
    }
    return support::sha256_hex(bytes);
}

} // namespace chicorydrum::daemon
