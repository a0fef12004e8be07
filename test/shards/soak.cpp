/// \file
/// Seeded random sessions of entry hosts in virtual time, with mixed faults.
#include "late_session.hpp"
#include "losses_session.hpp"
#include "shard_fleet.hpp"
#include "successor_session.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <string_view>

#include <docopt/docopt.h>

namespace
{

using namespace chicorydrum::shards;
using chicorydrum::support::milliseconds;

constexpr const char* usage =
    R"(Random days of entry hosts with faults, in virtual time.

Usage: shard_soak [--seeds RANGE] [--mix NAME] [--verbose]

Options:
  --seeds RANGE  Seeds as FIRST..LAST [default: 1..200].
  --mix NAME     Faults: "single", one at a time; "chained", several at the
                 same endpoints and hosts within seconds; "channels", broken
                 connections of callers and hosts, with copies sent to any
                 domain; "takeover", several that change owners, without late
                 orders; "incarnations", as "chained" with endpoints that
                 restart, leave the list or are replaced, list ends in pieces,
                 and answer out of order; "strays", requests that are
                 cancelled or repeated at any host or read late, entries of
                 other writers, and endpoints that restart as another kind;
                 "installations", all hosts that start anew, more than
                 once, while the store is silent, refuses some of them, lags
                 or forgets, and endpoints leave; "evacuations", as "single"
                 beside domains that are evacuated and taken back, also in
                 quick turns; "losses", entry hosts and
                 owners lost in turn, slow and unreachable endpoints, cut links
                 and new starts in one domain within seconds; or "late",
                 endpoints that answer no order for a span and execute all of
                 them later, beside lost hosts and copies in other domains
                 [default: single].
  --verbose      Print the log of each failing seed.
)";

constexpr milliseconds start_of_load{3500};
constexpr milliseconds end_of_faults{20000};
constexpr milliseconds end_of_load{24000};
constexpr milliseconds recovery{4700};
constexpr milliseconds resend_delay{1300};
/// How long callers wait for an answer: at least, and what is drawn beyond it.
constexpr milliseconds least_timeout{1500};
constexpr int timeout_choices_ms = 1500;
/// The same for the jobs of the "takeover" mix, which outlast a takeover.
constexpr int long_timeout_choices_ms = 6000;
/// Factor of all times of the "channels" mix, whose tasks must outlast the
/// resend delay.
constexpr int long_work = 4;

/// How long the callers of the "strays" mix wait for an answer before they
/// leave and send the job again.
constexpr milliseconds caller_patience{1500};

enum class fault_mix
{
    single,
    chained,
    channels,
    takeover,
    incarnations,
    strays,
    installations,
    evacuations,
};

/// Answers of half of the sessions overtake each other, by up to this time.
int longest_answer_delay(std::uint64_t seed)
{
    return seed % 4 < 2 ? 15 : 0;
}

constexpr std::array<std::string_view, 8> mix_names = {
    "single",       "chained", "channels",      "takeover",
    "incarnations", "strays",  "installations", "evacuations"};

class soak_session
{
public:
    soak_session(std::uint64_t seed, fault_mix wanted_mix, bool keeps_log)
        : mix(wanted_mix), learns_late(seed % 2 == 0),
          random(static_cast<std::minstd_rand::result_type>(seed * 7919 + 1)),
          fleet({.domains = wanted_mix == fault_mix::installations ? 4 : 2,
                 .hosts_per_domain = 3,
                 .endpoints_per_domain =
                     wanted_mix == fault_mix::installations ? 8 : 4,
                 .endpoints_per_shard = seed % 2 == 0 ? 32 : 2,
                 .seed = seed,
                 .keeps_log = keeps_log,
                 .resumes_with_events =
                     wanted_mix == fault_mix::chained ||
                     wanted_mix == fault_mix::takeover ||
                     wanted_mix == fault_mix::incarnations ||
                     (wanted_mix == fault_mix::installations && seed % 4 < 2),
                 .copies_leave_domain =
                     wanted_mix == fault_mix::channels ||
                     wanted_mix == fault_mix::strays ||
                     (wanted_mix == fault_mix::installations && seed % 3 == 0),
                 .longest_answer_delay =
                     milliseconds(wanted_mix == fault_mix::incarnations
                                      ? longest_answer_delay(seed)
                                      : 0),
                 .links_need_rows = wanted_mix == fault_mix::installations})
    {
    }

