/// \file
/// Synthetic load with known run times, and an oracle that schedules it.
#pragma once

#include "fleet/event_queue.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicorydrum::measure
{

using duration = fleet::event_queue::duration;

/// One request or job of the load.
struct arrival
{
    support::instant when;
    std::string kind;
    std::string team = "desk";
    int urgency = 0;
    support::milliseconds deadline{30000};
    /// Run time of each task on an endpoint of slowness 1.
    std::vector<duration> run_times;
};

/// A Poisson stream of arrivals that uses the fraction \p load of the capacity.
struct stream
{
    std::string kind = "quote";
    std::string team = "desk";
    int urgency = 0;
    support::milliseconds deadline{30000};
    double load = 0.5;
    support::milliseconds from{0};
    support::milliseconds to{0};
    int min_tasks = 1;
    int max_tasks = 1;
};

/// Actual slots and slowness of an endpoint, unknown to the dispatcher.
struct simulated_endpoint
{
    int slots = 8;
    double slowness = 1;
};

/// Returns how many slot-seconds of work, as timed on slowness 1, the endpoints
/// do in a second.
double capacity_of(const std::vector<simulated_endpoint>& endpoints);

/// Returns the arrivals of all \p streams in order of time. Run times are
/// log-uniform between 50 ms and 1 s; one in fifty takes 2 to 5 s.
std::vector<arrival> make_load(const std::vector<stream>& streams,
                               double capacity, std::uint64_t seed);

/// Returns the response time of each arrival under one central queue that
/// knows the actual speeds, uses the fastest free slot and needs no messages.
std::vector<duration>
run_oracle(const std::vector<arrival>& load,
           const std::vector<simulated_endpoint>& endpoints);

/// Returns the nearest-rank percentile of \p values; \p fraction is between 0
/// and 1.
double percentile(std::vector<double> values, double fraction);

} // namespace chicorydrum::measure
