/// \file
/// Learned run times of kinds and speeds of endpoints.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/support/clock.hpp"

#include <string>
#include <unordered_map>

namespace chicorydrum::decision
{

/// Models a run time as the kind's mean times the endpoint's slowness, both
/// learned from finished attempts. Endpoint factors are logarithmic, so that
/// slow and fast runs have equal weight.
class run_time_model
{
public:
    void observe(const std::string& kind, const std::string& endpoint,
                 support::decision_clock::duration run_time);

    /// Returns the mean run time of \p kind in seconds, or \p prior if none has
    /// been observed.
    double kind_seconds(const std::string& kind, double prior) const;

    /// Returns a run time of \p kind in seconds that few tasks exceed, or
    /// \p prior if none has been observed. It is the mean plus six standard
    /// deviations, as run times have a long tail.
    double kind_tail_seconds(const std::string& kind, double prior) const;

    /// Returns how much slower than average \p endpoint is: 1 is average, 2
    /// takes twice as long. Unknown endpoints count as slightly faster than
    /// average, so that they are tried.
    double slowness(const std::string& endpoint) const;

    /// Returns the number of attempts observed on \p endpoint.
    std::size_t samples(const std::string& endpoint) const;

    void forget_endpoint(const std::string& endpoint);

    /// Returns the observations since the last call, to be sent to the peers of
    /// the domain.
    schema::speed_report take_report();
    /// Merges the observations of a peer.
    void merge(const schema::speed_report& report);

private:
    struct endpoint_state;

    /// Updates the endpoint's factor with \p samples of the given mean.
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
        /// Sum and number of samples not yet reported to peers.
        double unreported_sum = 0;
        int unreported = 0;
    };

    std::unordered_map<std::string, kind_state> kinds;
    std::unordered_map<std::string, endpoint_state> endpoints;
};

} // namespace chicorydrum::decision
