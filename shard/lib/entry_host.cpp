/// \file
/// Events from callers, endpoints, peers and the store. Time and ownership are
/// in entry_host_ownership.cpp, configurations in entry_host_config.cpp.
#include "chicorydrum/shard/entry_host.hpp"

#include "owned_job.hpp"

#include <algorithm>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::log_line;
using support::milliseconds;

/// Rooms of other hosts' shards that are told with a refusal: enough to choose
/// among neighbours, in less than 200 bytes.
constexpr std::size_t rooms_with_refusal = 3;

intake_options intake_of(const entry_host_options& options)
{
    intake_options intake = options.intake;
    intake.domain = options.self.domain;
    intake.seed = static_cast<std::uint64_t>(options.self.nonce);
    return intake;
}

cancellation_options cancellations_of(const entry_host_options& options)
{
    cancellation_options cancellations = options.cancellations;
    cancellations.domain = options.self.domain;
    return cancellations;
}

cancellation_store_options
stored_cancellations_of(const entry_host_options& options)
{
    cancellation_store_options stored = options.stored_cancellations;
    stored.seed = static_cast<std::uint64_t>(options.self.nonce);
    return stored;
}

config_spread_options spread_of(const entry_host_options& options)
{
    config_spread_options spread = options.spread;
    spread.seed = static_cast<std::uint64_t>(options.self.nonce);
    return spread;
}

directory_options table_of(const entry_host_options& options)
{
    directory_options table = options.table;
    table.self = options.self.name;
    table.record = options.record;
    table.seed = static_cast<std::uint64_t>(options.self.nonce);
    return table;
}

host_view_options view_of(const entry_host_options& options)
{
    host_view_options view = options.view;
    view.self = options.self;
    return view;
}

} // namespace

entry_host::entry_host(entry_host_options opts, entry_host_hooks callbacks,
                       instant now)
    : options(std::move(opts)), hooks(std::move(callbacks)), current_time(now),
      last_tick(now), next_local_heartbeat(now), next_remote_heartbeat(now),
      configs(this->options.configs, this->loader_hooks()),
      spread(spread_of(this->options), this->spread_hooks()),
      held_jobs(this->options.held), config_active_since(now),
      view(view_of(this->options), now),
      successors(this->options.successors, {.log = this->hooks.log}),
      evacuation_state(this->options.evacuations, this->hooks.log),
      next_succession_update(now),
      intake(intake_of(this->options),
             {.answer = this->hooks.answer,
              .submit = [this](const std::string& owner,
                               const schema::job_submitted& job)
              { this->deliver_submission(owner, job, this->current_time); },
              .withdraw =
                  [this](const std::string& owner,
                         const schema::job_withdrawn& job)
              {
                  if (owner == this->options.self.name)
                  {
                      if (shard_owner* const shard =
                              this->find_shard(job.domain, job.shard))
                          shard->withdraw(owner, job, this->current_time);
                      return;
                  }
                  schema::shard_message message;
                  message.__set_withdrawn(job);
                  this->send(owner, message);
              },
              .log = this->hooks.log}),
      cancellations(cancellations_of(this->options),
                    {.answer = this->hooks.answer,
                     .tell = [this](const std::string& owner,
                                    const schema::job_cancelled& job)
                     { this->tell_cancellation(owner, job); },
                     .store =
                         [this](const std::string& id)
                     {
                         if (this->hooks.write_cancelled)
                             this->stored_cancellations.add(id,
                                                            this->current_time);
                     },
                     .is_kept = [this](const std::string& id)
                     { return this->stored_cancellations.is_kept(id); },
                     .log = this->hooks.log}),
      stored_cancellations(
          stored_cancellations_of(this->options),
          {.read = this->hooks.read_cancelled,
           .write = this->hooks.write_cancelled,
           .kept = [this](const std::string& id)
           { this->cancellations.kept(id); },
           .found = [this](const std::string& id)
           { this->cancellations.found(id, this->current_time); },
           .log = this->hooks.log}),
      table(table_of(this->options),
            {.read = this->hooks.read,
             .write = this->hooks.write,
             .config_read =
                 [this](std::string document)
             {
                 this->stored_config_version =
                     this->load_config(std::move(document), "store");
             },
             .evacuations_read = [this](const evacuation_rows& rows)
             { this->evacuation_state.rows_read(rows, this->current_time); },
             .host_read =
                 [this](const std::string& host,
                        const schema::host_record& record)
             {
                 if (record.domain == this->options.self.domain)
                     this->view.host_listed(host, record.nonce);
                 else
                     this->view.domain_listed(record.domain);
                 this->hooks.host_known(host, record);
             },
             .host_removed =
                 [this](const std::string& host)
             {
                 this->view.host_unlisted(host);
                 this->clocks.erase(host);
                 this->hooks.host_removed(host);
             },
             .registered = [this](std::int64_t version)
             { this->view.set_registration(version); },
             .hosts_complete =
                 [this](bool has_earlier_row)
             {
                 if (has_earlier_row)
                     this->view.listing_complete();
             },
             .log = this->hooks.log},
            now),
      speeds(std::make_shared<learned_speeds>(
          this->options.speeds, learned_speeds_hooks{.log = this->hooks.log})),
      next_speed_report(now)
{
}