    std::vector<std::string> run();
    const shard_fleet& simulated_fleet() const
    {
        return this->fleet;
    }

private:
    int pick(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(this->random);
    }
    milliseconds pick_time(milliseconds from, milliseconds to)
    {
        return from +
               milliseconds(this->pick(static_cast<int>((to - from).count())));
    }
    template <typename Names>
    std::string pick_one(const Names& names)
    {
        return names[static_cast<std::size_t>(
            this->pick(static_cast<int>(names.size())))];
    }
    /// Returns how long a host takes to learn that a caller has left. In half
    /// of the sessions it reads that late, as it reads requests late.
    milliseconds notice_delay(milliseconds when) const
    {
        constexpr int longest = 1500;
        return milliseconds(this->learns_late ? when.count() * 7919 % longest
                                              : 0);
    }
    /// Returns how long a session goes on after its last job was sent.
    milliseconds settling() const;
    void plan_load();
    void plan_fault(milliseconds when);
    void plan_host_fault(milliseconds when, const std::string& host);
    void plan_endpoint_fault(milliseconds when);
    void plan_chain(milliseconds when);
    void plan_chained_endpoint_fault(milliseconds when, const std::string& id,
                                     const std::set<std::string>& hosts);
    void plan_chained_host_fault(milliseconds when, const std::string& host,
                                 const std::set<std::string>& endpoints);
    void plan_answers();
    void plan_incarnation_fault(milliseconds when, const std::string& id);
    void plan_channel_faults(milliseconds when);
    void plan_channel_fault(milliseconds when, const std::string& host);
    void plan_stray(milliseconds when);
    void plan_takeover(milliseconds when);
    void plan_takeover_fault(milliseconds when, const std::string& domain);
    void plan_cut(milliseconds when, milliseconds span,
                  const std::string& domain);
    void plan_installation(milliseconds when);
    void plan_store_trouble(milliseconds when);
    void plan_leaving(milliseconds when);
    void plan_evacuations();
    /// Returns the hosts that do not know which domains are evacuated.
    std::vector<std::string> hosts_behind() const;

    fault_mix mix;
    bool learns_late;
    std::minstd_rand random;
    shard_fleet fleet;
    std::int64_t config = 1;
    /// By domain: whether the operator's request stands.
    std::map<std::string, bool> evacuated;
};

milliseconds soak_session::settling() const
{
    // Covers recovery, a caller's timeout and one more resend.
    const int choices = this->mix == fault_mix::takeover
                            ? long_timeout_choices_ms
                            : timeout_choices_ms;
    const milliseconds longest = least_timeout + milliseconds(choices);
    const int factor = this->mix == fault_mix::channels ? long_work : 1;
    return factor * (recovery + 2 * longest + resend_delay);
}

void soak_session::plan_load()
{
    // Jobs must outlast a takeover to be run by two owners.
    const bool are_long = this->mix == fault_mix::takeover;
    const bool is_large = this->mix == fault_mix::installations;
    const int longest_gap = are_long ? 300 : is_large ? 40 : 120;
    const int longest_work = are_long || is_large ? 1500 : 600;
    const int timeout_choices =
        are_long ? long_timeout_choices_ms : timeout_choices_ms;
    for (milliseconds when = start_of_load; when < end_of_load;
         when += milliseconds(10 + this->pick(longest_gap)))
    {
        const std::string host = this->pick_one(this->fleet.host_names());
        job_shape shape{.tasks = 1 + this->pick(6),
                        .millicores = 4000 + this->pick(5000),
                        .work = milliseconds(20 + this->pick(longest_work)),
                        .timeout = least_timeout +
                                   milliseconds(this->pick(timeout_choices))};
        if (this->mix == fault_mix::channels)
        {
            shape.work *= long_work;
            shape.timeout *= long_work;
        }
        const bool are_strays = this->mix == fault_mix::strays;
        if (are_strays)
        {
            shape.work += milliseconds(300);
            shape.timeout = caller_patience;
            shape.required_label = std::array{"", "kind-a", "kind-b"}.at(
                static_cast<std::size_t>(this->pick(3)));
        }
        const bool disconnects = this->pick(10) == 0;
        const milliseconds connected_for(this->pick(500));
        this->fleet.at(
            when,
            [this, host, shape, are_strays, is_large, disconnects,
             connected_for, when]
            {
                if (!this->fleet.accepts_callers(host))
                    return;
                const std::string job = this->fleet.submit(host, shape);
                if (are_strays || is_large)
                    this->fleet.at(when + shape.timeout,
                                   [this, job, when, is_large]
                                   {
                                       // A host ends each call at its own
                                       // deadline, a later one not yet.
                                       if (is_large &&
                                           this->fleet.caller(job).attempts > 1)
                                           return;
                                       this->fleet.lose_caller(
                                           job, this->notice_delay(when));
                                   });
                if (disconnects)
                    this->fleet.at(when + connected_for, [this, job]
                                   { this->fleet.disconnect_caller(job); });
            });
    }
}

