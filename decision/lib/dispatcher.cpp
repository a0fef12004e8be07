#include "chicorydrum/decision/dispatcher.hpp"

#include "chicorydrum/decision/answers.hpp"
#include "chicorydrum/support/yaml_reader.hpp"

namespace chicorydrum::decision
{

namespace
{

using support::error_kind;
using support::log_line;

} // namespace

dispatcher::dispatcher(dispatcher_options opts, support::instant now)
    : options(std::move(opts)), out(this->options.keeps_logs),
      current_time(now), last_event(now), peers(this->options.members),
      homes(this->options.homes, now), witnessed(this->options.witnessing),
      traces(this->options.traces),
      submissions(this->options.owner,
                  {.reply = [this](const waiter& recipient,
                                   const schema::answer& result)
                   { this->reply(recipient, result); },
                   .log =
                       [this](const std::string& id, log_line line)
                   {
                       this->log(id, std::move(line));
                   }},
                  this->peers, this->current_bundle, this->out),
      relay({.reply =
                 [this](const waiter& recipient, const schema::answer& result)
             { this->reply(recipient, result); },
             .log = [this](const std::string& id, log_line line)
             { this->log(id, std::move(line)); },
             .query_own_witness =
                 [this](const support::submission_id& id,
                        const std::string& digest, const std::string& kind)
             {
                 return this->answer_as_witness(id, digest, kind);
             }},
            this->peers, this->out),
      keys(this->options.keys,
           {.on_resolved =
                [this](const waiter& recipient, call_purpose purpose,
                       schema::submission work, const std::string& full_id)
            {
                const auto id = support::parse_submission_id(full_id);
                if (!id || !id->home)
                {
                    this->reply(recipient,
                                status_answer(full_id, error_kind::internal,
                                              "the platform's table holds a "
                                              "malformed claim"));
                    return;
                }
                work.id = full_id;
                this->route(recipient, purpose, *id, std::move(work),
                            this->current_time);
            },
            .reply =
                [this](const waiter& recipient, const schema::answer& result)
            {
                this->reply(recipient, result);
            }},
           this->out),
      next_heartbeat(now), next_speed_report(now), stop_phase_since(now)
{
}

void dispatcher::handle(const event& incoming, support::instant now)
{
    this->current_time = now;
    this->detect_pause(now);
    std::visit([this, now](const auto& specific) { this->on(specific, now); },
               incoming);
    this->submissions.start_ready_tasks(now);
}

void dispatcher::detect_pause(support::instant now)
{
    const auto gap = now - this->last_event;
    this->last_event = now;
    if (gap <= this->options.pause_threshold)
        return;
    this->submissions.tasks().suspend();
    this->log("", log_line("paused", support::log_level::warning)
                      .add("ms", support::whole_ms(gap)));
}

bool dispatcher::is_ready() const
{
    return this->stop_state == stop_phase::none &&
           this->current_bundle.version() > 0;
}

void dispatcher::on(const caller_submitted& submitted, support::instant now)
{
    const waiter recipient = local_waiter{submitted.call};
    const std::string& text = submitted.work.id;
    if (text.empty())
    {
        const schema::kind_rule* const rule =
            this->current_bundle.kind(submitted.work.kind);
        if (rule != nullptr && !rule->repeatable)
        {
            this->reply(recipient,
                        not_run_answer("", error_kind::bad_request,
                                       "kind '" + rule->name +
                                           "' may not be repeated: give an "
                                           "id"));
            return;
        }
        this->submissions.submit_anonymous(recipient, submitted.work, now);
        return;
    }
    const auto id = support::parse_submission_id(text);
    if (!id)
    {
        this->reply(recipient, not_run_answer(text, error_kind::bad_request,
                                              id.error().detail));
        return;
    }
    if (id->home)
    {
        this->route(recipient, call_purpose::submit, *id, submitted.work, now);
        return;
    }
    if (this->stop_state > stop_phase::lame_duck)
    {
        this->reply(recipient, status_answer(text, error_kind::stopping,
                                             "the host is stopping"));
        return;
    }
    const support::submission_id candidate{.home = this->homes.current(),
                                           .key = id->key};
    this->keys.claim(recipient, submitted.work, id->key,
                     support::to_text(candidate), now);
}

void dispatcher::on(const caller_queried& queried, support::instant now)
{
    const waiter recipient = local_waiter{queried.call};
    const auto id = support::parse_submission_id(queried.id);
    if (!id)
    {
        this->reply(recipient,
                    status_answer(queried.id, error_kind::bad_request,
                                  id.error().detail));
        return;
    }
    const call_purpose purpose =
        queried.cancel ? call_purpose::cancel : call_purpose::query;
    if (!id->home)
    {
        this->keys.look_up(recipient, purpose, id->key);
        return;
    }
    schema::submission work;
    work.id = queried.id;
    this->route(recipient, purpose, *id, std::move(work), now);
}

void dispatcher::on(const caller_disconnected& left, support::instant now)
{
    this->submissions.caller_disconnected(left.call, now);
}

void dispatcher::route(const waiter& recipient, call_purpose purpose,
                       const support::submission_id& id,
                       schema::submission work, support::instant now)
{
    if (id.home->owner != this->peers.self())
    {
        // The owner may run or have run it, so `not_run` must not be set.
        if (this->stop_state > stop_phase::lame_duck)
        {
            this->reply(recipient, status_answer(work.id, error_kind::stopping,
                                                 "the host is stopping"));
            return;
        }
        this->relay.start(recipient, purpose, id, std::move(work), now);
        return;
    }
    if (purpose == call_purpose::submit)
        this->submissions.submit(recipient, std::move(work), id,
                                 this->homes.current().generation, now);
    else
        this->submissions.query(recipient, work.id,
                                purpose == call_purpose::cancel, now);
}

void dispatcher::reply(const waiter& recipient, const schema::answer& result)
{
    if (const auto* const local = std::get_if<local_waiter>(&recipient))
    {
        this->out.push(answer_caller{.call = local->call, .result = result});
        return;
    }
    const auto& peer = std::get<peer_waiter>(recipient);
    if (!this->peers.is_up(peer.incarnation))
        return;
    schema::peer_message message;
    if (peer.is_offer)
    {
        schema::offer_reply offered;
        offered.call = peer.call;
        offered.result = result;
        message.__set_offer_replied(offered);
    }
    else
    {
        schema::forward_answer forwarded;
        forwarded.call = peer.call;
        forwarded.result = result;
        message.__set_answered(forwarded);
    }
    this->send(peer.incarnation.host, std::move(message));
}

void dispatcher::on(const peer_connected& peer, support::instant now)
{
    // A new link replaces the old one and all state that depended on it.
    if (this->peers.find(peer.incarnation.host) != nullptr)
        this->on(peer_disconnected{peer.incarnation.host}, now);
    this->peers.connected(peer, now);
    this->log("", log_line("peer_up")
                      .add("host", support::to_text(peer.incarnation))
                      .add("domain", peer.domain));
    this->on_peers_changed(now);
    this->next_heartbeat = now;
}

void dispatcher::on(const peer_disconnected& peer, support::instant now)
{
    if (this->peers.find(peer.host) == nullptr)
        return;
    this->peers.disconnected(peer.host);
    this->log("", log_line("peer_down", support::log_level::warning)
                      .add("host", peer.host));
    this->on_peers_changed(now);
    this->submissions.on_peer_disconnected(peer.host, now);
    this->relay.on_peer_disconnected(peer.host, now);
    this->handover_receivers.erase(peer.host);
}

void dispatcher::on_peers_changed(support::instant now)
{
    const auto witness =
        this->peers.choose_witness(this->homes.current().witness);
    if (this->homes.update(witness, now))
        this->submissions.home_issued(witness);
    this->submissions.tasks().endpoints().set_sharing_hosts(
        this->peers.domain_hosts(), now);
}

void dispatcher::on(const peer_message_received& received, support::instant now)
{
    if (this->peers.find(received.host) == nullptr)
        return;
    this->peers.mark_alive(received.host, now);
    this->on_message(received.host, received.message, now);
}

void dispatcher::on(const attempt_finished& ended, support::instant now)
{
    this->submissions.attempt_ended(ended, now);
}

void dispatcher::on(const attempt_checked& check, support::instant now)
{
    this->submissions.on_attempt_checked(check, now);
}

void dispatcher::on(const host_list_read& list, support::instant /*now*/)
{
    scheduler& tasks = this->submissions.tasks();
    for (const std::string& endpoint : tasks.endpoints().update(list.endpoints))
        this->log("", log_line("endpoint_stopped").add("endpoint", endpoint));
    std::size_t live_hosts = 0;
    for (const host_listing& host : list.hosts)
        live_hosts += host.state == listing_state::live ? 1 : 0;
    if (live_hosts > 0)
        this->submissions.set_quota_hosts(live_hosts);
    this->resume_starts();
}

void dispatcher::resume_starts()
{
    scheduler& tasks = this->submissions.tasks();
    if (tasks.is_suspended())
        this->log("", log_line("resumed"));
    tasks.resume();
}

void dispatcher::on(const host_list_unchanged& /*unchanged*/,
                    support::instant /*now*/)
{
    this->resume_starts();
}

void dispatcher::on(const host_list_unavailable& /*missing*/,
                    support::instant /*now*/)
{
    // The last host list stays in use, also after a pause, since no newer one
    // is available.
    this->resume_starts();
}

void dispatcher::on(const store_answered& answer, support::instant /*now*/)
{
    this->keys.answered(answer);
}

void dispatcher::on(const bundle_read& bundle, support::instant /*now*/)
{
    this->adopt_bundle(bundle.version, bundle.text, "platform");
}

void dispatcher::adopt_bundle(std::int64_t version, const std::string& text,
                              const std::string& source)
{
    if (version <= this->current_bundle.version())
        return;
    auto rules = support::read_bundle(text, "bundle");
    if (!rules)
    {
        this->log("", log_line("bundle_rejected", support::log_level::error)
                          .add("version", version)
                          .add("detail", rules.error().detail));
        return;
    }
    this->current_bundle = bundle_view(version, text, std::move(*rules));
    this->submissions.bundle_adopted();
    this->log("", log_line("bundle_adopted")
                      .add("version", version)
                      .add("source", source));
    // An immediate heartbeat announces the version to the peers.
    this->next_heartbeat = this->current_time;
    this->send_heartbeats(this->current_time);
}

void dispatcher::on(const ticked& /*tick*/, support::instant now)
{
    for (const std::string& host : this->peers.silent_peers(now))
    {
        this->out.push(drop_peer{host});
        this->on(peer_disconnected{host}, now);
    }
    this->on_peers_changed(now);
    this->send_heartbeats(now);
    this->send_speed_report(now);
    this->submissions.tick(now);
    this->relay.tick(now);
    this->witnessed.purge(now);
    this->advance_stop(now);
}

void dispatcher::on(const stop_requested& /*stop*/, support::instant now)
{
    if (this->stop_state != stop_phase::none)
        return;
    this->stop_state = stop_phase::lame_duck;
    this->stop_phase_since = now;
    this->log("", log_line("stop_requested"));
    this->next_heartbeat = now;
    this->send_heartbeats(now);
}

void dispatcher::on(const stop_forced& /*stop*/, support::instant now)
{
    this->on(stop_requested{}, now);
    this->submissions.refuse_new();
    this->submissions.end_all(now);
    this->relay.end_all();
    this->stop_state = stop_phase::draining;
    this->advance_stop(now);
}

void dispatcher::advance_stop(support::instant now)
{
    const auto in_phase = now - this->stop_phase_since;
    switch (this->stop_state)
    {
    case stop_phase::none:
    case stop_phase::done:
        return;
    case stop_phase::lame_duck:
        if (in_phase < this->options.lame_duck)
            return;
        this->stop_state = stop_phase::draining;
        this->stop_phase_since = now;
        this->submissions.refuse_new();
        return;
    case stop_phase::draining:
        if (this->submissions.submissions().unfinished() > 0 ||
            this->relay.open_calls() > 0 || this->keys.pending() > 0)
            return;
        this->stop_state = stop_phase::handing_over;
        this->stop_phase_since = now;
        this->handover_receivers =
            this->submissions.hand_over(this->peers.self());
        this->log("",
                  log_line("handover")
                      .add("witnesses", static_cast<std::int64_t>(
                                            this->handover_receivers.size())));
        return;
    case stop_phase::handing_over:
        if (!this->handover_receivers.empty() &&
            in_phase < this->options.handover_timeout)
            return;
        this->stop_state = stop_phase::done;
        this->log("", log_line("stopped").add(
                          "handed_over", this->handover_receivers.empty()));
        this->out.push(stop_finished{});
        return;
    }
}

void dispatcher::log(const std::string& id, support::log_line line)
{
    if (!this->out.logs())
        return;
    if (!id.empty())
    {
        line.add("id", id);
        this->traces.add(id, this->current_time, line.text());
    }
    this->out.push(std::move(line));
}

void dispatcher::send(const std::string& host, schema::peer_message message)
{
    this->out.push(send_to_peer{.host = host, .message = std::move(message)});
}

} // namespace chicorydrum::decision
