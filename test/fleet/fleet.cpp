#include "fleet.hpp"

#include <cassert>

namespace chicorydrum::fleet
{

namespace
{

using decision::store_outcome;
using support::milliseconds;

constexpr milliseconds tick_interval{20};
constexpr milliseconds poll_interval{1000};
constexpr milliseconds redial_interval{300};
constexpr milliseconds handshake{2};
/// How long an unanswered check of an attempt takes.
constexpr milliseconds check_timeout{1000};

std::string wire_id(const std::string& host, int incarnation,
                    decision::attempt_id attempt)
{
    return host + "~" + std::to_string(incarnation) + "." +
           std::to_string(attempt);
}

} // namespace

fleet::fleet(fleet_options opts, fleet_hooks callbacks)
    : options(std::move(opts)), hooks(std::move(callbacks)),
      simulated_platform(this->queue),
      links({.queue = this->queue,
             .latency =
                 [this](const std::string& from, const std::string& to)
             {
                 const bool is_same_domain =
                     this->hosts.at(from).domain == this->hosts.at(to).domain;
                 return is_same_domain ? this->options.domain_latency
                                       : this->options.cross_latency;
             },
             .on_message =
                 [this](const std::string& to, const std::string& from,
                        const schema::peer_message& message)
             {
                 this->deliver(to, this->hosts.at(to).incarnation,
                               decision::peer_message_received{from, message});
             },
             .on_close =
                 [this](const std::string& at, const std::string& other)
             {
                 this->deliver(at, this->hosts.at(at).incarnation,
                               decision::peer_disconnected{other});
             }})
{
    this->queue.after(milliseconds(1), [this] { this->connect_all(); });
}

void fleet::add_host(const std::string& name, const std::string& domain)
{
    virtual_host& host = this->hosts[name];
    host.name = name;
    host.domain = domain;
    this->simulated_platform.list.hosts.push_back(
        {.name = name, .domain = domain, .address = "127.0.0.1"});
    this->start_process(host);
}

void fleet::add_endpoint(const decision::endpoint_listing& listing,
                         double slowness)
{
    fake_endpoint& endpoint = this->endpoints[listing.name];
    endpoint.listing = listing;
    endpoint.slowness = slowness;
    this->simulated_platform.list.endpoints.push_back(listing);
}

void fleet::start_process(virtual_host& host)
{
    host.self.host = host.name;
    host.self.nonce = this->next_nonce++;
    ++host.incarnation;
    host.alive = true;
    host.paused = false;
    host.inbox.clear();
    host.list_current_since = this->now();
    host.bundle_version = 0;
    decision::dispatcher_options created;
    created.members.self = host.self;
    created.members.domain = host.domain;
    created.homes.self = host.self;
    created.owner.scheduling.self = host.name;
    created.owner.scheduling.pool.self = host.name;
    created.owner.scheduling.pool.domain = host.domain;
    created.keeps_logs = this->options.keeps_logs;
    if (this->options.adjust)
        this->options.adjust(created);
    host.decisions =
        std::make_unique<decision::dispatcher>(std::move(created), this->now());
    // Each process ticks at its own offset.
    const auto tick_offset = milliseconds(host.self.nonce * 7 % 20);
    const int incarnation = host.incarnation;
    this->queue.after(tick_offset, [this, name = host.name, incarnation]
                      { this->tick(name, incarnation); });
    this->queue.after(tick_offset, [this, name = host.name, incarnation]
                      { this->poll(name, incarnation); });
}

std::vector<std::string> fleet::host_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, host] : this->hosts)
        names.push_back(name);
    return names;
}

void fleet::connect_all()
{
    this->queue.after(redial_interval, [this] { this->connect_all(); });
    for (auto& [a, first] : this->hosts)
        for (auto& [b, second] : this->hosts)
        {
            const bool both_can = a < b && first.alive && second.alive &&
                                  !first.paused && !second.paused;
            if (!both_can || !this->links.open(a, b))
                continue;
            const auto notify_connected =
                [this](const virtual_host& at, const virtual_host& other)
            {
                this->queue.after(
                    handshake,
                    [this, to = at.name, incarnation = at.incarnation,
                     who = other.self, domain = other.domain] {
                        this->deliver(to, incarnation,
                                      decision::peer_connected{who, domain});
                    });
            };
            notify_connected(first, second);
            notify_connected(second, first);
        }
}

