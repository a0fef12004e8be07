#include "endpoint_record.hpp"

#include <algorithm>

namespace chicorydrum::shard
{

namespace
{

/// Consecutive failed runs that quarantine an endpoint. Single failures are
/// more often caused by the task than by the endpoint.
constexpr int failures_to_quarantine = 3;
constexpr support::milliseconds first_quarantine{500};
constexpr int longest_quarantine_doublings = 3;

} // namespace

void endpoint_record::run_succeeded()
{
    this->consecutive_failures = 0;
    this->quarantines = 0;
}

void endpoint_record::run_failed(support::instant now)
{
    ++this->consecutive_failures;
    if (this->consecutive_failures >= failures_to_quarantine)
        this->quarantine(now);
}

void endpoint_record::quarantine(support::instant now)
{
    const int doublings =
        std::min(this->quarantines, longest_quarantine_doublings);
    this->quarantined_until = now + first_quarantine * (1 << doublings);
    ++this->quarantines;
    // One more failure quarantines the endpoint again.
    this->consecutive_failures = failures_to_quarantine - 1;
}

} // namespace chicorydrum::shard