// Callers.

milliseconds entry_host::waiting_time(const caller_submission& request,
                                      instant now) const
{
    const bool is_waking = this->woke_at != instant() &&
                           now - this->woke_at < this->options.wake_time;
    const milliseconds since_pause =
        is_waking ? support::duration_cast<milliseconds>(now - this->paused_at)
                  : milliseconds(0);
    return std::max(request.waited, since_pause);
}

void entry_host::submitted(caller_submission request, instant now)
{
    this->begin_event(now);
    const auto refuse =
        [this, &request, now](answer_kind kind, const std::string& reason)
    {
        this->hooks.log(
            log_line("request_refused")
                .add("path", request.path)
                .add("answer", name_of(kind))
                .add("reason", reason)
                .add("waited_ms", this->waiting_time(request, now).count())
                .add("config", this->configs.active().version()));
        this->hooks.answer({.call = request.call,
                            .kind = kind,
                            .retry_after = milliseconds(1000)});
    };
    if (this->configs.active().version() == 0)
    {
        refuse(answer_kind::no_config, "no_config");
        return;
    }
    const auto match = this->configs.active().match(request.host, request.path);
    if (!match)
    {
        if (this->knows_newer_config())
            refuse(answer_kind::not_run, "config_behind");
        else
            refuse(answer_kind::no_route, "no_route");
        return;
    }
    if (!request.work || !support::is_job_id(match->rest))
    {
        refuse(answer_kind::malformed,
               request.work ? "malformed id" : request.problem);
        return;
    }
    if (request.must_be_stored)
    {
        refuse(answer_kind::not_run, "stored_jobs_not_supported");
        return;
    }
    milliseconds timeout =
        request.timeout.value_or(milliseconds(match->route->timeout_ms));
    if (this->stopping)
        timeout = std::min(timeout, std::chrono::duration_cast<milliseconds>(
                                        this->last_answers - now));
    if (this->stopping && timeout <= milliseconds(0))
    {
        refuse(answer_kind::not_run, "host_stops");
        return;
    }
    const milliseconds waited = this->waiting_time(request, now);
    if (waited >= std::min(this->options.oldest_request, timeout))
    {
        refuse(answer_kind::not_run, "read_late");
        return;
    }
    schema::job work = std::move(*request.work);
    work.id = match->rest;
    work.route = match->route->name;
    this->intake.submit(request.call, std::move(work),
                        this->configs.active().terms_of(*match->route), timeout,
                        waited, now);
    this->deliver_local_results(now);
}

