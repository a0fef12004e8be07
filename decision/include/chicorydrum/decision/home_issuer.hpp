/// \file
/// The home that this host advertises, and which of its generations it still
/// remembers in full.
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

/// Issues homes with rising generations. A new generation starts when the
/// witness changes or the rotation interval is over.
class home_issuer
{
public:
    home_issuer(home_issuer_options given, support::instant now);

    /// Takes \p witness as the current one; true if the home changed.
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
