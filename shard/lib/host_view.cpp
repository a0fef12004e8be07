#include "chicorydrum/shard/host_view.hpp"

#include <algorithm>
#include <array>

namespace chicorydrum::shard
{

namespace
{

using support::instant;

/// A token is an epoch with the owner's registration in its low bits.
constexpr int registration_bits = 22;
constexpr std::int64_t registration_mask = (1LL << registration_bits) - 1;
constexpr std::int64_t max_epoch =
    (1LL << (support::owner_token_bits - registration_bits)) - 1;

std::int64_t epoch_of(fencing_token token)
{
    return token >> registration_bits;
}

/// Returns whether \p later says the same of ownership as \p before.
bool has_same_owners(const schema::shard_heartbeat& before,
                     const schema::shard_heartbeat& later)
{
    const auto is_same_claim =
        [](const schema::ownership& one, const schema::ownership& other)
    {
        return one.domain == other.domain && one.shard == other.shard &&
               one.token == other.token && one.is_offered == other.is_offered;
    };
    return before.is_ready == later.is_ready &&
           before.is_stopping == later.is_stopping &&
           before.shard_count == later.shard_count &&
           before.heard == later.heard &&
           std::equal(before.owned.begin(), before.owned.end(),
                      later.owned.begin(), later.owned.end(), is_same_claim);
}

} // namespace

std::string_view name_of(ownerless_cause cause)
{
    static constexpr std::array<std::string_view, 6> names = {
        "never_heard", "silent",  "link_closed",
        "restarted",   "offered", "released"};
    return names[static_cast<std::size_t>(cause)];
}

host_view::host_view(host_view_options opts, instant now)
    : options(std::move(opts)), started(now), current_time(now),
      sightings(this->options.sightings, now)
{
}

void host_view::connected(const host_identity& peer, instant now)
{
    this->known_owners.reset();
    peer_state& state = this->peers[peer.name];
    // State from an earlier process of the host is obsolete.
    if (state.identity.nonce != peer.nonce)
    {
        state.last_heartbeat = {};
        state.has_heartbeat = false;
        state.connected_at = now;
    }
    state.identity = peer;
    state.is_connected = true;
    state.last_received = now;
    state.last_sent = now;
}

void host_view::disconnected(const std::string& peer, instant now)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end() || !found->second.is_connected)
        return;
    this->known_owners.reset();
    this->current_time = now;
    found->second.was_silent = !this->is_live(found->second);
    found->second.is_connected = false;
    found->second.disconnected_at = now;
}

bool host_view::handle_heartbeat(const std::string& peer,
                                 const schema::shard_heartbeat& heartbeat,
                                 std::optional<instant> sent, instant now)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end())
        return false;
    this->known_owners.reset();
    const bool is_news =
        !found->second.has_heartbeat ||
        !has_same_owners(found->second.last_heartbeat, heartbeat);
    found->second.last_heartbeat = heartbeat;
    found->second.has_heartbeat = true;
    const std::string& domain = found->second.identity.domain;
    // Hosts of earlier versions say nothing of their callers' hosts, whose jobs
    // they keep for as long as those may be silent.
    const support::microseconds callers_silent =
        heartbeat.__isset.callers_silent_us
            ? support::microseconds(heartbeat.callers_silent_us)
            : this->options.all_jobs_ended_timeout;
    for (const schema::ownership& claim : heartbeat.owned)
        if (sent)
            this->sightings.heard(domain, claim, heartbeat.shard_count, *sent,
                                  *sent - callers_silent);
    if (!is_news || domain != this->options.self.domain)
        return is_news;
    this->raise_shard_count(heartbeat.shard_count, now);
    // An owner that has not heard of the division yet.
    if (heartbeat.shard_count < this->shards && !heartbeat.owned.empty())
        this->divided_at = now;
    for (const schema::ownership& owned_there : heartbeat.owned)
        this->record_token(owned_there.shard, owned_there.token);
    for (const schema::heard_owner& heard : heartbeat.heard)
        this->record_token(heard.shard, heard.token);
    return true;
}

