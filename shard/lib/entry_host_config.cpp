/// \file
/// Configurations: from the store, from peers, and on to peers.
#include "chicorydrum/shard/entry_host.hpp"

#include <utility>

namespace chicorydrum::shard
{

using support::instant;

config_loader_hooks entry_host::loader_hooks()
{
    return {.open = this->hooks.open_config,
            .activated =
                [this](instant /*now*/)
            {
                const std::int64_t version = this->configs.active().version();
                // Peers that cannot reach the store get it with their next
                // heartbeat.
                for (const std::string& peer : this->view.connected_peers())
                    if (this->view.config_version_of(peer) < version)
                        this->share_config(peer);
            },
            .log = this->hooks.log};
}

void entry_host::share_config(const std::string& peer)
{
    schema::config_shared shared;
    shared.version = this->configs.active().version();
    shared.document = *this->configs.active().active()->document;
    schema::shard_message message;
    message.__set_config(shared);
    this->send(peer, message);
}

void entry_host::load_config(std::string document, const std::string& source)
{
    this->configs.offer(std::move(document), source, this->current_time);
}

} // namespace chicorydrum::shard
