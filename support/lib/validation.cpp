#include "chicorydrum/support/validation.hpp"

#include "chicorydrum/support/utf8.hpp"
#include "chicorydrum/support/yaml_reader.hpp"

#include <algorithm>
#include <limits>
#include <string>

namespace chicorydrum::support
{

namespace
{

constexpr std::size_t max_job_id_length = 64;
/// The platform's limit of the key of a row.
constexpr std::size_t max_name_length = 200;
constexpr std::int64_t max_port = 65535;
constexpr std::size_t max_owned_shards = 1024;
/// A host has 2,000 open jobs at most and names as many withdrawn ones, each
/// with up to four shards where its copies may arrive.
constexpr std::size_t max_jobs_elsewhere = 16000;
constexpr const char* plain = "a plain name";
constexpr std::int64_t max_span_us = max_span_ms * 1000;

/// Records the first value that is out of its range.
class range_check
{
public:
    range_check& require(bool holds, const char* name, const char* expected)
    {
        if (!holds && this->problem.empty())
            this->problem = std::string(name) + " is not " + expected;
        return *this;
    }
    range_check& integer(const char* name, std::int64_t value, std::int64_t min,
                         std::int64_t max)
    {
        return this->require(value >= min && value <= max, name, "in range");
    }
    /// NaN is in no range.
    range_check& number(const char* name, double value, double max)
    {
        return this->require(value >= 0 && value <= max, name, "in range");
    }
    range_check& include(const result<void>& other)
    {
        if (!other && this->problem.empty())
            this->problem = other.error().detail;
        return *this;
    }

