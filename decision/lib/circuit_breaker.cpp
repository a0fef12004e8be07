#include "chicorydrum/decision/circuit_breaker.hpp"

#include <algorithm>

namespace chicorydrum::decision
{

bool circuit_breaker::allow(support::instant now)
{
    if (!this->is_open())
        return true;
    if (now < this->next_try)
        return false;
    // This call is the trial; no other call is allowed until its outcome is
    // known or the backoff has passed again.
    this->next_try = now + this->backoff;
    return true;
}

void circuit_breaker::succeeded()
{
    this->failures = 0;
    this->backoff = support::milliseconds(0);
}

void circuit_breaker::failed(support::instant now)
{
    ++this->failures;
    if (!this->is_open())
        return;
    this->backoff = std::clamp(this->backoff * 2, this->options.first_backoff,
                               this->options.max_backoff);
    std::uniform_int_distribution<std::int64_t> jitter(
        this->backoff.count() / 2, this->backoff.count());
    this->next_try = now + support::milliseconds(jitter(this->random));
}

} // namespace chicorydrum::decision