void soak_session::plan_host_fault(milliseconds when, const std::string& host)
{
    const milliseconds span =
        this->pick_time(milliseconds(100), milliseconds(5000));
    switch (this->pick(5))
    {
    case 0:
        this->fleet.at(when, [this, host] { this->fleet.kill(host); });
        this->fleet.at(when + span, [this, host] { this->fleet.start(host); });
        return;
    case 1:
        this->fleet.at(when,
                       [this, host] { this->fleet.stop_gracefully(host); });
        this->fleet.at(when + milliseconds(6500),
                       [this, host] { this->fleet.start(host); });
        return;
    case 2:
        this->fleet.at(when,
                       [this, host, span] { this->fleet.pause(host, span); });
        return;
    case 3:
        this->fleet.at(when, [this, host] { this->fleet.reset_links(host); });
        return;
    default:
    {
        std::set<std::string> others;
        for (const std::string& name : this->fleet.host_names())
            if (name != host)
                others.insert(name);
        for (const std::string& id : this->fleet.endpoint_names())
            if (this->pick(2) == 0)
                others.insert(id);
        if (this->pick(2) == 0)
            others.insert("store");
        this->fleet.at(when, [this, host, others]
                       { this->fleet.partition({host}, others); });
        this->fleet.at(when + span, [this] { this->fleet.heal(); });
        return;
    }
    }
}

void soak_session::plan_endpoint_fault(milliseconds when)
{
    const std::string id = this->pick_one(this->fleet.endpoint_names());
    const milliseconds span =
        this->pick_time(milliseconds(200), milliseconds(5000));
    switch (this->pick(4))
    {
    case 0:
        this->fleet.at(when, [this, id] { this->fleet.restart_endpoint(id); });
        return;
    case 1:
    {
        std::set<std::string> hosts;
        for (const std::string& name : this->fleet.host_names())
            hosts.insert(name);
        this->fleet.at(when, [this, id, hosts]
                       { this->fleet.partition({id}, hosts); });
        this->fleet.at(when + span, [this] { this->fleet.heal(); });
        return;
    }
    default:
    {
        static constexpr std::array faults = {endpoint_fault::late_starts,
                                              endpoint_fault::hangs,
                                              endpoint_fault::fails_all};
        const endpoint_fault fault =
            faults[static_cast<std::size_t>(this->pick(3))];
        this->fleet.at(when, [this, id, fault]
                       { this->fleet.endpoint(id).set_fault(fault); });
        this->fleet.at(
            when + span, [this, id]
            { this->fleet.endpoint(id).set_fault(endpoint_fault::none); });
        return;
    }
    }
}

void soak_session::plan_fault(milliseconds when)
{
    switch (this->pick(8))
    {
    case 0:
        this->fleet.at(when, [this] { this->fleet.set_store_up(false); });
        this->fleet.at(when + milliseconds(this->pick(5000)),
                       [this] { this->fleet.set_store_up(true); });
        return;
    case 1:
        this->fleet.at(when, [this] { this->fleet.discard_history(); });
        return;
    case 2:
        this->fleet.at(when,
                       [this]
                       {
                           this->config += 3;
                           this->fleet.set_config(this->config, {"quote"});
                       });
        return;
    case 3:
        // All hosts lose power at once and restart.
        for (const std::string& host : this->fleet.host_names())
            this->fleet.at(when, [this, host] { this->fleet.kill(host); });
        for (const std::string& host : this->fleet.host_names())
            this->fleet.at(when + milliseconds(500),
                           [this, host] { this->fleet.start(host); });
        return;
    case 4:
    case 5:
        this->plan_endpoint_fault(when);
        return;
    default:
        this->plan_host_fault(when, this->pick_one(this->fleet.host_names()));
        return;
    }
}

