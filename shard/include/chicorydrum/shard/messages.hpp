/// \file
/// The typed inputs and outputs of a shard's decisions. A shard is a set of a
/// failure domain's endpoints; one entry host owns it at a time.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/clock.hpp"
#include "chicorydrum/support/validation.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace chicorydrum::shard
{

/// Identifies a caller's request that waits for its answer at this host.
using call_id = std::uint64_t;
/// Identifies a call to an endpoint.
using order_id = std::uint64_t;
/// Orders the owners of a shard: an endpoint obeys the highest token.
using fencing_token = std::int64_t;
/// Orders to endpoints carry the owner's token, with these bits appended in
/// which the owner counts how often it has raised the token of the endpoint.
using support::token_raise_bits;

/// One shard of one domain.
struct shard_name
{
    std::string domain;
    int shard = 0;

    bool operator==(const shard_name&) const = default;
    bool operator<(const shard_name& other) const
    {
        return std::tie(this->domain, this->shard) <
               std::tie(other.domain, other.shard);
    }
};

/// One task of one job.
struct task_key
{
    std::string job;
    int group = 0;
    int index = 0;

    bool operator==(const task_key&) const = default;
    /// Orders by job first, so that a job's tasks are adjacent.
    bool operator<(const task_key& other) const
    {
        return std::tie(this->job, this->group, this->index) <
               std::tie(other.job, other.group, other.index);
    }
};

/// Returns whether two entries of one id name the same process of an endpoint.
bool is_same_incarnation(const schema::endpoint_registration& one,
                         const schema::endpoint_registration& other);

/// Returns which of \p shards an endpoint belongs to, or a job is sent to
/// first, by its id. All hosts compute the same result.
int shard_of(const std::string& id, int shards);

/// Returns JOB/GROUP/INDEX, for logs.
std::string to_text(const task_key& task);

/// The address of one incarnation of an endpoint.
struct endpoint_address
{
    std::string id;
    std::string address;
    int port = 0;

    bool operator==(const endpoint_address&) const = default;
};

// Calls to endpoints.

/// Starts one run of a task and extends the endpoint's lease.
struct start_order
{
    order_id order = 0;
    endpoint_address to;
    task_key task;
    std::int64_t run = 1;
    std::string spec;
    fencing_token token = 0;
    /// On the endpoint's clock.
    std::int64_t lease_end_ms = 0;
};

struct stop_order
{
    order_id order = 0;
    endpoint_address to;
    task_key task;
    std::int64_t run = 1;
    fencing_token token = 0;
};

/// Requests the active and ended runs, and may extend the lease.
struct list_request
{
    order_id order = 0;
    endpoint_address to;
    fencing_token token = 0;
    /// The endpoint discards ends up to this number.
    std::int64_t acknowledged_end = 0;
    /// On the endpoint's clock; without a value the lease stays as it is.
    std::optional<std::int64_t> lease_end_ms;
    /// Long poll: the endpoint answers when a run ends, or after this time.
    support::milliseconds wait{0};
};

enum class order_status
{
    accepted,
    /// Another owner has used a higher fencing token.
    stale_token,
    /// The run's number is not above one that was stopped or ended there.
    stale_run,
    /// The order's lease had already expired.
    expired,
    insufficient_capacity,
    /// The endpoint is unhealthy and has not executed the order.
    unavailable,
    /// Another incarnation of the endpoint uses the address.
    other_incarnation,
    malformed,
    /// The order was never sent.
    not_sent,
    /// The order may have been executed, or may still be.
    no_answer,
};

std::string_view name_of(order_status status);

struct order_answered
{
    order_id order = 0;
    order_status status = order_status::no_answer;
    std::optional<std::int64_t> clock_ms = {};
};

enum class run_end
{
    done,
    failed,
    stopped,
    lapsed,
    /// Another member of its gang ended.
    broken,
    /// It waited too long for its gang.
    alone,
};

std::string_view name_of(run_end end);

struct listed_run
{
    task_key task;
    std::int64_t run = 0;
    int percent = 0;
};

struct listed_end
{
    std::int64_t number = 0;
    task_key task;
    std::int64_t run = 0;
    run_end how = run_end::done;
};

struct runs_listed
{
    order_id order = 0;
    order_status status = order_status::no_answer;
    std::optional<std::int64_t> clock_ms;
    std::int64_t born_ms = 0;
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
    /// Further ends may follow in later lists, so that a run that is missing
    /// here may have ended in any way.
    bool has_more_ends = false;
};

// Callers.

/// A caller's job. \p host and \p path select its route; the id is the rest of
/// the path after the route's prefix.
struct caller_submission
{
    call_id call = 0;
    std::string host;
    std::string path;
    /// Empty if the body is not a valid job; \p problem then says why.
    std::optional<schema::job> work;
    std::string problem;
    /// The job must outlive its call, which this version does not support.
    bool must_be_stored = false;
    /// How long the caller waits, if specified.
    std::optional<support::milliseconds> timeout;
    /// How long the request has waited in its connection, as far as known.
    support::milliseconds waited{0};
};

/// A caller queries a job's state, cancels the job, or queries a route's count
/// of waiting jobs (with an empty id).
struct caller_query
{
    call_id call = 0;
    std::string host;
    std::string path;
    bool cancels = false;
};

enum class answer_kind
{
    completed,
    failed,
    /// Not run; the caller may retry after retry_after.
    not_run,
    no_config,
    no_route,
    malformed,
    unknown_job,
    cancelled,
    running,
    waiting_count,
    /// Stopped before its end; none of its tasks runs any more.
    interrupted,
    /// The caller's deadline has passed.
    timed_out,
};

std::string_view name_of(answer_kind kind);

struct caller_answer
{
    call_id call = 0;
    answer_kind kind = answer_kind::not_run;
    support::milliseconds retry_after{0};
    std::int64_t count = 0;
};

} // namespace chicorydrum::shard
