/// \file
/// Handling of messages from peers, and the messages sent to them
/// periodically.
#include "chicorydrum/decision/dispatcher.hpp"

#include "chicorydrum/decision/answers.hpp"

#include <algorithm>

namespace chicorydrum::decision
{

using support::error_kind;

namespace
{

/// A bundle is requested again if none has arrived within this time.
constexpr support::milliseconds bundle_request_interval{500};
constexpr support::milliseconds min_speed_report_interval{1000};
/// Limit on the rate of speed reports to all peers together.
constexpr std::size_t speed_report_bytes_per_second = 4000;
constexpr std::size_t speed_sample_bytes = 32;

} // namespace

void dispatcher::on_message(const std::string& from,
                            const schema::peer_message& received,
                            support::instant now)
{
    if (received.__isset.beat)
        this->on_heartbeat(from, received.beat, now);
    else if (!this->on_call_message(from, received, now) &&
             !this->on_witness_message(from, received, now) &&
             !this->on_slot_message(from, received, now))
        this->on_bundle_message(from, received);
}

bool dispatcher::on_call_message(const std::string& from,
                                 const schema::peer_message& received,
                                 support::instant now)
{
    const auto& set = received.__isset;
    const auto caller = [&](std::int64_t call, bool is_offer)
    {
        return peer_waiter{.incarnation = this->peers.find(from)->incarnation,
                           .call = call,
                           .is_offer = is_offer};
    };
    if (set.forwarded)
        this->on_forward(caller(received.forwarded.call, false),
                         received.forwarded, now);
    else if (set.queried)
        this->submissions.query(caller(received.queried.call, false),
                                received.queried.id, received.queried.cancel,
                                now);
    else if (set.answered)
        this->relay.answered(from, received.answered);
    else if (set.offered)
        this->submissions.handle_offer(caller(received.offered.call, true),
                                       received.offered.work, now);
    else if (set.offer_replied)
        this->submissions.offer_replied(from, received.offer_replied, now);
    else
        return false;
    return true;
}

void dispatcher::on_forward(const waiter& recipient,
                            const schema::forward& forward,
                            support::instant now)
{
    const auto id = support::parse_submission_id(forward.work.id);
    // Only the owner accepts a forward, so that it travels one hop.
    if (id && id->home && id->home->owner == this->peers.self())
        this->submissions.submit(recipient, forward.work, *id,
                                 this->homes.current().generation, now);
    else
        this->reply(recipient,
                    status_answer(forward.work.id, error_kind::undetermined,
                                  "forwarded to a host that does not "
                                  "own it"));
}

bool dispatcher::on_witness_message(const std::string& from,
                                    const schema::peer_message& received,
                                    support::instant now)
{
    const auto& set = received.__isset;
    if (set.claimed)
        this->on_claim(from, received.claimed, now);
    else if (set.claim_replied)
        this->submissions.claim_replied(received.claim_replied, now);
    else if (set.recorded)
        for (const schema::witness_record& record : received.recorded.records)
            this->witnessed.record(record, now);
    else if (set.witness_queried)
        this->on_witness_query(from, received.witness_queried);
    else if (set.handed_over)
        this->on_handover(from, received.handed_over, now);
    else if (set.handover_replied)
    {
        // Ignore a reply to an earlier incarnation of this host.
        if (received.handover_replied.owner == this->peers.self())
            this->handover_receivers.erase(from);
    }
    else
        return false;
    return true;
}

void dispatcher::on_claim(const std::string& from, const schema::claim& claim,
                          support::instant now)
{
    schema::claim_reply reply;
    reply.id = claim.record.id;
    reply.accepted = this->witnessed.claim(claim.record, now);
    schema::peer_message message;
    message.__set_claim_replied(reply);
    this->send(from, std::move(message));
}

void dispatcher::on_handover(const std::string& from,
                             const schema::handover& table,
                             support::instant now)
{
    this->witnessed.apply_handover(table, now);
    schema::handover_reply reply;
    reply.owner = table.owner;
    schema::peer_message message;
    message.__set_handover_replied(reply);
    this->send(from, std::move(message));
}

bool dispatcher::on_slot_message(const std::string& from,
                                 const schema::peer_message& received,
                                 support::instant now)
{
    const auto& set = received.__isset;
    scheduler& tasks = this->submissions.tasks();
    if (set.slots_requested)
        tasks.slot_leases().on_request(from, received.slots_requested,
                                       tasks.waiting_tasks() > 0, now);
    else if (set.slots_granted)
        tasks.slot_leases().on_grant(from, received.slots_granted, now);
    else if (set.slots_returned)
        tasks.slot_leases().on_return(from, received.slots_returned);
    else if (set.speeds_reported)
        tasks.endpoints().merge_speeds(received.speeds_reported);
    else
        return false;
    return true;
}

void dispatcher::on_bundle_message(const std::string& from,
                                   const schema::peer_message& received)
{
    if (received.__isset.bundle_pushed)
    {
        this->adopt_bundle(received.bundle_pushed.version,
                           received.bundle_pushed.text, from);
        return;
    }
    if (!received.__isset.bundle_requested ||
        this->current_bundle.version() <=
            received.bundle_requested.known_version)
        return;
    schema::bundle_push push;
    push.version = this->current_bundle.version();
    push.text = this->current_bundle.text();
    schema::peer_message message;
    message.__set_bundle_pushed(push);
    this->send(from, std::move(message));
}

void dispatcher::on_heartbeat(const std::string& from,
                              const schema::heartbeat& heartbeat,
                              support::instant now)
{
    const bool was_stopping = this->peers.find(from)->stopping;
    this->peers.heartbeat(from, heartbeat);
    this->submissions.tasks().set_peer_idle_slots(from, heartbeat.idle_slots);
    if (heartbeat.stopping != was_stopping)
        this->on_peers_changed(now);
    if (heartbeat.bundle_version <= this->current_bundle.version() ||
        now - this->bundle_requested_at < bundle_request_interval)
        return;
    this->bundle_requested_at = now;
    schema::bundle_request request;
    request.known_version = this->current_bundle.version();
    schema::peer_message message;
    message.__set_bundle_requested(request);
    this->send(from, std::move(message));
}

schema::answer dispatcher::answer_as_witness(const support::submission_id& id,
                                             const std::string& digest,
                                             const std::string& kind)
{
    const schema::kind_rule* const rule = this->current_bundle.kind(kind);
    const claim_guarantee claims = rule != nullptr && !rule->repeatable
                                       ? claim_guarantee::always_claimed
                                       : claim_guarantee::may_be_unclaimed;
    return this->witnessed.answer_for(id, digest, claims, this->current_time);
}

void dispatcher::on_witness_query(const std::string& from,
                                  const schema::witness_query& query)
{
    const schema::incarnation peer = this->peers.find(from)->incarnation;
    const waiter recipient =
        peer_waiter{.incarnation = peer, .call = query.call, .is_offer = false};
    const auto id = support::parse_submission_id(query.id);
    if (!id || !id->home || id->home->witness != this->peers.self())
    {
        this->reply(recipient, status_answer(query.id, error_kind::undetermined,
                                             "this host is not its witness"));
        return;
    }
    this->reply(recipient,
                this->answer_as_witness(*id, query.digest, query.kind));
}

void dispatcher::send_heartbeats(support::instant now)
{
    if (now < this->next_heartbeat)
        return;
    this->next_heartbeat = now + this->peers.heartbeat_interval();
    schema::heartbeat heartbeat;
    heartbeat.bundle_version = this->current_bundle.version();
    heartbeat.stopping = this->is_stopping();
    heartbeat.ready = this->is_ready();
    const scheduler& tasks = this->submissions.tasks();
    heartbeat.idle_slots =
        tasks.waiting_tasks() > 0 ? 0 : tasks.endpoints().idle_slots();
    schema::peer_message message;
    message.__set_beat(heartbeat);
    for (const auto& [host, peer] : this->peers.peers())
        this->send(host, message);
}

void dispatcher::send_speed_report(support::instant now)
{
    if (now < this->next_speed_report)
        return;
    const std::size_t receivers = this->peers.domain_hosts().size() - 1;
    const std::size_t endpoints =
        this->submissions.tasks().endpoints().endpoints().size();
    const support::milliseconds paced(
        static_cast<std::int64_t>(receivers * endpoints * speed_sample_bytes *
                                  1000 / speed_report_bytes_per_second));
    this->next_speed_report = now + std::max(min_speed_report_interval, paced);
    schema::peer_message message;
    message.__set_speeds_reported(
        this->submissions.tasks().endpoints().run_times().take_report());
    if (message.speeds_reported.endpoints.empty())
        return;
    for (const auto& [host, peer] : this->peers.peers())
        if (peer.domain == this->peers.domain())
            this->send(host, message);
}

} // namespace chicorydrum::decision
