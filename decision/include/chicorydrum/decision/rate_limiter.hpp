/// \file
/// Token buckets for team quotas and write budgets.
#pragma once

#include "chicorydrum/support/clock.hpp"

namespace chicorydrum::decision
{

/// A token bucket that may go into debt: a job larger than the bucket is
/// admitted if the bucket is not empty, and later jobs wait until the debt is
/// refilled.
class rate_limiter
{
public:
    /// Takes \p amount tokens. The bucket refills at \p rate per second and
    /// holds the tokens of one second. Returns false and takes nothing if the
    /// bucket is empty.
    bool take(double amount, double rate, support::instant now);

    /// Returns the seconds until the bucket is no longer in debt.
    double seconds_until_positive(double rate) const;

private:
    double tokens = 0;
    support::instant refilled;
    bool is_started = false;
};

} // namespace chicorydrum::decision
