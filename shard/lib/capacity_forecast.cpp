#include "capacity_forecast.hpp"

#include <algorithm>

namespace chicorydrum::shard
{

namespace
{

using support::instant;

void add(schema::resources& to, const schema::resources& amount)
{
    to.millicores += amount.millicores;
    to.memory_mb += amount.memory_mb;
    to.accelerators += amount.accelerators;
}

} // namespace

void subtract(schema::resources& from, const schema::resources& amount)
{
    from.millicores -= amount.millicores;
    from.memory_mb -= amount.memory_mb;
    from.accelerators -= amount.accelerators;
}

bool fits(const schema::resources& need, const schema::resources& available)
{
    return need.millicores <= available.millicores &&
           need.memory_mb <= available.memory_mb &&
           need.accelerators <= available.accelerators;
}

std::optional<instant> fits_from(const endpoint_forecast& endpoint,
                                 const schema::resources& need, instant now)
{
    if (!fits(need, endpoint.capacity))
        return std::nullopt;
    schema::resources available = endpoint.capacity;
    for (const occupied_capacity& run : endpoint.occupied)
        subtract(available, run.need);
    if (fits(need, available))
        return now;
    std::vector<occupied_capacity> by_end = endpoint.occupied;
    std::sort(by_end.begin(), by_end.end(),
              [](const auto& left, const auto& right)
              { return left.ends < right.ends; });
    for (const occupied_capacity& run : by_end)
    {
        add(available, run.need);
        if (fits(need, available))
            return std::max(now, run.ends);
    }
    return now;
}

} // namespace chicorydrum::shard