host_view::epoch_state& host_view::epochs_of(int shard)
{
    epoch_state& state = this->epochs[shard];
    state.highest = std::max(state.highest, this->first_epoch);
    return state;
}

void host_view::record_token(int shard, fencing_token token)
{
    epoch_state& state = this->epochs_of(shard);
    state.highest = std::max(state.highest, epoch_of(token));
}

void host_view::host_listed(const std::string& host, std::int64_t nonce)
{
    this->listed[host] = nonce;
}

void host_view::host_unlisted(const std::string& host)
{
    this->listed.erase(host);
}

void host_view::listing_complete()
{
    this->listing_is_complete = true;
}

bool host_view::has_settled(instant now) const
{
    const auto age = now - this->started;
    if (!this->listing_is_complete)
        return age >= this->options.settling_time;
    return age >= this->options.known_settling_time ||
           std::all_of(this->listed.begin(), this->listed.end(),
                       [this](const auto& entry)
                       {
                           const auto found = this->peers.find(entry.first);
                           return found != this->peers.end() &&
                                  found->second.is_connected &&
                                  found->second.has_heartbeat;
                       });
}

void host_view::set_stopping(instant now)
{
    this->stopping_since = now;
}

void host_view::set_owned(std::vector<schema::ownership> now_owned)
{
    this->known_owners.reset();
    this->owned = std::move(now_owned);
    for (const schema::ownership& claim : this->owned)
        this->record_token(claim.shard, claim.token);
}

void host_view::raise_shard_count(int count, instant now)
{
    if (count <= this->shards)
        return;
    this->shards = count;
    this->first_claims.clear();
    // Nothing runs in other shards of a domain that has not had an owner yet.
    if (this->knows_any_owner())
        this->divided_at = now;
    // An endpoint of a new shard has seen the tokens of an earlier one.
    for (const auto& [shard, state] : this->epochs)
        this->first_epoch = std::max(this->first_epoch, state.highest);
}

bool host_view::knows_any_owner() const
{
    return !this->owned.empty() || !this->last_owners.empty() ||
           std::any_of(this->peers.begin(), this->peers.end(),
                       [this](const auto& entry)
                       {
                           const peer_state& peer = entry.second;
                           return peer.identity.domain ==
                                      this->options.self.domain &&
                                  !peer.last_heartbeat.owned.empty();
                       });
}

void host_view::set_registration(std::int64_t version)
{
    this->registration = version;
    this->first_epoch =
        std::max(this->first_epoch, std::min(version, max_epoch / 2));
}

void host_view::reset_silence_timers(instant now)
{
    this->known_owners.reset();
    for (auto& [name, peer] : this->peers)
    {
        peer.last_received = now;
        peer.last_sent = now;
    }
    this->without_owner.clear();
}

void host_view::stalled(instant now)
{
    this->known_owners.reset();
    this->silence_counts_from = now + this->options.stall_grace;
}

void host_view::message_received(const std::string& peer, instant sent,
                                 instant now)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end())
        return;
    found->second.last_received = now;
    found->second.last_sent = std::max(found->second.last_sent, sent);
}

claim_basis host_view::ownerless(int shard, const shard_owners& current,
                                 instant now) const
{
    const auto owner = this->last_owners.find(shard);
    if (owner == this->last_owners.end())
        return {.since = now};
    claim_basis basis{.cause = ownerless_cause::released,
                      .predecessor = owner->second.host,
                      .heard_at = owner->second.heard_at,
                      .since = now};
    const auto peer = this->peers.find(basis.predecessor);
    const bool is_peer = peer != this->peers.end();
    const bool was_silent =
        is_peer && peer->second.is_connected &&
        this->is_silent(peer->second, this->silence_limit_of(peer->second));
    if (current.contains({.domain = this->options.self.domain, .shard = shard}))
        basis.cause = ownerless_cause::offered;
    else if (was_silent)
        basis.cause = ownerless_cause::silent;
    else if (is_peer && owner->second.nonce != 0 &&
             peer->second.identity.nonce != owner->second.nonce)
        basis.cause = ownerless_cause::restarted;
    else if (!is_peer && basis.predecessor != this->options.self.name)
        basis.cause = ownerless_cause::link_closed;
    // The silence has lasted longer than the claim delay.
    if (was_silent)
        basis.since = now - this->options.claim_delay;
    return basis;
}

