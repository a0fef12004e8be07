/// \file
/// A day of callers' load in virtual time and what it earned: the experiment
/// for who waits, who is refused and where work goes.
#pragma once

#include "shard_fleet.hpp"

#include <map>
#include <string>
#include <vector>

namespace chicorydrum::shards
{

/// One kind of job and how often it comes.
struct load_kind
{
    std::string route;
    double per_second = 0;
    double mean_tasks = 1;
    double mean_work_ms = 100;
    double mean_millicores = 6800;
    /// Credit of a job that is answered within its target.
    double worth = 1;
};

/// More of one kind for a while.
struct load_burst
{
    std::string route;
    support::milliseconds from{0};
    support::milliseconds length{0};
    double factor = 2;
};

struct load_options
{
    fleet_options fleet;
    /// From the most to the least urgent.
    std::vector<load_kind> kinds;
    std::vector<load_burst> bursts;
    support::milliseconds length{20000};
    /// Standard deviation of the logarithms of sizes and of estimates.
    double size_deviation = 0.4;
    double estimate_error = 0.4;
    /// Credit of a late answer against one in time.
    double late_share = 0.2;
};

/// What a group of jobs was owed and has earned.
struct credit
{
    double attainable = 0;
    double earned = 0;
    int jobs = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;

    double share() const
    {
        return this->attainable > 0 ? this->earned / this->attainable : 1;
    }
};

struct load_result
{
    credit total;
    std::map<std::string, credit> by_kind;
    std::map<std::string, credit> by_domain;
    /// By the second at which the job was sent, two seconds each.
    std::map<std::int64_t, credit> by_window;
    std::vector<std::string> violations;

    /// The mean share of the two windows that earned least.
    double worst_window_share() const;
};

/// Kinds, rates and endpoints like those of the smaller installations.
load_options small_installation_load(std::uint64_t seed);

load_result simulate_load(const load_options& options);

} // namespace chicorydrum::shards