void soak_session::plan_chained_endpoint_fault(
    milliseconds when, const std::string& id,
    const std::set<std::string>& hosts)
{
    const milliseconds span =
        this->pick_time(milliseconds(200), milliseconds(4000));
    switch (this->pick(4))
    {
    case 0:
    {
        const late_order_rules rules{
            .percent = 30 + this->pick(71),
            .least = milliseconds(300 + this->pick(2000)),
            .survive_restart = this->pick(2) == 0,
            .lease_counts_from_execution = this->pick(2) == 0};
        this->fleet.at(when, [this, id, rules]
                       { this->fleet.endpoint(id).set_late_orders(rules); });
        this->fleet.at(when + span, [this, id]
                       { this->fleet.endpoint(id).set_late_orders({}); });
        return;
    }
    case 1:
    {
        const milliseconds listed_after(this->pick(3000));
        const std::int64_t clock_start = this->pick(200000);
        this->fleet.at(
            when, [this, id, listed_after, clock_start]
            { this->fleet.restart_endpoint(id, listed_after, clock_start); });
        return;
    }
    case 2:
        this->fleet.at(when, [this, id, hosts]
                       { this->fleet.partition_one_way({id}, hosts); });
        this->fleet.at(when + span, [this] { this->fleet.heal(); });
        return;
    default:
        this->fleet.at(when, [this, id, hosts]
                       { this->fleet.partition({id}, hosts); });
        this->fleet.at(when + span, [this] { this->fleet.heal(); });
        return;
    }
}

void soak_session::plan_chained_host_fault(
    milliseconds when, const std::string& host,
    const std::set<std::string>& endpoints)
{
    const milliseconds span =
        this->pick_time(milliseconds(100), milliseconds(3000));
    switch (this->pick(3))
    {
    case 0:
        this->fleet.at(when,
                       [this, host, span] { this->fleet.suspend(host, span); });
        return;
    case 1:
    {
        std::set<std::string> peers = endpoints;
        for (const std::string& name : this->fleet.host_names())
            if (name != host)
                peers.insert(name);
        const bool is_one_way = this->pick(2) == 0;
        this->fleet.at(when,
                       [this, host, peers, is_one_way]
                       {
                           if (is_one_way)
                               this->fleet.partition_one_way({host}, peers);
                           else
                               this->fleet.partition({host}, peers);
                       });
        this->fleet.at(when + span, [this] { this->fleet.heal(); });
        return;
    }
    default:
        this->plan_host_fault(when, host);
        return;
    }
}

void soak_session::plan_chain(milliseconds when)
{
    const std::string domain = this->pick(2) == 0 ? "D1-" : "D2-";
    std::set<std::string> hosts;
    for (int i = 1; i <= 3; ++i)
        if (this->pick(3) != 0)
            hosts.insert(domain + "h" + std::to_string(i));
    std::set<std::string> endpoints;
    for (int i = 1; i <= 4; ++i)
        if (this->pick(2) == 0)
            endpoints.insert(domain + "e" + std::to_string(i));
    for (const std::string& id : endpoints)
        for (int left = 1 + this->pick(3); left > 0; --left)
        {
            const milliseconds at = when + milliseconds(this->pick(3000));
            if (this->mix == fault_mix::incarnations && this->pick(2) == 0)
                this->plan_incarnation_fault(at, id);
            else
                this->plan_chained_endpoint_fault(at, id, hosts);
        }
    for (int left = this->pick(3); left > 0; --left)
        this->plan_chained_host_fault(
            when + milliseconds(this->pick(3000)),
            domain + "h" + std::to_string(1 + this->pick(3)), endpoints);
}

