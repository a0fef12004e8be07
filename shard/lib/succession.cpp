#include "chicorydrum/shard/succession.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace chicorydrum::shard
{

using support::instant;
using support::log_line;

succession::succession(succession_options opts, succession_hooks callbacks)
    : options(opts), hooks(std::move(callbacks))
{
}

bool succession::has_read(const peer_state& peer,
                          const told_endpoint& endpoint) const
{
    // Without a version the store has begun to count anew.
    return endpoint.held.is_listed && endpoint.held.version > 0 &&
           endpoint.held.version <= peer.endpoints_version &&
           peer.endpoints_version <= this->read_to;
}

bool succession::knows(const peer_state& peer,
                       const told_endpoint& endpoint) const
{
    return endpoint.number <= peer.acknowledged ||
           this->has_read(peer, endpoint);
}

bool succession::knows_all(const peer_state& peer,
                           const held_shard& shard) const
{
    return std::all_of(shard.endpoints.begin(), shard.endpoints.end(),
                       [this, &peer](const auto& entry)
                       {
                           const told_endpoint& endpoint = entry.second;
                           const bool is_unused =
                               !endpoint.is_used && endpoint.held.is_listed;
                           return is_unused || this->knows(peer, endpoint);
                       });
}

void succession::update_shard(int shard, fencing_token token,
                              bool knows_predecessors,
                              const std::vector<schema::held_endpoint>& held,
                              instant now)
{
    held_shard& state = this->shards[shard];
    if (state.token != token)
        state = {.token = token};
    state.knows_predecessors = knows_predecessors;
    std::set<std::string> present;
    for (const schema::held_endpoint& one : held)
    {
        present.insert(one.entry.id);
        told_endpoint& endpoint = state.endpoints[one.entry.id];
        const bool is_same =
            endpoint.number > 0 &&
            is_same_incarnation(endpoint.held.entry, one.entry);
        // A later version of the same incarnation: its row was missing.
        const bool is_unchanged =
            is_same && endpoint.held.is_listed == one.is_listed &&
            (!one.is_listed || endpoint.held.version == one.version);
        const bool is_due = !one.is_listed && now - endpoint.numbered_at >=
                                                  this->options.repeat_interval;
        if (is_unchanged && !is_due)
            continue;
        endpoint.is_used = is_same && endpoint.is_used;
        endpoint.was_withheld = is_same && endpoint.was_withheld;
        endpoint.held = one;
        endpoint.number = ++this->last_number;
        endpoint.numbered_at = now;
        this->has_news = true;
    }
    std::erase_if(state.endpoints, [&present](const auto& entry)
                  { return !present.contains(entry.first); });
}

void succession::release_shard(int shard)
{
    this->shards.erase(shard);
    for (auto& [name, peer] : this->peers)
        peer.vouched_until.erase(shard);
}

bool succession::may_start_at(int shard,
                              const schema::endpoint_registration& entry,
                              instant now)
{
    const auto owned = this->shards.find(shard);
    if (owned == this->shards.end())
        return false;
    const auto found = owned->second.endpoints.find(entry.id);
    if (found == owned->second.endpoints.end() ||
        !is_same_incarnation(found->second.held.entry, entry))
        return false;
    told_endpoint& endpoint = found->second;
    if (endpoint.is_used)
        return true;
    const auto lacking =
        std::find_if(this->peers.begin(), this->peers.end(),
                     [this, shard, now, &endpoint](const auto& peer_entry)
                     {
                         const peer_state& peer = peer_entry.second;
                         const auto vouched = peer.vouched_until.find(shard);
                         return vouched != peer.vouched_until.end() &&
                                now < vouched->second &&
                                !this->knows(peer, endpoint);
                     });
    endpoint.is_used = lacking == this->peers.end();
    if (!endpoint.is_used && !std::exchange(endpoint.was_withheld, true))
        this->hooks.log(log_line("endpoint_withheld")
                            .add("shard", shard)
                            .add("endpoint", entry.id)
                            .add("peer", lacking->first)
                            .add("version", endpoint.held.version));
    return endpoint.is_used;
}

void succession::link_opened(const std::string& peer)
{
    peer_state& state = this->peers[peer];
    // Vouches to an earlier process of the host are of no use to the new one.
    state = {.is_linked = true,
             .vouched_until = std::move(state.vouched_until)};
}

void succession::link_closed(const std::string& peer, instant now)
{
    this->peers[peer].is_linked = false;
    std::erase_if(this->peers,
                  [now](const auto& entry)
                  {
                      const auto& vouched = entry.second.vouched_until;
                      return !entry.second.is_linked &&
                             std::all_of(vouched.begin(), vouched.end(),
                                         [now](const auto& until)
                                         { return now >= until.second; });
                  });
}

void succession::tell(peer_state& peer, schema::succession_state& state) const
{
    std::vector<const told_endpoint*> later;
    for (const auto& [shard, held] : this->shards)
        for (const auto& [id, endpoint] : held.endpoints)
            if (endpoint.number > peer.told && !this->has_read(peer, endpoint))
                later.push_back(&endpoint);
    std::sort(later.begin(), later.end(),
              [](const told_endpoint* one, const told_endpoint* other)
              { return one->number < other->number; });
    const bool is_whole = later.size() <= this->options.max_told;
    if (!is_whole)
        later.resize(this->options.max_told);
    std::vector<schema::held_endpoint> endpoints;
    for (const told_endpoint* const endpoint : later)
        endpoints.push_back(endpoint->held);
    if (!endpoints.empty())
        state.__set_endpoints(std::move(endpoints));
    peer.told = is_whole ? this->last_number : later.back()->number;
}

schema::succession_state succession::state_for(const std::string& peer,
                                               bool may_succeed, instant now)
{
    schema::succession_state state;
    peer_state& known = this->peers[peer];
    if (known.told < this->last_number)
        this->tell(known, state);
    if (known.told > 0)
        state.__set_told(known.told);
    if (known.received > 0)
        state.__set_heard(known.received);
    if (!may_succeed || !known.takes_part)
        return state;
    std::map<std::int32_t, std::int64_t> vouched;
    for (const auto& [shard, held] : this->shards)
    {
        if (!held.knows_predecessors || !this->knows_all(known, held))
            continue;
        vouched[shard] = held.token;
        const bool is_first = !known.vouched_until.contains(shard);
        known.vouched_until[shard] =
            now + this->options.vouch_time + this->options.vouch_margin;
        if (is_first)
            this->hooks.log(log_line("successor_informed")
                                .add("peer", peer)
                                .add("shard", shard)
                                .add("token", held.token)
                                .add("endpoints", static_cast<std::int64_t>(
                                                      held.endpoints.size())));
    }
    if (!vouched.empty())
        state.__set_vouched(std::move(vouched));
    return state;
}

bool succession::heard(const std::string& peer,
                       const schema::succession_state& state,
                       std::int64_t endpoints_version,
                       std::optional<instant> sent, instant now)
{
    peer_state& known = this->peers[peer];
    known.takes_part = true;
    known.endpoints_version = endpoints_version;
    known.acknowledged = std::max(known.acknowledged, state.heard);
    const bool is_news = state.told > known.received;
    known.received = std::max(known.received, state.told);
    if (!sent)
        return is_news;
    for (const auto& [shard, token] : state.vouched)
    {
        vouch& last = this->vouches[shard];
        const instant until = std::min(*sent, now) + this->options.vouch_time;
        if (token > last.token)
            last = {.token = token, .until = until};
        else if (token == last.token)
            last.until = std::max(last.until, until);
    }
    return is_news;
}

bool succession::take_news()
{
    return std::exchange(this->has_news, false);
}

bool succession::is_vouched(int shard, fencing_token token, instant now) const
{
    const auto found = this->vouches.find(shard);
    return found != this->vouches.end() && found->second.token == token &&
           now < found->second.until;
}

void succession::vouch_for_own(int shard, fencing_token token, instant now)
{
    this->vouches[shard] = {.token = token,
                            .until = now + this->options.vouch_time};
}

} // namespace chicorydrum::shard
