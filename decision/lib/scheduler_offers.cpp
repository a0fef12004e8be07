/// \file
/// Use of remote capacity: slot leases within the domain and offers of tasks
/// to other domains.
#include "chicorydrum/decision/scheduler.hpp"

#include <algorithm>

namespace chicorydrum::decision
{

void scheduler::set_peer_idle_slots(const std::string& host, int slots)
{
    // Other hosts see the same idle slots, so each uses only a fraction.
    constexpr int expected_offering_hosts = 2;
    this->offers_left[host] = slots / expected_offering_hosts;
}

void scheduler::add_peer_idle_slot(const std::string& host)
{
    ++this->offers_left[host];
}

void scheduler::clear_peer_idle_slots(const std::string& host)
{
    this->offers_left[host] = 0;
}

void scheduler::request_capacity(support::instant now)
{
    const auto waiting = static_cast<int>(
        std::min<std::size_t>(this->queue.waiting_tasks(), 1000));
    const bool request_open =
        this->leases.request_slots(waiting, this->held_endpoint, now);
    if (request_open)
        return;
    while (this->queue.waiting_tasks() > 0 && this->offer_to_peer(now))
    {
    }
}

bool scheduler::offer_to_peer(support::instant now)
{
    const double budget = this->bundle->rules().routing.spill_budget / 100.0;
    constexpr double min_offers = 4;
    if (this->recent_offers >
        min_offers + budget * (this->recent_starts + this->recent_offers))
        return false;
    const peer_state* best = nullptr;
    for (const auto& [host, peer] : this->members.peers())
    {
        if (peer.domain == this->members.domain() || peer.stopping ||
            this->offers_left[host] <= 0)
            continue;
        if (best == nullptr ||
            this->offers_left[host] > this->offers_left[best->incarnation.host])
            best = &peer;
    }
    if (best == nullptr)
        return false;
    // An offer uses no local slot, so slots reserved for other kinds do not
    // matter.
    const record_ptr record = this->options.next_record(
        this->queue, [this](const std::string&, const std::string& team)
        { return this->quota_allows(team); });
    if (record == nullptr || this->is_late(*record, now))
        return false;
    --this->offers_left[best->incarnation.host];
    const queued_task taken =
        this->queue.take(record, this->cost_of(record->work.kind));
    const attempt_id id = this->next_attempt++;
    const running_attempt attempt{.record = record,
                                  .task = taken.task,
                                  .endpoint = "",
                                  .peer = best->incarnation.host,
                                  .slots = 0,
                                  .started = now,
                                  .check_at = support::instant::max(),
                                  .check_interval = {}};
    this->attempts.emplace(id, attempt);
    ++this->running_by_team[record->work.team];
    ++this->recent_offers;
    if (this->out.logs())
        this->hooks.on_decision(
            record->work.id,
            support::log_line("offer")
                .add("task", static_cast<std::int64_t>(taken.task))
                .add("host", attempt.peer)
                .add("reason", "own_domain_full"));
    this->hooks.on_started(attempt);
    schema::offer offer;
    offer.call = static_cast<std::int64_t>(id);
    offer.work = record->work;
    offer.work.tasks = {record->work.tasks[taken.task]};
    offer.work.deadline_ms = support::whole_ms(record->deadline - now);
    schema::peer_message message;
    message.__set_offered(offer);
    this->out.push(send_to_peer{.host = attempt.peer, .message = message});
    return true;
}

} // namespace chicorydrum::decision
