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

void owner_sightings::heard(const shard_name& name, fencing_token token,
                            int shards, instant sent)
{
    int& count = this->shard_counts[name.domain];
    count = std::max(count, shards);
    sighting& last = this->owners[name];
    const bool has_lapsed = sent - last.at >= this->options.lapse;
    if (token < last.token && !has_lapsed)
        return;
    last = {.token = token, .at = std::max(last.at, sent)};
}

std::optional<lost_owner> owner_sightings::find_lost(instant now) const
{
    std::optional<lost_owner> latest;
    const auto consider = [&latest, now](const lost_owner& lost)
    {
        const bool is_later = !latest || lost.lapses_at > latest->lapses_at;
        if (now < lost.lapses_at && is_later)
            latest = lost;
    };
    for (const auto& [name, last] : this->owners)
        if (now - last.at > this->options.recent)
            consider({.name = name,
                      .heard_at = last.at,
                      .lapses_at = last.at + this->options.lapse});
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
            if (!this->owners.contains(name))
                consider({.name = name,
                          .heard_at = std::nullopt,
                          .lapses_at = known_from});
        }
    }
    return latest;
}

} // namespace chicorydrum::shard
