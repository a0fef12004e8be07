/// \file
/// Keeps a host from hammering a platform that does not answer.
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
    /// Seeds the jitter, so that hosts do not come back all at once.
    std::uint64_t seed = 0;
};

/// Closed: all calls pass. Open: none until a jittered backoff is over, then
/// one call is let through; its outcome closes or reopens the breaker.
class circuit_breaker
{
public:
    explicit circuit_breaker(circuit_breaker_options given)
        : options(given), random(given.seed)
    {
    }

    /// Whether a call may be made now.
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
