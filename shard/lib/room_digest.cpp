#include "room_digest.hpp"

#include <algorithm>
#include <cmath>

namespace chicorydrum::shard
{

namespace
{

using support::instant;

/// Smaller tasks are counted with this need, which bounds the units of an
/// endpoint.
constexpr std::int64_t min_task_millicores = 250;
/// Without tasks to take the mean of, an endpoint counts as this many units.
constexpr std::int64_t units_of_idle_endpoint = 4;

/// Capacity for one task of the measured size.
struct room_unit
{
    instant free_at;
    double slowness = 1;
};

bool is_free_later(const room_unit& left, const room_unit& right)
{
    return left.free_at > right.free_at;
}

std::int64_t mean_need(const std::vector<endpoint_forecast>& endpoints,
                       const std::vector<waiting_tasks>& queue)
{
    std::int64_t sum = 0;
    std::int64_t tasks = 0;
    std::int64_t largest = 0;
    for (const endpoint_forecast& endpoint : endpoints)
    {
        largest = std::max(largest, endpoint.capacity.millicores);
        for (const occupied_capacity& run : endpoint.occupied)
            sum += run.need.millicores;
        tasks += static_cast<std::int64_t>(endpoint.occupied.size());
    }
    for (const waiting_tasks& waiting : queue)
    {
        sum += waiting.count * waiting.millicores;
        tasks += waiting.count;
    }
    const std::int64_t mean =
        tasks > 0 ? sum / tasks : largest / units_of_idle_endpoint;
    return std::max(mean, min_task_millicores);
}

/// Appends the units of an endpoint, each with the time when it is free.
void append_units(std::vector<room_unit>& units,
                  const endpoint_forecast& endpoint, std::int64_t need,
                  instant now)
{
    std::vector<occupied_capacity> by_end = endpoint.occupied;
    std::sort(by_end.begin(), by_end.end(),
              [](const auto& left, const auto& right)
              { return left.ends < right.ends; });
    std::int64_t available = endpoint.capacity.millicores;
    for (const occupied_capacity& run : by_end)
        available -= run.need.millicores;
    std::int64_t counted = 0;
    const auto add_until =
        [&units, &counted, &endpoint](std::int64_t count, instant free_at)
    {
        for (; counted < count; ++counted)
            units.push_back(
                {.free_at = free_at, .slowness = endpoint.slowness});
    };
    add_until(available / need, now);
    for (const occupied_capacity& run : by_end)
    {
        available += run.need.millicores;
        add_until(available / need, std::max(now, run.ends));
    }
}

} // namespace

pool_rooms measure_rooms(const std::string& pool,
                         const std::vector<endpoint_forecast>& endpoints,
                         const std::vector<waiting_tasks>& queue, instant now)
{
    const std::int64_t mean = mean_need(endpoints, queue);
    pool_rooms rooms;
    for (const double size : room_sizes)
        rooms.push_back(measure_room(pool, size_of_task(mean, size), endpoints,
                                     queue, now));
    return rooms;
}

pool_room measure_room(const std::string& pool, std::int64_t millicores,
                       const std::vector<endpoint_forecast>& endpoints,
                       const std::vector<waiting_tasks>& queue, instant now)
{
    pool_room room{.pool = pool, .task_millicores = millicores};
    std::vector<room_unit> units;
    for (const endpoint_forecast& endpoint : endpoints)
        append_units(units, endpoint, room.task_millicores, now);
    if (units.empty())
        return room;
    const instant horizon = now + room_spans.back();
    std::make_heap(units.begin(), units.end(), is_free_later);
    for (const waiting_tasks& waiting : queue)
    {
        const double share = static_cast<double>(waiting.millicores) /
                             static_cast<double>(room.task_millicores);
        const auto needed =
            static_cast<std::int64_t>(std::ceil(share * waiting.count));
        for (std::int64_t unit = 0; unit < needed; ++unit)
        {
            // Whatever starts later takes no room that is counted.
            if (units.front().free_at > horizon)
                return room;
            std::pop_heap(units.begin(), units.end(), is_free_later);
            units.back().free_at += support::duration_from_ms(
                waiting.task_ms * units.back().slowness);
            std::push_heap(units.begin(), units.end(), is_free_later);
        }
    }
    for (std::size_t i = 0; i < room_spans.size(); ++i)
        room.tasks[i] = static_cast<std::int32_t>(
            std::count_if(units.begin(), units.end(),
                          [until = now + room_spans[i]](const room_unit& unit)
                          { return unit.free_at <= until; }));
    return room;
}

} // namespace chicorydrum::shard
