#include "chicorydrum/daemon/shard_links.hpp"

#include "chicorydrum/support/log.hpp"
#include "chicorydrum/transport/peer_codec.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace chicorydrum::daemon
{

namespace
{

constexpr int protocol_version = 1;
/// A submission's body has at most 256 KB, a configuration may have some
/// thousand routes.
constexpr std::size_t max_frame_bytes = 4U << 20U;
constexpr std::size_t max_unsent_bytes = 8U << 20U;

} // namespace

shard_links::shard_links(shard_links_options opts)
    : options(std::move(opts)),
      network({.loop = this->options.loop,
               .address = this->options.address,
               .port = this->options.peer_port,
               .max_frame_bytes = max_frame_bytes,
               .max_unsent_bytes = max_unsent_bytes,
               .on_open = [this](transport::link_id id,
                                 const std::string& /*remote_address*/)
               { this->handle_open(id); },
               .on_frame = [this](transport::link_id id, std::string frame)
               { this->handle_frame(id, frame); },
               .on_close =
                   [this](transport::link_id id)
               {
                   this->handle_close(id);
               }}),
      check_timer(this->options.loop.make_timer([this] { this->check(); }))
{
    this->check_timer.start(this->options.check_interval);
}

void shard_links::update_host(const std::string& host,
                              const schema::host_record& record)
{
    const auto [found, is_new] = this->known_hosts.try_emplace(host);
    known_host& entry = found->second;
    if (is_new)
        entry.unlinked_since = transport::event_loop::now();
    if (entry.record.nonce != record.nonce)
        entry.timeout.reset();
    if (entry.record != record)
        entry.next_dial = {};
    entry.record = record;
    // Hosts are reported one by one, and each dial looks through all of them.
    if (std::exchange(this->checks_soon, true))
        return;
    this->check_timer.start(support::milliseconds(1));
}

void shard_links::remove_host(const std::string& host)
{
    this->known_hosts.erase(host);
}

void shard_links::check()
{
    this->checks_soon = false;
    this->check_timer.start(this->options.check_interval);
    this->close_silent(transport::event_loop::now());
    this->dial_unconnected();
}

void shard_links::close_silent(support::instant now)
{
    std::vector<transport::link_id> silent;
    for (const auto& [id, link] : this->links)
    {
        const auto dialled = this->known_hosts.find(link.dialled_host);
        const bool is_slow_dial = link.host.empty() &&
                                  dialled != this->known_hosts.end() &&
                                  dialled->second.timeout.has_expired(now);
        const bool is_silent =
            !link.host.empty() &&
            now - link.last_received_at > this->options.silence_limit;
        if (is_slow_dial)
            dialled->second.timeout.increase();
        if (is_slow_dial || is_silent)
            silent.push_back(id);
    }
    for (const transport::link_id id : silent)
    {
        support::write_log(
            support::log_line("link_silent", support::log_level::warning)
                .add("peer", this->links[id].host)
                .add("dialled", this->links[id].dialled_host));
        this->network.close(id);
    }
}

std::vector<std::string> shard_links::hosts_to_dial(support::instant now) const
{
    std::set<std::string> dialled;
    std::size_t open_dials = 0;
    for (const auto& [id, link] : this->links)
    {
        dialled.insert(link.dialled_host);
        if (!link.dialled_host.empty() && link.host.empty())
            ++open_dials;
    }
    if (open_dials >= this->options.max_dials)
        return {};
    std::vector<std::pair<int, const std::string*>> wanted;
    for (const auto& [name, host] : this->known_hosts)
    {
        const bool other_should_dial =
            name < this->options.self.name &&
            now < host.unlinked_since + this->options.reverse_dial_delay;
        const bool is_own_address =
            host.record.address == this->options.address &&
            host.record.peer_port == this->options.peer_port;
        if (name != this->options.self.name && !is_own_address &&
            !other_should_dial && now >= host.next_dial &&
            !this->link_of_host.contains(name) && !dialled.contains(name))
            wanted.emplace_back(host.unanswered_dials, &name);
    }
    const std::size_t allowed =
        std::min(wanted.size(), this->options.max_dials - open_dials);
    std::partial_sort(wanted.begin(),
                      wanted.begin() + static_cast<std::ptrdiff_t>(allowed),
                      wanted.end(),
                      [](const auto& left, const auto& right)
                      {
                          return std::tie(left.first, *left.second) <
                                 std::tie(right.first, *right.second);
                      });
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < allowed; ++i)
        chosen.push_back(*wanted[i].second);
    return chosen;
}

void shard_links::dial_unconnected()
{
    const support::instant now = transport::event_loop::now();
    for (const std::string& name : this->hosts_to_dial(now))
    {
        known_host& host = this->known_hosts.at(name);
        const transport::link_id id =
            this->network.dial(host.record.address, host.record.peer_port);
        this->links[id].dialled_host = name;
        ++this->dial_count;
        ++host.unanswered_dials;
        host.timeout.start(now);
    }
}

