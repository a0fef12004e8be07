/// \file
/// The typed messages that a shard's decisions take and give. A shard is the
/// set of a failure domain's endpoints; one entry host owns it at a time.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/clock.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace chicorydrum::shard
{

/// One caller's request that waits for its answer at this host.
using call_id = std::uint64_t;
/// One call to an endpoint.
using order_id = std::uint64_t;
/// Orders holders of the right to command endpoints: the highest one counts.
using fencing_token = std::int64_t;

/// One task of one job.
struct task_key
{
    std::string job;
    int group = 0;
    int index = 0;

    bool operator==(const task_key&) const = default;
    /// In the order of jobs, so that a job's tasks stand together.
    bool operator<(const task_key& other) const
    {
        return std::tie(this->job, this->group, this->index) <
               std::tie(other.job, other.group, other.index);
    }
};

/// Which of \p shards an endpoint belongs to, or a job goes to first, by its
/// id. All hosts agree on it.
int shard_of(const std::string& id, int shards);

/// For logs: JOB/GROUP/INDEX.
std::string to_text(const task_key& task);

/// Where one life of an endpoint answers.
struct endpoint_address
{
    std::string id;
    std::string address;
    int port = 0;
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

/// Asks what runs and what has ended, and may extend the lease.
struct list_request
{
    order_id order = 0;
    endpoint_address to;
    fencing_token token = 0;
    /// The endpoint forgets ends up to this number.
    std::int64_t acknowledged_end = 0;
    /// On the endpoint's clock; none leaves the lease as it is.
    std::optional<std::int64_t> lease_end_ms;
    /// The endpoint answers after this time, or when a run ends.
    support::milliseconds wait{0};
};

enum class order_status
{
    accepted,
    /// Another holder has used a higher fencing token.
    stale_token,
    /// The run's number is not above one that was stopped or ended there.
    stale_run,
    /// The order's lease had ended already.
    expired,
    insufficient_capacity,
    /// The endpoint is unhealthy and has done nothing.
    unavailable,
    /// Another life of the endpoint answers there.
    other_incarnation,
    malformed,
    /// The order was never sent.
    not_sent,
    /// The order may have been carried out, or may be later.
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
};

// Callers.

/// A caller's job. \p host and \p path choose its route; the id is what
/// follows the route's prefix.
struct caller_submission
{
    call_id call = 0;
    std::string host;
    std::string path;
    /// Empty if the body is no job, and then \p problem says why.
    std::optional<schema::job> work;
    std::string problem;
    /// The job must outlive its call, which this version cannot do.
    bool must_be_stored = false;
    /// How long the caller waits, if it says so.
    std::optional<support::milliseconds> timeout;
};

/// A caller asks for a job's state, cancels it, or asks for a route's count
/// of waiting jobs (an empty id).
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
    /// Not run; the caller may come back after retry_after.
    not_run,
    no_config,
    no_route,
    malformed,
    unknown_job,
    cancelled,
    running,
    waiting_count,
    /// Stopped before its end; nothing of it runs any more.
    interrupted,
    /// The caller's time is over.
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