void host_view::tick(instant now)
{
    this->current_time = now;
    for (const auto& [name, peer] : this->peers)
        if (!this->is_live(peer) && !has_left(peer))
        {
            this->peer_lost_at = now;
            this->lost_peers[name] = {.domain = peer.identity.domain,
                                      .at = now};
        }
    std::erase_if(this->lost_peers,
                  [this, now](const auto& entry) {
                      return now - entry.second.at >= this->options.loss_memory;
                  });
    std::erase_if(
        this->peers, [this](const auto& entry)
        { return !entry.second.is_connected && !this->is_live(entry.second); });
    this->update_liveness();
    for (const schema::ownership& claim : this->owned)
        this->sightings.heard(this->options.self.domain, claim, this->shards,
                              now, now);
    const shard_owners& current = this->owners();
    for (int shard = 0; shard < this->shards; ++shard)
    {
        const auto found =
            current.find({.domain = this->options.self.domain, .shard = shard});
        const bool is_owned =
            found != current.end() && !found->second.is_offered;
        if (!is_owned)
        {
            this->without_owner.try_emplace(
                shard, this->ownerless(shard, current, now));
            continue;
        }
        this->without_owner.erase(shard);
        known_owner& owner = this->last_owners[shard];
        const auto peer = this->peers.find(found->second.host);
        const bool is_peer = peer != this->peers.end();
        owner.host = found->second.host;
        const int shards_there =
            is_peer ? peer->second.last_heartbeat.shard_count : this->shards;
        this->note_claim(shard, std::max(shards_there, 1), found->second.token,
                         now);
        owner.nonce = is_peer ? peer->second.identity.nonce : 0;
        owner.heard_at = is_peer ? peer->second.last_received : now;
    }
}

void host_view::note_claim(int shard, int count, fencing_token token,
                           instant now)
{
    const bool is_first = count == this->shards && !this->last_claim_of(shard);
    this->last_claims[{count, shard}] = token;
    const auto first = this->first_claims.find(shard);
    if (is_first)
        this->first_claims[shard] = {.token = token, .known_since = now};
    else if (count != this->shards)
        this->first_claims.clear();
    else if (first != this->first_claims.end() && first->second.token != token)
        this->first_claims.erase(first);
}

void host_view::update_liveness()
{
    for (auto& [name, peer] : this->peers)
    {
        const bool is_live_now = this->is_live(peer);
        if (is_live_now != peer.was_live)
            this->known_owners.reset();
        peer.was_live = is_live_now;
    }
}

support::milliseconds host_view::silence_limit_of(const peer_state& peer) const
{
    const bool is_local = peer.identity.domain == this->options.self.domain;
    return is_local ? this->options.silence_timeout
                    : this->options.remote_silence_timeout;
}

bool host_view::is_silent(const peer_state& peer,
                          support::milliseconds limit) const
{
    return this->has_passed(peer.last_received, limit);
}

bool host_view::is_old(const peer_state& peer,
                       support::milliseconds limit) const
{
    return this->has_passed(peer.last_sent, limit);
}

bool host_view::has_passed(instant last, support::milliseconds limit) const
{
    // Peers count on it that a host that is heard has ended the jobs of hosts
    // that were lost long before, so that a stall defers this by the grace
    // only.
    const support::milliseconds grace =
        this->current_time < this->silence_counts_from
            ? this->options.stall_grace
            : support::milliseconds(0);
    return this->current_time - last >= limit + grace;
}

bool host_view::is_live(const peer_state& peer) const
{
    if (this->is_silent(peer, this->silence_limit_of(peer)))
        return false;
    return peer.is_connected ||
           (!peer.was_silent && this->current_time - peer.disconnected_at <
                                    this->options.reconnect_window);
}