void fleet::deliver(const std::string& name, int incarnation,
                    decision::event event)
{
    virtual_host& host = this->hosts.at(name);
    if (!host.alive || host.incarnation != incarnation)
        return;
    if (const auto* submitted = std::get_if<decision::caller_submitted>(&event))
        this->recorded.calls.at(submitted->call).has_arrived = true;
    if (host.paused)
        host.inbox.push_back(std::move(event));
    else
        this->handle(host, event);
}

void fleet::handle(virtual_host& host, const decision::event& event)
{
    host.decisions->handle(event, this->now());
    this->record_adoption(host);
    for (decision::action& action : host.decisions->take_actions())
        this->perform(host, action);
}

void fleet::record_adoption(virtual_host& host)
{
    std::int64_t version = host.decisions->bundle().version();
    if (version == host.bundle_version)
        return;
    host.bundle_version = version;
    if (this->options.fault == injected_fault::revert_bundle && version > 1)
        version = 1;
    this->recorded.adoptions.push_back({.when = this->now(),
                                        .host = host.name,
                                        .incarnation = host.incarnation,
                                        .version = version});
}

void fleet::perform(virtual_host& host, decision::action& action)
{
    std::visit([this, &host](auto& wanted) { this->perform_one(host, wanted); },
               action);
}

schema::answer fleet::corrupt_answer(const call_record& call,
                                     schema::answer answer)
{
    const bool is_complete = !answer.results.empty();
    switch (this->options.fault)
    {
    case injected_fault::truncate_answer:
        if (is_complete)
            answer.results.pop_back();
        break;
    case injected_fault::cross_answers:
        if (is_complete)
            answer.results.front() = "done:other/0";
        break;
    case injected_fault::report_not_run:
        if (is_complete && call.is_submission)
        {
            answer = {};
            answer.error = support::error_kind::shed;
            answer.not_run = true;
        }
        break;
    default:
        break;
    }
    return answer;
}

void fleet::perform_one(virtual_host& /*host*/, decision::answer_caller& action)
{
    call_record& call = this->recorded.calls.at(action.call);
    if (this->options.fault == injected_fault::drop_answer)
        return;
    call.answers += this->options.fault == injected_fault::answer_twice ? 2 : 1;
    if (call.is_lost)
        return;
    call.is_answered = true;
    call.answered = this->now() + this->options.caller_latency;
    call.answer = this->corrupt_answer(call, action.result);
    if (this->hooks.call_ended)
        this->queue.at(call.answered, [this, number = action.call]
                       { this->hooks.call_ended(number); });
}

void fleet::perform_one(virtual_host& host, decision::send_to_peer& action)
{
    const auto& set = action.message.__isset;
    ++this->counted.all_peer_messages;
    this->counted.heartbeats += set.beat ? 1 : 0;
    this->counted.speed_reports += set.speeds_reported ? 1 : 0;
    this->counted.bundle_messages +=
        set.bundle_pushed || set.bundle_requested ? 1 : 0;
    if (set.slots_granted && action.message.slots_granted.slots.empty())
        ++this->counted.denied_slot_requests;
    if (set.offer_replied && action.message.offer_replied.result.not_run)
        ++this->counted.refused_offers;
    this->links.send(host.name, action.host, action.message);
}

void fleet::perform_one(virtual_host& host, decision::drop_peer& action)
{
    this->links.close(host.name, action.host);
}

support::decision_clock::duration
fleet::time_after_leaving(const virtual_host& host,
                          const std::string& endpoint) const
{
    const auto leaving = this->leaving_since.find(endpoint);
    if (leaving == this->leaving_since.end() ||
        !this->simulated_platform.is_reachable_from(host.name))
        return {};
    return std::max(support::decision_clock::duration{},
                    this->now() -
                        std::max(leaving->second, host.list_current_since));
}

void fleet::perform_one(virtual_host& host, decision::start_attempt& action)
{
    auto after_leaving = this->time_after_leaving(host, action.endpoint);
    if (this->options.fault == injected_fault::start_on_leaving)
        after_leaving = milliseconds(3000);
    const auto begin = [this, name = host.name, incarnation = host.incarnation,
                        action, after_leaving]
    {
        this->begin_attempt(name, incarnation, action, after_leaving);
    };
    this->queue.after(this->options.domain_latency, begin);
    if (this->options.fault == injected_fault::start_twice &&
        !this->fault_was_used)
    {
        this->fault_was_used = true;
        this->queue.after(this->options.domain_latency, begin);
    }
}

