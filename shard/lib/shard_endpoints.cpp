/// \file
/// The owner's endpoints: their entries, leases and lists. Starts, stops and
/// their answers are in shard_orders.cpp.
#include "chicorydrum/shard/shard_owner.hpp"

#include "endpoint_record.hpp"
#include "owned_job.hpp"
#include "round_trip.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::log_line;

/// Consecutive overdue lists after which an endpoint counts as unresponsive.
constexpr int max_overdue_lists = 2;
/// An order without answer is not executed any more after this time at an
/// endpoint that the platform does not list.
constexpr support::seconds max_order_delay{30};
/// Factor by which calls to such an endpoint are repeated less often.
constexpr int unlisted_retry_factor = 5;
/// Maximum number of removed endpoints whose tokens are remembered.
constexpr std::size_t max_removed_endpoints = 4096;

} // namespace

endpoint_record* shard_owner::find_endpoint(const std::string& id)
{
    const auto found = this->endpoints.find(id);
    return found == this->endpoints.end() ? nullptr : found->second.get();
}

void shard_owner::update_endpoints(
    const std::vector<schema::endpoint_registration>& listed, instant now)
{
    for (auto& [known_id, record] : this->endpoints)
    {
        const std::string& id = known_id;
        const bool is_listed = std::any_of(
            listed.begin(), listed.end(),
            [this, &id](const schema::endpoint_registration& entry)
            { return entry.id == id && entry.domain == this->options.domain; });
        if (record->is_listed && !is_listed)
        {
            this->hooks.log(log_line("endpoint_unlisted").add("endpoint", id));
            record->unlisted_since = now;
        }
        record->is_listed = is_listed;
    }
    for (const schema::endpoint_registration& entry : listed)
    {
        if (!this->is_of_shard(entry))
            continue;
        endpoint_record* const known = this->find_endpoint(entry.id);
        if (known == nullptr)
        {
            this->add_endpoint(entry, now);
            continue;
        }
        const schema::endpoint_registration& before = known->lease.entry();
        // Orders may have reached the new incarnation already, so that only its
        // list shows what runs there.
        if (before.born_ms != entry.born_ms)
        {
            this->hooks.log(log_line("endpoint_restarted")
                                .add("endpoint", entry.id)
                                .add("source", "entry")
                                .add("before_ms", before.born_ms)
                                .add("born_ms", entry.born_ms));
            // The pending list may come from the earlier incarnation.
            if (known->lease.last_listed_incarnation() != entry.born_ms)
            {
                known->lease.begin_incarnation();
                known->list_order = 0;
            }
            known->needs_list = true;
            known->next_list = now;
        }
        if (before.is_draining != entry.is_draining)
            this->hooks.log(log_line("endpoint_changed")
                                .add("endpoint", entry.id)
                                .add("draining", entry.is_draining));
        known->lease.update_entry(entry);
        this->speeds->add_endpoint(entry);
    }
    this->tick(now);
}

void shard_owner::update_doubts(std::map<std::string, entry_doubt> doubted)
{
    this->doubts = std::move(doubted);
    for (const auto& [id, record] : this->endpoints)
        this->update_doubt(*record);
}

void shard_owner::update_doubt(endpoint_record& record)
{
    const std::string& id = record.lease.entry().id;
    const auto found = this->doubts.find(id);
    const entry_doubt doubt =
        found == this->doubts.end() ? entry_doubt::none : found->second;
    if (std::exchange(record.doubt, doubt) == doubt)
        return;
    this->hooks.log(log_line("endpoint_doubted")
                        .add("endpoint", id)
                        .add("doubt", name_of(doubt)));
}

bool shard_owner::is_of_shard(const schema::endpoint_registration& entry) const
{
    return entry.domain == this->options.domain &&
           shard_of(entry.id, this->options.shards) == this->options.shard;
}

