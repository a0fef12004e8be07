/// \file
/// Synthetic load with true run times, and the oracle's answer to it.
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

/// A stream of arrivals: Poisson in time, \p load of the capacity.
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

/// The fleet's true speeds: slots and slowness of each endpoint.
struct true_endpoint
{
    int slots = 8;
    double slowness = 1;
};

/// Slot-seconds of work on slowness 1 that the endpoints do in a second.
double capacity_of(const std::vector<true_endpoint>& endpoints);

/// Arrivals of all \p streams in order of time. Run times go from 50 ms to
/// 1 s, evenly in their logarithm; one in fifty takes 2 to 5 s.
std::vector<arrival> make_load(const std::vector<stream>& streams,
                               double capacity, std::uint64_t seed);

/// Response time of each arrival under one central queue that knows the true
/// speeds, takes the fastest free slot and needs no messages.
std::vector<duration> run_oracle(const std::vector<arrival>& load,
                                 const std::vector<true_endpoint>& endpoints);

/// The value below which \p part of \p values lie, by nearest rank.
double percentile(std::vector<double> values, double part);

} // namespace chicorydrum::measure