bool host_view::keeps_jobs_of(const std::string& host) const
{
    if (host == this->options.self.name)
        return true;
    const auto found = this->peers.find(host);
    return found != this->peers.end() && this->is_live(found->second) &&
           !this->is_old(found->second, this->options.caller_silence_timeout);
}

support::decision_clock::duration
host_view::silence_of(const std::string& host) const
{
    if (host == this->options.self.name)
        return support::decision_clock::duration(0);
    const auto found = this->peers.find(host);
    if (found == this->peers.end())
        return this->options.all_jobs_ended_timeout;
    return this->current_time - found->second.last_received;
}

std::vector<std::string> host_view::peers_with_jobs() const
{
    std::vector<std::string> found;
    for (const auto& [name, peer] : this->peers)
        if ((peer.is_connected || this->is_live(peer)) &&
            !this->is_old(peer, this->options.all_jobs_ended_timeout))
            found.push_back(name);
    return found;
}

bool host_view::has_left(const peer_state& peer)
{
    return !peer.is_connected && !peer.was_silent &&
           peer.last_heartbeat.is_stopping;
}

bool host_view::is_live(const std::string& host) const
{
    if (host == this->options.self.name)
        return true;
    const auto found = this->peers.find(host);
    return found != this->peers.end() && this->is_live(found->second);
}

bool host_view::may_succeed(const std::string& peer) const
{
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && found->second.has_heartbeat &&
           !found->second.last_heartbeat.is_stopping &&
           this->is_live(found->second);
}

bool host_view::is_isolated() const
{
    // The longest time between the losses of two peers in one cut.
    const auto cut_span = this->options.remote_silence_timeout;
    const bool has_lost_peer =
        this->peer_lost_at &&
        this->current_time - *this->peer_lost_at < cut_span;
    bool hears_any = false;
    bool hears_domain = false;
    bool has_silent_link = false;
    for (const auto& [name, peer] : this->peers)
    {
        const bool is_local = peer.identity.domain == this->options.self.domain;
        const bool hears_peer = this->is_live(peer);
        hears_any = hears_any || hears_peer;
        hears_domain = hears_domain || (is_local && hears_peer);
        has_silent_link =
            has_silent_link || (is_local && peer.is_connected && !hears_peer);
    }
    // Hosts that end close their links, so silent ones may be alive.
    return (has_lost_peer && !hears_any) || (has_silent_link && !hears_domain);
}

const shard_owners& host_view::owners() const
{
    if (!this->known_owners)
        this->known_owners = this->find_owners();
    return *this->known_owners;
}

shard_owners host_view::find_owners() const
{
    shard_owners best;
    const auto consider =
        [&best](const std::string& host, const schema::ownership& claim)
    {
        const shard_name name{.domain = claim.domain, .shard = claim.shard};
        const auto found = best.find(name);
        if (found != best.end() && claim.token <= found->second.token)
            return;
        best[name] = {.host = host,
                      .token = claim.token,
                      .wanted_millicores = claim.wanted_millicores,
                      .capacity_millicores = claim.capacity_millicores,
                      .is_offered = claim.is_offered,
                      .is_adopting = claim.is_adopting};
    };
    for (const schema::ownership& claim : this->owned)
        consider(this->options.self.name, claim);
    for (const auto& [name, peer] : this->peers)
        if (this->is_live(peer))
            for (const schema::ownership& claim : peer.last_heartbeat.owned)
                consider(name, claim);
    // An owner that only others hear goes on giving orders.
    for (const auto& [name, peer] : this->peers)
    {
        if (peer.identity.domain != this->options.self.domain ||
            !this->is_live(peer))
            continue;
        for (const schema::heard_owner& heard : peer.last_heartbeat.heard)
        {
            schema::ownership claim;
            claim.domain = this->options.self.domain;
            claim.shard = heard.shard;
            const auto found =
                best.find({.domain = claim.domain, .shard = claim.shard});
            const bool is_lower =
                found != best.end() && heard.token <= found->second.token;
            if (is_lower || this->is_live(heard.host))
                continue;
            claim.token = heard.token;
            claim.is_offered = heard.is_offered;
            consider(heard.host, claim);
        }
    }
    const std::map<std::string, double> lost = this->lost_shares();
    for (auto& [name, owner] : best)
    {
        owner.is_reachable = this->is_live(owner.host);
        const auto share = lost.find(name.domain);
        owner.lost_hosts = share == lost.end() ? 0 : share->second;
    }
    return best;
}

