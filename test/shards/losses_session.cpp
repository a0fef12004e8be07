#include "losses_session.hpp"

#include <algorithm>
#include <array>
#include <functional>

namespace chicorydrum::shards
{

namespace
{

using support::milliseconds;

constexpr milliseconds start_of_load{3500};
constexpr milliseconds end_of_faults{20000};
constexpr milliseconds end_of_load{24000};
/// Covers recovery, a caller's timeout and one more resend.
constexpr milliseconds settling{24000};
/// Series begin early enough that their faults end before end_of_faults.
constexpr int latest_series_ms = 13000;
constexpr int endpoints_per_domain = 8;

int domains_of(std::uint64_t seed)
{
    return seed % 2 == 0 ? 1 : 2;
}

int hosts_of(std::uint64_t seed)
{
    return seed % 3 == 0 ? 4 : 7;
}

fleet_options options_for(std::uint64_t seed, bool keeps_log)
{
    return {.domains = domains_of(seed),
            .hosts_per_domain = hosts_of(seed),
            .endpoints_per_domain = endpoints_per_domain,
            // Four shards a domain, or two.
            .endpoints_per_shard = seed % 4 < 2 ? 2 : 4,
            .seed = seed,
            .keeps_log = keeps_log,
            .powers = {0.5, 0.5, 0.3, 0.09, 0.09, 0.09, 0.09},
            .resumes_with_events = seed % 5 < 3,
            .copies_leave_domain = seed % 8 == 1,
            .longest_answer_delay = milliseconds(seed % 7 < 3 ? 15 : 0),
            .links_need_rows = seed % 11 < 5,
            .is_traced = keeps_log};
}

} // namespace

losses_session::losses_session(std::uint64_t seed, bool keeps_log)
    : random(static_cast<std::minstd_rand::result_type>(seed * 7919 + 1)),
      domains(domains_of(seed)), hosts_per_domain(hosts_of(seed)),
      fleet(options_for(seed, keeps_log))
{
}

std::string losses_session::pick_domain()
{
    return "D" + std::to_string(1 + this->pick(this->domains));
}

std::string losses_session::pick_host(const std::string& domain)
{
    return domain + "-h" +
           std::to_string(1 + this->pick(this->hosts_per_domain));
}

std::string losses_session::pick_endpoint(const std::string& domain)
{
    return domain + "-e" + std::to_string(1 + this->pick(endpoints_per_domain));
}

job_shape losses_session::pick_shape()
{
    return {.tasks = 1 + this->pick(4),
            .millicores = 1000 + this->pick(3000),
            .work = this->pick_time(60, 3000),
            .timeout = this->pick_time(1500, 9500)};
}

void losses_session::plan_endpoints()
{
    for (const std::string& id : this->fleet.endpoint_names())
        this->fleet.endpoint(id).set_answers(
            {.omits_stopping_runs = this->pick(2) == 0,
             .guards_capacity = this->pick(4) == 0});
}

void losses_session::plan_job(milliseconds when, const std::string& host)
{
    const job_shape shape = this->pick_shape();
    // Some callers leave for good, others break their connection and copy.
    const int conduct = this->pick(12);
    const milliseconds connected_for = this->pick_time(0, 1500);
    const milliseconds told_after = this->pick_time(0, 100);
    this->fleet.at(
        when,
        [this, host, shape, conduct, connected_for, told_after, when]
        {
            if (!this->fleet.accepts_callers(host))
                return;
            const std::string job = this->fleet.submit(host, shape);
            if (conduct == 0)
                this->fleet.at(when + connected_for, [this, job]
                               { this->fleet.disconnect_caller(job); });
            if (conduct == 1)
                this->fleet.at(when + connected_for, [this, job, told_after]
                               { this->fleet.lose_caller(job, told_after); });
        });
}

void losses_session::plan_load()
{
    for (milliseconds when = start_of_load; when < end_of_load;
         when += this->pick_time(10, 140))
        this->plan_job(when, this->pick_host(this->pick_domain()));
}

std::function<void(const std::string& host)>
losses_session::pick_loss(milliseconds when)
{
    const milliseconds span = this->pick_time(300, 4000);
    switch (this->pick(6))
    {
    case 0:
    case 1:
        return [this, when, span](const std::string& host)
        {
            this->fleet.lose_power(host);
            this->fleet.at(when + span,
                           [this, host] { this->fleet.start(host); });
        };
    case 2:
        return [this, when, span](const std::string& host)
        {
            this->fleet.kill(host);
            this->fleet.at(when + span,
                           [this, host] { this->fleet.start(host); });
        };
    case 3:
        // Below the time of the pause guard.
        return [this,
                short_span = this->pick_time(100, 390)](const std::string& host)
        {
            this->fleet.pause(host, short_span);
        };
    case 4:
        return [this, span](const std::string& host)
        {
            this->fleet.pause(host, span);
        };
    default:
        return [this, when, span](const std::string& host)
        {
            std::set<std::string> others;
            for (const std::string& name : this->fleet.host_names())
                if (name != host)
                    others.insert(name);
            const int number = this->fleet.partition({host}, others);
            this->fleet.at(when + span,
                           [this, number] { this->fleet.heal(number); });
        };
    }
}

void losses_session::plan_new_start(milliseconds when,
                                    const std::string& domain)
{
    const bool is_loss_of_power = this->pick(2) == 0;
    const bool is_rolling = this->pick(3) == 0;
    const int longest_gap = 100 + this->pick(2500);
    for (int i = 1; i <= this->hosts_per_domain; ++i)
    {
        const std::string host = domain + "-h" + std::to_string(i);
        const milliseconds at =
            when + (is_rolling ? this->pick_time(0, 1500) : milliseconds(0));
        this->fleet.at(at,
                       [this, host, is_loss_of_power]
                       {
                           if (is_loss_of_power)
                               this->fleet.lose_power(host);
                           else
                               this->fleet.kill(host);
                       });
        this->fleet.at(at + this->pick_time(50, longest_gap),
                       [this, host] { this->fleet.start(host); });
    }
}

void losses_session::plan_loss_of_owner(milliseconds when,
                                        const std::string& domain)
{
    const auto loss = this->pick_loss(when);
    const auto number = static_cast<std::size_t>(this->pick(1000));
    this->fleet.at(when,
                   [this, domain, loss, number]
                   {
                       const auto owners = this->fleet.owner_names(domain);
                       if (!owners.empty())
                           loss(owners[number % owners.size()]);
                   });
}

void losses_session::plan_losses_in_turn(milliseconds when,
                                         const std::string& domain)
{
    const std::string entry = this->pick_host(domain);
    // Jobs that are open at the loss, some of them just placed.
    for (int left = 3 + this->pick(6); left > 0; --left)
        this->plan_job(when - this->pick_time(0, 700), entry);
    const auto loss = this->pick_loss(when);
    this->fleet.at(when, [loss, entry] { loss(entry); });
    milliseconds at = when + this->pick_time(0, 700);
    this->plan_loss_of_owner(at, domain);
    // The successor claims the shard 250 to 700 ms later.
    for (int left = this->pick(3); left > 0; --left)
    {
        at += this->pick_time(0, 1200);
        this->plan_loss_of_owner(at, domain);
    }
}

void losses_session::plan_partition(milliseconds when, milliseconds span,
                                    const std::set<std::string>& one,
                                    const std::set<std::string>& other,
                                    bool is_one_way)
{
    this->fleet.at(when,
                   [this, when, span, one, other, is_one_way]
                   {
                       const int number =
                           is_one_way
                               ? this->fleet.partition_one_way(one, other)
                               : this->fleet.partition(one, other);
                       this->fleet.at(when + span, [this, number]
                                      { this->fleet.heal(number); });
                   });
}

void losses_session::plan_link_fault(milliseconds when,
                                     const std::string& domain)
{
    const std::string host = this->pick_host(domain);
    const milliseconds span = this->pick_time(100, 3000);
    std::set<std::string> others;
    for (const std::string& name : this->fleet.host_names())
        if (name != host && this->pick(3) == 0)
            others.insert(name);
    const bool is_one_way = this->pick(3) == 0;
    const bool is_reversed = this->pick(2) == 0;
    switch (this->pick(3))
    {
    case 0:
        this->fleet.at(when,
                       [this, host, others]
                       {
                           for (const std::string& other : others)
                               this->fleet.close_link(host, other);
                       });
        return;
    case 1:
        // The links close as well, instead of holding messages up.
        this->plan_partition(when, span, {host}, others, false);
        this->fleet.at(when,
                       [this, host, others]
                       {
                           for (const std::string& other : others)
                               this->fleet.close_link(host, other);
                       });
        return;
    default:
        if (is_reversed)
            this->plan_partition(when, span, others, {host}, is_one_way);
        else
            this->plan_partition(when, span, {host}, others, is_one_way);
        return;
    }
}

void losses_session::plan_endpoint_fault(milliseconds when,
                                         const std::string& domain)
{
    const std::string id = this->pick_endpoint(domain);
    const std::string host = this->pick_host(domain);
    const milliseconds span = this->pick_time(100, 1500);
    switch (this->pick(4))
    {
    case 0:
        this->plan_partition(when, span, {host}, {id}, this->pick(3) == 0);
        return;
    case 1:
        this->plan_partition(when, span, {id}, {host}, true);
        return;
    default:
    {
        const milliseconds least = this->pick_time(0, 200);
        const milliseconds most = this->pick_time(200, 400);
        this->fleet.at(when, [this, id, least, most]
                       { this->fleet.set_answer_delay(id, least, most); });
        this->fleet.at(when + 2 * span,
                       [this, id] { this->fleet.set_usual_answer_delay(id); });
        return;
    }
    }
}

void losses_session::plan_endpoint_restarts(milliseconds when,
                                            const std::string& domain)
{
    const int first = this->pick(endpoints_per_domain);
    milliseconds at = when;
    for (int i = 1 + this->pick(endpoints_per_domain - 1); i > 0; --i)
    {
        const std::string id =
            domain + "-e" +
            std::to_string(1 + (first + i) % endpoints_per_domain);
        const milliseconds listed_after = this->pick_time(0, 1500);
        const std::int64_t clock_start = this->pick(200000);
        this->fleet.at(at,
                       [this, id, listed_after, clock_start]
                       {
                           this->fleet.restart_endpoint(
                               id, listed_after,
                               new_incarnation{.clock_start_ms = clock_start,
                                               .closes_connections = true});
                       });
        at += this->pick_time(100, 1000);
    }
}

void losses_session::plan_stops_in_turn(milliseconds when,
                                        const std::string& domain)
{
    milliseconds at = when;
    for (int left = 1 + this->pick(3); left > 0; --left)
    {
        const auto number = static_cast<std::size_t>(this->pick(1000));
        this->fleet.at(at,
                       [this, domain, number, at]
                       {
                           const auto owners = this->fleet.owner_names(domain);
                           if (owners.empty())
                               return;
                           const std::string host =
                               owners[number % owners.size()];
                           this->fleet.stop_gracefully(host);
                           this->fleet.at(at + milliseconds(6500), [this, host]
                                          { this->fleet.start(host); });
                       });
        at += this->pick_time(100, 2500);
    }
}

void losses_session::plan_store_fault(milliseconds when,
                                      const std::string& domain)
{
    const milliseconds span = this->pick_time(500, 6000);
    switch (this->pick(3))
    {
    case 0:
    {
        std::set<std::string> refused;
        for (int i = 1; i <= this->hosts_per_domain; ++i)
            if (this->pick(2) == 0)
                refused.insert(domain + "-h" + std::to_string(i));
        this->plan_partition(when, span, refused, {"store"}, false);
        return;
    }
    case 1:
    {
        const milliseconds lag = this->pick_time(500, 5500);
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
        // Some endpoints lack their rows for a time.
        for (int left = 1 + this->pick(3); left > 0; --left)
        {
            const std::string id = this->pick_endpoint(domain);
            this->fleet.at(when, [this, id, span]
                           { this->fleet.unlist_endpoint(id, span); });
        }
        return;
    }
}

void losses_session::plan_series(milliseconds when, const std::string& domain)
{
    const auto later = [this, when](int longest)
    {
        return when + this->pick_time(0, longest);
    };
    const bool begins_anew = this->pick(2) == 0;
    if (begins_anew)
        this->plan_new_start(when, domain);
    for (int left = 1 + this->pick(2); left > 0; --left)
        this->plan_losses_in_turn(later(4000), domain);
    for (int left = this->pick(4); left > 0; --left)
    {
        const milliseconds at = later(4000);
        const std::string host = this->pick_host(domain);
        const milliseconds span = this->pick_time(100, 390);
        this->fleet.at(at,
                       [this, host, span] { this->fleet.pause(host, span); });
    }
    for (int left = this->pick(3); left > 0; --left)
        this->plan_link_fault(later(4000), domain);
    for (int left = this->pick(5); left > 0; --left)
        this->plan_endpoint_fault(later(4000), domain);
    if (this->pick(3) == 0)
        this->plan_endpoint_restarts(later(2000), domain);
    if (this->pick(4) == 0)
        this->plan_stops_in_turn(later(3000), domain);
    if (this->pick(3) == 0)
        this->plan_store_fault(later(3000), domain);
}

std::vector<std::string> losses_session::check()
{
    std::vector<std::string> found = this->fleet.violations();
    for (int i = 1; i <= this->domains; ++i)
    {
        const std::string domain = "D" + std::to_string(i);
        if (this->fleet.owners_of(domain) != this->fleet.shards_of(domain))
            found.push_back("owners of " + domain + ": " +
                            std::to_string(this->fleet.owners_of(domain)));
    }
    for (const std::string& host : this->fleet.host_names())
        if (this->fleet.host(host) != nullptr &&
            this->fleet.host(host)->config().version() != 1)
            found.push_back("an old configuration at " + host);
    if (this->fleet.unanswered() > 0)
        found.push_back("unanswered callers: " +
                        std::to_string(this->fleet.unanswered()));
    return found;
}

std::vector<std::string> losses_session::run()
{
    this->plan_endpoints();
    this->plan_load();
    for (int left = 1 + this->pick(3); left > 0; --left)
        this->plan_series(
            start_of_load + milliseconds(700) +
                this->pick_time(0, latest_series_ms -
                                       static_cast<int>(start_of_load.count()) -
                                       700),
            this->pick_domain());
    this->fleet.at(end_of_faults,
                   [this]
                   {
                       this->fleet.heal();
                       this->fleet.set_read_lag(milliseconds(0));
                       for (const std::string& id :
                            this->fleet.endpoint_names())
                           this->fleet.set_usual_answer_delay(id);
                       for (const std::string& host : this->fleet.host_names())
                           this->fleet.start(host);
                   });
    this->fleet.run_for(end_of_load + settling);
    return this->check();
}

} // namespace chicorydrum::shards
