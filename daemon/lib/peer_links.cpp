#include "chicorydrum/daemon/peer_links.hpp"

#include "chicorydrum/support/log.hpp"
#include "chicorydrum/transport/peer_codec.hpp"

namespace chicorydrum::daemon
{

namespace
{

constexpr int protocol_version = 1;
constexpr std::size_t length_prefix_bytes = 4;

} // namespace

peer_links::peer_links(peer_links_options opts)
    : options(std::move(opts)),
      network({.loop = this->options.loop,
               .address = this->options.address,
               .port = this->options.peer_port,
               .on_open = [this](transport::link_id id,
                                 const std::string& remote_address)
               { this->handle_open(id, remote_address); },
               .on_frame = [this](transport::link_id id, std::string frame)
               { this->handle_frame(id, frame); },
               .on_close =
                   [this](transport::link_id id)
               {
                   this->handle_close(id);
               }}),
      redial_timer(
          this->options.loop.make_timer([this] { this->dial_unconnected(); }))
{
    for (const known_peer& peer : this->options.configured_peers)
        this->known_peers[peer.name] = peer;
    this->redial_timer.start(support::milliseconds(1));
}

void peer_links::update_known_peers(
    const std::vector<decision::host_listing>& hosts)
{
    for (const decision::host_listing& host : hosts)
        if (host.name != this->options.self.host)
            this->known_peers[host.name] = {.name = host.name,
                                            .domain = host.domain,
                                            .address = host.address,
                                            .peer_port = host.peer_port};
}

void peer_links::dial_unconnected()
{
    this->redial_timer.start(this->options.redial_interval);
    for (const auto& [name, peer] : this->known_peers)
    {
        if (name <= this->options.self.host ||
            this->link_of_host.contains(name))
            continue;
        bool is_dialling = false;
        for (const auto& [id, link] : this->links)
            is_dialling = is_dialling || link.dialled_host == name;
        if (is_dialling)
            continue;
        const transport::link_id id =
            this->network.dial(peer.address, peer.peer_port);
        this->links[id].dialled_host = name;
    }
}

void peer_links::handle_open(transport::link_id id,
                             const std::string& remote_address)
{
    open_link& link = this->links[id];
    link.remote_address = remote_address;
    link.is_open = true;
    schema::peer_handshake handshake;
    handshake.sender = this->options.self;
    handshake.domain = this->options.domain;
    handshake.protocol_version = protocol_version;
    handshake.address = this->options.address;
    handshake.http_port = this->options.http_port;
    schema::peer_message message;
    message.__set_greeting(handshake);
    this->network.send(id, transport::encode_message(message));
}

void peer_links::reject(transport::link_id id, const std::string& reason)
{
    ++this->rejected_frames;
    support::write_log(
        support::log_line("link_rejected", support::log_level::warning)
            .add("address", this->links[id].remote_address)
            .add("host", this->links[id].host)
            .add("reason", reason));
    this->network.close(id);
}

void peer_links::handle_frame(transport::link_id id, const std::string& frame)
{
    this->received_bytes +=
        static_cast<std::int64_t>(frame.size() + length_prefix_bytes);
    auto message = transport::decode_message(frame);
    if (!message)
    {
        this->reject(id, message.error().detail);
        return;
    }
    const std::string host = this->links[id].host;
    if (host.empty())
    {
        if (!message->__isset.greeting)
            this->reject(id, "the first message is not a hello");
        else
            this->accept_handshake(id, message->greeting);
        return;
    }
    if (message->__isset.greeting)
    {
        this->reject(id, "a second hello");
        return;
    }
    this->options.on_event(decision::peer_message_received{
        .host = host, .message = std::move(*message)});
}

bool peer_links::accept_handshake(transport::link_id id,
                                  const schema::peer_handshake& handshake)
{
    const std::string& name = handshake.sender.host;
    const auto found = this->known_peers.find(name);
    open_link& link = this->links[id];
    std::string problem;
    if (found == this->known_peers.end())
        problem = "unknown host '" + name + "'";
    else if (found->second.address != link.remote_address)
        problem = "host '" + name + "' connected from another address";
    else if (found->second.domain != handshake.domain)
        problem = "host '" + name + "' claims another domain";
    else if (handshake.protocol_version != protocol_version)
        problem = "host '" + name + "' uses another protocol version";
    if (!problem.empty())
    {
        this->reject(id, problem);
        return false;
    }
    const auto former = this->link_of_host.find(name);
    if (former != this->link_of_host.end())
    {
        // The other side has dialled again, so the former link is dead.
        const transport::link_id old_id = former->second;
        this->links[old_id].host.clear();
        this->network.close(old_id);
    }
    link.host = name;
    this->link_of_host[name] = id;
    this->addresses[name] = {.address = handshake.address,
                             .http_port = handshake.http_port};
    this->options.on_event(decision::peer_connected{
        .incarnation = handshake.sender, .domain = handshake.domain});
    return true;
}

void peer_links::handle_close(transport::link_id id)
{
    const std::string host = this->links[id].host;
    this->links.erase(id);
    const auto found = this->link_of_host.find(host);
    if (found == this->link_of_host.end() || found->second != id)
        return;
    this->link_of_host.erase(found);
    this->options.on_event(decision::peer_disconnected{host});
}

void peer_links::send(const std::string& host,
                      const schema::peer_message& message)
{
    const auto found = this->link_of_host.find(host);
    if (found == this->link_of_host.end())
        return;
    const std::string frame = transport::encode_message(message);
    this->sent_bytes +=
        static_cast<std::int64_t>(frame.size() + length_prefix_bytes);
    this->network.send(found->second, frame);
}

void peer_links::drop(const std::string& host)
{
    const auto found = this->link_of_host.find(host);
    if (found == this->link_of_host.end())
        return;
    const transport::link_id id = found->second;
    this->links[id].host.clear();
    this->link_of_host.erase(found);
    this->network.close(id);
}

const peer_address* peer_links::address_of(const std::string& host) const
{
    const auto found = this->addresses.find(host);
    return found == this->addresses.end() ? nullptr : &found->second;
}

} // namespace chicorydrum::daemon
