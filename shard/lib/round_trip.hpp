/// \file
/// Learns how long answers to an owner's orders take. When orders queue in this
/// host's own link, all answers are late, and none tells of its endpoint.
#pragma once

#include "chicorydrum/support/clock.hpp"

namespace chicorydrum::shard
{

struct round_trip_options
{
    /// No answer is overdue earlier. Round trips take one or two milliseconds.
    support::milliseconds least{25};
    /// Any answer is overdue by then, so that an endpoint that does not answer
    /// is found within a third of its lease.
    support::milliseconds most{200};
};

class round_trip
{
public:
    explicit round_trip(round_trip_options opts = {}) : options(opts)
    {
    }

    /// Records that an answer took \p span, also if it was overdue.
    void observe(support::decision_clock::duration span);
    /// Returns the time after which an answer is overdue: the smoothed round
    /// trip and four times its mean deviation (as in RFC 6298).
    support::milliseconds timeout() const;

private:
    round_trip_options options;
    bool has_sample = false;
    double mean_ms = 0;
    double deviation_ms = 0;
};

} // namespace chicorydrum::shard
