/// \file
/// The ranges of values that other programs send. Decoders check them once, so
/// that sums, spans and allocations elsewhere cannot overflow.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/error.hpp"

#include <cstdint>
#include <string_view>

namespace chicorydrum::support
{

/// JSON numbers are exact up to this integer.
constexpr std::int64_t max_exact_integer = (1LL << 53) - 1;
/// Maximum resources of one endpoint or task: 10,000 cores, 1 PB.
constexpr std::int64_t max_millicores = 10'000'000;
constexpr std::int64_t max_memory_mb = 1LL << 30;
constexpr std::int64_t max_accelerators = 10'000;
/// Maximum of estimates, timeouts and latency targets: 30 days.
constexpr std::int64_t max_span_ms = 30LL * 24 * 3600 * 1000;
constexpr double max_stretch = 1000;
constexpr std::int64_t max_priority = 1'000'000;
constexpr std::int64_t max_attempts = 1'000'000;
constexpr std::int64_t max_group_tasks = 10'000;
constexpr std::size_t max_job_groups = 100;
constexpr std::size_t max_spec_bytes = 4000;
/// An endpoint's fencing token is its owner's token with some bits appended.
/// Together they are exact as a JSON number.
constexpr int token_raise_bits = 10;
constexpr int owner_token_bits = 53 - token_raise_bits;
constexpr std::int64_t max_owner_token = (1LL << owner_token_bits) - 1;
/// Maximum number of shards of one domain.
constexpr int max_shards = 16;
/// Maximum number of leaving endpoints in one heartbeat.
constexpr std::size_t max_leaving = 1024;
/// Maximum number of domains that a host knows evacuations of. More than the
/// domains of any installation; their list takes 4 kB.
constexpr std::size_t max_evacuations = 64;
/// Maximum number of endpoints that an owner tells with one heartbeat.
constexpr std::size_t max_held = 64;
/// Maximum processor share of an entry host, as in its settings.
constexpr double max_power = 1024;

/// Returns whether \p text is a job's id: letters, digits, '-' and '_'. Ids
/// become part of task names and log lines.
bool is_job_id(std::string_view text);

/// Returns whether \p text may name an endpoint, a host or a domain. Such names
/// are sent in headers and logged, so they are printable ASCII without spaces.
bool is_plain_name(std::string_view text);

// These fail with bad_request if a member is out of its range.

result<void> check(const schema::resources& amount);
/// \p position is the index of the group in its job.
result<void> check(const schema::task_group& group, std::size_t position);
result<void> check(const schema::job_policy& terms);
result<void> check(const schema::endpoint_registration& entry);
result<void> check(const schema::host_record& record);
result<void> check(const schema::shard_message& message);

} // namespace chicorydrum::support
