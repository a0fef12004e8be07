/// \file
/// Limits the calls to a platform that does not answer.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <cstdint>
#include <random>

namespace chicorydrum::decision
{

struct circuit_breaker_options
{
    int failures_to_open = 3;
    support::milliseconds first_backoff{500};
    support::milliseconds max_backoff{10000};
    /// Seed of the jitter, which keeps hosts from retrying all at once.
    std::uint64_t seed = 0;
};

/// Closed: all calls are allowed. Open: no call is allowed until a jittered
/// backoff ends, then one trial call; its outcome closes or reopens the
/// breaker.
class circuit_breaker
{
public:
    explicit circuit_breaker(circuit_breaker_options opts)
        : options(opts), random(opts.seed)
    {
    }

    /// Returns whether a call may be made now.
    bool allow(support::instant now);
    void succeeded();
    void failed(support::instant now);
    bool is_open() const
    {
        return this->failures >= this->options.failures_to_open;
    }

private:
    circuit_breaker_options options;
    std::mt19937_64 random;
    int failures = 0;
    support::milliseconds backoff{0};
    support::instant next_try;
};

} // namespace chicorydrum::decision
