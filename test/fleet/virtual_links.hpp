/// \file
/// Links between virtual hosts, with partitions that delay messages.
#pragma once

#include "event_queue.hpp"

#include "chicorydrum/schema/generated/messages_types.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chicorydrum::fleet
{

struct virtual_links_options
{
    event_queue& queue;
    /// One-way latency between two hosts.
    std::function<event_queue::duration(const std::string& from,
                                        const std::string& to)>
        latency;
    std::function<void(const std::string& to, const std::string& from,
                       const schema::peer_message&)>
        on_message;
    /// The link closed at \p at; its other side is \p other.
    std::function<void(const std::string& at, const std::string& other)>
        on_close;
};

/// Reliable ordered links, as TCP gives them: while two hosts are cut off
/// from each other, nothing arrives; what was sent arrives after the cut
/// unless a side has closed the link meanwhile.
class virtual_links
{
public:
    explicit virtual_links(virtual_links_options opts)
        : options(std::move(opts))
    {
    }

    /// Opens the link between two hosts; returns false if a side still has an
    /// older one open or the hosts are cut off.
    bool open(const std::string& a, const std::string& b);
    void send(const std::string& from, const std::string& to,
              const schema::peer_message& message);
    /// Closes the link at \p at; the other side is notified unless the hosts
    /// are cut off from each other.
    void close(const std::string& at, const std::string& other);
    /// Closes all links of a process that ended.
    void close_all(const std::string& host);

    void cut(const std::string& a, const std::string& b);
    void heal_all();
    bool is_cut(const std::string& a, const std::string& b) const;

private:
    struct message_on_hold
    {
        std::string from;
        std::string to;
        schema::peer_message message;
    };

    struct link
    {
        int epoch = 0;
        // Hosts that hold the link open.
        std::set<std::string> open_at;
        std::map<std::string, support::instant> last_arrival;
        std::vector<message_on_hold> on_hold;
    };

    using pair = std::pair<std::string, std::string>;

    static pair key(const std::string& a, const std::string& b)
    {
        return a < b ? pair(a, b) : pair(b, a);
    }
    void deliver(const std::string& from, const std::string& to, int epoch,
                 const schema::peer_message& message);
    void notify_close(const std::string& at, const std::string& other,
                      int epoch);

    virtual_links_options options;
    std::map<pair, link> links;
    std::set<pair> cuts;
};

} // namespace chicorydrum::fleet
