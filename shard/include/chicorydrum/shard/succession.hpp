/// \file
/// What the hosts of a domain know of each other's endpoints, so that any of
/// them can succeed an owner: a host that lacks an endpoint cannot list the
/// runs there, and would start their tasks again.
///
/// An owner tells the other hosts of endpoints that they may not find in the
/// store, and vouches to those that know all of them. From then on it starts
/// tasks at a new endpoint only once these hosts have it too. A host that takes
/// over without a valid vouch lets the earlier leases lapse first.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/shard/messages.hpp"
#include "chicorydrum/support/log.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

struct succession_options
{
    /// How long a host may rely on a vouch after it was sent. Covers an owner
    /// that is lost and a first successor that is lost after it: silence 600,
    /// grace after a stall 50, claim delay 100 and ticks 50, each twice, and a
    /// heartbeat interval 150.
    support::milliseconds vouch_time{1750};
    /// How much longer the owner itself abides by it: clocks that differ by 2%,
    /// and two ticks.
    support::milliseconds vouch_margin{100};
    /// Endpoints that one message tells, about 2 KB, so that heartbeats do not
    /// queue for long in a link of 1 Mbit/s.
    std::size_t max_told = 16;
    /// Interval at which endpoints that the store does not list are told again.
    /// Hosts remember them for three times as long.
    support::milliseconds repeat_interval{10000};
};

struct succession_hooks
{
    std::function<void(const support::log_line&)> log;
};

class succession
{
public:
    succession(succession_options opts, succession_hooks callbacks);

    // The owner's side.

    /// This host has read the endpoints up to version \p version of the store.
    /// Called before update_shard() with what was read then.
    void set_read_to(std::int64_t version)
    {
        this->read_to = version;
    }
    /// Sets the endpoints of an owned shard. \p knows_predecessors if this
    /// owner knows all those where earlier owners may have runs.
    void update_shard(int shard, fencing_token token, bool knows_predecessors,
                      const std::vector<schema::held_endpoint>& held,
                      support::instant now);
    void release_shard(int shard);
    /// Returns whether tasks may start at an endpoint of an owned shard: all
    /// hosts that were vouched to know this incarnation.
    bool may_start_at(int shard, const schema::endpoint_registration& entry,
                      support::instant now);

    // Messages. Each new link starts with nothing told and nothing heard.

    void link_opened(const std::string& peer);
    void link_closed(const std::string& peer, support::instant now);
    /// Returns what to tell \p peer now. Vouches to it only if it
    /// \p may_succeed this host: it is live and does not stop.
    schema::succession_state state_for(const std::string& peer,
                                       bool may_succeed, support::instant now);
    /// Applies a message of \p peer, which has read the store up to
    /// \p endpoints_version. \p sent is when it was sent at the earliest, if
    /// that is known. Returns whether it must be answered at once, as the peer
    /// has told of endpoints.
    bool heard(const std::string& peer, const schema::succession_state& state,
               std::int64_t endpoints_version,
               std::optional<support::instant> sent, support::instant now);
    /// Returns whether an endpoint was added since the last call, so that the
    /// peers must be told soon.
    bool take_news();

    // The successor's side.

    /// Returns whether the owner that held \p shard under \p token has vouched
    /// that this host knows its endpoints, and still abides by that.
    bool is_vouched(int shard, fencing_token token, support::instant now) const;
    /// This host gives up a shard whose endpoints it knows.
    void vouch_for_own(int shard, fencing_token token, support::instant now);
    /// Forgets all vouches, as this process was paused.
    void forget_vouches()
    {
        this->vouches.clear();
    }

private:
    struct told_endpoint
    {
        schema::held_endpoint held;
        /// Unique among all endpoints that this process has had.
        std::int64_t number = 0;
        /// When it got its number.
        support::instant numbered_at = {};
        /// Tasks may have been started there.
        bool is_used = false;
        /// It was logged that no task may start there yet.
        bool was_withheld = false;
    };
    struct held_shard
    {
        fencing_token token = 0;
        bool knows_predecessors = false;
        std::map<std::string, told_endpoint> endpoints = {};
    };
    struct peer_state
    {
        bool is_linked = false;
        /// It understands what is told: hosts of earlier versions do not.
        bool takes_part = false;
        /// As of its last heartbeat.
        std::int64_t endpoints_version = 0;
        /// The last number that it was told on this link, and the last one that
        /// it has acknowledged.
        std::int64_t told = 0;
        std::int64_t acknowledged = 0;
        /// The last number that it has told this host on this link.
        std::int64_t received = 0;
        /// By shard: how long this owner abides by its last vouch. Outlives the
        /// link, as the peer may succeed this owner because that was lost.
        std::map<int, support::instant> vouched_until = {};
    };
    struct vouch
    {
        fencing_token token = 0;
        support::instant until;
    };

    /// Returns whether \p peer has read a row of \p endpoint. What it has read
    /// beyond this host's own reads tells nothing: the row may be gone there.
    bool has_read(const peer_state& peer, const told_endpoint& endpoint) const;
    bool knows(const peer_state& peer, const told_endpoint& endpoint) const;
    /// Returns whether \p peer knows all endpoints of \p shard that are used.
    bool knows_all(const peer_state& peer, const held_shard& shard) const;
    void tell(peer_state& peer, schema::succession_state& state) const;

    succession_options options;
    succession_hooks hooks;
    /// The version of the store that the endpoints of the shards are as of.
    std::int64_t read_to = 0;
    std::int64_t last_number = 0;
    bool has_news = false;
    /// The owned shards.
    std::map<int, held_shard> shards;
    std::map<std::string, peer_state> peers;
    /// By shard: the last vouch that this host was given.
    std::map<int, vouch> vouches;
};

} // namespace chicorydrum::shard
