/// \file
/// Failure detection among entry hosts, and the choice of this host's witness.
#pragma once

#include "chicorydrum/decision/messages.hpp"
#include "chicorydrum/schema/generated/settings_types.h"
#include "chicorydrum/support/ids.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicorydrum::decision
{

struct membership_options
{
    schema::incarnation self;
    std::string domain;
    support::milliseconds heartbeat_interval{500};
    support::milliseconds silence_timeout{1500};
};

/// One peer with an open link.
struct peer_state
{
    schema::incarnation incarnation;
    std::string domain;
    support::instant last_seen;
    std::int64_t bundle_version = 0;
    bool stopping = false;
    bool ready = false;
    /// Idle slots of the peer according to its last heartbeat.
    int idle_slots = 0;
};

/// Tracks links and heartbeats. A peer is up exactly while its link is open
/// and its last message is not older than the silence timeout.
class membership
{
public:
    explicit membership(membership_options opts);

    void connected(const peer_connected& peer, support::instant now);
    void disconnected(const std::string& host);
    void mark_alive(const std::string& host, support::instant now);
    void heartbeat(const std::string& host, const schema::heartbeat& heartbeat);

    /// Returns the peers whose last message is older than the silence timeout;
    /// the caller drops their links.
    std::vector<std::string> silent_peers(support::instant now) const;

    /// Returns the peer named \p host if it is up, else null.
    const peer_state* find(const std::string& host) const;
    /// Returns whether exactly this incarnation of a host is up.
    bool is_up(const schema::incarnation& incarnation) const;

    const std::map<std::string, peer_state>& peers() const
    {
        return this->connected_peers;
    }

    /// Returns the sorted names of the hosts that share the endpoints of this
    /// host's domain: this host and its peers that are up and not stopping.
    std::vector<std::string> domain_hosts() const;

    /// Returns the number of hosts in all domains that are up, including this
    /// one.
    std::size_t live_hosts() const
    {
        return this->connected_peers.size() + 1;
    }

    /// Returns a witness for this host: \p current if it is still eligible,
    /// else another host of the same domain, else of another domain, else none.
    std::optional<schema::incarnation>
    choose_witness(const std::optional<schema::incarnation>& current) const;

    const schema::incarnation& self() const
    {
        return this->options.self;
    }
    const std::string& domain() const
    {
        return this->options.domain;
    }
    support::milliseconds heartbeat_interval() const
    {
        return this->options.heartbeat_interval;
    }

private:
    membership_options options;
    // Invariant: contains exactly the peers with an open link.
    std::map<std::string, peer_state> connected_peers;
};

} // namespace chicorydrum::decision
