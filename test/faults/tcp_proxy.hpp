/// \file
/// A loopback proxy that injects faults into the connections it relays.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <algorithm>
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

/// The rate of one machine's link, each way, which all its connections share.
class link_rate
{
public:
    explicit link_rate(double bytes_per_ms) : rate(bytes_per_ms)
    {
    }

    /// Returns when \p bytes that enter the link at \p now have left it.
    support::instant pass_out(std::size_t bytes, support::instant now)
    {
        return this->pass(this->out_free_at, bytes, now);
    }
    support::instant pass_in(std::size_t bytes, support::instant now)
    {
        return this->pass(this->in_free_at, bytes, now);
    }

private:
    support::instant pass(support::instant& free_at, std::size_t bytes,
                          support::instant now) const
    {
        free_at =
            std::max(free_at, now) +
            support::duration_from_ms(static_cast<double>(bytes) / this->rate);
        return free_at;
    }

    double rate;
    support::instant out_free_at;
    support::instant in_free_at;
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
    /// What is relayed passes the links of both ends; null for one of any rate.
    void set_rates(link_rate* of_client, link_rate* of_server)
    {
        this->client_rate = of_client;
        this->server_rate = of_server;
    }
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
    bool receive(connection& one, bool is_from_client, bool drops,
                 support::instant now);
    /// Returns when \p bytes that are read now have passed both links.
    support::instant pass(std::size_t bytes, bool is_from_client,
                          support::instant now) const;
    bool has_pending() const;
    static bool deliver(int to, direction& from, support::instant now);
    static void close_both(connection& one, bool resets);

    int listener;
    int server_port;
    link_rate* client_rate = nullptr;
    link_rate* server_rate = nullptr;
    link_fault fault = link_fault::none;
    /// Ends without power.
    int dark_ends = 0;
    std::vector<std::unique_ptr<connection>> connections;
};

} // namespace chicorydrum::faults