    result<void> outcome() const
    {
        if (this->problem.empty())
            return {};
        return fail(error_kind::bad_request, this->problem);
    }

private:
    std::string problem;
};

result<void> check_claim(const schema::ownership& claim)
{
    return range_check()
        .require(is_plain_name(claim.domain), "domain", plain)
        .integer("shard", claim.shard, 0, max_shards - 1)
        .integer("token", claim.token, 1, max_owner_token)
        .integer("wanted_millicores", claim.wanted_millicores, 0,
                 max_exact_integer)
        .integer("capacity_millicores", claim.capacity_millicores, 0,
                 max_exact_integer)
        .outcome();
}

result<void> check_times(const schema::message_times& times)
{
    return range_check()
        .integer("sent_us", times.sent_us, 0, max_exact_integer)
        .integer("ahead_us", times.ahead_us, -max_exact_integer,
                 max_exact_integer)
        .outcome();
}

result<void> check_succession(const schema::succession_state& state)
{
    range_check checked;
    checked.integer("told", state.told, 0, max_exact_integer)
        .integer("heard", state.heard, 0, max_exact_integer)
        .require(state.endpoints.size() <= max_held, "endpoints",
                 "a short list")
        .require(state.vouched.size() <= max_shards, "vouched", "a short list")
        .require(state.never_owned.size() <= max_shards, "never_owned",
                 "a short list")
        .require(state.first_tokens.size() <= max_shards, "first_tokens",
                 "a short list");
    for (const schema::held_endpoint& held : state.endpoints)
        checked.include(check(held.entry))
            .integer("version", held.version, 0, max_exact_integer);
    for (const auto& [shard, token] : state.vouched)
        checked.integer("shard", shard, 0, max_shards - 1)
            .integer("token", token, 1, max_owner_token);
    for (const auto& [shard, token] : state.first_tokens)
        checked.integer("shard", shard, 0, max_shards - 1)
            .integer("token", token, 1, max_owner_token);
    return checked.outcome();
}

result<void> check_heartbeat(const schema::shard_heartbeat& heartbeat)
{
    range_check checked;
    checked
        .integer("config_version", heartbeat.config_version, 0,
                 max_exact_integer)
        .integer("shard_count", heartbeat.shard_count, 0, max_shards)
        .integer("endpoints_version", heartbeat.endpoints_version, 0,
                 max_exact_integer)
        .integer("callers_silent_us", heartbeat.callers_silent_us, 0,
                 max_span_us)
        .require(heartbeat.owned.size() <= max_owned_shards, "owned",
                 "a short list");
    for (const schema::ownership& claim : heartbeat.owned)
        checked.include(check_claim(claim));
    checked.require(heartbeat.heard.size() <= max_shards, "heard",
                    "a short list");
    for (const schema::heard_owner& heard : heartbeat.heard)
        checked.include(range_check()
                            .require(is_plain_name(heard.host), "heard", plain)
                            .integer("shard", heard.shard, 0, max_shards - 1)
                            .integer("token", heard.token, 1, max_owner_token)
                            .outcome());
    checked.require(heartbeat.known_tokens.size() <= max_shards, "known_tokens",
                    "a short list");
    for (const auto& [shard, token] : heartbeat.known_tokens)
        checked.include(range_check()
                            .integer("shard", shard, 0, max_shards - 1)
                            .integer("token", token, 1, max_owner_token)
                            .outcome());
    checked.require(heartbeat.elsewhere.size() <= max_jobs_elsewhere,
                    "elsewhere", "a short list");
    for (const schema::job_elsewhere& job : heartbeat.elsewhere)
        checked.include(range_check()
                            .require(is_job_id(job.id), "id", "a job's id")
                            .require(is_plain_name(job.domain), "domain", plain)
                            .integer("shard", job.shard, 0, max_shards - 1)
                            .integer("time_left_us", job.time_left_us,
                                     -max_span_us, max_span_us)
                            .outcome());
    checked.require(heartbeat.leaving.size() <= max_leaving, "leaving",
                    "a short list");
    for (const schema::leaving_endpoint& endpoint : heartbeat.leaving)
        checked.include(
            range_check()
                .require(is_plain_name(endpoint.id), "leaving", plain)
                .require(is_plain_name(endpoint.domain), "leaving", plain)
                .integer("born_ms", endpoint.born_ms, 0, max_exact_integer)
                .integer("version", endpoint.version, 0, max_exact_integer)
                .outcome());
    checked.require(heartbeat.evacuations.changes.size() <= max_evacuations,
                    "evacuations", "a short list");
    for (const schema::evacuation_change& change :
         heartbeat.evacuations.changes)
        checked.include(
            range_check()
                .require(is_plain_name(change.domain), "evacuations", plain)
                .integer("version", change.version, 1, max_exact_integer)
                .outcome());
    if (heartbeat.__isset.succession)
        checked.include(check_succession(heartbeat.succession));
    for (const auto& [route, count] : heartbeat.waiting)
        checked.require(count >= 0, "waiting", "a count");
    return checked.outcome();
}

result<void> check_handshake(const schema::shard_handshake& handshake)
{
    return range_check()
        .require(is_plain_name(handshake.host), "host", plain)
        .require(is_plain_name(handshake.domain), "domain", plain)
        .integer("nonce", handshake.nonce, 1, max_exact_integer)
        .number("power", handshake.power, max_power)
        .outcome();
}

result<void> check_submission(const schema::job_submitted& submitted)
{
    const schema::job& work = submitted.work;
    range_check checked;
    checked.require(is_job_id(work.id), "id", "a job's id")
        .require(work.spec.size() <= max_spec_bytes && is_utf8(work.spec),
                 "spec", "a short text")
        .require(!work.groups.empty() && work.groups.size() <= max_job_groups,
                 "groups", "a short list")
        .include(check(submitted.terms))
        .integer("age_us", submitted.age_us, 0, max_span_us)
        .integer("time_left_us", submitted.time_left_us, -max_span_us,
                 max_span_us)
        .integer("first_shards", submitted.first_shards, 0, max_shards);
    for (std::size_t i = 0; i < work.groups.size(); ++i)
        checked.include(check(work.groups[i], i));
    return checked.outcome();
}

result<void> check_end(const schema::job_ended& ended)
{
    const bool is_known_outcome =
        ended.outcome >= schema::job_result::completed &&
        ended.outcome <= schema::job_result::cancelled_by_caller;
    return range_check()
        .require(is_known_outcome, "outcome", "known")
        .integer("retry_after_ms", ended.retry_after_ms, 0, max_exact_integer)
        .outcome();
}

result<void> check_withdrawal(const schema::job_withdrawn& job)
{
    const bool is_end = job.outcome == schema::job_result::completed ||
                        job.outcome == schema::job_result::failed;
    return range_check()
        .require(!job.__isset.outcome || is_end, "outcome", "an end")
        .outcome();
}

result<void> check_cancellation(const schema::job_cancelled& job)
{
    return range_check()
        .require(is_job_id(job.id), "id", "a job's id")
        .require(is_plain_name(job.domain), "domain", plain)
        .integer("shard", job.shard, 0, max_shards - 1)
        .outcome();
}

result<void> check_record(const schema::cancellation_recorded& record)
{
    return range_check()
        .require(is_job_id(record.id), "id", "a job's id")
        .require(is_plain_name(record.domain), "domain", plain)
        .integer("shard", record.shard, 0, max_shards - 1)
        .integer("token", record.token, 1, max_owner_token)
        .outcome();
}

result<void> check_config_request(const schema::config_requested& request)
{
    return range_check()
        .integer("known_version", request.known_version, 0, max_exact_integer)
        .integer("version", request.version, 0, max_exact_integer)
        .integer("offset", request.offset, 0, max_exact_integer)
        .outcome();
}

result<void> check_config_part(const schema::config_part& part)
{
    return range_check()
        .integer("version", part.version, 0, max_exact_integer)
        .integer("offset", part.offset, 0, max_exact_integer)
        .integer("total", part.total, 0, max_exact_integer)
        .outcome();
}

} // namespace

bool is_job_id(std::string_view text)
{
    const auto is_allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_';
    };
    return !text.empty() && text.size() <= max_job_id_length &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

bool is_plain_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c <= '~'; });
}

