/// \file
/// Bounds the age of a peer's messages. The clocks of two hosts differ by an
/// unknown time, which the messages between them bound from both sides: none
/// arrives before it was sent.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/clock.hpp"

#include <optional>

namespace chicorydrum::shard
{

/// What one process knows of the clock of one other process.
class link_clock
{
public:
    /// A message that names its times has arrived from the peer.
    void message_arrived(const schema::message_times& times,
                         support::instant now);
    /// Returns the times of a message that is sent to the peer now.
    schema::message_times times_at(support::instant now) const;

private:
    struct sample
    {
        /// By how much the own clock is ahead, at most.
        support::decision_clock::duration ahead;
        support::instant at;
    };

    /// Returns what the bound of \p known has become, as the clocks drift.
    static support::decision_clock::duration aged(const sample& known,
                                                  support::instant now);

    /// From the fastest message lately.
    std::optional<sample> best;
};

/// Returns the longest time since a message with \p times was sent, or nothing
/// if its sender knows nothing of this process's clock yet.
std::optional<support::decision_clock::duration>
longest_age(const schema::message_times& times, support::instant now);

} // namespace chicorydrum::shard
