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
    /// Nothing is read in one direction, or in both. What was sent arrives when
    /// the fault ends, as TCP repeats it.
    held,
    held_to_server,
    held_to_client,
    /// Open connections and new ones are reset.
    refused,
};

struct proxy_route
{
    std::string address = "127.0.0.1";
    int port = 0;
    /// At 127.0.0.1.
    int server_port = 0;
};

/// Relays one port to another. Has no thread: its owner polls it.
class tcp_proxy
{
public:
    explicit tcp_proxy(const proxy_route& route);
    ~tcp_proxy();
    tcp_proxy(const tcp_proxy&) = delete;
    tcp_proxy& operator=(const tcp_proxy&) = delete;

    void set_fault(link_fault new_fault);
    /// Resets all open connections.
    void reset_all();
    /// One end has no power: nothing is read, and no end learns of a close.
    /// What was read before still arrives, \p late later. Both ends may lose
    /// it.
    void lose_power(support::milliseconds late);
    /// The end is back, and resets what was open at its loss or opened since.
    void restore_power();
    void poll(support::instant now);
    /// Polls those of \p proxies that have something to do.
    static void poll_all(const std::vector<tcp_proxy*>& proxies,
                         support::instant now);

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
        /// One end has closed it; what it sent before is still delivered.
        bool has_ended = false;
        direction to_server;
        direction to_client;
    };

    void watch(int descriptor);
    void accept_all();
    bool relay(connection& one, support::instant now);
    bool receive(int from, direction& into, bool drops, support::instant now);
    bool has_pending() const;
    static bool deliver(int to, direction& from, support::instant now);
    static void close_both(connection& one, bool resets);

    int listener;
    int server_port;
    link_fault fault = link_fault::none;
    /// Ends without power.
    int dark_ends = 0;
    std::vector<std::unique_ptr<connection>> connections;
};

} // namespace chicorydrum::faults
