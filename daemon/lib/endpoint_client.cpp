#include "chicorydrum/daemon/endpoint_client.hpp"

#include "chicorydrum/support/ids.hpp"
#include "chicorydrum/support/json_fields.hpp"

#include <nlohmann/json.hpp>

namespace chicorydrum::daemon
{

namespace
{

using decision::attempt_outcome;
using nlohmann::json;

constexpr const char* not_run_header = "not-run";
constexpr support::milliseconds check_timeout{1000};

bool has_not_run_header(const transport::http_response& response)
{
    for (const transport::http_header& header : response.headers)
        if (header.name == not_run_header && header.value == "true")
            return true;
    return false;
}

} // namespace

decision::attempt_finished
read_endpoint_response(decision::attempt_id attempt,
                       const transport::client_outcome& outcome)
{
    decision::attempt_finished finished;
    finished.attempt = attempt;
    if (!outcome)
    {
        finished.outcome = outcome.error() == transport::client_error::not_sent
                               ? attempt_outcome::refused
                               : attempt_outcome::lost;
        return finished;
    }
    if (outcome->status == 503 && has_not_run_header(*outcome))
    {
        finished.outcome = attempt_outcome::refused;
        return finished;
    }
    finished.outcome = attempt_outcome::failed;
    if (outcome->status != 200)
        return finished;
    const json parsed = support::parse_json(outcome->body);
    if (!parsed.is_object() || !parsed.contains("result") ||
        !parsed["result"].is_string())
        return finished;
    // A response to another attempt says nothing about this one.
    if (parsed.contains("attempt") && parsed["attempt"].is_string() &&
        !parsed["attempt"].get<std::string>().ends_with(
            "." + std::to_string(attempt)))
        return finished;
    finished.outcome = attempt_outcome::succeeded;
    finished.result = parsed["result"];
    finished.used_millicores =
        static_cast<int>(support::integer_field(parsed, "used_millicores"));
    finished.used_memory_mb =
        static_cast<int>(support::integer_field(parsed, "used_memory_mb"));
    return finished;
}

endpoint_client::endpoint_client(endpoint_client_options opts)
    : options(std::move(opts)),
      http({.loop = this->options.loop, .captured_headers = {not_run_header}})
{
}

void endpoint_client::start(const decision::start_attempt& attempt)
{
    const decision::attempt_id id = attempt.attempt;
    transport::client_request request;
    request.address = attempt.address;
    request.port = attempt.port;
    request.method = transport::http_method::post;
    request.path = "/run";
    request.timeout = support::duration_cast<support::milliseconds>(
        std::max<support::decision_clock::duration>(attempt.timeout,
                                                    support::milliseconds(1)));
    request.body = json{{"attempt", this->wire_id(id)},
                        {"kind", attempt.kind},
                        {"payload", attempt.payload}}
                       .dump(-1, ' ', false, json::error_handler_t::replace);
    this->http.send(
        std::move(request), [this, id](const transport::client_outcome& outcome)
        { this->options.on_finished(read_endpoint_response(id, outcome)); });
}

std::string endpoint_client::wire_id(decision::attempt_id attempt) const
{
    return support::to_text(this->options.self) + "." + std::to_string(attempt);
}

decision::attempt_checked
read_check_response(decision::attempt_id attempt,
                    const transport::client_outcome& outcome)
{
    decision::attempt_checked checked;
    checked.attempt = attempt;
    if (!outcome)
        return checked;
    checked.state = decision::attempt_check::unknown;
    const json parsed = support::parse_json(outcome->body);
    if (outcome->status != 200 || !parsed.is_object())
        return checked;
    const std::string state = support::text_field(parsed, "state");
    if (state == "running")
        checked.state = decision::attempt_check::running;
    if (state == "failed")
        checked.state = decision::attempt_check::failed;
    if (state == "succeeded")
    {
        checked.state = decision::attempt_check::succeeded;
        checked.result = support::text_field(parsed, "result");
    }
    return checked;
}

void endpoint_client::check(const decision::check_attempt& attempt)
{
    const decision::attempt_id id = attempt.attempt;
    transport::client_request request;
    request.address = attempt.address;
    request.port = attempt.port;
    request.path = "/attempts/" + this->wire_id(id);
    request.timeout = check_timeout;
    this->http.send(
        std::move(request), [this, id](const transport::client_outcome& outcome)
        { this->options.on_checked(read_check_response(id, outcome)); });
}

} // namespace chicorydrum::daemon
