/// \file
/// Links to the other entry hosts.
#pragma once

#include "chicorydrum/decision/messages.hpp"
#include "chicorydrum/transport/peer_network.hpp"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorydrum::daemon
{

/// The address of a peer. Links to other hosts are rejected.
struct known_peer
{
    std::string name;
    std::string domain;
    std::string address;
    int peer_port = 0;
};

/// The address of a peer's operator API, as given in its handshake.
struct peer_address
{
    std::string address;
    int http_port = 0;
};

struct peer_links_options
{
    transport::event_loop& loop;
    schema::incarnation self;
    std::string domain;
    std::string address;
    int peer_port = 0;
    int http_port = 0;
    support::milliseconds redial_interval{300};
    /// Peers from the settings; the platform's host list adds to them.
    std::vector<known_peer> configured_peers;
    std::function<void(decision::event)> on_event;
};

/// Dials known peers and accepts their links. Of each pair of hosts the one
/// with the smaller name dials. A link is usable once the other side's
/// handshake names a known peer and arrives from that peer's address.
class peer_links
{
public:
    explicit peer_links(peer_links_options opts);

    void send(const std::string& host, const schema::peer_message& message);
    void drop(const std::string& host);
    /// Adds or updates the entry hosts of the platform's list.
    void update_known_peers(const std::vector<decision::host_listing>& hosts);

    /// Returns the address of the operator API of \p host, or null if that host
    /// has never been connected.
    const peer_address* address_of(const std::string& host) const;

    std::int64_t bytes_sent() const
    {
        return this->sent_bytes;
    }
    std::int64_t bytes_received() const
    {
        return this->received_bytes;
    }
    std::int64_t frames_rejected() const
    {
        return this->rejected_frames;
    }

private:
    struct open_link
    {
        std::string remote_address;
        /// Empty until the handshake has been accepted.
        std::string host;
        /// The peer that this side dialled; empty for an incoming link.
        std::string dialled_host;
        bool is_open = false;
    };

    void dial_unconnected();
    void handle_open(transport::link_id id, const std::string& remote_address);
    void handle_frame(transport::link_id id, const std::string& frame);
    void handle_close(transport::link_id id);
    bool accept_handshake(transport::link_id id,
                          const schema::peer_handshake& handshake);
    void reject(transport::link_id id, const std::string& reason);

    peer_links_options options;
    transport::peer_network network;
    transport::timer redial_timer;
    std::map<std::string, known_peer> known_peers;
    std::unordered_map<transport::link_id, open_link> links;
    std::map<std::string, transport::link_id> link_of_host;
    std::map<std::string, peer_address> addresses;
    std::int64_t sent_bytes = 0;
    std::int64_t received_bytes = 0;
    std::int64_t rejected_frames = 0;
};

} // namespace chicorydrum::daemon
