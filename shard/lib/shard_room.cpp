#include "chicorydrum/shard/shard_room.hpp"

#include <algorithm>

namespace chicorydrum::shard
{

namespace
{

/// More than an endpoint can have, so that sums stay in range.
constexpr std::int64_t max_task_millicores = 1'000'000'000;
constexpr std::int32_t max_tasks = 1'000'000;

std::optional<pool_room> read_pool(const schema::pool_room& told)
{
    const bool is_valid = told.task_millicores > 0 &&
                          told.task_millicores <= max_task_millicores &&
                          told.tasks.size() == room_spans.size() &&
                          told.tasks.front() >= 0 &&
                          told.tasks.back() <= max_tasks &&
                          std::is_sorted(told.tasks.begin(), told.tasks.end());
    if (!is_valid)
        return std::nullopt;
    pool_room room{.pool = told.pool, .task_millicores = told.task_millicores};
    std::copy(told.tasks.begin(), told.tasks.end(), room.tasks.begin());
    return room;
}

} // namespace

std::optional<pool_rooms> read_room(const std::vector<schema::pool_room>& told)
{
    if (told.size() > max_told_pools * room_sizes.size())
        return std::nullopt;
    pool_rooms rooms;
    for (const schema::pool_room& pool : told)
    {
        const auto room = read_pool(pool);
        if (!room)
            return std::nullopt;
        rooms.push_back(*room);
    }
    return rooms;
}

std::vector<schema::pool_room> to_message(const pool_rooms& rooms)
{
    std::vector<schema::pool_room> told;
    for (const pool_room& room : rooms)
    {
        schema::pool_room& added = told.emplace_back();
        added.pool = room.pool;
        added.task_millicores = room.task_millicores;
        added.tasks.assign(room.tasks.begin(), room.tasks.end());
    }
    return told;
}

} // namespace chicorydrum::shard