result<void> check(const schema::resources& amount)
{
    return range_check()
        .integer("millicores", amount.millicores, 0, max_millicores)
        .integer("memory_mb", amount.memory_mb, 0, max_memory_mb)
        .integer("accelerators", amount.accelerators, 0, max_accelerators)
        .outcome();
}

result<void> check(const schema::task_group& group, std::size_t position)
{
    const bool follows_earlier = std::all_of(
        group.after.begin(), group.after.end(),
        [position](std::int32_t earlier) {
            return earlier >= 0 && static_cast<std::size_t>(earlier) < position;
        });
    return range_check()
        .integer("count", group.count, 1, max_group_tasks)
        .include(check(group.need))
        .integer("estimate_ms", group.estimate_ms, 0, max_span_ms)
        .integer("max_per_endpoint", group.max_per_endpoint, 0,
                 std::numeric_limits<std::int32_t>::max())
        .require(follows_earlier, "after", "a list of earlier groups")
        .outcome();
}

result<void> check(const schema::job_policy& terms)
{
    return range_check()
        .integer("max_attempts", terms.max_attempts, 1, max_attempts)
        .integer("priority", terms.priority, 0, max_priority)
        .integer("slack_ms", terms.slack_ms, 0, max_span_ms)
        .number("stretch", terms.stretch, max_stretch)
        .outcome();
}

result<void> check(const schema::endpoint_registration& entry)
{
    return range_check()
        .require(is_plain_name(entry.id), "id", plain)
        .require(is_plain_name(entry.domain), "domain", plain)
        .require(!entry.pool.empty(), "pool", "a name")
        .require(is_ip_address(entry.address), "address", "an IP address")
        .integer("port", entry.port, 1, max_port)
        .include(check(entry.capacity))
        .integer("born_ms", entry.born_ms, 0, max_exact_integer)
        .outcome();
}

result<void> check(const schema::host_record& record)
{
    return range_check()
        .require(is_plain_name(record.domain), "domain", plain)
        .require(is_ip_address(record.address), "address", "an IP address")
        .integer("peer_port", record.peer_port, 1, max_port)
        .number("power", record.power, max_power)
        .integer("nonce", record.nonce, 1, max_exact_integer)
        .outcome();
}

result<void> check(const schema::shard_message& message)
{
    if (const auto checked = check_times(message.times); !checked)
        return checked;
    if (message.__isset.hello)
        return check_handshake(message.hello);
    if (message.__isset.beat)
        return check_heartbeat(message.beat);
    if (message.__isset.submitted)
        return check_submission(message.submitted);
    if (message.__isset.ended)
        return check_end(message.ended);
    if (message.__isset.withdrawn)
        return check_withdrawal(message.withdrawn);
    if (message.__isset.cancelled)
        return check_cancellation(message.cancelled);
    if (message.__isset.recorded)
        return check_record(message.recorded);
    if (message.__isset.config_request)
        return check_config_request(message.config_request);
    if (message.__isset.config_bytes)
        return check_config_part(message.config_bytes);
    return {};
}

} // namespace chicorydrum::support