void shard_owner::list_leftovers(
    const std::vector<schema::endpoint_registration>& dropped, instant now)
{
    for (const schema::endpoint_registration& entry : dropped)
    {
        if (!this->is_of_shard(entry) || this->find_endpoint(entry.id))
            continue;
        endpoint_record& record = this->add_endpoint(entry, now);
        record.is_listed = false;
        record.unlisted_since = now;
    }
}

std::vector<schema::held_endpoint> shard_owner::held_endpoints() const
{
    std::vector<schema::held_endpoint> held;
    for (const auto& [id, record] : this->endpoints)
    {
        schema::held_endpoint& one = held.emplace_back();
        one.entry = record->lease.entry();
        one.is_listed = record->is_listed;
    }
    return held;
}

endpoint_record&
shard_owner::add_endpoint(const schema::endpoint_registration& entry,
                          instant now)
{
    const auto earlier = this->earlier_raises.find(entry.id);
    const fencing_token raises =
        earlier == this->earlier_raises.end() ? 0 : earlier->second;
    auto new_record = std::make_unique<endpoint_record>(
        endpoint_record{.lease = leased_endpoint(entry, this->options.lease,
                                                 this->options.token, raises)});
    if (earlier != this->earlier_raises.end())
    {
        // Orders to the earlier record may be executed yet.
        new_record->lease.raise_token();
        this->earlier_raises.erase(earlier);
    }
    new_record->next_list = now;
    new_record->is_evacuated = this->evacuated;
    endpoint_record& added = *new_record;
    this->endpoints[entry.id] = std::move(new_record);
    this->speeds->add_endpoint(entry);
    this->update_doubt(added);
    this->hooks.log(log_line("endpoint_added")
                        .add("endpoint", entry.id)
                        .add("address", entry.address)
                        .add("millicores", entry.capacity.millicores)
                        .add("draining", entry.is_draining));
    return added;
}

void shard_owner::drop_endpoint_runs(endpoint_record& record,
                                     end_evidence evidence, instant now)
{
    const bool was_known = record.lease.is_known();
    const std::vector<ended_run> ended = record.lease.drop_runs(evidence);
    if (was_known || !ended.empty())
        this->hooks.log(
            log_line("endpoint_runs_lost", support::log_level::warning)
                .add("endpoint", record.lease.entry().id)
                .add("reason", name_of(evidence))
                .add("runs", static_cast<std::int64_t>(ended.size()))
                .add("born_ms", record.lease.last_listed_incarnation())
                .add("token", record.lease.token()));
    if (evidence == end_evidence::other_incarnation)
        record.lease.begin_incarnation();
    record.list_order = 0;
    record.has_unacknowledged = false;
    // Another incarnation answers at the address until the platform lists the
    // change.
    record.next_list = now + this->retry_interval(record);
    for (const ended_run& run : ended)
        this->run_ended(record, run, now);
}

support::milliseconds
shard_owner::retry_interval(const endpoint_record& record) const
{
    const bool is_wanted = record.is_listed || !record.listed_at;
    return this->options.retry_interval *
           (is_wanted ? 1 : unlisted_retry_factor);
}

bool shard_owner::awaits_first_list(const endpoint_record& record,
                                    instant now) const
{
    // A connection may be reset once although the endpoint is healthy.
    constexpr int max_failed_lists = 2;
    return !record.listed_at && record.failed_lists < max_failed_lists &&
           now < this->predecessors_lapse();
}

void shard_owner::tick(instant now)
{
    for (const auto& [id, record] : this->endpoints)
    {
        const bool is_gone = !record->is_listed && !record->is_responding &&
                             now - record->unlisted_since >= max_order_delay;
        if (is_gone && !record->lease.runs().empty())
            this->drop_endpoint_runs(*record, end_evidence::unlisted, now);
        this->tick_endpoint(*record, now);
    }
    this->remove_unlisted_endpoints(now);
    this->end_expired_jobs(now);
    this->end_evacuated_jobs(now);
    this->place(now);
    this->shed_overload(now);
}

