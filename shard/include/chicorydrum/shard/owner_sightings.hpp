/// \file
/// When the owners of other shards, in all domains, were last heard. An owner
/// that is lost leaves runs behind until its last lease has lapsed, and copies
/// of their jobs may arrive here.
#pragma once

#include "chicorydrum/shard/messages.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace chicorydrum::shard
{

struct sighting_options
{
    /// An owner that was heard this lately has ended the jobs of every host
    /// whose callers' copies can be here: copies come 1,300 ms after the loss
    /// of a host, whose owner stops its runs within 625 ms (silence 500, grace
    /// after a stall 50, tick 25, stop 50).
    support::milliseconds recent{600};
    /// The last lease of an owner that was not heard for this long has lapsed:
    /// next heartbeat 300, tick that is late by 100, lapse of a lease 1,100.
    support::milliseconds lapse{1500};
    /// Copies of a lost host's jobs arrive this long after its loss or later.
    support::milliseconds copy_delay{1300};
};

/// An owner whose runs may be active without it.
struct lost_owner
{
    shard_name name;
    /// When it was last heard; unset if it never was.
    std::optional<support::instant> heard_at;
    /// When its last lease has lapsed.
    support::instant lapses_at;
};

class owner_sightings
{
public:
    owner_sightings(sighting_options opts, support::instant now);

    /// Another domain, \p domain, has hosts: it may have owners that were lost
    /// before this process heard them.
    void domain_listed(const std::string& domain);
    /// The owner of shard \p claim of \p domain, which it divides into
    /// \p shards, has sent a heartbeat at \p sent or later. The entry hosts
    /// whose jobs it had were alive at \p callers_alive.
    void heard(const std::string& domain, const schema::ownership& claim,
               int shards, support::instant sent,
               support::instant callers_alive);
    /// Returns the lost owner whose last lease lapses last, or nothing if
    /// copies that arrive now at the owner of \p own have no active runs in
    /// other shards.
    std::optional<lost_owner> find_lost(const shard_name& own,
                                        support::instant now) const;

private:
    struct sighting
    {
        support::instant at = {};
        support::instant callers_alive = {};
    };
    /// When the owners of a shard were last heard, by their tokens. Invariant:
    /// none has a predecessor here whose runs it knows.
    using shard_sightings = std::map<fencing_token, sighting>;

    sighting_options options;
    support::instant started;
    std::set<std::string> domains;
    /// The highest number of shards that an owner of each domain has named.
    std::map<std::string, int> shard_counts;
    std::map<shard_name, shard_sightings> owners;
    /// By shard: the highest token whose owner knows its predecessors' runs.
    std::map<shard_name, fencing_token> settled;
};

} // namespace chicorydrum::shard