void entry_host::queried(const caller_query& query, instant now)
{
    this->begin_event(now);
    caller_answer answer{.call = query.call};
    const auto match = this->configs.active().match(query.host, query.path);
    if (this->configs.active().version() == 0)
        answer.kind = answer_kind::no_config;
    else if (!match && this->knows_newer_config())
        answer.retry_after = milliseconds(1000);
    else if (!match)
        answer.kind = answer_kind::no_route;
    else if (match->rest.empty())
    {
        answer.kind = answer_kind::waiting_count;
        answer.count = this->view.waiting_at_peers(match->route->name);
        for (const auto& [number, shard] : this->shards)
            answer.count += shard->waiting_by_route()[match->route->name];
    }
    else if (query.cancels && support::is_job_id(match->rest))
    {
        // Its caller is answered when the owners have recorded it.
        const bool was_open = this->intake.cancel(match->rest, now);
        this->cancellations.begin(query.call, match->rest, was_open, now);
        this->deliver_local_results(now);
        return;
    }
    else
        answer.kind = this->intake.is_open(match->rest)
                          ? answer_kind::running
                          : answer_kind::unknown_job;
    this->hooks.log(log_line("query_answered")
                        .add("path", query.path)
                        .add("cancels", query.cancels)
                        .add("answer", name_of(answer.kind))
                        .add("config", this->configs.active().version()));
    this->hooks.answer(answer);
}

void entry_host::tell_cancellation(const std::string& owner,
                                   const schema::job_cancelled& job)
{
    if (owner == this->options.self.name)
    {
        if (const auto record =
                this->record_cancellation(job, this->current_time))
            this->cancellations.recorded(*record);
        return;
    }
    schema::shard_message message;
    message.__set_cancelled(job);
    this->send(owner, message);
}

std::optional<schema::cancellation_recorded>
entry_host::record_cancellation(const schema::job_cancelled& job, instant now)
{
    shard_owner* const shard = this->find_shard(job.domain, job.shard);
    if (shard == nullptr)
        return std::nullopt;
    schema::cancellation_recorded record;
    record.id = job.id;
    record.domain = job.domain;
    record.shard = job.shard;
    record.token = shard->token();
    if (!shard->has_result(job.id))
        this->share_cancellation(job);
    record.was_open = shard->cancel(job.id, now);
    return record;
}

void entry_host::share_cancellation(const schema::job_cancelled& job)
{
    schema::shard_message message;
    message.__set_cancelled(job);
    std::size_t told = 0;
    for (const std::string& peer : this->view.connected_peers())
    {
        if (told == this->options.cancellation_keepers)
            return;
        if (this->view.domain_of(peer) != this->options.self.domain)
            continue;
        this->send(peer, message);
        ++told;
    }
}

void entry_host::caller_left(call_id call, instant now)
{
    this->begin_event(now);
    this->intake.caller_left(call, now);
}

// Endpoints.

void entry_host::start_answered(const order_answered& answer, instant now)
{
    this->begin_event(now);
    // Only the shard that issued the order has its number.
    for (const auto& [number, shard] : this->shards)
        shard->start_answered(answer, now);
    this->deliver_local_results(now);
    this->update_ownership_if_fenced(now);
}

void entry_host::stop_answered(const order_answered& answer, instant now)
{
    this->begin_event(now);
    // Only the shard that issued the order has its number.
    for (const auto& [number, shard] : this->shards)
        shard->stop_answered(answer, now);
    this->deliver_local_results(now);
    this->update_ownership_if_fenced(now);
}

void entry_host::runs_listed(const shard::runs_listed& list, instant now)
{
    this->begin_event(now);
    // Only the shard that issued the order has its number.
    for (const auto& [number, shard] : this->shards)
        shard->listed(list, now);
    this->deliver_local_results(now);
    this->update_ownership_if_fenced(now);
}

void entry_host::endpoint_disconnected(const std::string& address, int port,
                                       instant now)
{
    this->begin_event(now);
    for (const auto& [number, shard] : this->shards)
        shard->endpoint_disconnected(address, port, now);
    this->deliver_local_results(now);
}

void entry_host::update_ownership_if_fenced(instant now)
{
    if (!this->fenced.empty())
        this->update_ownership(now);
}

// Peers.