std::map<std::string, double> host_view::lost_shares() const
{
    std::map<std::string, double> shares;
    for (const auto& [name, lost] : this->lost_peers)
        ++shares[lost.domain];
    for (auto& [domain, share] : shares)
    {
        const auto others =
            std::count_if(this->peers.begin(), this->peers.end(),
                          [this, name = domain](const auto& entry)
                          {
                              return entry.second.identity.domain == name &&
                                     !this->lost_peers.contains(entry.first);
                          });
        share /= share + static_cast<double>(others);
    }
    return shares;
}

shard_owners host_view::reachable_owners() const
{
    shard_owners reachable = this->owners();
    std::erase_if(reachable,
                  [](const auto& entry) { return !entry.second.is_reachable; });
    return reachable;
}

std::vector<schema::heard_owner> host_view::heard_owners() const
{
    // Of several owners only the one with the highest token matters.
    std::map<int, schema::heard_owner> highest;
    for (const auto& [name, peer] : this->peers)
    {
        if (peer.identity.domain != this->options.self.domain ||
            !this->is_live(peer))
            continue;
        for (const schema::ownership& claim : peer.last_heartbeat.owned)
        {
            schema::heard_owner& owner = highest[claim.shard];
            if (claim.token <= owner.token)
                continue;
            owner.host = name;
            owner.shard = claim.shard;
            owner.token = claim.token;
            owner.is_offered = claim.is_offered;
        }
    }
    std::vector<schema::heard_owner> heard;
    for (const auto& [shard, owner] : highest)
        heard.push_back(owner);
    return heard;
}

std::map<int, std::string>
host_view::candidates(const shard_owners& current) const
{
    struct contender
    {
        double power = 0;
        int shards = 0;
    };
    // Ordered by name, so that all hosts break ties in the same way.
    std::map<std::string, contender> contenders;
    if (!this->stopping_since)
        contenders[this->options.self.name].power = this->options.self.power;
    for (const auto& [name, peer] : this->peers)
        if (peer.identity.domain == this->options.self.domain &&
            !peer.last_heartbeat.is_stopping && this->is_live(peer))
            contenders[name].power = peer.identity.power;
    for (const auto& [shard, owner] : current)
    {
        const auto found = contenders.find(owner.host);
        if (found != contenders.end())
            ++found->second.shards;
    }
    std::map<int, std::string> chosen;
    for (const auto& [shard, basis] : this->without_owner)
    {
        contender* best = nullptr;
        for (auto& [name, host] : contenders)
        {
            const bool is_better =
                best == nullptr || host.power / (host.shards + 1) >
                                       best->power / (best->shards + 1);
            if (!is_better)
                continue;
            best = &host;
            chosen[shard] = name;
        }
        if (best != nullptr)
            ++best->shards;
    }
    return chosen;
}

std::vector<int> host_view::shards_to_claim(instant now)
{
    this->tick(now);
    std::vector<int> to_claim;
    if (this->stopping_since || this->without_owner.empty() ||
        !this->has_settled(now))
        return to_claim;
    for (const auto& [shard, host] : this->candidates(this->owners()))
    {
        // An offered shard has had no owner for long when it is given up.
        const auto released = this->released_at.find(shard);
        const instant ownerless_since = this->without_owner.at(shard).since;
        const instant since = released == this->released_at.end()
                                  ? ownerless_since
                                  : std::max(ownerless_since, released->second);
        if (host == this->options.self.name &&
            now - since >= this->options.claim_delay)
            to_claim.push_back(shard);
    }
    return to_claim;
}

std::optional<claim_basis> host_view::claim_basis_of(int shard) const
{
    const auto found = this->without_owner.find(shard);
    return found == this->without_owner.end()
               ? std::nullopt
               : std::optional<claim_basis>(found->second);
}

