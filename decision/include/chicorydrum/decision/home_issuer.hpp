/// \file
/// Issues the home that this host advertises.
#pragma once

#include "chicorydrum/support/clock.hpp"
#include "chicorydrum/support/ids.hpp"

#include <optional>

namespace chicorydrum::decision
{

struct home_issuer_options
{
    schema::incarnation self;
    support::milliseconds rotation{60000};
};

/// Issues homes with increasing generations. A new generation starts when the
/// witness changes or the rotation interval ends.
class home_issuer
{
public:
    home_issuer(home_issuer_options opts, support::instant now);

    /// Sets the current witness; returns whether the home changed.
    bool update(const std::optional<schema::incarnation>& witness,
                support::instant now);

    const support::home& current() const
    {
        return this->issued;
    }

private:
    home_issuer_options options;
    support::home issued;
    support::instant issued_at;
};

} // namespace chicorydrum::decision
