#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace chicorydrum::measure
{

namespace
{

constexpr double min_run_seconds = 0.05;
constexpr double max_run_seconds = 1.0;
constexpr double long_run_fraction = 0.02;
constexpr double min_long_seconds = 2.0;
constexpr double max_long_seconds = 5.0;

double mean_run_seconds()
{
    const double short_mean = (max_run_seconds - min_run_seconds) /
                              std::log(max_run_seconds / min_run_seconds);
    const double long_mean = (min_long_seconds + max_long_seconds) / 2;
    return (1 - long_run_fraction) * short_mean + long_run_fraction * long_mean;
}

duration to_duration(double seconds)
{
    return duration(static_cast<std::int64_t>(seconds * 1e6));
}

duration draw_run_time(std::mt19937_64& random)
{
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(random) < long_run_fraction)
        return to_duration(min_long_seconds +
                           unit(random) *
                               (max_long_seconds - min_long_seconds));
    return to_duration(
        min_run_seconds *
        std::pow(max_run_seconds / min_run_seconds, unit(random)));
}

int draw_tasks(const stream& from, std::mt19937_64& random)
{
    if (from.min_tasks == from.max_tasks)
        return from.min_tasks;
    std::uniform_real_distribution<double> exponent(
        std::log(from.min_tasks), std::log(from.max_tasks + 1));
    return std::clamp(static_cast<int>(std::exp(exponent(random))),
                      from.min_tasks, from.max_tasks);
}

double mean_tasks(const stream& from)
{
    if (from.min_tasks == from.max_tasks)
        return from.min_tasks;
    return (from.max_tasks + 1.0 - from.min_tasks) /
               std::log((from.max_tasks + 1.0) / from.min_tasks) -
           0.5;
}

} // namespace

double capacity_of(const std::vector<simulated_endpoint>& endpoints)
{
    double capacity = 0;
    for (const simulated_endpoint& endpoint : endpoints)
        capacity += endpoint.slots / endpoint.slowness;
    return capacity;
}

std::vector<arrival> make_load(const std::vector<stream>& streams,
                               double capacity, std::uint64_t seed)
{
    std::vector<arrival> load;
    std::mt19937_64 random(seed);
    for (const stream& from : streams)
    {
        const double rate =
            from.load * capacity / mean_run_seconds() / mean_tasks(from);
        std::exponential_distribution<double> gap(rate);
        support::instant when(from.from);
        while (true)
        {
            when += to_duration(gap(random));
            if (when >= support::instant(from.to))
                break;
            arrival created{.when = when,
                            .kind = from.kind,
                            .team = from.team,
                            .urgency = from.urgency,
                            .deadline = from.deadline,
                            .run_times = {}};
            const int tasks = draw_tasks(from, random);
            for (int i = 0; i < tasks; ++i)
                created.run_times.push_back(draw_run_time(random));
            load.push_back(std::move(created));
        }
    }
    std::stable_sort(load.begin(), load.end(),
                     [](const arrival& a, const arrival& b)
                     { return a.when < b.when; });
    return load;
}

std::vector<duration>
run_oracle(const std::vector<arrival>& load,
           const std::vector<simulated_endpoint>& endpoints)
{
    struct slot
    {
        support::instant free_at;
        double slowness = 1;
    };
    const auto later = [](const slot& a, const slot& b)
    {
        return a.free_at > b.free_at;
    };
    const auto slower = [](const slot& a, const slot& b)
    {
        return a.slowness > b.slowness;
    };
    std::priority_queue<slot, std::vector<slot>, decltype(later)> busy(later);
    std::priority_queue<slot, std::vector<slot>, decltype(slower)> idle(slower);
    for (const simulated_endpoint& endpoint : endpoints)
        for (int i = 0; i < endpoint.slots; ++i)
            idle.push({.free_at = {}, .slowness = endpoint.slowness});
    std::vector<duration> responses;
    responses.reserve(load.size());
    for (const arrival& one : load)
    {
        support::instant finished = one.when;
        for (const duration run_time : one.run_times)
        {
            while (!busy.empty() && busy.top().free_at <= one.when)
            {
                idle.push(busy.top());
                busy.pop();
            }
            // First come, first served: a waiting task gets the slot that is
            // free first.
            slot used = idle.empty() ? busy.top() : idle.top();
            if (idle.empty())
                busy.pop();
            else
                idle.pop();
            const support::instant start = std::max(one.when, used.free_at);
            used.free_at =
                start +
                duration(static_cast<std::int64_t>(
                    static_cast<double>(run_time.count()) * used.slowness));
            finished = std::max(finished, used.free_at);
            busy.push(used);
        }
        responses.push_back(finished - one.when);
    }
    return responses;
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(
        std::ceil(fraction * static_cast<double>(values.size())));
    const std::size_t index = std::max<std::size_t>(1, rank) - 1;
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

} // namespace chicorydrum::measure
