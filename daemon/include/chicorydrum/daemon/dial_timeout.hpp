/// \file
/// How long a dial to a host may take before it is begun anew.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <algorithm>

namespace chicorydrum::daemon
{

/// A host without power drops the opening packet, and the kernel sends the
/// next one only after a second; by then the host may have been up for long.
/// Doubled at each dial that fails, so that hosts that are gone cost little.
class dial_timeout
{
public:
    void dialled(support::instant now)
    {
        this->begun = now;
    }
    bool is_over(support::instant now) const
    {
        return now - this->begun >= this->current;
    }
    void failed()
    {
        this->current = std::min(this->current * 2, longest);
    }
    /// The host has been heard of again.
    void reset()
    {
        this->current = shortest;
    }

private:
    /// Several round trips between the regions of one installation.
    static constexpr support::milliseconds shortest{200};
    static constexpr support::milliseconds longest{2000};

    support::milliseconds current = shortest;
    support::instant begun;
};

} // namespace chicorydrum::daemon
