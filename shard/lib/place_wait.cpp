#include "place_wait.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace chicorydrum::shard
{

namespace
{

using support::instant;

support::decision_clock::duration run_time(const place_option& option)
{
    return support::duration_from_ms(option.run_ms);
}

/// Returns when a task ends after a wait for \p option that takes \p factor
/// times as long as expected.
instant end_after_wait(const place_option& option, double factor, instant now)
{
    const double wait_ms =
        std::max(0.0, support::in_seconds(option.free_at - now) * 1000.0);
    return now + run_time(option) + support::duration_from_ms(wait_ms * factor);
}

} // namespace

std::string_view name_of(place_reason reason)
{
    static constexpr std::array<std::string_view, 4> names = {
        "ends_first", "late_anywhere", "target_needs_wait",
        "ends_sooner_after_wait"};
    return names[static_cast<std::size_t>(reason)];
}

place_choice choose_place(const place_option& free_now,
                          const std::vector<place_option>& later,
                          instant target, instant now,
                          const place_wait_options& options)
{
    const instant end_now = now + run_time(free_now);
    const bool meets_target = end_now <= target;
    std::optional<std::size_t> soonest;
    instant soonest_end = instant::max();
    for (std::size_t i = 0; i < later.size(); ++i)
    {
        const bool is_worse = meets_target ? later[i].run_ms >= free_now.run_ms
                                           : now + run_time(later[i]) > target;
        const instant end = end_after_wait(later[i], 1, now);
        if (is_worse || end >= soonest_end)
            continue;
        soonest = i;
        soonest_end = end;
    }
    if (!soonest)
        return {.reason = meets_target ? place_reason::ends_first
                                       : place_reason::late_anywhere};
    const place_option& place = later[*soonest];
    if (!meets_target)
    {
        if (end_after_wait(place, 1 - options.forecast_error, now) > target)
            return {.reason = place_reason::late_anywhere};
        return {.reason = place_reason::target_needs_wait,
                .wait_for = soonest,
                .pays_until = target - run_time(place)};
    }
    const auto min_gain = std::max<support::decision_clock::duration>(
        options.min_gain_time,
        support::duration_from_ms(free_now.run_ms * options.min_gain));
    // Until then a start on the free endpoint, if it is still free, meets the
    // target, and one on the other ends clearly sooner than a start now.
    const instant pays_until = std::min(target - run_time(free_now),
                                        end_now - min_gain - run_time(place));
    const instant cautious_start =
        end_after_wait(place, 1 + options.forecast_error, now) -
        run_time(place);
    if (cautious_start > pays_until)
        return {.reason = place_reason::ends_first};
    return {.reason = place_reason::ends_sooner_after_wait,
            .wait_for = soonest,
            .pays_until = pays_until};
}

place_bookings::place_bookings(forecast_source from) : source(std::move(from))
{
}

endpoint_forecast* place_bookings::find(const std::string& pool,
                                        const std::string& endpoint)
{
    auto known = this->pools.find(pool);
    if (known == this->pools.end())
    {
        known = this->pools.try_emplace(pool).first;
        for (endpoint_forecast& one : this->source(pool))
        {
            const std::string id = one.id;
            known->second.emplace(id, std::move(one));
        }
    }
    const auto found = known->second.find(endpoint);
    return found == known->second.end() ? nullptr : &found->second;
}

std::optional<instant> place_bookings::free_from(const std::string& pool,
                                                 const std::string& endpoint,
                                                 const schema::resources& need,
                                                 instant now)
{
    const endpoint_forecast* const known = this->find(pool, endpoint);
    return known == nullptr ? std::nullopt : fits_from(*known, need, now);
}

void place_bookings::book(const std::string& pool, const std::string& endpoint,
                          const schema::resources& need, instant ends)
{
    // Nothing is known of a pool that nobody has asked for: its forecast will
    // show what has started by then.
    if (!this->pools.contains(pool))
        return;
    endpoint_forecast* const known = this->find(pool, endpoint);
    if (known != nullptr)
        known->occupied.push_back({.need = need, .ends = ends});
}

} // namespace chicorydrum::shard