void shard_owner::remove_unlisted_endpoints(instant now)
{
    for (auto entry = this->endpoints.begin(); entry != this->endpoints.end();)
    {
        const endpoint_record& record = *entry->second;
        if (record.is_listed || !record.lease.runs().empty() ||
            this->awaits_first_list(record, now))
        {
            ++entry;
            continue;
        }
        if (this->earlier_raises.size() >= max_removed_endpoints)
            this->earlier_raises.clear();
        this->earlier_raises[entry->first] = record.lease.raise_count();
        this->speeds->remove_endpoint(entry->first);
        entry = this->endpoints.erase(entry);
    }
}

void shard_owner::tick_endpoint(endpoint_record& record, instant now)
{
    // Without an extension of this owner, only an earlier one's lease is left;
    // its last chance to extend it was before this owner's first list.
    const instant bound = record.lease.lease_bound().value_or(
        record.listed_as_of + lapse_bound(this->options.lease));
    if (now >= bound && record.lease.has_confirmed_runs() &&
        !record.is_responding)
        this->drop_endpoint_runs(record, end_evidence::lease_lapsed, now);
    for (const ended_run& run : record.lease.drop_stopped_runs(now))
        this->run_ended(record, run, now);
    if (record.lease.is_token_exhausted())
        this->report_fenced(record);
    this->stop_orphans(record, now);
    this->stop_stalled(record, now);
    for (const task_key& task : record.lease.stops_due(now))
        this->send_stop(record, task, now);
    this->detect_overdue_answers(record, now);
    const bool needs_list = record.needs_list || record.has_unacknowledged ||
                            !record.lease.is_known() ||
                            !record.lease.runs().empty();
    // An urgent list does not wait for the answer to a long poll.
    const bool may_ask = record.list_order == 0 ||
                         (record.needs_list && record.list_is_long_poll);
    if (needs_list && may_ask && now >= record.next_list)
        this->request_list(record, now);
}

void shard_owner::detect_overdue_answers(endpoint_record& record, instant now)
{
    const bool has_overdue_start =
        std::any_of(record.lease.runs().begin(), record.lease.runs().end(),
                    [this, &record, now](const auto& entry)
                    {
                        const endpoint_run& run = entry.second;
                        const instant due =
                            run.started_at + this->answers->timeout();
                        return run.state == run_state::ordered && now >= due &&
                               record.list_requested_at < due;
                    });
    if (has_overdue_start)
        record.needs_list = true;
    if (record.list_order == 0 || now < record.list_due)
        return;
    ++record.overdue_lists;
    record.last_unanswered = now;
    record.list_order = 0;
    record.needs_list = true;
    if (record.overdue_lists < max_overdue_lists)
        return;
    if (record.is_responding)
        this->hooks.log(log_line("endpoint_lost", support::log_level::warning)
                            .add("endpoint", record.lease.entry().id)
                            .add("status", "overdue"));
    record.is_responding = false;
    record.next_list = now + this->retry_interval(record);
}

void shard_owner::fence_off_starts(endpoint_record& record)
{
    const fencing_token token = record.lease.token();
    for (const auto& [task, run] : record.lease.runs())
    {
        const bool is_overdue =
            run.state == run_state::ordered &&
            run.started_at + this->answers->timeout() <= record.listed_as_of;
        const bool is_unconfirmed =
            run.state == run_state::unconfirmed &&
            record.last_unanswered <= record.listed_as_of;
        if (!is_overdue && !is_unconfirmed)
            continue;
        this->hooks.log(
            log_line("start_overdue", support::log_level::warning)
                .add("task", to_text(task))
                .add("run", run.run)
                .add("endpoint", record.lease.entry().id)
                .add("born_ms", record.lease.last_listed_incarnation())
                .add("token", token));
        if (run.token == record.lease.token())
            record.lease.raise_token();
        record.needs_list = true;
    }
}

