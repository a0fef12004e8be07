#include "chicorydrum/cli/commands.hpp"

#include "chicorydrum/support/digest.hpp"
#include "chicorydrum/support/json_fields.hpp"
#include "chicorydrum/support/yaml_reader.hpp"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <random>

#include <nlohmann/json.hpp>

namespace chicorydrum::cli
{

namespace
{

using nlohmann::json;
using transport::client_outcome;
using transport::http_method;

constexpr support::milliseconds query_timeout{5000};
/// Longer than any deadline that a caller may set.
constexpr support::milliseconds job_timeout{3610000};
constexpr std::size_t max_file_bytes = 64U << 20U;

exit_code unreachable(const command_options& options,
                      const client_outcome& outcome)
{
    options.errors << "chicorydrum: no host answered ("
                   << transport::name_of(outcome.error()) << ")\n";
    return exit_code::unknown;
}

/// Parses the body as JSON; returns an empty object if it is malformed.
json parse_body(const client_outcome& outcome)
{
    return support::parse_json_object(outcome->body);
}

/// Reports an error answer and returns the matching exit code.
exit_code report_failure(const command_options& options, const json& body)
{
    const std::string kind = body.value("error", "internal");
    if (options.prints_json)
        options.output << body.dump() << "\n";
    else
    {
        options.errors << "chicorydrum: " << kind << ": "
                       << body.value("detail", "");
        if (body.value("not_run", false))
            options.errors << " (nothing ran)";
        else if (body.contains("tasks_maybe_run"))
            options.errors << " (up to " << body["tasks_maybe_run"]
                           << " tasks may have run)";
        options.errors << "; retry: " << body.value("retry", "never") << "\n";
    }
    if (kind == "undetermined" || kind == "store_unavailable")
        return exit_code::unknown;
    return body.value("not_run", false) ? exit_code::not_run
                                        : exit_code::failed;
}

exit_code report_answer(const command_options& options,
                        const client_outcome& outcome)
{
    if (!outcome)
        return unreachable(options, outcome);
    const json body = parse_body(outcome);
    const std::string state = body.value("state", "failed");
    if (state == "failed")
        return report_failure(options, body);
    if (options.prints_json)
        options.output << body.dump() << "\n";
    else if (state == "running")
        options.output << "running: " << body.value("detail", "") << "\n";
    else
    {
        options.output << "complete: " << body["results"].size()
                       << " results\n";
        for (const json& result : body["results"])
            options.output << result.get<std::string>() << "\n";
    }
    return exit_code::success;
}

std::string generate_key()
{
    std::random_device source;
    constexpr unsigned word_bits = 32;
    return "k" +
           support::to_hex((std::uint64_t{source()} << word_bits) | source());
}

/// Returns the id of \p job: its own, or a key under a new home.
support::result<std::string> make_id(const command_options& options,
                                     const submit_options& job)
{
    if (!job.id.empty())
        return job.id;
    const client_outcome outcome = options.entry_hosts.exchange_with_any_host(
        http_method::get, "/v1/home", "", query_timeout);
    const std::string home =
        outcome ? parse_body(outcome).value("home", "") : "";
    if (home.empty())
        return support::fail(support::error_kind::undetermined,
                             "no host gave a home");
    return home + "." + (job.key.empty() ? generate_key() : job.key);
}

void show_progress(const command_options& options, const std::string& id)
{
    const client_outcome outcome = options.entry_hosts.exchange_with_any_host(
        http_method::get, "/v1/jobs/" + id, "", query_timeout);
    if (outcome && outcome->status == 202)
        options.errors << "\r" << parse_body(outcome).value("detail", "")
                       << std::flush;
}

exit_code
print_or_fail(const command_options& options, const client_outcome& outcome,
              const std::function<void(std::ostream&, const json&)>& print)
{
    if (!outcome)
        return unreachable(options, outcome);
    const json body = parse_body(outcome);
    constexpr int first_error_status = 400;
    if (outcome->status >= first_error_status)
        return report_failure(options, body);
    if (options.prints_json)
        options.output << body.dump() << "\n";
    else
        print(options.output, body);
    return exit_code::success;
}

exit_code read_or_report(const command_options& options,
                         const std::string& file, std::string& text)
{
    const auto read = support::read_file(file, max_file_bytes);
    if (!read)
    {
        options.errors << "chicorydrum: " << read.error().detail << "\n";
        return exit_code::usage;
    }
    text = *read;
    return exit_code::success;
}

/// Performs one step of an operator. It is sent once, to one host; if the
/// answer is lost, the operator has to look up the outcome.
exit_code bundle_step(const command_options& options, const std::string& step,
                      const json& body, const std::string& done)
{
    const client_outcome outcome = options.entry_hosts.exchange(
        options.entry_hosts.hosts().front(), http_method::post,
        "/v1/bundle/" + step, body.dump(), support::milliseconds(30000));
    if (!outcome && outcome.error() != transport::client_error::not_sent)
    {
        options.errors << "chicorydrum: the host's answer was lost; the step "
                          "may have taken effect: see `chicorydrum bundle "
                          "history`\n";
        return exit_code::unknown;
    }
    return print_or_fail(options, outcome,
                         [&done](std::ostream& output, const json& answer)
                         {
                             output << done;
                             if (answer.value("version", 0) > 0)
                                 output << " version " << answer["version"];
                             output << " " << answer.value("digest", "")
                                    << "\n";
                         });
}

} // namespace

exit_code submit(const command_options& options, const submit_options& job)
{
    std::string body;
    const exit_code read = read_or_report(options, job.file, body);
    if (read != exit_code::success)
        return read;
    const auto id = make_id(options, job);
    if (!id)
    {
        options.errors << "chicorydrum: " << id.error().detail << "\n";
        return exit_code::unknown;
    }
    if (!options.prints_json)
        options.output << "id " << *id << "\n" << std::flush;
    // The id makes the request idempotent: it may be sent to several hosts.
    const client_outcome outcome = options.entry_hosts.exchange_with_any_host(
        http_method::put, "/v1/jobs/" + *id, body, job_timeout,
        options.shows_progress
            ? std::function<void()>([&] { show_progress(options, *id); })
            : std::function<void()>());
    if (options.shows_progress)
        options.errors << "\n";
    return report_answer(options, outcome);
}

exit_code status(const command_options& options, const std::string& id)
{
    return report_answer(
        options, options.entry_hosts.exchange_with_any_host(
                     http_method::get, "/v1/jobs/" + id, "", query_timeout));
}

exit_code cancel(const command_options& options, const std::string& id)
{
    const client_outcome outcome = options.entry_hosts.exchange_with_any_host(
        http_method::del, "/v1/jobs/" + id, "", query_timeout);
    if (outcome && parse_body(outcome).value("error", "") == "cancelled")
    {
        const json body = parse_body(outcome);
        if (options.prints_json)
            options.output << body.dump() << "\n";
        else
            options.output << "cancelled; "
                           << (body.value("not_run", false)
                                   ? "nothing ran"
                                   : "some tasks may have run")
                           << "\n";
        return exit_code::success;
    }
    return report_answer(options, outcome);
}

exit_code show_hosts(const command_options& options)
{
    return print_or_fail(
        options,
        options.entry_hosts.exchange_with_any_host(
            http_method::get, "/v1/hosts", "", query_timeout),
        [](std::ostream& output, const json& body)
        {
            output << std::left << std::setw(20) << "HOST" << std::setw(16)
                   << "DOMAIN" << std::setw(24) << "ADDRESS" << std::setw(8)
                   << "BUNDLE"
                   << "STATE\n";
            for (const json& host : body["hosts"])
            {
                const bool is_ready = host.value("ready", false);
                const bool is_stopping = host.value("stopping", false);
                output << std::setw(20) << host.value("name", "")
                       << std::setw(16) << host.value("domain", "")
                       << std::setw(24)
                       << host.value("address", "") + ":" +
                              std::to_string(host.value("http_port", 0))
                       << std::setw(8) << host.value("bundle_version", 0)
                       << (is_stopping ? "stopping"
                           : is_ready  ? "ready"
                                       : "not ready")
                       << "\n";
            }
        });
}

exit_code show_endpoints(const command_options& options)
{
    return print_or_fail(
        options,
        options.entry_hosts.exchange_with_any_host(
            http_method::get, "/v1/endpoints", "", query_timeout),
        [](std::ostream& output, const json& body)
        {
            output << std::left << std::setw(20) << "ENDPOINT" << std::setw(10)
                   << "STATE" << std::setw(10) << "HEALTH" << std::setw(8)
                   << "SLOTS" << std::setw(8) << "USABLE" << std::setw(8)
                   << "IN USE"
                   << "SLOWNESS\n";
            for (const json& endpoint : body["endpoints"])
                output << std::setw(20) << endpoint.value("name", "")
                       << std::setw(10) << endpoint.value("state", "")
                       << std::setw(10) << endpoint.value("health", "")
                       << std::setw(8) << endpoint.value("slots", 0)
                       << std::setw(8) << endpoint.value("usable", 0)
                       << std::setw(8) << endpoint.value("in_use", 0)
                       << std::fixed << std::setprecision(2)
                       << endpoint.value("slowness", 0.0) << "\n";
        });
}

exit_code explain(const command_options& options, const std::string& id)
{
    const client_outcome hosts_reply =
        options.entry_hosts.exchange_with_any_host(
            http_method::get, "/v1/hosts", "", query_timeout);
    if (!hosts_reply)
        return unreachable(options, hosts_reply);
    std::vector<json> lines;
    json unreachable_hosts = json::array();
    const json known_hosts = parse_body(hosts_reply);
    for (const json& host : known_hosts["hosts"])
    {
        const host_address address{.address = host.value("address", ""),
                                   .port = host.value("http_port", 0)};
        const client_outcome reply = options.entry_hosts.exchange(
            address, http_method::get, "/v1/explain/" + id, "", query_timeout);
        if (!reply)
        {
            unreachable_hosts.push_back(host.value("name", ""));
            continue;
        }
        const json answer = parse_body(reply);
        for (const json& line : answer["story"])
            lines.push_back(line);
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const json& a, const json& b)
                     {
                         return a["time_ms"].get<std::int64_t>() <
                                b["time_ms"].get<std::int64_t>();
                     });
    if (options.prints_json)
    {
        options.output << json{{"id", id},
                               {"story", lines},
                               {"silent_hosts", unreachable_hosts}}
                              .dump()
                       << "\n";
        return exit_code::success;
    }
    for (const json& host : unreachable_hosts)
        options.output << host.get<std::string>() << " did not answer\n";
    if (lines.empty())
        options.output << "no host remembers this id\n";
    for (const json& line : lines)
        options.output << line["time_ms"] << " "
                       << line["host"].get<std::string>() << " "
                       << line["line"].get<std::string>() << "\n";
    return exit_code::success;
}

