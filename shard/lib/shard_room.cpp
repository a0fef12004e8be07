#include "chicorydrum/shard/shard_room.hpp"

#include <algorithm>

namespace chicorydrum::shard
{

namespace
{

/// More than an endpoint can have, so that sums stay in range.
constexpr std::int64_t max_task_millicores = 1'000'000'000;
/// More tasks are told as this many.
constexpr std::int32_t max_tasks = 30'000;
/// The index of the mean in room_sizes.
constexpr std::size_t mean_size = 1;
static_assert(room_sizes[mean_size] == 1.0);

bool is_valid(const schema::pool_room& told)
{
    if (told.task_millicores <= 0 ||
        told.task_millicores > max_task_millicores ||
        told.tasks.size() != room_spans.size() * room_sizes.size())
        return false;
    for (auto first = told.tasks.begin(); first != told.tasks.end();
         first += room_spans.size())
        if (*first < 0 || !std::is_sorted(first, first + room_spans.size()))
            return false;
    return true;
}

} // namespace

std::int64_t size_of_task(std::int64_t mean_millicores, double size)
{
    const double exact = static_cast<double>(mean_millicores) * size;
    return std::max<std::int64_t>(static_cast<std::int64_t>(exact), 1);
}

std::optional<pool_rooms> read_room(const std::vector<schema::pool_room>& told)
{
    const bool is_usable = told.size() <= max_told_pools &&
                           std::all_of(told.begin(), told.end(), is_valid);
    if (!is_usable)
        return std::nullopt;
    pool_rooms rooms;
    for (const schema::pool_room& pool : told)
    {
        auto next = pool.tasks.begin();
        for (const double size : room_sizes)
        {
            pool_room& room = rooms.emplace_back();
            room.pool = pool.pool;
            room.task_millicores = size_of_task(pool.task_millicores, size);
            std::copy_n(next, room_spans.size(), room.tasks.begin());
            next += room_spans.size();
        }
    }
    return rooms;
}

std::vector<schema::pool_room> to_message(const pool_rooms& rooms)
{
    std::vector<schema::pool_room> told;
    for (std::size_t i = 0; i < rooms.size(); ++i)
    {
        const pool_room& room = rooms[i];
        if (i % room_sizes.size() == 0)
            told.emplace_back().pool = room.pool;
        schema::pool_room& pool = told.back();
        if (i % room_sizes.size() == mean_size)
            pool.task_millicores = room.task_millicores;
        for (const std::int32_t tasks : room.tasks)
            pool.tasks.push_back(
                static_cast<std::int16_t>(std::min(tasks, max_tasks)));
    }
    return told;
}

} // namespace chicorydrum::shard
