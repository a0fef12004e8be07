/// \file
/// A loopback proxy that injects faults into the connections it relays.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace chicorydrum::faults
{

enum class link_fault
{
    none,
    /// All bytes arrive late.
    delayed,
    /// Bytes to the server are dropped; bytes to the client are relayed.
    cut_one_way,
    /// Bytes in both directions are dropped; no connection is closed.
    silent,
};

/// Relays one port to another. Has no thread: its owner polls it.
class tcp_proxy
{
public:
    tcp_proxy(int listen_port, int server_port);
    ~tcp_proxy();
    tcp_proxy(const tcp_proxy&) = delete;
    tcp_proxy& operator=(const tcp_proxy&) = delete;

    void set_fault(link_fault new_fault);
    /// Resets all open connections.
    void reset_all();
    void poll(support::instant now);

private:
    struct delayed_bytes
    {
        support::instant due;
        std::string bytes;
    };
    struct direction
    {
        std::deque<delayed_bytes> pending;
    };
    struct connection
    {
        int client = -1;
        int server = -1;
        bool was_silenced = false;
        direction to_server;
        direction to_client;
    };

    void accept_all();
    bool relay(connection& one, support::instant now);
    bool receive(int from, direction& into, bool drops, support::instant now);
    static bool deliver(int to, direction& from, support::instant now);
    static void close_both(connection& one, bool resets);

    int listener;
    int server_port;
    link_fault fault = link_fault::none;
    std::vector<std::unique_ptr<connection>> connections;
};

} // namespace chicorydrum::faults