void fleet::begin_attempt(const std::string& host, int incarnation,
                          const decision::start_attempt& attempt,
                          support::decision_clock::duration after_leaving)
{
    const auto is_answered = std::make_shared<bool>(false);
    const auto answer = [this, host, incarnation, id = attempt.attempt,
                         is_answered](decision::attempt_finished ended)
    {
        ended.attempt = id;
        *is_answered = true;
        this->queue.after(this->options.domain_latency,
                          [this, host, incarnation, ended]
                          { this->deliver(host, incarnation, ended); });
    };
    // The adapter's timeout: an attempt without an answer by then is lost.
    this->queue.after(
        attempt.timeout,
        [this, host, incarnation, id = attempt.attempt, is_answered]
        {
            if (*is_answered)
                return;
            decision::attempt_finished lost;
            lost.attempt = id;
            this->deliver(host, incarnation, lost);
        });
    const bool is_started =
        this->endpoints.at(attempt.endpoint)
            .start(this->queue, this->run_time_of(attempt.payload),
                   wire_id(host, incarnation, attempt.attempt), attempt.payload,
                   answer);
    if (!is_started)
        ++this->counted.refused_attempts;
    if (is_started)
        this->recorded.starts.push_back({.when = this->now(),
                                         .endpoint = attempt.endpoint,
                                         .payload = attempt.payload,
                                         .host = host,
                                         .after_leaving = after_leaving});
}

support::decision_clock::duration
fleet::run_time_of(const std::string& payload) const
{
    const std::size_t slash = payload.rfind('/');
    const submission_entry& entry =
        this->recorded.submissions.at(payload.substr(0, slash));
    return entry.run_times.at(std::stoul(payload.substr(slash + 1)));
}

void fleet::perform_one(virtual_host& host, decision::check_attempt& action)
{
    const fake_endpoint& endpoint = this->endpoints.at(action.endpoint);
    const bool answers = endpoint.mode != endpoint_mode::silent;
    this->queue.after(answers ? this->options.domain_latency * 2
                              : event_queue::duration(check_timeout),
                      [this, name = host.name, incarnation = host.incarnation,
                       id = action.attempt, &endpoint]
                      {
                          decision::attempt_checked checked =
                              endpoint.check(wire_id(name, incarnation, id));
                          checked.attempt = id;
                          this->deliver(name, incarnation, checked);
                      });
}

void fleet::perform_one(virtual_host& host, decision::claim_key& action)
{
    const auto store = this->simulated_platform.store_for(host.name);
    const std::string key = "claim/" + action.key;
    const auto answer = [this, name = host.name, incarnation = host.incarnation,
                         ticket = action.ticket](store_outcome outcome,
                                                 const std::string& value)
    {
        this->deliver(name, incarnation,
                      decision::store_answered{ticket, outcome, value});
    };
    store.transact(
        {{.key = key, .value = action.value, .expected_version = 0}},
        [store, key, answer](store_outcome outcome)
        {
            if (outcome != store_outcome::condition_failed)
                return answer(outcome, "");
            store.read(key,
                       [answer](const support::result<decision::table_row>& row)
                       {
                           if (row)
                               answer(store_outcome::condition_failed,
                                      row->value);
                           else
                               answer(store_outcome::unavailable, "");
                       });
        });
}

void fleet::perform_one(virtual_host& host, decision::read_key& action)
{
    this->simulated_platform.store_for(host.name).read(
        "claim/" + action.key,
        [this, name = host.name, incarnation = host.incarnation,
         ticket =
             action.ticket](const support::result<decision::table_row>& row)
        {
            decision::store_answered answer;
            answer.ticket = ticket;
            answer.outcome =
                row ? store_outcome::applied : store_outcome::unavailable;
            if (row)
                answer.value = row->value;
            this->deliver(name, incarnation, answer);
        });
}

void fleet::perform_one(virtual_host& host, decision::stop_finished& /*todo*/)
{
    for (const call_record& call : this->recorded.calls)
        if (call.host == host.name && call.has_arrived && !call.is_answered &&
            !call.is_lost)
        {
            this->recorded.stops_with_open_calls.push_back(host.name);
            break;
        }
    // The process exits once this event is handled; its dispatcher is
    // destroyed then.
    this->queue.after(support::microseconds(0),
                      [this, name = host.name, incarnation = host.incarnation]
                      {
                          if (this->hosts.at(name).incarnation == incarnation)
                              this->kill(name);
                      });
}