void entry_host::peer_connected(const host_identity& peer, instant now)
{
    this->begin_event(now);
    this->hooks.log(log_line("peer_connected")
                        .add("peer", peer.name)
                        .add("domain", peer.domain));
    this->links_have_changed = true;
    peer_clock& known = this->clocks[peer.name];
    if (known.nonce != peer.nonce)
        known = {.nonce = peer.nonce, .clock = {}};
    this->view.connected(peer, now);
    this->answered_tokens.erase(peer.name);
    this->answered_by.erase(peer.name);
    this->told_peers.erase(peer.name);
    this->successors.link_opened(peer.name);
    this->evacuation_state.link_opened(peer.name);
    this->send_open_jobs(peer.name);
    // Messages sent to the peer over an earlier link may be lost.
    this->intake.resubmit_to(peer.name, now);
    this->deliver_local_results(now);
}

void entry_host::peer_lost(const std::string& peer, instant now)
{
    this->begin_event(now);
    this->hooks.log(log_line("peer_lost").add("peer", peer));
    this->links_have_changed = true;
    this->view.disconnected(peer, now);
    this->successors.link_closed(peer, now);
    this->evacuation_state.link_closed(peer);
    this->spread.peer_lost(peer);
    this->held_jobs.remove_host(peer);
}

void entry_host::peer_message_received(const std::string& peer,
                                       const schema::shard_message& message,
                                       instant now)
{
    this->begin_event(now);
    if (this->view.has_silent_link(peer, now))
    {
        // The message and those behind it may have been held up since before
        // the silence. A new link starts with the present state of both sides.
        this->hooks.log(log_line("link_was_silent", support::log_level::warning)
                            .add("peer", peer));
        this->hooks.close_link(peer);
        return;
    }
    const std::optional<instant> sent = this->sent_at(peer, message, now);
    // The first messages of a process count as the opening of its link does.
    this->view.message_received(peer, sent.value_or(now), now);
    if (message.__isset.beat)
        this->handle_heartbeat(peer, message.beat, sent, now);
    else if (message.__isset.submitted)
        this->accept_submission(peer, message.submitted, sent, now);
    else if (message.__isset.withdrawn)
    {
        this->held_jobs.remove(peer, message.withdrawn.call);
        if (shard_owner* const shard = this->find_shard(
                message.withdrawn.domain, message.withdrawn.shard))
            shard->withdraw(peer, message.withdrawn, now);
    }
    else if (message.__isset.ended)
    {
        if (sent)
            this->intake.hear_rooms(message.ended.rooms, *sent);
        this->intake.ended(peer, message.ended, now);
    }
    else if (message.__isset.cancelled)
    {
        if (const auto record =
                this->record_cancellation(message.cancelled, now))
        {
            schema::shard_message reply;
            reply.__set_recorded(*record);
            this->send(peer, reply);
        }
        else
            this->cancellations.keep(message.cancelled.id, now);
    }
    else if (message.__isset.recorded)
        this->cancellations.recorded(message.recorded);
    else if (message.__isset.not_owned)
        this->hooks.log(log_line("owner_declined").add("peer", peer));
    else if (message.__isset.config)
    {
        // Hosts of earlier versions send it again and again.
        if (message.config.version > this->configs.arrived_version())
            this->load_config(message.config.document, peer);
    }
    else if (message.__isset.config_request)
        this->spread.requested(peer, message.config_request, now);
    else if (message.__isset.config_bytes)
        this->spread.part_received(peer, message.config_bytes, now);
    this->deliver_local_results(now);
}

std::optional<instant> entry_host::sent_at(const std::string& peer,
                                           const schema::shard_message& message,
                                           instant now)
{
    // A host of an earlier version.
    if (!message.__isset.times)
        return now;
    this->clocks[peer].clock.message_arrived(message.times, now);
    const auto age = longest_age(message.times, now);
    return age ? std::optional(now - *age) : std::nullopt;
}

