/// \file
/// When capacity of an endpoint is expected to be free, from what runs there.
/// Pure functions without I/O, shared by placement, load shedding, offers and
/// Retry-After, so that all of them plan with the same free capacity.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/clock.hpp"

#include <optional>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

/// Capacity that a run occupies until its expected end.
struct occupied_capacity
{
    schema::resources need;
    support::instant ends;
};

struct endpoint_forecast
{
    std::string id;
    schema::resources capacity;
    /// Run time of a task there relative to an average endpoint.
    double slowness = 1;
    /// Of all runs that may be active.
    std::vector<occupied_capacity> occupied = {};
};

/// Returns whether \p need fits into \p available.
bool fits(const schema::resources& need, const schema::resources& available);

/// Takes \p amount off \p from.
void subtract(schema::resources& from, const schema::resources& amount);

/// Returns when a task with \p need is expected to fit on \p endpoint, \p now
/// at the earliest; nothing if it exceeds the endpoint's capacity.
std::optional<support::instant> fits_from(const endpoint_forecast& endpoint,
                                          const schema::resources& need,
                                          support::instant now);

} // namespace chicorydrum::shard