void soak_session::plan_answers()
{
    for (const std::string& id : this->fleet.endpoint_names())
        this->fleet.endpoint(id).set_answers(
            {.ends_per_list = static_cast<std::size_t>(1 + this->pick(3)),
             .omits_stopping_runs = this->pick(2) == 0,
             .guards_capacity = this->pick(4) == 0});
}

void soak_session::plan_incarnation_fault(milliseconds when,
                                          const std::string& id)
{
    const milliseconds listed_after(this->pick(3000));
    const milliseconds span =
        this->pick_time(milliseconds(50), milliseconds(5000));
    const new_incarnation next{.clock_start_ms = this->pick(200000),
                               .born_ms = 1 + this->pick(1000000)};
    switch (this->pick(3))
    {
    case 0:
        this->fleet.at(when,
                       [this, id, listed_after, next] {
                           this->fleet.restart_endpoint(id, listed_after, next);
                       });
        return;
    case 1:
        this->fleet.at(when, [this, id, span]
                       { this->fleet.unlist_endpoint(id, span); });
        return;
    default:
        this->fleet.at(
            when, [this, id]
            { this->fleet.endpoint(id).set_fault(endpoint_fault::replaced); });
        this->fleet.at(when + span,
                       [this, id, listed_after, next] {
                           this->fleet.restart_endpoint(id, listed_after, next);
                       });
        return;
    }
}

void soak_session::plan_channel_faults(milliseconds when)
{
    for (int left = 1 + this->pick(4); left > 0; --left)
        this->plan_channel_fault(when + milliseconds(this->pick(1500)),
                                 this->pick_one(this->fleet.host_names()));
}

void soak_session::plan_channel_fault(milliseconds when,
                                      const std::string& host)
{
    switch (this->pick(6))
    {
    case 0:
    case 1:
        this->fleet.at(when,
                       [this, host] { this->fleet.reset_channels(host); });
        return;
    case 2:
        this->fleet.at(when, [this, host] { this->fleet.silence_links(host); });
        return;
    case 3:
        this->fleet.at(when,
                       [this, host]
                       {
                           this->fleet.kill(host);
                           this->fleet.start(host);
                       });
        return;
    case 4:
    {
        const milliseconds span =
            this->pick_time(milliseconds(100), milliseconds(5000));
        this->fleet.at(when, [this, host] { this->fleet.kill(host); });
        this->fleet.at(when + span, [this, host] { this->fleet.start(host); });
        return;
    }
    default:
        this->fleet.at(when, [this, host] { this->fleet.reset_links(host); });
        return;
    }
}

void soak_session::plan_cut(milliseconds when, milliseconds span,
                            const std::string& domain)
{
    std::set<std::string> one;
    std::set<std::string> other;
    for (int i = 1; i <= 3; ++i)
        (this->pick(2) == 0 ? one : other)
            .insert(domain + "h" + std::to_string(i));
    for (int i = 1; i <= 4; ++i)
    {
        // A third of the endpoints is reached by both sides.
        const int side = this->pick(3);
        if (side < 2)
            (side == 0 ? one : other).insert(domain + "e" + std::to_string(i));
    }
    // A host that both sides reach, half of the time.
    if (this->pick(2) == 0)
    {
        const std::string host =
            domain + "h" + std::to_string(1 + this->pick(3));
        one.erase(host);
        other.erase(host);
    }
    const bool is_one_way = this->pick(3) == 0;
    this->fleet.at(when,
                   [this, one, other, is_one_way]
                   {
                       if (is_one_way)
                           this->fleet.partition_one_way(one, other);
                       else
                           this->fleet.partition(one, other);
                   });
    this->fleet.at(when + span, [this] { this->fleet.heal(); });
}

