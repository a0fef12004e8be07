/// \file
/// Computes the room of a shard from what runs and what waits there. A pure
/// function without I/O.
#pragma once

#include "capacity_forecast.hpp"
#include "chicorydrum/shard/shard_room.hpp"

#include <string>
#include <vector>

namespace chicorydrum::shard
{

/// Tasks with the same requirements that wait for capacity.
struct waiting_tasks
{
    int count = 0;
    std::int64_t millicores = 0;
    /// The expected run time of one.
    double task_ms = 0;
};

/// Returns how many tasks of the mean size, and of those around it, can start
/// on \p endpoints, all of \p pool, once those in \p queue have started in its
/// order.
pool_rooms measure_rooms(const std::string& pool,
                         const std::vector<endpoint_forecast>& endpoints,
                         const std::vector<waiting_tasks>& queue,
                         support::instant now);

/// The same for tasks that need \p millicores.
pool_room measure_room(const std::string& pool, std::int64_t millicores,
                       const std::vector<endpoint_forecast>& endpoints,
                       const std::vector<waiting_tasks>& queue,
                       support::instant now);

} // namespace chicorydrum::shard
