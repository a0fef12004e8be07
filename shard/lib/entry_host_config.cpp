/// \file
/// Configurations: from the store, from peers, and on to peers.
#include "chicorydrum/shard/entry_host.hpp"

#include <algorithm>
#include <utility>

namespace chicorydrum::shard
{

using support::instant;

config_loader_hooks entry_host::loader_hooks()
{
    return {.open = this->hooks.open_config,
            .activated =
                [this]
            {
                const routing_config& active = *this->configs.active().config();
                this->spread.set_active(active.version, active.document);
            },
            .log = this->hooks.log};
}

config_spread_hooks entry_host::spread_hooks()
{
    return {.request =
                [this](const std::string& peer,
                       const schema::config_requested& request)
            {
                schema::shard_message message;
                message.__set_config_request(request);
                this->send(peer, std::move(message));
            },
            .send =
                [this](const std::string& peer, const schema::config_part& part)
            {
                schema::shard_message message;
                message.__set_config_bytes(part);
                this->send(peer, std::move(message));
            },
            .received = [this](std::string document, const std::string& peer)
            { this->load_config(std::move(document), peer); },
            .log = this->hooks.log};
}

std::int64_t entry_host::load_config(std::string document,
                                     const std::string& source)
{
    const std::int64_t version =
        this->configs.offer(std::move(document), source, this->current_time);
    this->spread.set_arrived(this->configs.arrived_version());
    return version;
}

bool entry_host::knows_newer_config() const
{
    return std::max(this->configs.arrived_version(),
                    this->spread.newest_heard()) >
           this->configs.active().version();
}

void entry_host::tick_configs(instant now)
{
    this->configs.tick(now);
    this->spread.set_arrived(this->configs.arrived_version());
    this->spread.set_store_fails(this->table.config_reads_fail());
    this->table.set_config_changed(
        std::max(this->configs.arrived_version(), this->spread.newest_heard()) >
        this->stored_config_version);
    this->spread.tick(now);
}

} // namespace chicorydrum::shard