void soak_session::plan_takeover_fault(milliseconds when,
                                       const std::string& domain)
{
    const milliseconds span =
        this->pick_time(milliseconds(300), milliseconds(4000));
    const std::string host = domain + "h" + std::to_string(1 + this->pick(3));
    const std::string id = domain + "e" + std::to_string(1 + this->pick(4));
    switch (this->pick(8))
    {
    case 0:
        this->fleet.at(when,
                       [this, host, span] { this->fleet.pause(host, span); });
        return;
    case 1:
        this->fleet.at(when,
                       [this, host, span] { this->fleet.suspend(host, span); });
        return;
    case 2:
        this->fleet.at(when, [this, host] { this->fleet.kill(host); });
        this->fleet.at(when + span, [this, host] { this->fleet.start(host); });
        return;
    case 3:
        this->fleet.at(when,
                       [this, host] { this->fleet.stop_gracefully(host); });
        this->fleet.at(when + milliseconds(6500),
                       [this, host] { this->fleet.start(host); });
        return;
    case 4:
    {
        const milliseconds listed_after(this->pick(3000));
        const std::int64_t clock_start = this->pick(200000);
        this->fleet.at(when,
                       [this, id, listed_after, clock_start]
                       {
                           this->fleet.restart_endpoint(
                               id, listed_after,
                               new_incarnation{.clock_start_ms = clock_start,
                                               .closes_connections = true});
                       });
        return;
    }
    default:
        this->plan_cut(when, span, domain);
        return;
    }
}

void soak_session::plan_stray(milliseconds when)
{
    const std::string host = this->pick_one(this->fleet.host_names());
    const std::string other = this->pick_one(this->fleet.host_names());
    const std::string id = this->pick_one(this->fleet.endpoint_names());
    const std::string neighbour = this->pick_one(this->fleet.endpoint_names());
    // Endpoints write their entries every 1,500 ms.
    const milliseconds span(this->pick(1500));
    const milliseconds later = when + milliseconds(100 + this->pick(9000));
    const int number = this->pick(1000);
    switch (this->pick(4))
    {
    case 0:
    {
        const milliseconds pause(1500 + this->pick(3000));
        this->fleet.at(when,
                       [this, host, pause] { this->fleet.pause(host, pause); });
        return;
    }
    case 1:
        this->fleet.at(
            when,
            [this, host, other, number, later]
            {
                // One of the youngest jobs.
                const int newest = this->fleet.submitted();
                const std::string job =
                    "job" + std::to_string(std::max(1, newest - number % 10));
                this->fleet.cancel(job, host);
                // Requests are repeated only after their answer.
                this->fleet.at(later,
                               [this, job, other]
                               {
                                   if (this->fleet.caller(job).answer)
                                       this->fleet.repeat(job, other);
                               });
            });
        return;
    case 2:
        this->fleet.at(when, [this, id, neighbour, span]
                       { this->fleet.forge_entry(id, neighbour, span); });
        return;
    default:
    {
        const new_incarnation next{
            .millicores = number % 3 == 0 ? 8000 : 16000,
            .labels = {{number % 2 == 0 ? "kind-a" : "kind-b", "rack-0"}},
            .closes_connections = true};
        this->fleet.at(when, [this, id, span, next]
                       { this->fleet.restart_endpoint(id, span, next); });
        return;
    }
    }
}

void soak_session::plan_store_trouble(milliseconds when)
{
    const milliseconds span =
        this->pick_time(milliseconds(500), milliseconds(9000));
    switch (this->pick(4))
    {
    case 0:
        this->fleet.at(when, [this] { this->fleet.set_store_up(false); });
        this->fleet.at(when + span, [this] { this->fleet.set_store_up(true); });
        return;
    case 1:
    {
        // One host of each domain reaches the store, or no host of one domain.
        const std::string domain =
            this->pick(3) == 0 ? "D" + std::to_string(1 + this->pick(4)) : "";
        std::set<std::string> refused;
        for (const std::string& name : this->fleet.host_names())
            if (domain.empty() ? !name.ends_with("h3") && this->pick(2) == 0
                               : name.starts_with(domain))
                refused.insert(name);
        this->fleet.at(when, [this, refused]
                       { this->fleet.partition(refused, {"store"}); });
        this->fleet.at(when + span, [this] { this->fleet.heal(); });
        return;
    }
    case 2:
    {
        const milliseconds lag(500 + this->pick(5500));
        this->fleet.at(when,
                       [this, lag]
                       {
                           this->fleet.discard_history();
                           this->fleet.set_read_lag(lag);
                       });
        this->fleet.at(when + span,
                       [this] { this->fleet.set_read_lag(milliseconds(0)); });
        return;
    }
    default:
        this->fleet.at(when, [this] { this->fleet.discard_history(); });
        return;
    }
}

void soak_session::plan_leaving(milliseconds when)
{
    const std::string id = this->pick_one(this->fleet.endpoint_names());
    this->fleet.at(when, [this, id] { this->fleet.set_draining(id); });
}

