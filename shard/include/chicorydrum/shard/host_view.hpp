/// \file
/// Which entry hosts live, and which of them owns which shard of endpoints.
/// Every host computes the same owners from the same beats; two owners at one
/// time are told apart by their fencing tokens.
#pragma once

#include "chicorydrum/shard/messages.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
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

/// One shard of one domain.
struct shard_name
{
    std::string domain;
    int shard = 0;

    bool operator==(const shard_name&) const = default;
    bool operator<(const shard_name& other) const
    {
        return std::tie(this->domain, this->shard) <
               std::tie(other.domain, other.shard);
    }
};

/// Who owns a shard, and how loaded it is.
struct shard_owner_ref
{
    std::string host;
    fencing_token token = 0;
    std::int64_t wanted_millicores = 0;
    std::int64_t capacity_millicores = 0;
    bool is_offered = false;

    bool is_same(const shard_owner_ref& other) const
    {
        return this->host == other.host && this->token == other.token;
    }
};

using shard_owners = std::map<shard_name, shard_owner_ref>;

struct host_view_options
{
    host_identity self;
    /// A peer of the own domain that says nothing for so long is gone.
    support::milliseconds silence_timeout{600};
    /// The same for a peer of another domain, which sends fewer beats.
    support::milliseconds remote_silence_timeout{1000};
    /// How long a host whose link broke may take to come back. A reset
    /// connection is dialled again within a few milliseconds.
    support::milliseconds reconnect_window{150};
    /// How long a domain must be without owner before one is claimed, so that
    /// hosts that start together see each other first.
    support::milliseconds claim_delay{100};
    /// A host is offered shards once it has been seen for so long; a rolling
    /// restart has then gone on to the next one.
    support::milliseconds offer_delay{3000};
    /// How many times the processor share for a shard an offer must bring, so
    /// that shards move rarely.
    double offer_gain = 2;
    /// A host that stops hands its shards over at once if that leaves them so
    /// much of their processor share, and otherwise after handover_delay; by
    /// then a stronger host may have come back.
    double handover_share = 0.5;
    support::milliseconds handover_delay{2000};
    /// How long after a division the owners are careful: all hosts have heard
    /// of it, and all leases of before have lapsed.
    support::milliseconds division_window{5000};
    /// After the start nothing is claimed for so long.
    support::milliseconds settling_time{1200};
    /// The same once the table's hosts of the domain are known: time to dial
    /// them twice. Less if all of them were heard.
    support::milliseconds known_settling_time{500};
};

class host_view
{
public:
    host_view(host_view_options given, support::instant now);

    void connected(const host_identity& peer, support::instant now);
    void disconnected(const std::string& peer, support::instant now);
    /// Returns whether the peer said anything new about ownership.
    void beat(const std::string& peer, const schema::shard_heartbeat& beat,
              support::instant now);
    /// The table lists a host of the own domain.
    void host_listed(const std::string& host);
    /// All hosts that the domain had before this process started are listed.
    void listing_complete();
    void set_stopping(support::instant now);
    /// What this process owns now.
    void set_owned(std::vector<schema::ownership> now_owned);
    /// How many shards this host's view of the endpoints asks for. The count
    /// never falls, so that hosts with different views come to agree.
    void raise_shard_count(int count, support::instant now);
    /// Whether the domain was divided so recently that tasks of a job may run
    /// on endpoints that are in other shards now.
    bool was_divided_recently(support::instant now) const
    {
        return this->divided_at &&
               now - *this->divided_at < this->options.division_window;
    }
    int shard_count() const
    {
        return this->shards;
    }
    /// The table's version of this process's registration: unique to it.
    void set_registration(std::int64_t version);
    /// After a pause of this process its view is out of date.
    void reset_silence_timers(support::instant now);

    /// Forgets hosts that are gone. Call before asking anything.
    void tick(support::instant now);

    /// For each shard the live host with the highest token.
    shard_owners owners() const;
    /// The shards of its own domain that this host should claim now.
    std::vector<int> shards_to_claim(support::instant now);
    /// A shard of this host that a much stronger host of the domain should
    /// claim, if any.
    std::optional<int> shard_to_offer(support::instant now) const;
    /// Whether this host, which stops, should hand its shards over now.
    bool should_hand_over(support::instant now) const;
    /// A token above all that were seen, unique to this process.
    fencing_token next_token();
    /// An endpoint refused a token that nobody here has outbid.
    void raise_epoch();

    bool is_live(const std::string& host) const;
    /// Peers with an open link, also those that say nothing.
    std::vector<std::string> connected_peers() const;
    std::string domain_of(const std::string& host) const;
    std::int64_t config_version_of(const std::string& host) const;
    /// Jobs without a start by route, over all hosts that own something.
    std::int64_t waiting_at_peers(const std::string& route) const;

private:
    struct peer_state
    {
        host_identity identity;
        bool is_connected = false;
        support::instant connected_at;
        support::instant last_received;
        support::instant disconnected_at;
        bool has_heartbeat = false;
        schema::shard_heartbeat last_heartbeat;
    };

    bool is_live(const peer_state& peer) const;
    /// The most processor share for one more shard that another host of the
    /// domain has, of those that have been seen for \p span; 0 if there is
    /// none.
    double best_share_of_others(support::instant now,
                                support::milliseconds span) const;
    /// The hosts that should own the domain's shards that have no owner.
    std::map<int, std::string> candidates(const shard_owners& current) const;
    void record_token(fencing_token token);
    /// Whether a claim would meet no owner that this process has not heard.
    bool has_settled(support::instant now) const;

    host_view_options options;
    support::instant started;
    support::instant current_time;
    std::map<std::string, peer_state> peers;
    std::set<std::string> listed;
    bool listing_is_complete = false;
    std::vector<schema::ownership> owned;
    int shards = 1;
    std::optional<support::instant> divided_at;
    std::int64_t registration = 0;
    std::int64_t highest_epoch = 0;
    std::int64_t epoch_step = 1;
    std::optional<support::instant> stopping_since;
    /// By shard of the own domain.
    std::map<int, support::instant> without_owner_since;
};

} // namespace chicorydrum::shard
