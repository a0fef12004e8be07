/// \file
/// Framed byte links between entry hosts over TCP.
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
    /// Frames that may wait for a slow peer before its link is closed.
    std::size_t max_unsent_bytes = 64U << 20U;
    /// A link opened; \p remote_address is the other side's IP number.
    std::function<void(link_id, const std::string& remote_address)> on_open;
    std::function<void(link_id, std::string frame)> on_frame;
    /// A link closed, or a dial failed.
    std::function<void(link_id)> on_close;
};

class peer_network
{
public:
    /// Listens at once; throws std::runtime_error if it cannot.
    explicit peer_network(peer_network_options options);
    ~peer_network();

    /// Starts to connect; on_open or on_close follows, never before return.
    link_id dial(const std::string& address, int port);

    /// Queues one frame; frames of one link arrive whole and in order.
    void send(link_id link, std::string_view frame);

    /// Closes the link; its on_close still follows.
    void close(link_id link);

    /// Bytes of frames that wait to be sent, on all links.
    std::size_t unsent_bytes() const;

    struct state;

private:
    std::unique_ptr<state> owned_state;
};

} // namespace chicorydrum::transport