std::optional<shard_claim> host_view::last_claim_of(int shard) const
{
    // Counts of shards are powers of two, and an endpoint's shard is the
    // remainder of its digest.
    for (int count = this->shards; count > 0; count /= 2)
    {
        const int number = shard % count;
        const auto found = this->last_claims.find({count, number});
        if (found != this->last_claims.end())
            return shard_claim{.shard = number, .token = found->second};
    }
    return std::nullopt;
}

std::vector<int> host_view::never_owned() const
{
    std::vector<int> found;
    for (int shard = 0; shard < this->shards; ++shard)
        if (!this->last_claim_of(shard))
            found.push_back(shard);
    return found;
}

std::map<int, fencing_token> host_view::first_tokens(instant now) const
{
    std::map<int, fencing_token> tokens;
    for (const auto& [shard, claim] : this->first_claims)
        if (now - claim.known_since < this->options.first_claim_memory)
            tokens[shard] = claim.token;
    return tokens;
}

bool host_view::has_first_owner(int shard, fencing_token token) const
{
    const auto says_so = [this, shard, token](const peer_state& peer)
    {
        if (!peer.is_connected || !peer.has_heartbeat)
            return false;
        const schema::shard_heartbeat& heartbeat = peer.last_heartbeat;
        const int number = shard % std::max(heartbeat.shard_count, 1);
        const auto& never = heartbeat.succession.never_owned;
        const auto& first = heartbeat.succession.first_tokens;
        const auto claim = first.find(shard);
        return std::find(never.begin(), never.end(), number) != never.end() ||
               (heartbeat.shard_count == this->shards && claim != first.end() &&
                claim->second == token);
    };
    const bool all_listed_say_so =
        std::all_of(this->listed.begin(), this->listed.end(),
                    [this, &says_so](const auto& entry)
                    {
                        const auto& [host, nonce] = entry;
                        const auto found = this->peers.find(host);
                        return found != this->peers.end() &&
                               found->second.identity.nonce == nonce &&
                               says_so(found->second);
                    });
    const auto own = this->first_claims.find(shard);
    const bool is_first_here = own == this->first_claims.end()
                                   ? !this->last_claim_of(shard)
                                   : own->second.token == token;
    return all_listed_say_so && is_first_here &&
           std::all_of(this->peers.begin(), this->peers.end(),
                       [this, &says_so](const auto& entry)
                       {
                           const peer_state& peer = entry.second;
                           return peer.identity.domain !=
                                      this->options.self.domain ||
                                  says_so(peer);
                       });
}

double host_view::best_share_of_others(instant now,
                                       support::milliseconds span) const
{
    std::map<std::string, int> shards_of;
    for (const auto& [shard, owner] : this->owners())
        ++shards_of[owner.host];
    double best = 0;
    for (const auto& [name, peer] : this->peers)
    {
        const bool has_settled = peer.is_connected && peer.has_heartbeat &&
                                 now - peer.connected_at >= span;
        if (!has_settled || peer.identity.domain != this->options.self.domain ||
            peer.last_heartbeat.is_stopping || !this->is_live(peer))
            continue;
        best = std::max(best, peer.identity.power / (shards_of[name] + 1));
    }
    return best;
}

std::optional<int> host_view::shard_to_offer(instant now) const
{
    // Only one shard moves at a time, and only while all have owners.
    if (this->stopping_since || this->owned.empty() ||
        !this->without_owner.empty())
        return std::nullopt;
    const double own_share =
        this->options.self.power / static_cast<double>(this->owned.size());
    const double other_share =
        this->best_share_of_others(now, this->options.offer_delay);
    if (other_share < own_share * this->options.offer_gain)
        return std::nullopt;
    return this->owned.front().shard;
}

bool host_view::should_hand_over(instant now) const
{
    if (!this->stopping_since)
        return false;
    if (now - *this->stopping_since >= this->options.handover_delay ||
        this->owned.empty())
        return true;
    const double own_share =
        this->options.self.power / static_cast<double>(this->owned.size());
    return this->best_share_of_others(now, support::milliseconds(0)) >=
           own_share * this->options.handover_share;
}

