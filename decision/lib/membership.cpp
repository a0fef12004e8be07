#include "chicorydrum/decision/membership.hpp"

#include <algorithm>

namespace chicorydrum::decision
{

membership::membership(membership_options opts) : options(std::move(opts))
{
}

void membership::connected(const peer_connected& peer, support::instant now)
{
    this->connected_peers[peer.incarnation.host] = {.incarnation =
                                                        peer.incarnation,
                                                    .domain = peer.domain,
                                                    .last_seen = now,
                                                    .bundle_version = 0,
                                                    .stopping = false,
                                                    .ready = false,
                                                    .idle_slots = 0};
}

void membership::disconnected(const std::string& host)
{
    this->connected_peers.erase(host);
}

void membership::mark_alive(const std::string& host, support::instant now)
{
    const auto found = this->connected_peers.find(host);
    if (found != this->connected_peers.end())
        found->second.last_seen = now;
}

void membership::heartbeat(const std::string& host,
                           const schema::heartbeat& heartbeat)
{
    const auto found = this->connected_peers.find(host);
    if (found == this->connected_peers.end())
        return;
    found->second.bundle_version = heartbeat.bundle_version;
    found->second.stopping = heartbeat.stopping;
    found->second.ready = heartbeat.ready;
    found->second.idle_slots = heartbeat.idle_slots;
}

std::vector<std::string> membership::silent_peers(support::instant now) const
{
    std::vector<std::string> silent;
    for (const auto& [host, peer] : this->connected_peers)
        if (now - peer.last_seen > this->options.silence_timeout)
            silent.push_back(host);
    return silent;
}

const peer_state* membership::find(const std::string& host) const
{
    const auto found = this->connected_peers.find(host);
    return found == this->connected_peers.end() ? nullptr : &found->second;
}

bool membership::is_up(const schema::incarnation& incarnation) const
{
    const peer_state* const peer = this->find(incarnation.host);
    return peer != nullptr && peer->incarnation == incarnation;
}

std::vector<std::string> membership::domain_hosts() const
{
    std::vector<std::string> hosts = {this->options.self.host};
    for (const auto& [host, peer] : this->connected_peers)
        if (peer.domain == this->options.domain && !peer.stopping)
            hosts.push_back(host);
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

std::optional<schema::incarnation> membership::choose_witness(
    const std::optional<schema::incarnation>& current) const
{
    const auto is_eligible = [](const peer_state& peer)
    {
        return !peer.stopping;
    };
    if (current && this->is_up(*current) &&
        is_eligible(this->connected_peers.at(current->host)))
        return current;
    // Prefer the next name after this host's own, so that hosts do not all
    // choose the same witness.
    const peer_state* best = nullptr;
    const auto rank = [this](const peer_state& peer)
    {
        return std::pair(peer.domain != this->options.domain,
                         peer.incarnation.host < this->options.self.host);
    };
    for (const auto& [host, peer] : this->connected_peers)
        if (is_eligible(peer) && (best == nullptr || rank(peer) < rank(*best)))
            best = &peer;
    return best == nullptr ? std::nullopt : std::optional(best->incarnation);
}

} // namespace chicorydrum::decision