void entry_host::accept_submission(const std::string& peer,
                                   const schema::job_submitted& job,
                                   std::optional<instant> sent, instant now)
{
    shard_owner* const shard = this->find_shard(job.domain, job.shard);
    if (shard == nullptr)
    {
        this->decline(peer, job);
        return;
    }
    if (!this->config_allows(peer, job, sent, now))
        return;
    // The host may be lost since it sent the job, which could run beside its
    // copy.
    if (sent && this->view.keeps_jobs_of(peer))
    {
        shard->submit(peer, job, now);
        return;
    }
    this->hooks.log(
        log_line("submission_late", support::log_level::warning)
            .add("job", job.work.id)
            .add("host", peer)
            .add("age_ms", sent ? support::whole_ms(now - *sent) : -1));
    this->report_end(peer, waiting_call(job, peer, now)
                               .result_of(job.work.id,
                                          schema::job_result::interrupted,
                                          "submission_late"));
}

void entry_host::send(const std::string& peer, schema::shard_message message)
{
    if (message.__isset.beat)
        if (auto news = this->evacuation_state.news_for(peer))
            message.beat.__set_evacuations(std::move(*news));
    message.__set_times(this->clocks[peer].clock.times_at(this->current_time));
    this->hooks.send(peer, message);
}

void entry_host::decline(const std::string& peer,
                         const schema::job_submitted& job)
{
    schema::job_not_owned refusal;
    refusal.call = job.call;
    refusal.domain = job.domain;
    refusal.shard = job.shard;
    schema::shard_message message;
    message.__set_not_owned(refusal);
    this->send(peer, message);
}

void entry_host::handle_heartbeat(const std::string& peer,
                                  const schema::shard_heartbeat& heartbeat,
                                  std::optional<instant> sent, instant now)
{
    const bool is_news =
        this->view.handle_heartbeat(peer, heartbeat, sent, now);
    if (heartbeat.sends_config_parts)
        this->spread.heard(
            peer, heartbeat.config_version,
            this->view.domain_of(peer) == this->options.self.domain, now);
    if (heartbeat.__isset.evacuations)
    {
        this->evacuation_state.heard(peer, heartbeat.evacuations, now);
        this->update_evacuations(now);
    }
    if (heartbeat.__isset.open_jobs)
        for (const auto& [number, shard] : this->shards)
            shard->withdraw_all(peer, heartbeat.open_jobs, now);
    if (sent)
        this->hear_rooms(peer, heartbeat, *sent, now);
    for (const schema::job_elsewhere& job : heartbeat.elsewhere)
        if (shard_owner* const shard = this->find_shard(job.domain, job.shard))
            shard->note_elsewhere(peer, job, now);
    if (heartbeat.__isset.speeds)
        this->speeds->merge(
            peer, heartbeat.speeds,
            this->view.domain_of(peer) == this->options.self.domain, now);
    for (const schema::leaving_endpoint& endpoint : heartbeat.leaving)
        this->table.note_leaving(endpoint, now);
    const bool has_told = heartbeat.__isset.succession &&
                          this->apply_succession(peer, heartbeat, sent, now);
    this->tell_lacking_peers(now);
    this->update_shard_endpoints(now);
    // The peer may wait for the answer before it uses an endpoint.
    if (has_told)
        this->send_heartbeat(peer, this->make_heartbeat(true));
    if (heartbeat.__isset.known_tokens)
        this->answered_by[peer] = heartbeat.known_tokens;
    // Loads are taken over by the next tick.
    if (is_news || this->links_have_changed || heartbeat.__isset.known_tokens ||
        heartbeat.__isset.open_jobs)
        this->update_ownership(now);
}

void entry_host::hear_rooms(const std::string& peer,
                            const schema::shard_heartbeat& heartbeat,
                            instant sent, instant now)
{
    for (const schema::ownership& claim : heartbeat.owned)
    {
        if (!claim.__isset.room)
            continue;
        auto rooms = read_room(claim.room);
        if (rooms)
        {
            this->intake.rooms().heard(
                {.domain = claim.domain, .shard = claim.shard}, claim.token,
                std::move(*rooms), sent, now);
            continue;
        }
        const bool is_first = this->malformed_rooms.insert(peer).second;
        if (is_first)
            this->hooks.log(
                log_line("room_malformed", support::log_level::warning)
                    .add("peer", peer)
                    .add("shard", claim.shard));
    }
}