exit_code drain(const command_options& options)
{
    return print_or_fail(
        options,
        options.entry_hosts.exchange(options.entry_hosts.hosts().front(),
                                     http_method::post, "/v1/drain", "",
                                     query_timeout),
        [](std::ostream& output, const json& /*body*/)
        { output << "draining; the host exits when its work is done\n"; });
}

exit_code bundle_check(const command_options& options, const std::string& file)
{
    std::string text;
    const exit_code read = read_or_report(options, file, text);
    if (read != exit_code::success)
        return read;
    const auto checked = support::read_bundle(text, file);
    if (!checked)
    {
        options.errors << checked.error().detail << "\n";
        return exit_code::usage;
    }
    return print_or_fail(
        options,
        options.entry_hosts.exchange_with_any_host(
            http_method::post, "/v1/bundle/check", text, query_timeout),
        [](std::ostream& output, const json& body)
        { output << "fine " << body.value("digest", "") << "\n"; });
}

exit_code bundle_propose(const command_options& options,
                         const std::string& file,
                         const std::string& operator_name)
{
    std::string text;
    const exit_code read = read_or_report(options, file, text);
    if (read != exit_code::success)
        return read;
    const auto checked = support::read_bundle(text, file);
    if (!checked)
    {
        options.errors << checked.error().detail << "\n";
        return exit_code::usage;
    }
    return bundle_step(options, "propose",
                       {{"operator", operator_name}, {"text", text}},
                       "proposed");
}

