/// \file
/// Token buckets for team quotas and retry budgets.
#pragma once

#include "chicorydrum/support/clock.hpp"

namespace chicorydrum::decision
{

/// A bucket that refills at a steady rate and may go into debt once: a job
/// that is larger than the bucket passes when the bucket is not empty, and
/// its debt holds back what comes after.
class rate_limiter
{
public:
    /// Takes \p amount at \p rate per second with room for one second's
    /// worth. False, and nothing taken, if the bucket is empty.
    bool take(double amount, double rate, support::instant now);

    /// Seconds until the bucket is no longer in debt.
    double seconds_until_positive(double rate) const;

private:
    double tokens = 0;
    support::instant refilled;
    bool is_started = false;
};

} // namespace chicorydrum::decision
