/// \file
/// TCP links between entry hosts that carry length-prefixed frames.
#pragma once

#include "chicorydrum/transport/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chicorydrum::transport
{

using link_id = std::uint64_t;

struct peer_network_options
{
    event_loop& loop;
    std::string address;
    int port = 0;
    std::size_t max_frame_bytes = 64U << 20U;
    /// Limit of unsent data for one peer, beyond which its link is closed.
    std::size_t max_unsent_bytes = 64U << 20U;
    /// Called when a link opens; \p remote_address is the peer's IP address.
    std::function<void(link_id, const std::string& remote_address)> on_open;
    std::function<void(link_id, std::string frame)> on_frame;
    /// Called when a link has closed or could not be opened.
    std::function<void(link_id)> on_close;
};

class peer_network
{
public:
    /// Starts to listen; throws std::runtime_error on failure.
    explicit peer_network(peer_network_options options);
    ~peer_network();

    /// Starts to connect. on_open or on_close follows, never before dial()
    /// returns.
    link_id dial(const std::string& address, int port);

    /// Queues one frame; the frames of a link arrive complete and in order.
    void send(link_id link, std::string_view frame);

    /// Starts to close the link; on_close follows.
    void close(link_id link);

    /// Returns the number of queued bytes on all links.
    std::size_t unsent_bytes() const;

    struct state;

private:
    std::unique_ptr<state> owned_state;
};

} // namespace chicorydrum::transport
