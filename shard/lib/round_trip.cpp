#include "round_trip.hpp"

#include <algorithm>
#include <cmath>

namespace chicorydrum::shard
{

namespace
{

/// The weights of one sample (RFC 6298).
constexpr double mean_weight = 1.0 / 8;
constexpr double deviation_weight = 1.0 / 4;
constexpr double deviations = 4;

} // namespace

void round_trip::observe(support::decision_clock::duration span)
{
    const double sample_ms = support::in_seconds(span) * 1000.0;
    if (!this->has_sample)
    {
        this->has_sample = true;
        this->mean_ms = sample_ms;
        this->deviation_ms = sample_ms / 2;
        return;
    }
    this->deviation_ms +=
        deviation_weight *
        (std::abs(sample_ms - this->mean_ms) - this->deviation_ms);
    this->mean_ms += mean_weight * (sample_ms - this->mean_ms);
}

support::milliseconds round_trip::timeout() const
{
    const auto expected = support::milliseconds(static_cast<std::int64_t>(
        std::ceil(this->mean_ms + deviations * this->deviation_ms)));
    return std::clamp(expected, this->options.least, this->options.most);
}

} // namespace chicorydrum::shard