void shard_owner::request_list(endpoint_record& record, instant now)
{
    const bool has_runs = !record.lease.runs().empty();
    list_request request;
    request.order = this->hooks.next_order();
    request.to = record.lease.address();
    request.token = record.lease.token();
    // Only ends of the list just received are acknowledged: a later request
    // might reach another incarnation, whose ends have the same numbers.
    if (record.has_unacknowledged)
        request.acknowledged_end = record.lease.last_end_number();
    record.has_unacknowledged = false;
    const bool is_urgent = std::exchange(record.needs_list, false);
    record.list_is_long_poll = false;
    // The lease of an unresponsive endpoint is not extended, so its runs lapse.
    if (record.is_responding && record.lease.is_known() && has_runs)
    {
        const support::milliseconds due = this->time_to_extension(record, now);
        const auto withheld = this->reason_to_withhold(record);
        if (withheld && due.count() == 0)
            this->log_withheld_lease(record, *withheld, now);
        // An extension is answered at once: one without answer may be executed
        // late, and delays the lapse on paper.
        const support::milliseconds left =
            withheld ? this->options.extension_interval : due;
        if (left.count() == 0 && record.overdue_lists == 0)
            request.lease_end_ms =
                record.lease.extend_lease(request.order, now);
        else if (!is_urgent && left.count() > 0)
        {
            request.wait = left;
            record.list_is_long_poll = true;
        }
    }
    record.list_order = request.order;
    record.list_requested_at = now;
    record.list_due = now + request.wait + this->answers->timeout();
    this->orders[request.order] = {.to = request.to,
                                   .task = {},
                                   .token = request.token,
                                   .sent_at = now,
                                   .is_long_poll = record.list_is_long_poll,
                                   .is_raising = request.lease_end_ms ||
                                                 request.acknowledged_end > 0};
    this->hooks.list(request);
}

std::optional<withheld_lease>
shard_owner::reason_to_withhold(const endpoint_record& record) const
{
    const auto& runs = record.lease.runs();
    const bool has_unclaimed = std::any_of(
        runs.begin(), runs.end(),
        [](const auto& entry) { return !entry.second.need.has_value(); });
    if (has_unclaimed)
        return withheld_lease::run_unclaimed;
    if (record.lease.awaits_stop())
        return withheld_lease::stop_unconfirmed;
    if (this->silent_hosts.empty())
        return std::nullopt;
    const auto is_of_silent_host = [this](const auto& entry)
    {
        const auto job = this->jobs.find(entry.first.job);
        return job != this->jobs.end() &&
               this->silent_hosts.contains(job->second->caller.host);
    };
    if (std::any_of(runs.begin(), runs.end(), is_of_silent_host))
        return withheld_lease::host_silent;
    return std::nullopt;
}

void shard_owner::log_withheld_lease(const endpoint_record& record,
                                     withheld_lease reason, instant now)
{
    const auto runs = static_cast<std::int64_t>(record.lease.runs().size());
    const auto line = this->withheld_lines.add(runs, now);
    if (!line)
        return;
    this->hooks.log(
        log_line("lease_withheld", support::log_level::warning)
            .add("endpoint", record.lease.entry().id)
            .add("reason", name_of(reason))
            .add("runs", runs)
            .add("left_ms", record.lease.remaining_lease(now).count())
            .add("count", line->count));
}

std::string_view name_of(withheld_lease reason)
{
    static constexpr std::array<std::string_view, 3> names = {
        "run_unclaimed", "stop_unconfirmed", "host_silent"};
    return names[static_cast<std::size_t>(reason)];
}

support::milliseconds
shard_owner::time_to_extension(const endpoint_record& record, instant now) const
{
    const auto last = record.lease.last_extension();
    if (!last)
        return support::milliseconds(0);
    return std::max(support::milliseconds(0),
                    support::duration_cast<support::milliseconds>(
                        *last + this->options.extension_interval - now));
}

void shard_owner::read_old_clocks(instant now)
{
    for (const auto& [id, record] : this->endpoints)
        if (record->needs_list && record->lease.clock_is_old(now))
            this->tick_endpoint(*record, now);
}

void shard_owner::request_all_lists(instant now)
{
    for (const auto& [id, record] : this->endpoints)
    {
        record->needs_list = true;
        this->tick_endpoint(*record, now);
    }
}

