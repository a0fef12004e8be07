#include "successor_session.hpp"

#include <algorithm>

namespace chicorydrum::shards
{

namespace
{

using support::milliseconds;

constexpr milliseconds start_of_load{4000};
constexpr milliseconds end_of_faults{26000};
constexpr milliseconds end_of_load{22000};
/// Covers recovery and three times the longest timeout: callers send a lost job
/// again until twice its timeout has passed.
constexpr milliseconds settling{90000};
/// The largest lag of reads that the installations' days have, and its span.
constexpr int longest_lag_ms = 6000;
constexpr int longest_lag_span_ms = 12000;
/// A planned stop takes no longer.
constexpr milliseconds stop_time{6500};

fleet_options options_for(std::uint64_t seed, bool keeps_log)
{
    return {.hosts_per_domain = seed % 3 == 0 ? 4 : 3,
            .endpoints_per_domain = 2 + static_cast<int>(seed % 3),
            // Some sessions divide the domain when endpoints are added.
            .endpoints_per_shard = seed % 5 == 0 ? 3 : 32,
            .seed = seed,
            .keeps_log = keeps_log,
            .powers = seed % 2 == 0 ? std::vector<double>{}
                                    : std::vector<double>{0.5, 0.4, 0.3, 0.25},
            .resumes_with_events = seed % 5 < 3,
            .is_traced = keeps_log};
}

} // namespace

successor_session::successor_session(std::uint64_t seed, bool keeps_log)
    : random(static_cast<std::minstd_rand::result_type>(seed * 7919 + 1)),
      hosts_per_domain(options_for(seed, false).hosts_per_domain),
      endpoints(options_for(seed, false).endpoints_per_domain),
      fleet(options_for(seed, keeps_log))
{
}

std::string successor_session::pick_host()
{
    return "D1-h" + std::to_string(1 + this->pick(this->hosts_per_domain));
}

void successor_session::plan_load()
{
    for (milliseconds when = start_of_load; when < end_of_load;
         when += this->pick_time(100, 1500))
    {
        const std::string host = this->pick_host();
        const milliseconds work = this->pick_time(1000, 20000);
        const job_shape shape{.tasks = 1 + this->pick(2),
                              .millicores = 2000 + this->pick(10000),
                              .work = work,
                              .timeout = work + this->pick_time(1000, 8000)};
        const bool loses_caller = this->pick(6) == 0;
        const milliseconds connected_for = this->pick_time(500, 6000);
        this->fleet.at(
            when,
            [this, host, shape, loses_caller, connected_for, when]
            {
                if (!this->fleet.accepts_callers(host))
                    return;
                const std::string job = this->fleet.submit(host, shape);
                if (loses_caller)
                    this->fleet.at(when + connected_for, [this, job]
                                   { this->fleet.lose_caller(job); });
            });
    }
}

void successor_session::plan_restart(milliseconds when, const std::string& host)
{
    if (this->pick(2) == 0)
    {
        const milliseconds gap = this->pick_time(50, 2000);
        this->fleet.at(when, [this, host] { this->fleet.kill(host); });
        this->fleet.at(when + gap, [this, host] { this->fleet.start(host); });
        return;
    }
    this->fleet.at(when, [this, host] { this->fleet.stop_gracefully(host); });
    // A host without open jobs has stopped earlier.
    for (const int after : {2600, 4600})
        this->fleet.at(when + milliseconds(after),
                       [this, host] { this->fleet.start(host); });
    this->fleet.at(when + stop_time, [this, host] { this->fleet.start(host); });
}

void successor_session::plan_differences(milliseconds when)
{
    for (int left = 1 + this->pick(2); left > 0; --left)
        this->plan_restart(when + this->pick_time(0, 4000), this->pick_host());
    for (int left = this->pick(3); left > 0; --left)
    {
        const int number = ++this->endpoints;
        this->fleet.at(when + this->pick_time(0, 4000), [this, number]
                       { this->fleet.add_endpoint("D1", number); });
    }
    for (int left = this->pick(3); left > 0; --left)
    {
        const std::string id =
            "D1-e" + std::to_string(1 + this->pick(this->endpoints));
        const milliseconds span = this->pick_time(1000, 12000);
        this->fleet.at(when + this->pick_time(0, 4000),
                       [this, id, span]
                       {
                           const auto ids = this->fleet.endpoint_names();
                           if (std::count(ids.begin(), ids.end(), id) > 0)
                               this->fleet.unlist_endpoint(id, span);
                       });
    }
    for (int left = this->pick(1 + this->hosts_per_domain); left > 0; --left)
    {
        const std::string host = this->pick_host();
        const milliseconds at = when + this->pick_time(0, 4000);
        const milliseconds lag = this->pick_time(500, longest_lag_ms);
        this->fleet.at(at, [this, host, lag]
                       { this->fleet.set_read_lag(host, lag); });
    }
    this->fleet.at(when + this->pick_time(4000, longest_lag_span_ms),
                   [this] { this->fleet.end_read_lags(); });
    if (this->pick(4) == 0)
    {
        const std::string host = this->pick_host();
        const milliseconds at = when + this->pick_time(0, 4000);
        const milliseconds span = this->pick_time(500, 6000);
        this->fleet.at(at,
                       [this, host, at, span]
                       {
                           const int number =
                               this->fleet.partition({host}, {"store"});
                           this->fleet.at(at + span, [this, number]
                                          { this->fleet.heal(number); });
                       });
    }
}

void successor_session::plan_takeover(milliseconds when)
{
    const int kind = this->pick(4);
    const milliseconds gap = this->pick_time(300, 4000);
    // Its callers send their jobs again to another host.
    const bool loses_entry = this->pick(3) == 0;
    const std::string entry = this->pick_host();
    this->fleet.at(when,
                   [this, kind, gap, loses_entry, entry, when]
                   {
                       if (loses_entry)
                           this->fleet.kill(entry);
                       if (loses_entry)
                           this->fleet.at(when + gap, [this, entry]
                                          { this->fleet.start(entry); });
                       const auto owners = this->fleet.owner_names("D1");
                       if (owners.empty())
                           return;
                       const std::string& owner = owners.front();
                       if (kind == 0)
                           this->fleet.stop_gracefully(owner);
                       if (kind == 1)
                           this->fleet.kill(owner);
                       if (kind == 2)
                           this->fleet.lose_power(owner);
                       if (kind == 3)
                           this->fleet.pause(owner, gap);
                       this->fleet.at(when + (kind == 0 ? stop_time : gap),
                                      [this, owner]
                                      { this->fleet.start(owner); });
                   });
}

std::vector<std::string> successor_session::check()
{
    std::vector<std::string> found = this->fleet.violations();
    if (this->fleet.owners_of("D1") != this->fleet.shards_of("D1"))
        found.push_back("owners of D1: " +
                        std::to_string(this->fleet.owners_of("D1")));
    if (this->fleet.unanswered() > 0)
        found.push_back("unanswered callers: " +
                        std::to_string(this->fleet.unanswered()));
    return found;
}

std::vector<std::string> successor_session::run()
{
    this->plan_load();
    for (int left = 1 + this->pick(2); left > 0; --left)
    {
        const milliseconds when = start_of_load + this->pick_time(1000, 8000);
        this->plan_differences(when);
        milliseconds at = when + this->pick_time(1000, 8000);
        for (int more = 1 + this->pick(2); more > 0; --more)
        {
            this->plan_takeover(at);
            at += this->pick_time(100, 2500);
        }
    }
    this->fleet.at(end_of_faults,
                   [this]
                   {
                       this->fleet.heal();
                       this->fleet.end_read_lags();
                       for (const std::string& host : this->fleet.host_names())
                           this->fleet.start(host);
                   });
    this->fleet.run_for(end_of_load + settling);
    return this->check();
}

} // namespace chicorydrum::shards
