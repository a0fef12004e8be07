/// \file
/// Configurations: from the store, from peers, and on to peers.
#include "chicorydrum/shard/entry_host.hpp"

#include <algorithm>
#include <utility>

namespace chicorydrum::shard
{

using support::instant;
using support::log_line;

config_loader_hooks entry_host::loader_hooks()
{
    return {.open = this->hooks.open_config,
            .activated =
                [this]
            {
                const routing_config& active = *this->configs.active().config();
                this->spread.set_active(active.version, active.document);
                this->config_active_since = this->current_time;
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
    this->release_held(now);
}

bool entry_host::config_allows(const std::string& peer,
                               const schema::job_submitted& job,
                               std::optional<instant> sent, instant now)
{
    const std::int64_t active = this->configs.active().version();
    // A run that an earlier owner has started goes on.
    if (job.terms.config_version == active || job.may_run)
        return true;
    const job_route* const route = this->configs.active().find(job.work.route);
    if (job.terms.config_version < active)
    {
        const auto received = now - support::microseconds(job.age_us);
        const bool is_dropped =
            route == nullptr &&
            received >= this->config_active_since + this->options.config_slack;
        if (is_dropped)
            this->refuse_submission(peer, job, "route_dropped", now);
        return !is_dropped;
    }
    if (route != nullptr && route->pool == job.terms.pool)
        return true;
    this->spread.needed(peer, job.terms.config_version,
                        this->view.domain_of(peer) == this->options.self.domain,
                        now);
    const bool is_held = this->held_jobs.add(peer, job, sent, now);
    this->hooks.log(log_line("submission_held")
                        .add("job", job.work.id)
                        .add("host", peer)
                        .add("config", job.terms.config_version)
                        .add("active", active)
                        .add("held", is_held));
    if (!is_held)
        this->refuse_submission(peer, job, "config_behind", now);
    return false;
}

void entry_host::release_held(instant now)
{
    for (const held_submission& one :
         this->held_jobs.take_ready(this->configs.active().version(), now))
        this->accept_submission(one.host, one.job, one.sent, now);
    for (const held_submission& one : this->held_jobs.take_expired(now))
        this->refuse_submission(one.host, one.job, "config_behind", now);
}

void entry_host::refuse_submission(const std::string& peer,
                                   const schema::job_submitted& job,
                                   const std::string& reason, instant now)
{
    this->hooks.log(log_line("submission_refused")
                        .add("job", job.work.id)
                        .add("host", peer)
                        .add("reason", reason)
                        .add("config", job.terms.config_version)
                        .add("active", this->configs.active().version()));
    // An earlier copy may run.
    if (shard_owner* const shard = this->find_shard(job.domain, job.shard))
        shard->decline(peer, job, reason, now);
    else
        this->decline(peer, job);
}

} // namespace chicorydrum::shard
