/// \file
/// Which entry hosts are live, and which of them owns which shard of endpoints.
/// All hosts compute the same owners from the same heartbeats; concurrent
/// owners of a shard are ordered by their fencing tokens.
#pragma once

#include "chicorydrum/shard/messages.hpp"
#include "chicorydrum/shard/owner_sightings.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace chicorydrum::shard
{

struct host_identity
{
    std::string name;
    std::string domain;
    std::int64_t nonce = 0;
    double power = 0;
};

/// The owner of a shard and the shard's load.
struct shard_owner_ref
{
    std::string host;
    fencing_token token = 0;
    std::int64_t wanted_millicores = 0;
    std::int64_t capacity_millicores = 0;
    bool is_offered = false;
    /// Whether this host hears the owner itself.
    bool is_reachable = true;
    /// Jobs that are new there wait, and a refusal does not say that they have
    /// not run.
    bool is_adopting = false;
    /// The share of the domain's hosts that were lost lately.
    double lost_hosts = 0;

    bool is_same(const shard_owner_ref& other) const
    {
        return this->host == other.host && this->token == other.token;
    }
};

using shard_owners = std::map<shard_name, shard_owner_ref>;

/// Why a shard of the own domain counts as without owner.
enum class ownerless_cause
{
    /// No owner was heard since this process started.
    never_heard,
    /// Nothing has arrived on the owner's open link.
    silent,
    /// The owner's link is closed, or another host heard it and does not any
    /// more.
    link_closed,
    /// Another process of the owner's host has connected.
    restarted,
    /// The owner offers the shard.
    offered,
    /// The owner, which may be this host, has given the shard up.
    released,
};

std::string_view name_of(ownerless_cause cause);

/// What a claim of a shard rests on.
struct claim_basis
{
    ownerless_cause cause = ownerless_cause::never_heard;
    /// The last known owner; empty if there is none.
    std::string predecessor = {};
    /// When this host last heard of it.
    std::optional<support::instant> heard_at = {};
    /// Since when the shard counts as without owner.
    support::instant since = {};
};

/// A right to give orders to the endpoints of a shard of the own domain.
struct shard_claim
{
    int shard = 0;
    fencing_token token = 0;
};

struct host_view_options
{
    host_identity self;
    /// A peer of the own domain that sends nothing for this long is dead.
    support::milliseconds silence_timeout{600};
    /// The same for a peer of another domain, which sends fewer heartbeats.
    support::milliseconds remote_silence_timeout{1000};
    /// An owner ends the jobs of a host that sends nothing for this long. It is
    /// shorter, as the owner may fall silent next and leave the runs to its
    /// successor, and a host that is merely late loses no more than its jobs.
    support::milliseconds caller_silence_timeout{500};
    /// An owner extends no lease beside the runs of a host that it has not
    /// heard for this long, two heartbeats. Such a lease lapses 919 ms later,
    /// before the copies of lost callers come after 1,300 ms.
    support::milliseconds extension_silence{325};
    /// After this silence every owner has ended the jobs of a host. Owners
    /// differ by their ticks and by what they know of the ages of messages.
    support::milliseconds all_jobs_ended_timeout{700};
    /// How long silence is not acted on after a stall of this process, so that
    /// the messages that have arrived meanwhile are read first.
    support::milliseconds stall_grace{50};
    /// How long a host whose link broke may take to reconnect. A reset
    /// connection is dialled again within a few milliseconds.
    support::milliseconds reconnect_window{150};
    /// How long a shard must be without owner before it is claimed, so that
    /// hosts that start together discover each other first.
    support::milliseconds claim_delay{100};
    /// How long a host must be connected before shards are offered to it; by
    /// then a rolling restart has moved on to the next host.
    support::milliseconds offer_delay{3000};
    /// Factor by which an offer must raise a shard's processor share, so that
    /// shards rarely move.
    double offer_gain = 2;
    /// A stopping host hands its shards over at once if they keep this fraction
    /// of their processor share, and otherwise after handover_delay; by then a
    /// stronger host may be back.
    double handover_share = 0.5;
    support::milliseconds handover_delay{2000};
    /// How long a domain counts as recently divided. Afterwards all hosts know
    /// of the division, and all earlier leases have expired.
    support::milliseconds division_window{5000};
    /// How long a lost host counts for the risk of its domain: others may be
    /// lost with it, which shows after the silence limit, and its shards are
    /// adopted meanwhile.
    support::milliseconds loss_memory{2000};
    /// No shard is claimed for this long after the start.
    support::milliseconds settling_time{1200};
    /// The same once the domain's hosts in the table are known: enough time to
    /// dial them twice. Shorter if all of them have sent a heartbeat.
    support::milliseconds known_settling_time{500};
    /// How long hosts tell that a claim is the first that they know of: its
    /// owner waits for the leases of earlier ones for 1.1 s at most.
    support::milliseconds first_claim_memory{2000};
    sighting_options sightings = {};
};

class host_view
{
public:
    host_view(host_view_options opts, support::instant now);

    void connected(const host_identity& peer, support::instant now);
    void disconnected(const std::string& peer, support::instant now);
    /// Records the peer's state, tokens and shard count. Returns whether it
    /// shows more than other loads: most heartbeats do not. \p sent is the
    /// earliest time at which it may have been sent, if that is known.
    bool handle_heartbeat(const std::string& peer,
                          const schema::shard_heartbeat& heartbeat,
                          std::optional<support::instant> sent,
                          support::instant now);
    /// The table lists a host of the own domain.
    void host_listed(const std::string& host, std::int64_t nonce);
    void host_unlisted(const std::string& host);
    /// The table lists a host of another domain.
    void domain_listed(const std::string& domain)
    {
        this->sightings.domain_listed(domain);
    }
    /// All hosts that the domain had before this process started were listed.
    void listing_complete();
    void set_stopping(support::instant now);
    /// Sets the shards that this process owns now.
    void set_owned(std::vector<schema::ownership> now_owned);
    /// Raises the domain's shard count to at least \p count. It never
    /// decreases, so that hosts with different views of the endpoints converge.
    void raise_shard_count(int count, support::instant now);
    /// Returns whether the domain was divided so recently that tasks of a job
    /// may run on endpoints that belong to other shards now.
    bool was_divided_recently(support::instant now) const
    {
        return this->divided_at &&
               now - *this->divided_at < this->options.division_window;
    }
    int shard_count() const
    {
        return this->shards;
    }
    /// Sets the table's version of this process's registration: unique to it.
    void set_registration(std::int64_t version);
    /// Restarts the silence timeouts after a pause of this process.
    void reset_silence_timers(support::instant now);
    /// Defers all decisions on silence, as this process has stalled.
    void stalled(support::instant now);
    /// Any message shows that \p peer was live when it was sent, \p sent or
    /// later.
    void message_received(const std::string& peer, support::instant sent,
                          support::instant now);

    /// Removes dead hosts. Must be called before any query.
    void tick(support::instant now);

    /// Returns for each shard the host with the highest token among the live
    /// hosts and, in the own domain, those that a live host hears. Valid until
    /// the next call that is not const.
    const shard_owners& owners() const;
    /// Returns those of the owners that can be reached.
    shard_owners reachable_owners() const;
    /// Returns the owners in the own domain that this host hears itself.
    std::vector<schema::heard_owner> heard_owners() const;
    /// Returns the shards of its own domain that this host should claim now.
    std::vector<int> shards_to_claim(support::instant now);
    /// Returns why \p shard counts as without owner, or nothing if it does not.
    std::optional<claim_basis> claim_basis_of(int shard) const;
    /// Returns the last known claim of \p shard, or of the shard that has
    /// become \p shard by divisions; nothing if this process knows of none.
    std::optional<shard_claim> last_claim_of(int shard) const;
    /// Returns the shards of the own domain without any known claim.
    std::vector<int> never_owned() const;
    /// Returns the tokens of the only claims that this process has ever known
    /// of shards of the own domain, if it has known of them for less than
    /// first_claim_memory.
    std::map<int, fencing_token> first_tokens(support::instant now) const;
    /// Returns whether no live process of the domain has known an owner of
    /// \p shard but the holder of \p token: the process of each host that the
    /// table lists is connected and says so.
    bool has_first_owner(int shard, fencing_token token) const;
    /// Returns a shard of this host that a much stronger host of the domain
    /// should claim, if any.
    std::optional<int> shard_to_offer(support::instant now) const;
    /// Returns whether this host is stopping and should hand its shards over.
    bool should_hand_over(support::instant now) const;
    /// Returns a token above all that were seen of \p shard, unique to this
    /// process, or none if there is no higher one.
    std::optional<fencing_token> next_token(int shard);
    /// Makes the next token of \p shard higher after an endpoint refused the
    /// current one although no known host has a higher one. If it had accepted
    /// the current one before, the other owner's is not much higher.
    void raise_epoch(int shard, bool had_accepted);
    /// Records that this host has given \p shard up.
    void shard_released(int shard, support::instant now);

    /// Returns the domains whose hosts do not follow the endpoints in the
    /// store: the own one if this holds for any other host, since it may own a
    /// shard, and others if it holds for all their hosts.
    std::set<std::string> domains_without_endpoints() const;
    /// Returns whether \p peer does not follow the endpoints in the store.
    bool lacks_endpoints(const std::string& peer) const;
    /// Returns the version up to which \p peer has read the endpoints, or
    /// nothing before its first heartbeat.
    std::optional<std::int64_t>
    endpoints_version_of(const std::string& peer) const;
    bool is_live(const std::string& host) const;
    /// Returns whether \p peer, of the own domain, is live and does not stop,
    /// so that it may take this host's shards over.
    bool may_succeed(const std::string& peer) const;
    /// Returns an owner of another shard than \p own that may have left runs of
    /// jobs whose copies arrive there, if any.
    std::optional<lost_owner> find_lost_owner(const shard_name& own,
                                              support::instant now) const
    {
        return this->sightings.find_lost(own, now);
    }
    /// Returns whether an owner keeps the jobs of \p host.
    bool keeps_jobs_of(const std::string& host) const;
    /// Returns how long ago \p host was heard; 0 for this host, and for one
    /// that is not known any more the time after which its jobs have ended.
    support::decision_clock::duration silence_of(const std::string& host) const;
    /// Returns the peers whose jobs some owner may keep.
    std::vector<std::string> peers_with_jobs() const;
    /// Returns whether a peer that had not announced its stop was found lost
    /// since \p time.
    bool has_lost_peer_since(support::instant time) const
    {
        return this->peer_lost_at && *this->peer_lost_at >= time;
    }
    /// Returns whether this host has just lost all its peers, not only because
    /// they have stopped as planned, or those of its domain by silence.
    bool is_isolated() const;
    /// Returns whether \p host has an open link on which nothing has arrived
    /// for so long that it counts as dead.
    bool has_silent_link(const std::string& host, support::instant now);
    /// Returns the peers that count as alive, including those whose link has
    /// just broken.
    std::vector<std::string> live_peers() const;
    /// Returns the peers with an open link, including silent ones.
    std::vector<std::string> connected_peers() const;
    /// Returns how many of the live peers are of the own domain.
    int live_domain_peers() const;
    /// Returns how many hosts of the own domain the table lists.
    std::size_t listed_hosts() const
    {
        return this->listed.size();
    }
    /// Returns how long ago this process started.
    support::decision_clock::duration age(support::instant now) const
    {
        return now - this->started;
    }
    std::string domain_of(const std::string& host) const;
    /// Returns how many jobs of \p route wait at live peers without having
    /// started.
    std::int64_t waiting_at_peers(const std::string& route) const;

private:
    struct peer_state
    {
        host_identity identity;
        bool is_connected = false;
        support::instant connected_at;
        support::instant last_received;
        /// When the newest message that has arrived was sent, or earlier by
        /// what the way back takes.
        support::instant last_sent;
        support::instant disconnected_at;
        /// It was not live any more when its link was closed.
        bool was_silent = false;
        bool has_heartbeat = false;
        /// As of the last tick.
        bool was_live = false;
        schema::shard_heartbeat last_heartbeat;
    };

    shard_owners find_owners() const;
    /// Returns the share of each domain's hosts that are silent, or were lost
    /// lately.
    std::map<std::string, double> lost_shares() const;
    /// Notes the claim that holds a shard of the own domain, divided into
    /// \p count.
    void note_claim(int shard, int count, fencing_token token,
                    support::instant now);
    /// Notes which peers are live now.
    void update_liveness();
    bool is_live(const peer_state& peer) const;
    /// Returns whether the peer's link was closed in its planned stop.
    static bool has_left(const peer_state& peer);
    bool is_silent(const peer_state& peer, support::milliseconds limit) const;
    /// Returns whether its newest message may have been sent \p limit ago.
    bool is_old(const peer_state& peer, support::milliseconds limit) const;
    bool has_passed(support::instant last, support::milliseconds limit) const;
    support::milliseconds silence_limit_of(const peer_state& peer) const;
    /// Returns why and since when \p shard, which \p current names no usable
    /// owner of, counts as without owner.
    claim_basis ownerless(int shard, const shard_owners& current,
                          support::instant now) const;
    /// Returns the largest processor share for one more shard among the other
    /// hosts of the domain that have been connected for \p span, or 0.
    double best_share_of_others(support::instant now,
                                support::milliseconds span) const;
    /// Returns the hosts that should claim the domain's shards without owner.
    std::map<int, std::string> candidates(const shard_owners& current) const;
    /// The epochs of one shard of the own domain. Each shard has its own, so
    /// that a search for a higher one in one shard leaves the others alone.
    struct epoch_state
    {
        std::int64_t highest = 0;
        std::int64_t step = 1;
        /// An endpoint has accepted a token of this process.
        bool was_accepted = false;
    };

    void record_token(int shard, fencing_token token);
    /// Returns whether an owner of a shard of the own domain was heard of.
    bool knows_any_owner() const;
    epoch_state& epochs_of(int shard);
    /// Returns whether this process has had time to learn of every owner.
    bool has_settled(support::instant now) const;

    host_view_options options;
    support::instant started;
    support::instant current_time;
    std::map<std::string, peer_state> peers;
    /// The result of owners() since the peers or their liveness last changed.
    mutable std::optional<shard_owners> known_owners;
    /// When a peer was last found lost that had not announced its stop.
    std::optional<support::instant> peer_lost_at;
    struct lost_peer
    {
        std::string domain;
        support::instant at;
    };
    /// Those that were lost within loss_memory, by name.
    std::map<std::string, lost_peer> lost_peers;
    /// The nonces of the domain's hosts in the table.
    std::map<std::string, std::int64_t> listed;
    bool listing_is_complete = false;
    std::vector<schema::ownership> owned;
    int shards = 1;
    std::optional<support::instant> divided_at;
    std::int64_t registration = 0;
    /// Epochs of shards that no token was seen of start here.
    std::int64_t first_epoch = 0;
    std::map<int, epoch_state> epochs;
    std::optional<support::instant> stopping_since;
    /// By shard of the own domain.
    std::map<int, claim_basis> without_owner;
    struct known_owner
    {
        std::string host;
        /// 0 if this host did not hear the owner itself.
        std::int64_t nonce = 0;
        support::instant heard_at;
    };
    /// The last known owner of each shard of the own domain.
    std::map<int, known_owner> last_owners;
    /// The tokens of the last known claims in the own domain, by the number of
    /// shards that it had then and the shard's number.
    std::map<std::pair<int, int>, fencing_token> last_claims;
    struct first_claim
    {
        fencing_token token = 0;
        support::instant known_since;
    };
    /// The only claims that this process has ever known of shards of the own
    /// domain, while that has not been divided since.
    std::map<int, first_claim> first_claims;
    support::instant silence_counts_from;
    owner_sightings sightings;
    /// When this host last gave each shard up.
    std::map<int, support::instant> released_at;
};

} // namespace chicorydrum::shard