void fleet::perform_one(virtual_host& host, support::log_line& action)
{
    if (this->hooks.log)
        this->hooks.log(host.name, action.text());
}

void fleet::tick(const std::string& name, int incarnation)
{
    virtual_host& host = this->hosts.at(name);
    if (!host.alive || host.incarnation != incarnation)
        return;
    this->queue.after(tick_interval, [this, name, incarnation]
                      { this->tick(name, incarnation); });
    if (!host.paused)
        this->handle(host, decision::ticked{});
}

void fleet::poll(const std::string& name, int incarnation)
{
    virtual_host& host = this->hosts.at(name);
    if (!host.alive || host.incarnation != incarnation)
        return;
    this->queue.after(poll_interval, [this, name, incarnation]
                      { this->poll(name, incarnation); });
    if (!host.paused)
        this->poll_once(host);
}

void fleet::poll_once(virtual_host& host)
{
    const std::string name = host.name;
    const int incarnation = host.incarnation;
    if (!this->simulated_platform.is_reachable_from(name))
    {
        host.list_current_since = this->now() + poll_interval;
        this->deliver(name, incarnation, decision::host_list_unavailable{});
        return;
    }
    const bool is_slow = this->simulated_platform.mode == platform_mode::slow;
    this->queue.after(
        is_slow ? milliseconds(700) : milliseconds(2),
        [this, name, incarnation, list = this->simulated_platform.list]
        { this->deliver(name, incarnation, list); });
    this->poll_bundle(name, incarnation);
}

void fleet::poll_bundle(const std::string& host, int incarnation)
{
    const decision::accepted_bundle accepted =
        this->simulated_platform.accepted();
    const std::string* const text = this->simulated_platform.object(
        decision::bundle_object_name(accepted.digest));
    if (accepted.version == 0 || text == nullptr)
        return;
    this->queue.after(
        milliseconds(3),
        [this, host, incarnation, version = accepted.version, bytes = *text] {
            this->deliver(host, incarnation,
                          decision::bundle_read{version, bytes});
        });
}

void fleet::kill(const std::string& name)
{
    virtual_host& host = this->hosts.at(name);
    if (!host.alive)
        return;
    host.alive = false;
    host.paused = false;
    host.last_home = host.decisions->home();
    host.decisions.reset();
    host.inbox.clear();
    this->links.close_all(name);
    this->drop_open_calls(name);
}

void fleet::drop_open_calls(const std::string& host)
{
    for (std::size_t number = 0; number < this->recorded.calls.size(); ++number)
    {
        call_record& call = this->recorded.calls[number];
        if (call.host != host || call.is_answered || call.is_lost)
            continue;
        call.is_lost = true;
        if (this->hooks.call_ended)
            this->queue.after(this->options.caller_latency, [this, number]
                              { this->hooks.call_ended(number); });
    }
}

void fleet::restart(const std::string& name)
{
    this->kill(name);
    this->start_process(this->hosts.at(name));
}

void fleet::pause(const std::string& name)
{
    virtual_host& host = this->hosts.at(name);
    if (host.paused)
        return;
    host.paused = true;
    host.paused_since = this->now();
}

void fleet::resume(const std::string& name)
{
    virtual_host& host = this->hosts.at(name);
    if (!host.alive || !host.paused)
        return;
    host.paused = false;
    // A paused host delays the answers of its callers by the length of the
    // pause.
    for (call_record& call : this->recorded.calls)
        if (call.host == name && !call.is_answered)
            call.deadline +=
                this->now() - std::max(call.asked, host.paused_since);
    host.list_current_since = this->now() + poll_interval;
    const int incarnation = host.incarnation;
    for (decision::event& event : std::exchange(host.inbox, {}))
        this->deliver(name, incarnation, std::move(event));
    if (host.alive && host.incarnation == incarnation)
        this->poll_once(host);
}

void fleet::stop(const std::string& name)
{
    for (decision::host_listing& host : this->simulated_platform.list.hosts)
        if (host.name == name)
            host.state = decision::listing_state::leaving;
    this->deliver(name, this->hosts.at(name).incarnation,
                  decision::stop_requested{});
    if (this->options.fault == injected_fault::stop_early)
    {
        decision::stop_finished early;
        this->perform_one(this->hosts.at(name), early);
    }
}

