/// \file
/// Which entry hosts are up, as far as this host can tell, and which of them
/// is its witness.
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
    schema::incarnation who;
    std::string domain;
    support::instant last_seen;
    std::int64_t bundle_version = 0;
    bool stopping = false;
    bool ready = false;
    /// Slots that the peer had free when it sent its last heartbeat.
    int idle_slots = 0;
};

/// Tracks links and heartbeats. A peer is up while its link is open and it
/// was heard within the silence timeout; nothing else counts.
class membership
{
public:
    explicit membership(membership_options given);

    void connected(const peer_connected& peer, support::instant now);
    void disconnected(const std::string& host);
    void mark_alive(const std::string& host, support::instant now);
    void heartbeat(const std::string& host, const schema::heartbeat& beat);

    /// Peers that were silent for too long; the caller drops their links.
    std::vector<std::string> silent_peers(support::instant now) const;

    /// The peer called \p host if it is up, else null.
    const peer_state* find(const std::string& host) const;
    /// Whether \p who is up in exactly that incarnation.
    bool is_up(const schema::incarnation& who) const;

    const std::map<std::string, peer_state>& peers() const
    {
        return this->up;
    }

    /// Names of all hosts of the own domain that share its endpoints: this
    /// host and its peers that are up and not stopping, sorted.
    std::vector<std::string> domain_hosts() const;

    /// Hosts of the whole system that are up, this one included.
    std::size_t live_hosts() const
    {
        return this->up.size() + 1;
    }

    /// A witness for this host: \p current if it is still fit, else another
    /// host of the own domain, else of another domain, else none.
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
    // Invariant: holds exactly the peers with an open link.
    std::map<std::string, peer_state> up;
};

} // namespace chicorydrum::decision