std::optional<fencing_token> host_view::next_token(int shard)
{
    epoch_state& state = this->epochs_of(shard);
    if (state.highest >= max_epoch)
        return std::nullopt;
    state.highest = std::min(state.highest + state.step, max_epoch);
    // Without a registration the nonce distinguishes owners.
    const std::int64_t unique =
        this->registration > 0 ? this->registration : this->options.self.nonce;
    return (state.highest << registration_bits) | (unique & registration_mask);
}

void host_view::raise_epoch(int shard, bool had_accepted)
{
    epoch_state& state = this->epochs_of(shard);
    state.was_accepted = state.was_accepted || had_accepted;
    if (had_accepted)
        state.step = 1;
    else if (state.was_accepted)
        // Owners that take a shard from each other are close. With doubled
        // steps each would overshoot the others by more than before.
        ++state.step;
    else
        // Doubled, since the other owner's epoch is unknown.
        state.step = std::min(state.step * 2, max_epoch / 4);
}

void host_view::shard_released(int shard, instant now)
{
    this->released_at[shard] = now;
}

std::set<std::string> host_view::domains_without_endpoints() const
{
    const bool all_follow =
        std::none_of(this->peers.begin(), this->peers.end(),
                     [](const auto& entry)
                     { return entry.second.last_heartbeat.lacks_endpoints; });
    if (all_follow)
        return {};
    std::set<std::string> lacking;
    std::set<std::string> following;
    for (const auto& [name, peer] : this->peers)
    {
        if (!peer.has_heartbeat || !this->is_live(peer))
            continue;
        const std::string& domain = peer.identity.domain;
        const bool is_local = domain == this->options.self.domain;
        if (peer.last_heartbeat.lacks_endpoints)
            lacking.insert(domain);
        else if (!is_local)
            following.insert(domain);
    }
    for (const std::string& domain : following)
        lacking.erase(domain);
    return lacking;
}

bool host_view::lacks_endpoints(const std::string& peer) const
{
    const auto found = this->peers.find(peer);
    return found != this->peers.end() &&
           found->second.last_heartbeat.lacks_endpoints;
}

std::optional<std::int64_t>
host_view::endpoints_version_of(const std::string& peer) const
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end() || !found->second.has_heartbeat)
        return std::nullopt;
    return found->second.last_heartbeat.endpoints_version;
}

std::vector<std::string> host_view::live_peers() const
{
    std::vector<std::string> live_names;
    for (const auto& [name, peer] : this->peers)
        if (this->is_live(peer))
            live_names.push_back(name);
    return live_names;
}

int host_view::live_domain_peers() const
{
    return static_cast<int>(std::count_if(
        this->peers.begin(), this->peers.end(),
        [this](const auto& entry)
        {
            const peer_state& peer = entry.second;
            return peer.identity.domain == this->options.self.domain &&
                   this->is_live(peer);
        }));
}

bool host_view::has_silent_link(const std::string& host, instant now)
{
    if (this->current_time != now)
        this->known_owners.reset();
    this->current_time = now;
    const auto found = this->peers.find(host);
    return found != this->peers.end() && found->second.is_connected &&
           !this->is_live(found->second);
}

std::vector<std::string> host_view::connected_peers() const
{
    std::vector<std::string> connected_names;
    for (const auto& [name, peer] : this->peers)
        if (peer.is_connected)
            connected_names.push_back(name);
    return connected_names;
}

std::string host_view::domain_of(const std::string& host) const
{
    const auto found = this->peers.find(host);
    return found == this->peers.end() ? std::string()
                                      : found->second.identity.domain;
}

std::int64_t host_view::waiting_at_peers(const std::string& route) const
{
    std::int64_t waiting = 0;
    for (const auto& [name, peer] : this->peers)
    {
        const auto found = peer.last_heartbeat.waiting.find(route);
        if (found != peer.last_heartbeat.waiting.end() && this->is_live(peer))
            waiting += found->second;
    }
    return waiting;
}

} // namespace chicorydrum::shard
