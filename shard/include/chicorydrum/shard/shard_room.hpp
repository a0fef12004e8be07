/// \file
/// What the owner of a shard tells others of its room, so that they offer a job
/// only where it is expected to start in time.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/clock.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

/// The spans that the counts of a pool's room are for; all hosts agree on them.
/// They reach from one start to the longest wait that a target allows for.
inline constexpr std::array<support::milliseconds, 12> room_spans{
    support::milliseconds(0),   support::milliseconds(10),
    support::milliseconds(25),  support::milliseconds(50),
    support::milliseconds(75),  support::milliseconds(100),
    support::milliseconds(150), support::milliseconds(200),
    support::milliseconds(300), support::milliseconds(500),
    support::milliseconds(800), support::milliseconds(1200)};

/// Pools of one shard whose room is told; those with the most capacity if there
/// are more. Bounds heartbeats.
inline constexpr std::size_t max_told_pools = 4;

/// The sizes of tasks that a pool's room is told for, relative to the mean of
/// those at the shard: callers' tasks differ by about a fifth, and which of
/// them fit beside others depends on it.
inline constexpr std::array<double, 3> room_sizes{0.8, 1.0, 1.25};

/// How many tasks of one size a pool's endpoints in one shard can start.
struct pool_room
{
    std::string pool;
    /// The need of one of the counted tasks.
    std::int64_t task_millicores = 0;
    /// The tasks that can start within each of room_spans, beside what waits
    /// already. Never decreases.
    std::array<std::int32_t, room_spans.size()> tasks{};
};

/// Those of a pool are adjacent, from the smallest size to the largest.
using pool_rooms = std::vector<pool_room>;

/// Returns what \p told says, or nothing if it is malformed.
std::optional<pool_rooms> read_room(const std::vector<schema::pool_room>& told);

/// \p rooms has all sizes of each pool.
std::vector<schema::pool_room> to_message(const pool_rooms& rooms);

/// Returns what one of the sizes is where the mean is \p mean_millicores.
std::int64_t size_of_task(std::int64_t mean_millicores, double size);

} // namespace chicorydrum::shard
