/// \file
/// Learned run times: how long a kind takes, and how fast an endpoint is.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/support/clock.hpp"

#include <string>
#include <unordered_map>

namespace chicorydrum::decision
{

/// Models a run time as the kind's mean times the endpoint's slowness, both
/// learned from finished attempts. Endpoint factors are kept as logarithms,
/// so that one slow run weighs as much as one fast run.
class run_time_model
{
public:
    void observe(const std::string& kind, const std::string& endpoint,
                 support::decision_clock::duration run_time);

    /// Mean run time of \p kind in seconds, or \p prior until one is known.
    double kind_seconds(const std::string& kind, double prior) const;

    /// A run time of \p kind in seconds that few tasks exceed: the mean and
    /// six standard deviations, as run times have a long tail, or \p prior
    /// until one is known.
    double kind_tail_seconds(const std::string& kind, double prior) const;

    /// How much slower \p endpoint is than the average one: 1 is average,
    /// 2 takes twice as long. Unknown endpoints count as slightly faster
    /// than average, so that they get tried.
    double slowness(const std::string& endpoint) const;

    /// Attempts that the model saw of \p endpoint.
    std::size_t samples(const std::string& endpoint) const;

    void forget_endpoint(const std::string& endpoint);

    /// What was observed since the last call, for the peers of the domain.
    schema::speed_report take_report();
    /// Takes in what a peer observed.
    void merge(const schema::speed_report& report);

private:
    struct endpoint_state;

    /// Moves the endpoint's factor towards \p samples with this mean.
    static void learn(endpoint_state& endpoint, double mean_residual,
                      int samples);

    struct kind_state
    {
        double mean_seconds = 0;
        double variance = 0;
        double log_mean = 0;
        std::size_t samples = 0;
    };

    struct endpoint_state
    {
        double log_factor = 0;
        std::size_t samples = 0;
        /// Not reported to peers yet.
        double unreported_sum = 0;
        int unreported = 0;
    };

    std::unordered_map<std::string, kind_state> kinds;
    std::unordered_map<std::string, endpoint_state> endpoints;
};

} // namespace chicorydrum::decision
