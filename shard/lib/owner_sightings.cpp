#include "chicorydrum/shard/owner_sightings.hpp"

#include <algorithm>

namespace chicorydrum::shard
{

using support::instant;

owner_sightings::owner_sightings(sighting_options opts, instant now)
    : options(opts), started(now)
{
}

void owner_sightings::domain_listed(const std::string& domain)
{
    this->domains.insert(domain);
}

void owner_sightings::heard(const std::string& domain,
                            const schema::ownership& claim, int shards,
                            instant sent, instant callers_alive)
{
    int& count = this->shard_counts[domain];
    count = std::max(count, shards);
    const shard_name name{.domain = domain, .shard = claim.shard};
    shard_sightings& known = this->owners[name];
    std::erase_if(known, [this, sent](const auto& owner)
                  { return sent - owner.second.at >= this->options.lapse; });
    fencing_token& floor = this->settled[name];
    // A domain that starts anew may count from lower tokens.
    if (known.empty())
        floor = 0;
    if (claim.token < floor)
        return;
    sighting& last = known[claim.token];
    last.at = std::max(last.at, sent);
    last.callers_alive = std::max(last.callers_alive, callers_alive);
    if (claim.is_adopting)
        return;
    floor = claim.token;
    known.erase(known.begin(), known.find(claim.token));
}

std::optional<lost_owner> owner_sightings::find_lost(const shard_name& own,
                                                     instant now) const
{
    std::optional<lost_owner> latest;
    const auto consider = [&latest, now](const lost_owner& lost)
    {
        const bool is_later = !latest || lost.lapses_at > latest->lapses_at;
        if (now < lost.lapses_at && is_later)
            latest = lost;
    };
    for (const auto& [name, known] : this->owners)
        for (const auto& [token, last] : known)
        {
            const bool may_meet_copies =
                now - last.at > this->options.recent &&
                now >= last.callers_alive + this->options.copy_delay;
            if (name != own && may_meet_copies)
                consider({.name = name,
                          .heard_at = last.at,
                          .lapses_at = last.at + this->options.lapse});
        }
    const instant known_from = this->started + this->options.lapse;
    if (now >= known_from)
        return latest;
    for (const std::string& domain : this->domains)
    {
        const auto count = this->shard_counts.find(domain);
        const int shards =
            count == this->shard_counts.end() ? 1 : count->second;
        for (int shard = 0; shard < shards; ++shard)
        {
            const shard_name name{.domain = domain, .shard = shard};
            const auto floor = this->settled.find(name);
            if (floor == this->settled.end() || floor->second == 0)
                consider({.name = name,
                          .heard_at = std::nullopt,
                          .lapses_at = known_from});
        }
    }
    return latest;
}

} // namespace chicorydrum::shard