void shard_links::handle_open(transport::link_id id)
{
    this->links[id].last_received_at = transport::event_loop::now();
    schema::shard_handshake handshake;
    handshake.protocol_version = protocol_version;
    handshake.host = this->options.self.name;
    handshake.domain = this->options.self.domain;
    handshake.nonce = this->options.self.nonce;
    handshake.power = this->options.self.power;
    schema::shard_message message;
    message.__set_hello(handshake);
    this->network.send(id, transport::encode_message(message));
}

void shard_links::handle_frame(transport::link_id id, const std::string& frame)
{
    this->received_bytes += static_cast<std::int64_t>(frame.size());
    const auto message = transport::decode_shard_message(frame);
    open_link& link = this->links[id];
    link.last_received_at = transport::event_loop::now();
    const bool is_handshake = message && message->__isset.hello;
    if (!message || is_handshake != link.host.empty())
    {
        this->reject(id, link.host,
                     message ? "messages out of order"
                             : message.error().detail);
        return;
    }
    if (is_handshake)
    {
        this->accept_handshake(id, message->hello);
        return;
    }
    const std::string host = link.host;
    this->options.on_message(host, *message);
}

void shard_links::reject(transport::link_id id, const std::string& host,
                         const std::string& reason)
{
    support::write_log(
        support::log_line("link_rejected", support::log_level::warning)
            .add("peer", host)
            .add("dialled", this->links[id].dialled_host)
            .add("reason", reason));
    this->network.close(id);
}

void shard_links::accept_handshake(transport::link_id id,
                                   const schema::shard_handshake& handshake)
{
    if (handshake.protocol_version != protocol_version)
    {
        this->reject(id, handshake.host, "unsupported protocol version");
        return;
    }
    const std::string& dialled = this->links[id].dialled_host;
    const bool is_misdirected = !dialled.empty() && dialled != handshake.host;
    if (is_misdirected || handshake.host == this->options.self.name)
    {
        if (const auto known = this->known_hosts.find(dialled);
            known != this->known_hosts.end())
            known->second.next_dial = transport::event_loop::now() +
                                      this->options.misdirected_dial_delay;
        this->reject(id, handshake.host, "another host was dialled");
        return;
    }
    const auto former = this->link_of_host.find(handshake.host);
    if (former != this->link_of_host.end())
    {
        if (this->should_keep(this->links[former->second], id, handshake))
        {
            this->network.close(id);
            return;
        }
        const transport::link_id old_id = former->second;
        this->links[old_id].host.clear();
        this->network.close(old_id);
    }
    this->links[id].host = handshake.host;
    this->links[id].nonce = handshake.nonce;
    if (const auto known_peer = this->known_hosts.find(handshake.host);
        known_peer != this->known_hosts.end())
    {
        known_peer->second.timeout.reset();
        known_peer->second.unanswered_dials = 0;
    }
    this->link_of_host[handshake.host] = id;
    this->options.on_connected({.name = handshake.host,
                                .domain = handshake.domain,
                                .nonce = handshake.nonce,
                                .power = handshake.power});
}

bool shard_links::should_keep(const open_link& former, transport::link_id id,
                              const schema::shard_handshake& handshake) const
{
    const bool is_same_incarnation = former.nonce == handshake.nonce;
    const bool is_live =
        transport::event_loop::now() - former.last_received_at <
        this->options.silence_limit;
    const bool dialled_here = !this->links.at(id).dialled_host.empty();
    const bool smaller_has_dialled =
        dialled_here == (this->options.self.name < handshake.host);
    return is_same_incarnation && is_live && !smaller_has_dialled;
}

void shard_links::handle_close(transport::link_id id)
{
    const std::string host = this->links[id].host;
    const std::string& other =
        host.empty() ? this->links[id].dialled_host : host;
    if (const auto entry = this->known_hosts.find(other);
        entry != this->known_hosts.end())
        entry->second.unlinked_since = transport::event_loop::now();
    this->links.erase(id);
    const auto found = this->link_of_host.find(host);
    if (found == this->link_of_host.end() || found->second != id)
        return;
    this->link_of_host.erase(found);
    this->options.on_lost(host);
}

void shard_links::close(const std::string& host)
{
    const auto found = this->link_of_host.find(host);
    if (found == this->link_of_host.end())
        return;
    const transport::link_id id = found->second;
    this->link_of_host.erase(found);
    if (const auto entry = this->known_hosts.find(host);
        entry != this->known_hosts.end())
        entry->second.unlinked_since = transport::event_loop::now();
    // Frames that arrive before the connection ends are rejected.
    this->links[id].host.clear();
    this->network.close(id);
    this->options.on_lost(host);
}

void shard_links::send(const std::string& host,
                       const schema::shard_message& message)
{
    const auto found = this->link_of_host.find(host);
    if (found == this->link_of_host.end())
        return;
    const std::string frame = transport::encode_message(message);
    this->sent_bytes += static_cast<std::int64_t>(frame.size());
    if (message.__isset.config_bytes)
        this->sent_config_bytes += static_cast<std::int64_t>(frame.size());
    this->network.send(found->second, frame);
}

} // namespace chicorydrum::daemon
