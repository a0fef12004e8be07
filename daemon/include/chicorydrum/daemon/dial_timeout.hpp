/// \file
/// The timeout of a dial to another host, with exponential backoff.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <algorithm>

namespace chicorydrum::daemon
{

/// A host without power drops the opening packet, and the kernel retransmits
/// it only after a second, when the host may long be up again. A dial is
/// therefore abandoned earlier. The timeout doubles with each failed dial, so
/// that unreachable hosts cost little.
class dial_timeout
{
public:
    void start(support::instant now)
    {
        this->started_at = now;
    }
    bool has_expired(support::instant now) const
    {
        return now - this->started_at >= this->timeout;
    }
    /// Doubles the timeout after a failed dial, up to its maximum.
    void increase()
    {
        this->timeout = std::min(this->timeout * 2, max_timeout);
    }
    /// Returns to the minimum once the host is known to be up.
    void reset()
    {
        this->timeout = min_timeout;
    }

private:
    /// Several round trips between the regions of one installation.
    static constexpr support::milliseconds min_timeout{200};
    static constexpr support::milliseconds max_timeout{2000};

    support::milliseconds timeout = min_timeout;
    support::instant started_at;
};

} // namespace chicorydrum::daemon
