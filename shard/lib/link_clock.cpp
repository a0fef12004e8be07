#include "chicorydrum/shard/link_clock.hpp"

#include <algorithm>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::microseconds;
using duration = support::decision_clock::duration;

/// The clocks of two hosts drift apart by at most this fraction, as those of
/// endpoints do.
constexpr double max_drift = 0.02;
/// A slower message replaces a faster one that is this old, whose bound has
/// grown by 20 ms.
constexpr support::milliseconds sample_life{1000};

} // namespace

duration link_clock::aged(const sample& known, instant now)
{
    const double drift = support::in_seconds(now - known.at) * max_drift;
    return known.ahead + support::duration_from_ms(drift * 1000);
}

void link_clock::message_arrived(const schema::message_times& times,
                                 instant now)
{
    const duration ahead = now.time_since_epoch() - microseconds(times.sent_us);
    const bool keeps_best = this->best && now - this->best->at < sample_life &&
                            aged(*this->best, now) < ahead;
    if (!keeps_best)
        this->best = {.ahead = ahead, .at = now};
}

schema::message_times link_clock::times_at(instant now) const
{
    schema::message_times times;
    times.sent_us = now.time_since_epoch().count();
    if (this->best)
        times.__set_ahead_us(aged(*this->best, now).count());
    return times;
}

std::optional<duration> longest_age(const schema::message_times& times,
                                    instant now)
{
    if (!times.__isset.ahead_us)
        return std::nullopt;
    const duration age = now.time_since_epoch() - microseconds(times.sent_us) +
                         microseconds(times.ahead_us);
    return std::max(age, duration(0));
}

} // namespace chicorydrum::shard
