#include "offer_ranking.hpp"

#include <algorithm>
#include <cmath>

namespace chicorydrum::shard
{

namespace
{

using support::milliseconds;

/// Returns how many units of a room \p need and what was sent take.
double needed_units(const offer_need& need, const offer_candidate& candidate)
{
    const std::int64_t unit = candidate.room->task_millicores;
    const std::int64_t least = std::max<std::int64_t>(need.millicores, 1);
    // Smaller tasks share a unit; a larger one takes several.
    const std::int64_t shared = std::max<std::int64_t>(unit / least, 1);
    const double taken =
        std::max(static_cast<double>(least) / static_cast<double>(unit), 1.0);
    const double own =
        std::ceil(need.tasks * taken / static_cast<double>(shared));
    return std::max(own, 1.0) +
           static_cast<double>(candidate.sent_millicores) /
               static_cast<double>(unit) +
           candidate.reserve * candidate.room->tasks.back();
}

/// Returns how many tasks with the run time of \p need can end by the time at
/// which those that start after \p wait do.
double tasks_by(const offer_need& need, const offer_candidate& candidate,
                milliseconds wait)
{
    double total = 0;
    std::int32_t before = 0;
    for (std::size_t i = 0; i < room_spans.size(); ++i)
    {
        const milliseconds start =
            std::max(room_spans[i] - candidate.age, milliseconds(0));
        if (start > wait)
            break;
        const std::int32_t added = candidate.room->tasks[i] - before;
        before = candidate.room->tasks[i];
        const std::int64_t run = std::max<std::int64_t>(need.run.count(), 1);
        const std::int64_t waves = 1 + (wait - start).count() / run;
        total += static_cast<double>(added * waves);
    }
    return total;
}

struct ranked_offer
{
    std::size_t index = 0;
    milliseconds wait{0};
    milliseconds cost{0};
    /// Units that the shard has beyond those needed.
    double spare = 0;
};

/// Returns the weight of a shard among near-equal ones: the units beyond those
/// needed. Others take room since it was told, so that older news counts less.
double spare_units(const offer_options& options, const offer_need& need,
                   const offer_candidate& candidate, milliseconds wait)
{
    constexpr double least = 0.5;
    const double freshness =
        1 - static_cast<double>(candidate.age.count()) /
                static_cast<double>(options.stale_after.count());
    return std::max(least, freshness * tasks_by(need, candidate, wait) -
                               needed_units(need, candidate));
}

double reserve_for(const offer_options& options, const offer_need& need)
{
    const double share = static_cast<double>(need.run.count()) /
                         static_cast<double>(options.reserve_run.count());
    return options.remote_reserve * std::min(share, 1.0) * (1 + need.priority);
}

/// Returns the weight of the risk to lose the job, with the time it had left.
milliseconds risk_cost(const offer_need& need, const offer_candidate& candidate)
{
    return milliseconds(
        std::llround(static_cast<double>(need.left.count()) * candidate.risk));
}

} // namespace

std::optional<milliseconds> expected_wait(const offer_need& need,
                                          const offer_candidate& candidate)
{
    const double needed = needed_units(need, candidate);
    for (const milliseconds span : room_spans)
        if (tasks_by(need, candidate, span) >= needed)
            return span;
    return std::nullopt;
}

offer_choice choose_offer(const offer_options& options, const offer_need& need,
                          const std::vector<offer_candidate>& candidates,
                          double draw)
{
    offer_choice choice;
    std::vector<ranked_offer> ranked;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        offer_candidate candidate = candidates[i];
        if (!candidate.is_local)
            candidate.reserve = reserve_for(options, need);
        const milliseconds remote_cost =
            candidate.is_local ? milliseconds(0) : options.remote_cost;
        if (candidate.room == nullptr)
        {
            // As hosts of earlier versions choose: by load.
            if (!candidate.is_local &&
                candidate.load >= options.remote_load_limit)
                continue;
            const milliseconds by_load(std::llround(
                candidate.load *
                static_cast<double>(options.near_equal.count() * 2)));
            ranked.push_back(
                {.index = i, .cost = by_load + remote_cost, .spare = 1});
            continue;
        }
        if (candidate.age > options.stale_after)
            continue;
        const auto wait = expected_wait(need, candidate);
        const milliseconds known = wait.value_or(room_spans.back());
        choice.soonest = std::min(choice.soonest.value_or(known), known);
        if (!wait)
            continue;
        const milliseconds cost =
            *wait + candidate.way + risk_cost(need, candidate);
        if (cost + need.run > need.left)
            continue;
        ranked.push_back(
            {.index = i,
             .wait = *wait,
             .cost = cost + remote_cost,
             .spare = spare_units(options, need, candidate, *wait)});
    }
    if (ranked.empty())
        return choice;
    const milliseconds least =
        std::min_element(ranked.begin(), ranked.end(),
                         [](const auto& left, const auto& right)
                         { return left.cost < right.cost; })
            ->cost;
    std::erase_if(ranked,
                  [limit = least + options.near_equal](const auto& offer)
                  { return offer.cost > limit; });
    double total = 0;
    for (const ranked_offer& offer : ranked)
        total += offer.spare;
    double rest = draw * total;
    const ranked_offer* chosen = &ranked.back();
    for (const ranked_offer& offer : ranked)
    {
        rest -= offer.spare;
        if (rest >= 0)
            continue;
        chosen = &offer;
        break;
    }
    choice.chosen = chosen->index;
    choice.wait = chosen->wait;
    return choice;
}

} // namespace chicorydrum::shard