void fleet::force_stop(const std::string& name)
{
    this->deliver(name, this->hosts.at(name).incarnation,
                  decision::stop_forced{});
}

void fleet::heal()
{
    this->links.heal_all();
    for (const std::string& name : this->simulated_platform.cut_off)
        this->hosts.at(name).list_current_since = this->now() + poll_interval;
    this->simulated_platform.cut_off.clear();
}

void fleet::set_leaving(const std::string& endpoint)
{
    for (decision::endpoint_listing& listing :
         this->simulated_platform.list.endpoints)
        if (listing.name == endpoint)
            listing.state = decision::listing_state::leaving;
    this->leaving_since.try_emplace(endpoint, this->now());
}

void fleet::remove_from_list(const std::string& endpoint)
{
    std::erase_if(this->simulated_platform.list.endpoints,
                  [&endpoint](const decision::endpoint_listing& listing)
                  { return listing.name == endpoint; });
}

void fleet::roll(
    const std::string& name, const std::string& text,
    const std::function<void(support::result<decision::bundle_step>)>& done)
{
    const auto store = this->simulated_platform.store_for(name);
    const std::string token = name + "." + std::to_string(this->next_roll++);
    const int incarnation = this->hosts.at(name).incarnation;
    const auto rolled = [this, name, incarnation,
                         done](support::result<decision::bundle_step> step)
    {
        if (step)
            this->deliver(name, incarnation,
                          decision::bundle_read{step->version, step->text});
        done(std::move(step));
    };
    decision::propose_bundle(
        store, text, name + "-proposer",
        [store, name, token,
         rolled](support::result<decision::bundle_step> step)
        {
            if (!step)
                return rolled(std::move(step));
            const std::string digest = step->digest;
            decision::sign_off_bundle(
                store, digest, name + "-signer",
                [store, name, token, digest,
                 rolled](support::result<decision::bundle_step> signed_off)
                {
                    if (!signed_off)
                        return rolled(std::move(signed_off));
                    decision::roll_bundle(store, digest, name, token, rolled);
                });
        });
}

void fleet::define(const std::string& name, submission_entry entry)
{
    for (std::size_t i = 0; i < entry.work.tasks.size(); ++i)
        entry.work.tasks[i].payload = name + "/" + std::to_string(i);
    assert(entry.run_times.size() == entry.work.tasks.size() &&
           "every task has a run time");
    this->recorded.submissions[name] = std::move(entry);
}

std::string fleet::id_at(const std::string& host, const std::string& key) const
{
    const virtual_host& issuing_host = this->hosts.at(host);
    return support::to_text({.home = issuing_host.alive
                                         ? issuing_host.decisions->home()
                                         : issuing_host.last_home,
                             .key = key});
}

std::size_t fleet::add_call(const std::string& name, const std::string& host,
                            bool is_submission)
{
    call_record call;
    call.name = name;
    call.host = host;
    call.is_submission = is_submission;
    call.asked = this->now();
    call.deadline =
        this->now() +
        milliseconds(this->recorded.submissions.at(name).work.deadline_ms);
    call.is_lost = !this->hosts.at(host).alive;
    this->recorded.calls.push_back(std::move(call));
    return this->recorded.calls.size() - 1;
}

std::size_t fleet::submit(const std::string& name, const std::string& host)
{
    const std::size_t number = this->add_call(name, host, true);
    const schema::submission& work = this->recorded.submissions.at(name).work;
    this->queue.after(
        this->options.caller_latency,
        [this, host, incarnation = this->hosts.at(host).incarnation, number,
         &work]
        {
            this->deliver(host, incarnation,
                          decision::caller_submitted{number, work});
        });
    return number;
}

std::size_t fleet::query(const std::string& name, const std::string& host,
                         bool cancel)
{
    const std::size_t number = this->add_call(name, host, false);
    const std::string id = this->recorded.submissions.at(name).work.id;
    this->queue.after(
        this->options.caller_latency,
        [this, host, incarnation = this->hosts.at(host).incarnation, number, id,
         cancel]
        {
            this->deliver(host, incarnation,
                          decision::caller_queried{number, id, cancel});
        });
    return number;
}

} // namespace chicorydrum::fleet
