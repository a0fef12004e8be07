/// \file
/// Links between the entry hosts that share shards.
#pragma once

#include "chicorydrum/daemon/dial_timeout.hpp"
#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/shard/host_view.hpp"
#include "chicorydrum/transport/peer_network.hpp"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorydrum::daemon
{

struct shard_links_options
{
    transport::event_loop& loop;
    shard::host_identity self;
    std::string address;
    int peer_port = 0;
    /// Interval of checks for missing and silent links.
    support::milliseconds check_interval{100};
    /// A link without any frame for this long is closed and dialled again.
    /// Five heartbeat intervals between hosts of different domains.
    support::milliseconds silence_limit{1500};
    /// How long a host waits for one with a smaller name to dial before it
    /// dials itself. Long enough for several dials of the other side.
    support::milliseconds reverse_dial_delay{800};
    /// Pause before a host is dialled again at whose address another one has
    /// answered. A change of its record ends the pause.
    support::milliseconds misdirected_dial_delay{30000};
    /// Dials that may be in progress at the same time.
    std::size_t max_dials = 32;
    std::function<void(const shard::host_identity&)> on_connected;
    std::function<void(const std::string& host)> on_lost;
    std::function<void(const std::string& host, const schema::shard_message&)>
        on_message;
};

/// Of each pair of hosts the one with the smaller name dials. If it does not,
/// for example after a restart while the store is unavailable, the other one
/// dials. If both have dialled, the link dialled by the smaller name is kept. A
/// link is usable once the other side's handshake has arrived.
class shard_links
{
public:
    explicit shard_links(shard_links_options opts);

    void send(const std::string& host, const schema::shard_message& message);
    /// Closes the link to \p host, if any, and discards what it still carries.
    /// It is dialled again.
    /// Calls on_lost at once.
    void close(const std::string& host);
    /// Adds \p host or updates its address.
    void update_host(const std::string& host,
                     const schema::host_record& record);
    /// Dials \p host no more. An open link to it stays open.
    void remove_host(const std::string& host);

    std::int64_t dials() const
    {
        return this->dial_count;
    }
    std::int64_t bytes_sent() const
    {
        return this->sent_bytes;
    }
    std::int64_t config_bytes_sent() const
    {
        return this->sent_config_bytes;
    }
    std::int64_t bytes_received() const
    {
        return this->received_bytes;
    }

private:
    struct open_link
    {
        /// Empty until the handshake has arrived.
        std::string host;
        /// The host that this side dialled; empty for an incoming link.
        std::string dialled_host;
        /// The incarnation of the host, from its handshake.
        std::int64_t nonce = 0;
        support::instant last_received_at;
    };

    struct known_host
    {
        schema::host_record record;
        dial_timeout timeout;
        /// When the last link or dial ended, or the host became known.
        support::instant unlinked_since;
        support::instant next_dial = {};
        /// Dials since the last handshake.
        int unanswered_dials = 0;
    };

    void check();
    /// Closes silent links and dials that have timed out.
    void close_silent(support::instant now);
    void dial_unconnected();
    void handle_open(transport::link_id id);
    void handle_frame(transport::link_id id, const std::string& frame);
    void accept_handshake(transport::link_id id,
                          const schema::shard_handshake& handshake);
    void reject(transport::link_id id, const std::string& host,
                const std::string& reason);
    void handle_close(transport::link_id id);
    /// Returns the hosts to dial now, those with the fewest unanswered dials
    /// first.
    std::vector<std::string> hosts_to_dial(support::instant now) const;
    /// Returns whether \p former, an open link to the host that has sent
    /// \p handshake on the link \p id, is kept and the link \p id is closed.
    bool should_keep(const open_link& former, transport::link_id id,
                     const schema::shard_handshake& handshake) const;

    shard_links_options options;
    transport::peer_network network;
    transport::timer check_timer;
    std::map<std::string, known_host> known_hosts;
    std::unordered_map<transport::link_id, open_link> links;
    std::map<std::string, transport::link_id> link_of_host;
    /// The next check is due at once, as hosts have changed.
    bool checks_soon = false;
    std::int64_t dial_count = 0;
    std::int64_t sent_bytes = 0;
    std::int64_t sent_config_bytes = 0;
    std::int64_t received_bytes = 0;
};

} // namespace chicorydrum::daemon
