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

/// A policy for routing and admission, put in through the decisions' hooks.
struct policy
{
    std::string name;
    std::function<void(decision::dispatcher_options&)> apply;
};

/// Ours first, then the baselines.
policy our_policy();
/// Each host keeps its fixed share, and the given choice of endpoint.
std::vector<policy> routing_baselines(std::uint64_t seed);
/// One queue in order of arrival, and strict priority by urgency; nothing is
/// refused early.
std::vector<policy> admission_baselines();

/// The brief's deployments: three domains with three entry hosts and sixteen
/// endpoints of eight slots each, slowness spread 4 to 1.
struct deployment
{
    duration cross_latency = support::microseconds(500);
    duration caller_latency = support::milliseconds(1);
    std::string bundle;
    std::vector<true_endpoint> endpoints;
};

deployment make_deployment(std::uint64_t seed);

/// What one arrival came to.
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
    /// Time from acceptance of a bundle to its last adoption, if one was
    /// rolled.
    double bundle_seconds = 0;
};

struct experiment
{
    deployment setup;
    std::vector<arrival> load;
    policy rules = our_policy();
    /// Runs on until this long after the last arrival: longer than any
    /// deadline, so that nothing is cut off by the end of the run.
    support::milliseconds tail{36000};
    /// Adds faults before the run.
    std::function<void(fleet::fleet&)> prepare;
    std::uint64_t seed = 1;
};

run_result run(const experiment& wanted);

} // namespace chicorydrum::measure