exit_code bundle_sign_off(const command_options& options,
                          const std::string& digest,
                          const std::string& operator_name)
{
    return bundle_step(options, "sign-off",
                       {{"operator", operator_name}, {"digest", digest}},
                       "signed off");
}

exit_code bundle_roll(const command_options& options, const std::string& digest,
                      const std::string& operator_name)
{
    return bundle_step(options, "roll",
                       {{"operator", operator_name}, {"digest", digest}},
                       "rolled");
}

exit_code bundle_show(const command_options& options)
{
    return print_or_fail(
        options,
        options.entry_hosts.exchange_with_any_host(
            http_method::get, "/v1/bundle", "", query_timeout),
        [](std::ostream& output, const json& body)
        {
            output << "version " << body.value("version", 0) << " "
                   << body.value("digest", "") << "\n";
            for (const auto& [host, version] : body["hosts"].items())
                output << host << " holds version " << version << "\n";
            output << body.value("text", "");
        });
}

exit_code bundle_history(const command_options& options)
{
    return print_or_fail(
        options,
        options.entry_hosts.exchange_with_any_host(
            http_method::get, "/v1/bundle/history", "", query_timeout),
        [](std::ostream& output, const json& body)
        {
            for (const json& row : body["history"])
                output << "version " << row["version"] << " "
                       << row.value("digest", "") << " proposed by "
                       << row.value("proposer", "") << ", signed off by "
                       << row.value("signer", "") << ", rolled by "
                       << row.value("roller", "") << "\n";
        });
}

} // namespace chicorydrum::cli