void entry_host::note_own_rooms()
{
    for (const auto& [number, shard] : this->shards)
        this->intake.rooms().told(
            {.domain = this->options.self.domain, .shard = number},
            shard->token(), shard->rooms(), shard->rooms_as_of());
}

void entry_host::deliver_submission(const std::string& owner,
                                    const schema::job_submitted& job,
                                    instant now)
{
    if (owner == this->options.self.name)
    {
        if (shard_owner* const shard = this->find_shard(job.domain, job.shard))
            shard->submit(owner, job, now);
        return;
    }
    schema::shard_message message;
    message.__set_submitted(job);
    this->send(owner, message);
}

void entry_host::report_end(const std::string& host,
                            const schema::job_ended& end)
{
    if (host == this->options.self.name)
    {
        this->note_own_rooms();
        this->local_results.push_back(end);
        return;
    }
    schema::shard_message message;
    message.__set_ended(end);
    if (end.outcome == schema::job_result::not_run)
    {
        this->note_own_rooms();
        message.ended.__set_rooms(this->intake.rooms().to_tell(
            [this](const shard_name& name)
            {
                return name.domain == this->options.self.domain &&
                       this->shards.contains(name.shard);
            },
            rooms_with_refusal, this->current_time));
    }
    this->send(host, message);
}

void entry_host::deliver_local_results(instant now)
{
    while (!this->local_results.empty())
    {
        const schema::job_ended end = std::move(this->local_results.front());
        this->local_results.pop_front();
        this->intake.ended(this->options.self.name, end, now);
    }
}

// The store.

void entry_host::rows_read(const table_rows& rows, instant now)
{
    this->begin_event(now);
    this->table.rows_read(rows, now);
    this->update_evacuations(now);
    this->tell_lacking_peers(now);
    this->update_shard_endpoints(now);
    this->table.tick(now);
}

void entry_host::cancelled_rows_read(const cancelled_rows& rows, instant now)
{
    this->begin_event(now);
    this->stored_cancellations.rows_read(rows, now);
    this->cancellations.tick(now);
    this->deliver_local_results(now);
}

void entry_host::cancelled_written(bool is_written, instant now)
{
    this->begin_event(now);
    this->stored_cancellations.written(is_written, now);
    this->deliver_local_results(now);
}

bool entry_host::knows_cancelled_jobs(instant now) const
{
    return !this->hooks.read_cancelled ||
           this->stored_cancellations.has_read() ||
           this->view.age(now) >= this->options.cancelled_wait;
}

void entry_host::registration_answered(const registration_written& answer,
                                       instant now)
{
    this->begin_event(now);
    this->table.registration_answered(answer, now);
}

void entry_host::update_shard_endpoints(instant now)
{
    const std::int64_t version = this->table.endpoints_version();
    const std::int64_t doubts = this->table.doubts_version();
    if (version == this->shard_endpoints_version &&
        doubts == this->shard_doubts_version)
        return;
    this->shard_endpoints_version = version;
    this->shard_doubts_version = doubts;
    const std::vector<schema::endpoint_registration> listed =
        this->table.endpoints();
    const auto own =
        std::count_if(listed.begin(), listed.end(),
                      [this](const schema::endpoint_registration& entry)
                      { return entry.domain == this->options.self.domain; });
    // Powers of two, so that small changes of the endpoint count have no
    // effect.
    int wanted_shards = 1;
    while (wanted_shards < this->options.max_shards &&
           own > wanted_shards * this->options.endpoints_per_shard * 3 / 2)
        wanted_shards *= 2;
    this->view.raise_shard_count(wanted_shards, now);
    for (const auto& [number, shard] : this->shards)
    {
        shard->update_doubts(this->table.doubts());
        shard->update_endpoints(listed, now);
    }
    this->update_succession(now);
    this->deliver_local_results(now);
    this->check_evacuated_domains();
}

} // namespace chicorydrum::shard