void shard_owner::listed(const runs_listed& list, instant now)
{
    const auto settled =
        this->settle_order(list.order, list.status, list.clock_ms, now);
    if (!settled)
        return;
    endpoint_record* const record = this->find_endpoint(settled->to.id);
    if (record->list_order != list.order)
        return;
    record->list_order = 0;
    const std::string& id = record->lease.entry().id;
    const bool was_overtaken = list.status == order_status::stale_token &&
                               !is_superseded(*record, *settled, list.status);
    if (was_overtaken)
    {
        record->needs_list = true;
        record->next_list = now;
        this->tick_endpoint(*record, now);
        return;
    }
    if (list.status != order_status::accepted)
    {
        ++record->failed_lists;
        if (record->is_responding)
            this->hooks.log(
                log_line("endpoint_lost", support::log_level::warning)
                    .add("endpoint", id)
                    .add("status", name_of(list.status)));
        // A connection may be reset although the endpoint is healthy and has
        // ends to list, so the request is repeated at once after the first
        // loss.
        const bool is_first_loss =
            record->is_responding && list.status == order_status::no_answer;
        record->is_responding = false;
        record->last_unanswered = now;
        record->next_list =
            is_first_loss ? now : now + this->retry_interval(*record);
        if (is_first_loss)
            this->tick_endpoint(*record, now);
        if (list.status == order_status::stale_token)
            this->report_fenced(*record);
        // All runs of the known incarnation have ended.
        if (is_replaced(*record, *settled, list.status))
            this->drop_endpoint_runs(*record, end_evidence::other_incarnation,
                                     now);
        return;
    }
    if (!record->is_responding)
        this->hooks.log(log_line("endpoint_recovered").add("endpoint", id));
    record->is_responding = true;
    record->overdue_lists = 0;
    record->listed_as_of = record->list_requested_at;
    record->listed_at = settled->to;
    const std::int64_t before = record->lease.last_listed_incarnation();
    if (before != 0 && before != list.born_ms)
    {
        this->hooks.log(log_line("endpoint_restarted")
                            .add("endpoint", id)
                            .add("source", "list")
                            .add("before_ms", before)
                            .add("born_ms", list.born_ms));
        if (!record->lease.awaits_incarnation())
            record->lease.begin_incarnation();
    }
    const bool was_known = record->lease.is_known();
    const std::vector<ended_run> ended = record->lease.apply_list(
        list, settled->token, this->hooks.next_order(), now);
    record->has_unacknowledged = !list.ended.empty();
    if (!was_known && record->lease.is_known())
        this->endpoint_became_known(*record, now);
    for (const ended_run& run : ended)
        this->run_ended(*record, run, now);
    this->fence_off_starts(*record);
    record->next_list = now;
    this->needs_placing = true;
    this->place(now);
    this->tick_endpoint(*record, now);
}

void shard_owner::endpoint_disconnected(const std::string& address, int port,
                                        instant now)
{
    for (const auto& [id, record] : this->endpoints)
    {
        const schema::endpoint_registration& entry = record->lease.entry();
        if (entry.address != address || entry.port != port)
            continue;
        if (record->is_responding)
            this->hooks.log(log_line("endpoint_lost")
                                .add("endpoint", id)
                                .add("status", "disconnected"));
        record->is_responding = false;
        record->needs_list = true;
        record->next_list = now;
        this->tick_endpoint(*record, now);
    }
}

void shard_owner::endpoint_became_known(endpoint_record& record, instant now)
{
    this->hooks.log(log_line("endpoint_known")
                        .add("endpoint", record.lease.entry().id)
                        .add("born_ms", record.lease.last_listed_incarnation())
                        .add("token", record.lease.token())
                        .add("runs", static_cast<std::int64_t>(
                                         record.lease.runs().size())));
    record.settled_at = now + this->options.settling_time;
    for (const auto& [id, job] : this->jobs)
        this->adopt_runs(*job);
    this->needs_placing = true;
    record.next_list = now;
}

} // namespace chicorydrum::shard
