/// \file
/// Ownership of shards over time: claims, handovers, heartbeats.
#include "chicorydrum/shard/entry_host.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace chicorydrum::shard
{

using support::instant;
using support::log_line;

int endpoints_for_link(double rate)
{
    constexpr double endpoints_per_mbit = 4;
    constexpr double least = 8;
    return static_cast<int>(
        std::clamp(rate * endpoints_per_mbit, least,
                   static_cast<double>(max_endpoints_per_shard)));
}

void entry_host::stop_requested(instant last, instant now)
{
    this->begin_event(now);
    this->stopping = true;
    this->last_answers = last;
    this->view.set_stopping(now);
    this->hooks.log(
        log_line("stop_requested")
            .add("open_jobs", static_cast<std::int64_t>(this->open_jobs())));
    this->begin_handover_if_due(now);
    this->update_owned();
    this->send_heartbeats(now, true);
}

void entry_host::begin_handover_if_due(instant now)
{
    if (this->is_handing_over || !this->view.should_hand_over(now))
        return;
    this->is_handing_over = true;
    this->hooks.log(
        log_line("shards_handed_over")
            .add("shards", static_cast<std::int64_t>(this->shards.size())));
    this->update_owned();
    this->send_heartbeats(now, true);
}

void entry_host::stop_forced(instant now)
{
    this->begin_event(now);
    this->hooks.log(
        log_line("stop_forced")
            .add("open_jobs", static_cast<std::int64_t>(this->open_jobs())));
    this->intake.end_all("host_stops", now);
    this->cancellations.end_all("host_stops");
}

void entry_host::tick(instant now)
{
    const auto gap = now - this->last_tick;
    this->begin_event(now);
    // A longer one has been noted with the pause.
    if (gap < this->options.pause_limit)
        this->note_tick_gap(gap, now);
    this->last_tick = now;
    this->table.set_relaying(!this->view.domains_without_endpoints().empty(),
                             now);
    this->table.tick(now);
    this->tick_configs(now);
    this->update_shard_endpoints(now);
    this->speeds->tick(now);
    this->prepare_speed_report(now);
    this->check_first_claims(now);
    if (now >= this->next_succession_update)
        this->update_succession(now);
    this->begin_handover_if_due(now);
    this->update_owned();
    this->offer_shard(now);
    this->update_ownership(now);
    for (const auto& [number, shard] : this->shards)
        shard->tick(now);
    this->deliver_local_results(now);
    this->intake.tick(now);
    if (this->hooks.read_cancelled)
        this->stored_cancellations.tick(now);
    this->cancellations.tick(now);
    this->deliver_local_results(now);
    // Peers then read the endpoints more often, and tell of what leaves.
    const bool lacks_endpoints = this->table.lacks_endpoints(now);
    const bool begins_to_lack =
        !std::exchange(this->lacked_endpoints, lacks_endpoints) &&
        lacks_endpoints;
    if (this->successors.take_news())
        this->next_local_heartbeat = now;
    this->send_heartbeats(now, begins_to_lack || this->has_settled_shard());
}

bool entry_host::has_settled_shard()
{
    bool has_settled = false;
    for (const auto& [number, shard] : this->shards)
    {
        fencing_token& known = this->settled_tokens[number];
        if (known == shard->token() || shard->is_adopting(this->current_time))
            continue;
        known = shard->token();
        has_settled = true;
    }
    return has_settled;
}

void entry_host::note_tick_gap(support::decision_clock::duration gap,
                               instant now)
{
    if (this->hooks.tick_gap)
        this->hooks.tick_gap(gap);
    if (gap <= this->options.late_tick || gap >= this->options.pause_limit)
        return;
    const std::int64_t gap_ms = support::whole_ms(gap);
    const auto line = this->late_ticks.add(gap_ms, now);
    if (!line)
        return;
    this->hooks.log(
        log_line("tick_late", support::log_level::warning)
            .add("gap_ms", gap_ms)
            .add("count", line->count)
            .add("longest_ms", line->most)
            .add("shards", static_cast<std::int64_t>(this->shards.size())));
}

void entry_host::begin_event(instant now)
{
    this->current_time = now;
    const auto gap = now - this->last_tick;
    if (gap >= this->options.stall_limit)
        this->view.stalled(now);
    if (gap < this->options.pause_limit)
        return;
    this->note_tick_gap(gap, now);
    this->paused_at = this->last_tick;
    this->woke_at = now;
    this->last_tick = now;
    this->hooks.log(log_line("pause_detected", support::log_level::warning)
                        .add("gap_ms", support::whole_ms(gap)));
    this->view.reset_silence_timers(now);
    this->successors.forget_vouches();
    // Others may own the shards by now, and have reached fewer endpoints than
    // this host does. The next owner takes a higher token and lists them all.
    while (!this->shards.empty())
        this->release_shard(this->shards.begin()->first, "paused", now);
    // Callers whose time passed meanwhile may have sent their jobs elsewhere.
    this->intake.tick(now);
    // The owners have ended this host's jobs, as its callers counted as lost.
    if (gap >= this->options.view.caller_silence_timeout)
        this->intake.end_all("paused", now);
}

shard_owner* entry_host::find_shard(const std::string& domain, int number)
{
    const auto found = this->shards.find(number);
    const bool is_owned =
        domain == this->options.self.domain && found != this->shards.end();
    return is_owned ? found->second.get() : nullptr;
}

void entry_host::update_ownership(instant now)
{
    this->links_have_changed = false;
    this->view.tick(now);
    for (const auto& [number, shard] : this->shards)
    {
        std::set<std::string> silent;
        for (const std::string& host : shard->caller_hosts())
            if (!this->view.keeps_jobs_of(host))
                shard->end_jobs_of(host, now);
            else if (this->view.silence_of(host) >=
                     this->options.view.extension_silence)
                silent.insert(host);
        shard->set_silent_hosts(std::move(silent));
    }
    // A copy, as the claims and releases below change the view.
    const shard_owners best = this->view.owners();
    std::vector<std::pair<int, std::string>> lost;
    for (const auto& [number, shard] : this->shards)
    {
        const auto owner =
            best.find({.domain = this->options.self.domain, .shard = number});
        if (owner != best.end() && owner->second.token > shard->token())
            lost.emplace_back(number, "superseded");
        else if (this->fenced.contains(number))
            lost.emplace_back(number, "fenced");
        else if (shard->shard_count() != this->view.shard_count())
            lost.emplace_back(number, "shards_divided");
    }
    const std::map<int, bool> fenced_now = std::exchange(this->fenced, {});
    for (const auto& [number, reason] : lost)
    {
        // No host that this one knows has the higher token.
        if (reason == "fenced")
            this->view.raise_epoch(number, fenced_now.at(number));
        this->release_shard(number, reason, now);
    }
    const std::vector<int> to_claim = this->view.shards_to_claim(now);
    for (const int number : to_claim)
        if (!this->shards.contains(number) && this->knows_cancelled_jobs(now))
            this->claim(number, now);
    this->end_jobs_if_isolated();
    this->intake.set_owners(this->view.owners(), this->view.shard_count(), now);
    this->cancellations.set_owners(this->view.owners(),
                                   this->view.shard_count());
    // New owners hear of cancelled jobs before the answer that ends their wait.
    this->cancellations.tick(now);
    this->deliver_local_results(now);
    this->answer_new_owners();
    this->end_answered_adoptions();
    // A host that does not hear an owner must learn at once that it was
    // succeeded, or that it is gone.
    std::vector<schema::heard_owner> heard = this->view.heard_owners();
    if (heard == this->last_heard)
        return;
    this->last_heard = std::move(heard);
    this->send_heartbeats(now, true);
}

void entry_host::end_jobs_if_isolated()
{
    const bool was_isolated =
        std::exchange(this->is_isolated, this->view.is_isolated());
    if (!this->is_isolated || was_isolated)
        return;
    this->hooks.log(
        log_line("host_isolated", support::log_level::warning)
            .add("open_jobs", static_cast<std::int64_t>(this->open_jobs())));
    // Peers take this host's callers for lost, and callers that are lost send
    // copies elsewhere. New jobs of callers that reach this host are served.
    this->intake.end_all("isolated", this->current_time);
}

void entry_host::answer_new_owners()
{
    std::set<std::string> unanswered;
    for (const auto& [name, owner] : this->view.reachable_owners())
    {
        if (owner.host == this->options.self.name)
            continue;
        fencing_token& answered = this->answered_tokens[owner.host][name.shard];
        if (owner.token <= answered)
            continue;
        answered = owner.token;
        unanswered.insert(owner.host);
    }
    for (const std::string& host : unanswered)
        this->send_open_jobs(host);
}

void entry_host::send_open_jobs(const std::string& owner)
{
    schema::shard_message message = this->make_heartbeat(
        this->view.domain_of(owner) == this->options.self.domain);
    message.beat.__set_open_jobs(this->intake.jobs_at(owner));
    std::vector<schema::job_elsewhere> elsewhere;
    for (const auto& [name, claim] : this->view.owners())
    {
        if (claim.host != owner)
            continue;
        const auto found = this->intake.jobs_elsewhere(
            name, this->view.shard_count(), this->current_time);
        elsewhere.insert(elsewhere.end(), found.begin(), found.end());
    }
    message.beat.__set_elsewhere(std::move(elsewhere));
    const auto answered = this->answered_tokens.find(owner);
    if (answered != this->answered_tokens.end())
        message.beat.__set_known_tokens(answered->second);
    // It may own shards whose earlier owner could not tell it.
    const auto version = this->view.endpoints_version_of(owner);
    std::vector<schema::held_endpoint> known_here;
    if (version)
        known_here = this->table.unknown_to(this->view.domain_of(owner),
                                            *version, this->current_time);
    // A new owner starts with what its predecessor had learned.
    const bool is_local =
        this->view.domain_of(owner) == this->options.self.domain;
    schema::learned_speeds_report learned;
    if (is_local)
        learned = this->speeds->report_for_successor(true, this->current_time);
    if (!learned.run_times.empty() || !learned.endpoints.empty())
        message.beat.__set_speeds(std::move(learned));
    this->send_heartbeat(owner, std::move(message), known_here);
}

void entry_host::end_answered_adoptions()
{
    const std::vector<std::string> peers = this->view.live_peers();
    const std::vector<std::string> kept = this->view.peers_with_jobs();
    for (const auto& [number, shard] : this->shards)
    {
        const auto has_answered =
            [this, shard_number = number,
             token = shard->token()](const std::string& peer)
        {
            const auto answers = this->answered_by.find(peer);
            if (answers == this->answered_by.end())
                return false;
            const auto found = answers->second.find(shard_number);
            return found != answers->second.end() && found->second >= token;
        };
        if (std::all_of(peers.begin(), peers.end(), has_answered))
            shard->end_adoption();
        const auto all_since = shard->needs_all_hosts_since();
        const bool has_lost_any =
            all_since && this->view.has_lost_peer_since(*all_since);
        const std::vector<std::string>& asked = all_since ? peers : kept;
        if (!has_lost_any &&
            std::all_of(asked.begin(), asked.end(), has_answered))
            shard->end_inquiry(this->current_time);
    }
}

shard_hooks entry_host::hooks_for_shard(int number)
{
    return {
        .next_order = [this] { return ++this->last_order; },
        .start = this->hooks.start,
        .stop = this->hooks.stop,
        .list = this->hooks.list,
        .report = [this](const std::string& host, const schema::job_ended& end)
        { this->report_end(host, end); },
        .endpoints_are_complete = [this]
        { return this->table.endpoints_are_complete(this->current_time); },
        .may_start_at =
            [this, number](const schema::endpoint_registration& entry) {
                return this->successors.may_start_at(number, entry,
                                                     this->current_time);
            },
        .has_read_endpoints = [this]
        { return this->table.has_read_endpoints(); },
        .find_lost_owner =
            [this, number]
        {
            return this->view.find_lost_owner(
                {.domain = this->options.self.domain, .shard = number},
                this->current_time);
        },
        .fenced =
            [this, number](const std::string& endpoint, bool had_accepted)
        {
            bool& all_had_accepted =
                this->fenced.try_emplace(number, true).first->second;
            all_had_accepted = all_had_accepted && had_accepted;
            this->hooks.log(log_line("fenced")
                                .add("shard", number)
                                .add("endpoint", endpoint));
        },
        .log = this->hooks.log,
        .is_of_other_domain =
            [this](const std::string& host)
        {
            return host != this->options.self.name &&
                   this->view.domain_of(host) != this->options.self.domain;
        },
        .stop_took = this->hooks.stop_took,
        .placed = this->hooks.placed};
}

void entry_host::claim(int number, instant now)
{
    const auto token = this->view.next_token(number);
    if (!token)
    {
        this->hooks.log(
            log_line("shard_tokens_used_up", support::log_level::error)
                .add("shard", number));
        // Not tried again at each event.
        this->view.shard_released(number, now);
        return;
    }
    this->log_claim(number, *token, now);
    shard_options opts = this->options.shard;
    opts.domain = this->options.self.domain;
    opts.shard = number;
    opts.shards = this->view.shard_count();
    opts.was_divided = this->view.was_divided_recently(now);
    opts.knows_endpoints = this->knows_endpoints_of(number, now);
    opts.token = *token;
    auto new_shard = std::make_unique<shard_owner>(
        opts, this->hooks_for_shard(number), now, this->speeds);
    shard_owner& claimed = *new_shard;
    this->shards[number] = std::move(new_shard);
    this->update_owned();
    this->table.set_owner(true, now);
    this->table.refresh_endpoints();
    this->send_heartbeats(now, true);
    for (const schema::job_elsewhere& job : this->intake.jobs_elsewhere(
             {.domain = opts.domain, .shard = number}, opts.shards, now))
        claimed.note_elsewhere(this->options.self.name, job, now);
    claimed.set_evacuated(this->evacuation_state.is_evacuated(opts.domain),
                          now);
    claimed.update_doubts(this->table.doubts());
    claimed.list_leftovers(this->table.lately_dropped(now), now);
    claimed.update_endpoints(this->table.endpoints(), now);
    if (!opts.knows_endpoints && !this->view.last_claim_of(number))
        this->first_claims.insert(number);
    this->update_succession(now);
}

void entry_host::check_first_claims(instant now)
{
    if (this->first_claims.empty())
        return;
    const bool follows = this->table.endpoints_follow_registrations();
    std::erase_if(this->first_claims,
                  [this, follows, now](int number)
                  {
                      shard_owner& shard = *this->shards.at(number);
                      const bool is_first =
                          follows &&
                          this->view.has_first_owner(number, shard.token());
                      if (is_first)
                          shard.learned_endpoints();
                      return shard.knows_endpoints(now);
                  });
}

bool entry_host::knows_endpoints_of(int number, instant now) const
{
    const auto last = this->view.last_claim_of(number);
    return last && this->successors.is_vouched(last->shard, last->token, now);
}

void entry_host::update_succession(instant now)
{
    this->next_succession_update = now + this->options.succession_interval;
    // Entries that have lapsed since the last read are dropped by others.
    const auto read_as_of = this->table.endpoints_as_of();
    const bool has_old_reads =
        !read_as_of || now - *read_as_of >= this->options.old_reads;
    this->successors.set_read_to(this->table.endpoints_read_to());
    for (const auto& [number, shard] : this->shards)
    {
        std::vector<schema::held_endpoint> held = shard->held_endpoints();
        for (schema::held_endpoint& endpoint : held)
        {
            endpoint.is_listed =
                endpoint.is_listed && this->table.lists(endpoint.entry.id);
            endpoint.version = this->table.known_since(endpoint.entry.id);
            if (!endpoint.is_listed)
                this->table.note_held(endpoint, now);
            if (!has_old_reads || !endpoint.is_listed)
                continue;
            endpoint.is_listed = false;
            // Whoever finds a row of it may use that.
            endpoint.version = 0;
        }
        this->successors.update_shard(number, shard->token(),
                                      shard->knows_endpoints(now), held, now);
    }
}

void entry_host::send_heartbeat(
    const std::string& peer, schema::shard_message message,
    const std::vector<schema::held_endpoint>& known_here)
{
    if (this->view.domain_of(peer) == this->options.self.domain)
    {
        schema::succession_state state = this->successors.state_for(
            peer, this->view.may_succeed(peer), this->current_time);
        for (const schema::held_endpoint& held : known_here)
            if (state.endpoints.size() < support::max_held)
                state.endpoints.push_back(held);
        state.__isset.endpoints = !state.endpoints.empty();
        std::vector<int> never_owned = this->view.never_owned();
        if (!never_owned.empty())
            state.__set_never_owned(std::move(never_owned));
        std::map<int, fencing_token> first_tokens =
            this->view.first_tokens(this->current_time);
        if (!first_tokens.empty())
            state.__set_first_tokens(std::move(first_tokens));
        message.beat.__set_succession(std::move(state));
    }
    this->send(peer, std::move(message));
}

bool entry_host::apply_succession(const std::string& peer,
                                  const schema::shard_heartbeat& heartbeat,
                                  std::optional<instant> sent, instant now)
{
    if (this->view.domain_of(peer) != this->options.self.domain)
        return false;
    for (const schema::held_endpoint& held : heartbeat.succession.endpoints)
    {
        if (held.entry.domain != this->options.self.domain)
            continue;
        this->table.note_held(held, now);
    }
    // Until then, runs may be found there that this host does not know of.
    const bool is_told = !heartbeat.succession.endpoints.empty();
    for (const auto& [number, shard] : this->shards)
        if (is_told && !shard->knows_endpoints(now))
            shard->list_leftovers(this->table.lately_dropped(now), now);
    return this->successors.heard(peer, heartbeat.succession,
                                  heartbeat.endpoints_version, sent, now);
}

void entry_host::log_claim(int number, fencing_token token, instant now)
{
    const claim_basis basis =
        this->view.claim_basis_of(number).value_or(claim_basis{.since = now});
    const bool was_own = basis.predecessor == this->options.self.name;
    const auto reason = this->release_reasons.find(number);
    const bool has_reason = was_own && reason != this->release_reasons.end();
    // -1 where there is no such time.
    const auto ms_since = [now](const std::optional<instant>& time)
    {
        return time ? support::whole_ms(now - *time) : -1;
    };
    this->hooks.log(
        log_line("shard_claimed")
            .add("shard", number)
            .add("token", token)
            .add("cause", has_reason ? std::string_view(reason->second)
                                     : name_of(basis.cause))
            .add("predecessor", basis.predecessor)
            .add("heard_ms", ms_since(basis.heard_at))
            .add("ownerless_ms", ms_since(basis.since))
            .add("age_ms", support::whole_ms(this->view.age(now)))
            .add("peers", this->view.live_domain_peers())
            .add("listed", static_cast<std::int64_t>(this->view.listed_hosts()))
            .add("hosts_read", this->table.hosts_are_read())
            .add("endpoints_read_ms",
                 ms_since(this->table.last_endpoint_read()))
            .add("endpoints",
                 static_cast<std::int64_t>(this->table.endpoint_count()))
            .add("endpoints_complete", this->table.endpoints_are_complete(now))
            .add("endpoints_vouched", this->knows_endpoints_of(number, now)));
}

void entry_host::release_shard(int number, const std::string& reason,
                               instant now)
{
    const shard_owner& shard = *this->shards.at(number);
    // In other cases another owner may have followed that is not known here.
    if (reason == "shards_divided" && shard.knows_endpoints(now))
        this->successors.vouch_for_own(number, shard.token(), now);
    this->successors.release_shard(number);
    this->first_claims.erase(number);
    this->hooks.log(
        log_line("shard_released")
            .add("shard", number)
            .add("token", shard.token())
            .add("reason", reason)
            .add("open_jobs", static_cast<std::int64_t>(shard.open_jobs())));
    this->shards.erase(number);
    this->release_reasons[number] = reason;
    this->view.shard_released(number, now);
    if (this->offered == number)
        this->offered.reset();
    this->update_owned();
    this->table.set_owner(!this->shards.empty(), now);
    this->send_heartbeats(now, true);
}

void entry_host::update_owned()
{
    this->view.set_owned(this->owned_now());
}

std::vector<schema::ownership> entry_host::owned_now() const
{
    std::vector<schema::ownership> owned;
    for (const auto& [number, shard] : this->shards)
    {
        owned.push_back(shard->load());
        owned.back().is_offered =
            this->offered == number || this->is_handing_over;
        owned.back().__set_is_adopting(shard->is_adopting(this->current_time));
        if (this->current_time - shard->rooms_as_of() < max_room_age)
            owned.back().__set_room(to_message(shard->rooms()));
    }
    return owned;
}

void entry_host::offer_shard(instant now)
{
    if (this->offered && now < this->offer_ends)
        return;
    const bool had_offer = this->offered.has_value();
    this->offered = had_offer ? std::nullopt : this->view.shard_to_offer(now);
    // Another host may not know of an endpoint that is not listed any more.
    if (this->offered && this->shards.at(*this->offered)->has_unlisted_runs())
        this->offered.reset();
    if (!this->offered)
        return;
    this->offer_ends = now + this->options.offer_time;
    this->hooks.log(log_line("shard_offered").add("shard", *this->offered));
    this->update_owned();
    this->send_heartbeats(now, true);
}

std::int64_t entry_host::longest_caller_silence() const
{
    support::decision_clock::duration longest{0};
    for (const auto& [number, shard] : this->shards)
        for (const std::string& host : shard->caller_hosts())
            longest = std::max(longest, this->view.silence_of(host));
    return support::duration_cast<support::microseconds>(longest).count();
}

schema::shard_message entry_host::make_heartbeat(bool to_own_domain) const
{
    schema::shard_heartbeat heartbeat;
    heartbeat.is_ready = this->is_ready();
    heartbeat.is_stopping = this->stopping;
    heartbeat.config_version = this->configs.active().version();
    heartbeat.sends_config_parts = true;
    heartbeat.shard_count = this->view.shard_count();
    heartbeat.owned = this->owned_now();
    for (const auto& [number, shard] : this->shards)
        for (const auto& [route, count] : shard->waiting_by_route())
            heartbeat.waiting[route] += count;
    if (to_own_domain)
        heartbeat.heard = this->view.heard_owners();
    heartbeat.lacks_endpoints = this->table.lacks_endpoints(this->current_time);
    if (!this->shards.empty())
        heartbeat.__set_callers_silent_us(this->longest_caller_silence());
    heartbeat.endpoints_version = this->table.endpoints_read_to();
    schema::shard_message message;
    message.__set_beat(std::move(heartbeat));
    return message;
}

void entry_host::prepare_speed_report(instant now)
{
    if (now < this->next_speed_report || this->shards.empty() ||
        !this->speeds->take_news())
        return;
    this->next_speed_report = now + this->options.speed_report_interval;
    this->speed_report = this->speeds->take_report(true, now);
    this->speed_targets.clear();
    // Each host reports to those that follow its name, so that they share the
    // work.
    std::vector<std::string> local;
    for (const std::string& peer : this->view.connected_peers())
        if (this->view.domain_of(peer) == this->options.self.domain)
            local.push_back(peer);
    std::sort(local.begin(), local.end());
    const auto next =
        std::upper_bound(local.begin(), local.end(), this->options.self.name);
    std::rotate(local.begin(), next, local.end());
    local.resize(std::min(local.size(), this->options.speed_keepers));
    this->speed_targets.insert(local.begin(), local.end());
    // One owner of any domain at a time, so that all learn from each other at
    // a cost that does not grow with their number.
    std::set<std::string> owners;
    for (const auto& [name, owner] : this->view.reachable_owners())
        if (owner.host != this->options.self.name)
            owners.insert(owner.host);
    if (owners.empty())
        return;
    const std::size_t turn = this->speed_reports++ % owners.size();
    this->speed_targets.insert(
        *std::next(owners.begin(), static_cast<std::ptrdiff_t>(turn)));
}

void entry_host::add_speed_report(const std::string& peer,
                                  schema::shard_heartbeat& heartbeat)
{
    if (this->speed_targets.erase(peer) == 0)
        return;
    heartbeat.__set_speeds(this->speed_report);
    if (this->view.domain_of(peer) != this->options.self.domain)
        heartbeat.speeds.endpoints.clear();
}

void entry_host::send_heartbeats(instant now, bool to_all)
{
    const bool local_is_due = to_all || now >= this->next_local_heartbeat;
    const bool remote_is_due = to_all || now >= this->next_remote_heartbeat;
    if (!local_is_due && !remote_is_due)
        return;
    for (const auto& [number, shard] : this->shards)
        shard->update_rooms(now);
    this->note_own_rooms();
    const schema::shard_message local = this->make_heartbeat(true);
    const schema::shard_message remote = this->make_heartbeat(false);
    // A holder of jobs ends them after a shorter silence.
    const std::set<std::string> holders = this->intake.holders();
    for (const std::string& peer : this->view.connected_peers())
    {
        const bool is_local =
            this->view.domain_of(peer) == this->options.self.domain;
        const bool is_due =
            is_local || holders.contains(peer) ? local_is_due : remote_is_due;
        if (!is_due)
            continue;
        std::vector<schema::leaving_endpoint> news = this->news_for(peer, now);
        const schema::shard_message& usual = is_local ? local : remote;
        if (!is_local && news.empty() && !this->speed_targets.contains(peer))
        {
            this->send(peer, usual);
            continue;
        }
        schema::shard_message with_news = usual;
        this->add_speed_report(peer, with_news.beat);
        with_news.beat.leaving = std::move(news);
        this->send_heartbeat(peer, std::move(with_news));
    }
    if (local_is_due)
        this->next_local_heartbeat =
            now + this->options.local_heartbeat_interval;
    if (remote_is_due)
        this->next_remote_heartbeat =
            now + this->options.remote_heartbeat_interval;
}

std::vector<schema::leaving_endpoint>
entry_host::news_for(const std::string& peer, instant now)
{
    const auto version = this->view.endpoints_version_of(peer);
    if (!version)
        return {};
    told_news& before = this->told_peers[peer];
    // Its rows may be earlier ones again.
    if (*version < before.version)
        before.last = 0;
    before.version = *version;
    leaving_list list = this->table.leaving(this->view.domain_of(peer),
                                            *version, before.last, now);
    before.last = list.last;
    return std::move(list.endpoints);
}

void entry_host::update_evacuations(instant now)
{
    const std::int64_t last = this->evacuation_state.last_change();
    if (std::exchange(this->applied_evacuations, last) == last)
        return;
    // First, so that jobs that end now are offered to other domains.
    this->intake.set_evacuated(this->evacuation_state.evacuated_domains());
    const bool is_own =
        this->evacuation_state.is_evacuated(this->options.self.domain);
    for (const auto& [number, shard] : this->shards)
        shard->set_evacuated(is_own, now);
    this->update_owned();
    this->send_heartbeats(now, true);
    this->deliver_local_results(now);
    this->check_evacuated_domains();
}

void entry_host::check_evacuated_domains()
{
    // A request may be read before the endpoints are.
    if (!this->table.has_read_endpoints() ||
        this->evacuation_state.last_change() == 0)
        return;
    std::set<std::string> known;
    for (const schema::endpoint_registration& entry : this->table.endpoints())
        known.insert(entry.domain);
    this->evacuation_state.log_unknown_domains(known);
}

void entry_host::tell_lacking_peers(instant now)
{
    if (this->table.last_leaving() == 0)
        return;
    for (const std::string& peer : this->view.connected_peers())
    {
        if (!this->view.lacks_endpoints(peer))
            continue;
        std::vector<schema::leaving_endpoint> news = this->news_for(peer, now);
        if (news.empty())
            continue;
        schema::shard_message message = this->make_heartbeat(
            this->view.domain_of(peer) == this->options.self.domain);
        message.beat.leaving = std::move(news);
        this->send_heartbeat(peer, std::move(message));
    }
}

bool entry_host::is_ready() const
{
    const shard_owners owners = this->view.reachable_owners();
    const bool domain_has_owner =
        std::any_of(owners.begin(), owners.end(),
                    [this](const auto& entry) {
                        return entry.first.domain == this->options.self.domain;
                    });
    return !this->stopping && this->configs.active().version() > 0 &&
           domain_has_owner;
}

bool entry_host::is_drained() const
{
    return this->open_jobs() == 0 && this->cancellations.waiting_calls() == 0 &&
           std::all_of(this->shards.begin(), this->shards.end(),
                       [](const auto& entry)
                       { return entry.second->open_jobs() == 0; });
}

} // namespace chicorydrum::shard
