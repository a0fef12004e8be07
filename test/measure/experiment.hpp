/// \file
/// One run of one policy under one load in virtual time.
#pragma once

#include "workload.hpp"

#include "fleet/fleet.hpp"

#include <functional>
#include <string>
#include <vector>

namespace chicorydrum::measure
{

/// A policy for routing and admission, set through the dispatcher options.
struct policy
{
    std::string name;
    std::function<void(decision::dispatcher_options&)> apply;
};

/// Returns the dispatcher's own policy.
policy our_policy();
/// Returns baselines in which each host keeps a fixed share of the slots; they
/// differ in how they choose an endpoint.
std::vector<policy> routing_baselines(std::uint64_t seed);
/// Returns the baselines "first in, first out" and "strict priority by
/// urgency"; neither refuses work early.
std::vector<policy> admission_baselines();

/// The deployment under test: three domains with three entry hosts and sixteen
/// endpoints of eight slots each, slowness spread 4 to 1.
struct deployment
{
    duration cross_latency = support::microseconds(500);
    duration caller_latency = support::milliseconds(1);
    std::string bundle;
    std::vector<simulated_endpoint> endpoints;
};

deployment make_deployment(std::uint64_t seed);

/// Result of one arrival.
struct outcome
{
    bool is_complete = false;
    bool is_in_deadline = false;
    bool is_refused = false;
    double response_seconds = 0;
};

struct run_result
{
    /// In the order of the load.
    std::vector<outcome> outcomes;
    fleet::message_counts messages;
    std::int64_t starts = 0;
    std::vector<std::string> violations;
    /// Time from the start of the run to the last adoption of a rolled
    /// bundle; 0 if none was rolled.
    double bundle_seconds = 0;
};

struct experiment
{
    deployment setup;
    std::vector<arrival> load;
    policy rules = our_policy();
    /// How long the run goes on after the last arrival: longer than any
    /// deadline, so that every arrival gets its outcome.
    support::milliseconds tail{36000};
    /// Adds faults before the run.
    std::function<void(fleet::fleet&)> prepare;
    std::uint64_t seed = 1;
};

run_result run(const experiment& config);

} // namespace chicorydrum::measure
