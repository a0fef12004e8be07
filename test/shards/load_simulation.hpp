/// \file
/// Simulates callers' load in virtual time and computes the credit of the
/// answers. Used to compare policies for queueing, refusal and placement.
#pragma once

#include "shard_fleet.hpp"

#include <map>
#include <string>
#include <vector>

namespace chicorydrum::shards
{

/// A kind of job and its arrival rate.
struct load_kind
{
    std::string route;
    double per_second = 0;
    double mean_tasks = 1;
    double mean_work_ms = 100;
    double mean_millicores = 6800;
    /// Standard deviation of the logarithm of a task's need.
    double need_deviation = 0.2;
    /// Credit of a job that is answered within its target.
    double worth = 1;
};

/// A temporary increase of one kind's arrival rate.
struct load_burst
{
    std::string route;
    support::milliseconds from{0};
    support::milliseconds length{0};
    double factor = 2;
};

/// Hosts that are lost or replaced under load.
enum class load_fault
{
    none,
    /// All owners are killed at once, and start again after 3.5 s.
    owners_killed,
    /// Hosts and endpoints of the first domain lose their power for 4 s.
    domain_lost,
    /// All hosts stop as planned and start again, one after the other.
    rolling_restart,
};

struct load_options
{
    fleet_options fleet;
    /// From the most to the least urgent.
    std::vector<load_kind> kinds;
    std::vector<load_burst> bursts;
    load_fault fault = load_fault::none;
    support::milliseconds fault_at{8000};
    /// The rate of each domain's callers swings by this share in swing_period,
    /// the domains out of step.
    double swing = 0;
    support::milliseconds swing_period{17000};
    support::milliseconds length{20000};
    /// Standard deviation of the logarithms of sizes and of estimates.
    double size_deviation = 0.4;
    double estimate_error = 0.4;
    /// Fraction of a job's credit that a late answer still earns.
    double late_share = 0.2;
    /// Share of the jobs whose data are on a rack, one of the two of a domain;
    /// the one with odd endpoints is asked for by this part of them.
    double rack_share = 0;
    double hot_rack_part = 0.5;
};

/// Attainable and earned credit of a group of jobs.
struct credit
{
    double attainable = 0;
    double earned = 0;
    int jobs = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    /// Sum of the times to the answers of completed jobs.
    double answer_ms = 0;

    double mean_answer_ms() const
    {
        const int completed = this->in_time + this->late;
        return completed > 0 ? this->answer_ms / completed : 0;
    }
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
    /// By whether the job's data are on a rack.
    std::map<std::string, credit> by_place;
    /// Keyed by kind and the rank of a job's core time within it: "tenth" for
    /// the largest tenth, "fifth" for the fifth below it, and "rest".
    std::map<std::string, credit> by_size;
    /// Keyed by kind and "half" if two of the job's tasks fit on the smallest
    /// endpoint, else "wide".
    std::map<std::string, credit> by_width;
    /// By second of the send times.
    std::map<std::int64_t, credit> by_second;
    /// Windows of two seconds, keyed by the first second of the send times.
    std::map<std::int64_t, credit> by_window;
    std::vector<std::string> violations;

    /// Returns the mean share of the two windows with the lowest share.
    double worst_window_share() const;
    /// Returns how many seconds after \p from the last one begins whose share
    /// is below \p share; 0 if none is.
    std::int64_t seconds_below(double share, support::milliseconds from) const;
};

/// Returns kinds, rates and endpoints like those of the smaller installations.
load_options small_installation_load(std::uint64_t seed);

/// Returns a load whose tasks need about half of the smaller endpoints, so that
/// whether two fit beside each other depends on which two. One shard of 29
/// endpoints in each of three domains.
load_options wide_task_load(std::uint64_t seed);

load_result simulate_load(const load_options& options);

} // namespace chicorydrum::shards
