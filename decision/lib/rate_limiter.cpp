#include "chicorydrum/decision/rate_limiter.hpp"

#include <algorithm>

namespace chicorydrum::decision
{

bool rate_limiter::take(double amount, double rate, support::instant now)
{
    const double capacity = std::max(1.0, rate);
    if (!this->is_started)
    {
        this->tokens = capacity;
        this->is_started = true;
    }
    else
    {
        const double refill = rate * support::in_seconds(now - this->refilled);
        this->tokens = std::min(capacity, this->tokens + refill);
    }
    this->refilled = now;
    if (this->tokens <= 0)
        return false;
    this->tokens -= amount;
    return true;
}

double rate_limiter::seconds_until_positive(double rate) const
{
    return rate <= 0 ? 0 : std::max(0.0, -this->tokens / rate);
}

} // namespace chicorydrum::decision