void soak_session::plan_installation(milliseconds when)
{
    for (int left = 1 + this->pick(2); left > 0; --left)
        this->plan_store_trouble(when + milliseconds(this->pick(3000)));
    for (int left = 2 + this->pick(5); left > 0; --left)
        this->plan_leaving(when + milliseconds(this->pick(6000)));
    for (int start = 1 + this->pick(3); start > 0; --start)
    {
        const milliseconds killed_at = when + milliseconds(this->pick(6000));
        const int longest_gap = 100 + this->pick(3000);
        const bool is_rolling = this->pick(2) == 0;
        for (const std::string& host : this->fleet.host_names())
        {
            const milliseconds at =
                killed_at + milliseconds(is_rolling ? this->pick(2000) : 0);
            this->fleet.at(at, [this, host] { this->fleet.kill(host); });
            this->fleet.at(at + milliseconds(this->pick(longest_gap)),
                           [this, host] { this->fleet.start(host); });
        }
    }
    for (const std::string& host : this->fleet.host_names())
        if (this->pick(3) == 0)
            this->fleet.at(when + milliseconds(this->pick(9000)),
                           [this, host] { this->fleet.reset_channels(host); });
    // Hosts of one domain, or all, stand still, all at once or one by one.
    if (this->pick(2) == 0)
    {
        const std::string stopped =
            this->pick(2) == 0 ? "D" : "D" + std::to_string(1 + this->pick(4));
        const milliseconds at = when + milliseconds(this->pick(8000));
        const milliseconds span(300 + this->pick(5000));
        const bool are_together = this->pick(2) == 0;
        for (const std::string& host : this->fleet.host_names())
        {
            const milliseconds later(are_together ? 0 : this->pick(2000));
            if (host.starts_with(stopped))
                this->fleet.at(at + later, [this, host, span]
                               { this->fleet.pause(host, span); });
        }
    }
    // Links between hosts of a domain that come late.
    if (this->pick(3) != 0)
        return;
    const std::string domain = "D" + std::to_string(1 + this->pick(4)) + "-h";
    const int number = 1 + this->pick(3);
    const std::string host = domain + std::to_string(number);
    const std::string other = domain + std::to_string(1 + number % 3);
    const milliseconds at = when + milliseconds(this->pick(8000));
    this->fleet.at(at, [this, host, other]
                   { this->fleet.partition({host}, {other}); });
    this->fleet.at(at + milliseconds(200 + this->pick(4000)),
                   [this] { this->fleet.heal(); });
}

void soak_session::plan_takeover(milliseconds when)
{
    const std::string domain = this->pick(2) == 0 ? "D1-" : "D2-";
    for (int left = 2 + this->pick(4); left > 0; --left)
        this->plan_takeover_fault(when + milliseconds(this->pick(3000)),
                                  domain);
}

void soak_session::plan_evacuations()
{
    for (const char* const domain : {"D1", "D2"})
    {
        milliseconds when = this->pick_time(start_of_load, end_of_faults);
        for (int left = this->pick(5); left > 0; --left)
        {
            this->fleet.at(when,
                           [this, domain]
                           {
                               bool& is_requested = this->evacuated[domain];
                               is_requested = !is_requested;
                               if (is_requested)
                                   this->fleet.request_evacuation(domain);
                               else
                                   this->fleet.end_evacuation(domain);
                           });
            when +=
                milliseconds(1 + this->pick(this->pick(2) == 0 ? 50 : 8000));
        }
    }
}

std::vector<std::string> soak_session::hosts_behind() const
{
    std::vector<std::string> found;
    for (const auto& [domain, is_requested] : this->evacuated)
        for (const std::string& host : this->fleet.host_names())
            if (this->fleet.host(host) != nullptr &&
                this->fleet.host(host)->evacuations().is_evacuated(domain) !=
                    is_requested)
                found.push_back(host + " is wrong about " + domain);
    return found;
}

std::vector<std::string> soak_session::run()
{
    this->plan_load();
    if (this->mix == fault_mix::evacuations)
        this->plan_evacuations();
    if (this->mix == fault_mix::incarnations)
        this->plan_answers();
    const bool has_few = this->mix == fault_mix::chained ||
                         this->mix == fault_mix::takeover ||
                         this->mix == fault_mix::incarnations ||
                         this->mix == fault_mix::installations;
    const int faults = 1 + this->pick(has_few ? 4 : 8);
    for (int i = 0; i < faults; ++i)
    {
        const milliseconds when = this->pick_time(start_of_load, end_of_faults);
        switch (this->mix)
        {
        case fault_mix::single:
        case fault_mix::evacuations:
            this->plan_fault(when);
            break;
        case fault_mix::chained:
        case fault_mix::incarnations:
            this->plan_chain(when);
            break;
        case fault_mix::channels:
            this->plan_channel_faults(when);
            break;
        case fault_mix::takeover:
            this->plan_takeover(when);
            break;
        case fault_mix::installations:
            this->plan_installation(when);
            break;
        case fault_mix::strays:
            for (int left = 3; left > 0; --left)
                this->plan_stray(when + milliseconds(this->pick(2000)));
            break;
        }
    }
    this->fleet.at(end_of_faults,
                   [this]
                   {
                       this->fleet.heal();
                       this->fleet.set_store_up(true);
                       this->fleet.set_read_lag(milliseconds(0));
                       for (const std::string& host : this->fleet.host_names())
                           this->fleet.start(host);
                   });
    this->fleet.run_for(end_of_load + this->settling());
    std::vector<std::string> found = this->fleet.violations();
    const std::vector<std::string> behind = this->hosts_behind();
    found.insert(found.end(), behind.begin(), behind.end());
    for (const char* const domain : {"D1", "D2", "D3", "D4"})
        if (this->fleet.owners_of(domain) != this->fleet.shards_of(domain))
            found.push_back(std::string("owners of ") + domain + ": " +
                            std::to_string(this->fleet.owners_of(domain)));
    for (const std::string& host : this->fleet.host_names())
        if (this->fleet.host(host) != nullptr &&
            this->fleet.host(host)->config().version() != this->config)
            found.push_back("an old configuration at " + host);
    if (this->fleet.unanswered() > 0)
        found.push_back("unanswered callers: " +
                        std::to_string(this->fleet.unanswered()));
    return found;
}

/// Plays a session and prints what it violated.
template <typename Session>
bool fails(Session session, std::uint64_t seed, bool prints_log)
{
    const std::vector<std::string> found = session.run();
    if (found.empty())
        return false;
    std::cout << "seed " << seed << "\n";
    for (const std::string& line : found)
        std::cout << "  " << line << "\n";
    if (prints_log)
        for (const std::string& line : session.simulated_fleet().log())
            std::cout << "    " << line << "\n";
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const std::string range = arguments.at("--seeds").asString();
    const std::size_t dots = range.find("..");
    if (dots == std::string::npos)
    {
        std::cerr << usage;
        return 2;
    }
    const std::uint64_t first = std::stoull(range.substr(0, dots));
    const std::uint64_t last = std::stoull(range.substr(dots + 2));
    const std::string wanted = arguments.at("--mix").asString();
    const auto named = std::find(mix_names.begin(), mix_names.end(), wanted);
    const bool are_losses = wanted == "losses";
    const bool are_successors = wanted == "successors";
    const bool are_late = wanted == "late";
    if (named == mix_names.end() && !are_losses && !are_successors && !are_late)
    {
        std::cerr << usage;
        return 2;
    }
    const bool is_verbose = arguments.at("--verbose").asBool();
    std::uint64_t failing = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed)
    {
        bool has_failed = false;
        if (are_losses)
            has_failed =
                fails(losses_session(seed, is_verbose), seed, is_verbose);
        else if (are_late)
            has_failed =
                fails(late_session(seed, is_verbose), seed, is_verbose);
        else if (are_successors)
            has_failed =
                fails(successor_session(seed, is_verbose), seed, is_verbose);
        else
        {
            const auto mix = static_cast<fault_mix>(named - mix_names.begin());
            has_failed =
                fails(soak_session(seed, mix, is_verbose), seed, is_verbose);
        }
        failing += has_failed ? 1 : 0;
    }
    std::cout << "seeds=" << last - first + 1 << " violations=" << failing
              << "\n";
    return failing == 0 ? 0 : 1;
}
