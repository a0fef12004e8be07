#include "load_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace chicorydrum::shards
{

namespace
{

using support::instant;
using support::milliseconds;

constexpr milliseconds warm_up{3000};
constexpr milliseconds settling{8000};
constexpr milliseconds window{2000};
/// The routes of shard_fleet's configuration.
constexpr double target_slack_ms = 60;
constexpr double target_stretch = 1.6;
constexpr double useful_targets = 3;
/// Callers wait slightly longer than an answer still earns credit.
constexpr milliseconds timeout_margin{500};

struct sent_job
{
    std::string id;
    const load_kind* kind = nullptr;
    double work_ms = 0;
    double core_ms = 0;
    std::int64_t millicores = 0;
    /// Where its data are, if anywhere.
    std::string rack;
    instant sent;
    std::string domain;
};

/// Draws callers' jobs from one seed, so that all policies get the same load.
class load_source
{
public:
    load_source(const load_options& opts, std::uint64_t seed)
        : options(opts),
          random(static_cast<std::minstd_rand::result_type>(seed * 31 + 7))
    {
    }

    milliseconds next_gap(const load_kind& kind, milliseconds now)
    {
        double rate = kind.per_second;
        for (const load_burst& burst : this->options.bursts)
            if (burst.route == kind.route && now >= burst.from &&
                now < burst.from + burst.length)
                rate *= burst.factor;
        std::exponential_distribution<double> gap(rate / 1000.0);
        return milliseconds(
            std::max<std::int64_t>(1, std::llround(gap(this->random))));
    }

    job_shape next_shape(const load_kind& kind)
    {
        const double work =
            this->vary(kind.mean_work_ms, this->options.size_deviation);
        const double cores =
            std::min(this->vary(kind.mean_millicores, kind.need_deviation),
                     kind.mean_millicores * 1.47);
        const double declared = this->vary(work, this->options.estimate_error);
        return {.tasks = std::max(
                    1, static_cast<int>(std::lround(this->vary(
                           kind.mean_tasks, this->options.size_deviation)))),
                .millicores = std::llround(cores),
                .work = milliseconds(std::max(1LL, std::llround(work))),
                .estimate = milliseconds(std::max(1LL, std::llround(declared))),
                .timeout = milliseconds(std::llround(
                               useful_targets *
                               (target_slack_ms + target_stretch * work))) +
                           timeout_margin,
                .route = kind.route,
                .preferred_rack = this->next_rack()};
    }

    /// Returns a host that takes callers, if any does; a domain gets more of
    /// them while its demand is high.
    const std::string& pick_host(const shard_fleet& fleet,
                                 const std::vector<std::string>& hosts,
                                 milliseconds now)
    {
        std::size_t picked = this->pick(hosts.size());
        while (this->options.swing > 0 && !this->is_wanted(hosts[picked], now))
            picked = this->pick(hosts.size());
        for (std::size_t i = 0; i < hosts.size(); ++i)
        {
            const std::string& host = hosts[(picked + i) % hosts.size()];
            if (fleet.accepts_callers(host))
                return host;
        }
        return hosts[picked];
    }

private:
    /// Draws whether a call goes to the domain of \p host.
    bool is_wanted(const std::string& host, milliseconds now)
    {
        const double turn =
            support::in_seconds(now) /
                support::in_seconds(this->options.swing_period) +
            (host[1] - '1') / static_cast<double>(this->options.fleet.domains);
        const double demand =
            1 + this->options.swing * std::sin(2 * std::numbers::pi * turn);
        return std::uniform_real_distribution<double>(
                   0, 1 + this->options.swing)(this->random) < demand;
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(
            this->random);
    }

    /// Returns the rack of a job's data, or an empty string.
    std::string next_rack()
    {
        // Loads without racks draw what they always did.
        if (this->options.rack_share <= 0)
            return "";
        std::uniform_real_distribution<double> part(0, 1);
        if (part(this->random) >= this->options.rack_share)
            return "";
        return part(this->random) < this->options.hot_rack_part ? "rack-1"
                                                                : "rack-0";
    }

    double vary(double mean, double deviation)
    {
        const double median = mean * std::exp(-deviation * deviation / 2);
        std::lognormal_distribution<double> drawn(std::log(median), deviation);
        return std::min(drawn(this->random), mean * 4);
    }

    const load_options& options;
    std::minstd_rand random;
};

/// Schedules the fault of \p options, whose load begins at \p start.
void inject(shard_fleet& fleet, const load_options& options, instant start)
{
    constexpr milliseconds down_time{3500};
    constexpr milliseconds domain_down_time{4000};
    constexpr milliseconds stop_gap{2000};
    constexpr milliseconds start_gap{200};
    constexpr milliseconds longest_stop{6000};
    const milliseconds when =
        support::duration_cast<milliseconds>(start.time_since_epoch()) +
        options.fault_at;
    const std::vector<std::string> hosts = fleet.host_names();
    switch (options.fault)
    {
    case load_fault::none:
        return;
    case load_fault::owners_killed:
        fleet.at(when,
                 [&fleet, when, down_time]
                 {
                     for (int domain = 1; domain <= 3; ++domain)
                         for (const std::string& owner :
                              fleet.owner_names("D" + std::to_string(domain)))
                         {
                             fleet.kill(owner);
                             fleet.at(when + down_time,
                                      [&fleet, owner] { fleet.start(owner); });
                         }
                 });
        return;
    case load_fault::domain_lost:
        for (const std::string& host : hosts)
        {
            if (!host.starts_with("D1-"))
                continue;
            fleet.at(when, [&fleet, host] { fleet.lose_power(host); });
            fleet.at(when + domain_down_time,
                     [&fleet, host] { fleet.start(host); });
        }
        for (const std::string& id : fleet.endpoint_names())
        {
            if (!id.starts_with("D1-"))
                continue;
            fleet.at(when, [&fleet, id]
                     { fleet.endpoint(id).set_fault(endpoint_fault::dead); });
            fleet.at(when + domain_down_time,
                     [&fleet, id] { fleet.restart_endpoint(id); });
        }
        return;
    case load_fault::rolling_restart:
        for (std::size_t i = 0; i < hosts.size(); ++i)
        {
            const milliseconds stop = when + stop_gap * static_cast<int>(i);
            fleet.at(stop, [&fleet, host = hosts[i]]
                     { fleet.stop_gracefully(host); });
            // It starts as soon as its last callers are answered.
            for (milliseconds later = start_gap; later < longest_stop;
                 later += start_gap)
                fleet.at(stop + later,
                         [&fleet, host = hosts[i]] { fleet.start(host); });
        }
        return;
    }
}

void count(credit& group, const sent_job& job, const caller_record& caller,
           double worth, double late_share)
{
    ++group.jobs;
    group.attainable += worth;
    if (caller.answer == shard::answer_kind::not_run)
        ++group.refused;
    if (caller.answer != shard::answer_kind::completed)
        return;
    const double took_ms =
        support::in_seconds(caller.answered - job.sent) * 1000.0;
    const double target_ms = target_slack_ms + target_stretch * job.work_ms;
    if (took_ms <= useful_targets * target_ms)
        group.answer_ms += took_ms;
    if (took_ms <= target_ms)
    {
        ++group.in_time;
        group.earned += worth;
    }
    else if (took_ms <= useful_targets * target_ms)
    {
        ++group.late;
        group.earned += worth * late_share;
    }
}

/// Returns the ranks of \p jobs within their kinds, by index: "tenth" for the
/// largest tenth by core time, "fifth" for the fifth below it, or "rest".
std::vector<std::string> size_ranks(const std::vector<sent_job>& jobs)
{
    std::map<const load_kind*, std::vector<std::size_t>> by_kind;
    for (std::size_t i = 0; i < jobs.size(); ++i)
        by_kind[jobs[i].kind].push_back(i);
    std::vector<std::string> ranks(jobs.size(), "rest");
    for (auto& [kind, indexes] : by_kind)
    {
        std::sort(indexes.begin(), indexes.end(),
                  [&jobs](std::size_t left, std::size_t right)
                  { return jobs[left].core_ms > jobs[right].core_ms; });
        const std::size_t tenth = indexes.size() / 10;
        for (std::size_t rank = 0; rank < 3 * tenth; ++rank)
            ranks[indexes[rank]] = rank < tenth ? "tenth" : "fifth";
    }
    return ranks;
}

/// Returns whether two tasks of \p job fit on the smallest endpoint.
std::string width_of(const sent_job& job, const load_options& options)
{
    const auto& profiles = options.fleet.profiles;
    const auto smallest = std::min_element(
        profiles.begin(), profiles.end(),
        [](const endpoint_profile& left, const endpoint_profile& right)
        { return left.millicores < right.millicores; });
    return 2 * job.millicores <= smallest->millicores ? "half" : "wide";
}

} // namespace

double load_result::worst_window_share() const
{
    std::vector<double> shares;
    for (const auto& [start, group] : this->by_window)
        shares.push_back(group.share());
    std::sort(shares.begin(), shares.end());
    return shares.size() < 2 ? 1 : (shares[0] + shares[1]) / 2;
}

std::int64_t load_result::seconds_below(double share, milliseconds from) const
{
    const std::int64_t first = from / std::chrono::seconds(1);
    std::int64_t last = -1;
    for (const auto& [second, group] : this->by_second)
        if (second >= first && group.share() < share)
            last = second - first;
    return last + 1;
}

load_options small_installation_load(std::uint64_t seed)
{
    load_options options;
    options.fleet = {.domains = 3,
                     .hosts_per_domain = 2,
                     .endpoints_per_domain = 16,
                     .seed = seed,
                     .keeps_log = false,
                     .profiles = {{.millicores = 16000, .slowness = 1 / 0.7},
                                  {.millicores = 16000, .slowness = 1 / 0.7},
                                  {.millicores = 24000, .slowness = 1 / 1.7}}};
    // Each kind can earn about the same credit per second.
    options.kinds = {{.route = "quote",
                      .per_second = 37,
                      .mean_tasks = 8,
                      .mean_work_ms = 60,
                      .worth = 1 / 34.4},
                     {.route = "print",
                      .per_second = 107,
                      .mean_tasks = 2,
                      .mean_work_ms = 200,
                      .worth = 1 / 100.0},
                     {.route = "check",
                      .per_second = 6.7,
                      .mean_tasks = 4,
                      .mean_work_ms = 900,
                      .worth = 1 / 6.25}};
    return options;
}

load_options wide_task_load(std::uint64_t seed)
{
    load_options options;
    options.fleet = {.domains = 3,
                     .hosts_per_domain = 2,
                     .endpoints_per_domain = 29,
                     .seed = seed,
                     .keeps_log = false,
                     .profiles = {{.millicores = 64000, .slowness = 1 / 0.7},
                                  {.millicores = 64000, .slowness = 1 / 0.7},
                                  {.millicores = 96000, .slowness = 1 / 1.7}}};
    options.kinds = {{.route = "symbols",
                      .per_second = 56,
                      .mean_tasks = 8,
                      .mean_work_ms = 60,
                      .mean_millicores = 32000,
                      .worth = 0.00485},
                     {.route = "previews",
                      .per_second = 164,
                      .mean_tasks = 2,
                      .mean_work_ms = 200,
                      .mean_millicores = 32000,
                      .worth = 0.00167},
                     {.route = "scans",
                      .per_second = 10.2,
                      .mean_tasks = 4,
                      .mean_work_ms = 900,
                      .mean_millicores = 32000,
                      .worth = 0.0267}};
    return options;
}

load_result simulate_load(const load_options& options)
{
    shard_fleet fleet(options.fleet);
    std::vector<std::string> routes;
    for (const load_kind& kind : options.kinds)
        routes.push_back(kind.route);
    fleet.set_config(2, routes);
    fleet.run_for(warm_up);
    const instant start = fleet.now();
    const std::vector<std::string> hosts = fleet.host_names();
    load_source source(options, options.fleet.seed);
    std::vector<sent_job> sent;
    // Each arrival of a kind schedules the next one.
    std::vector<std::function<void()>> arrivals(options.kinds.size());
    for (std::size_t i = 0; i < options.kinds.size(); ++i)
    {
        const load_kind& kind = options.kinds[i];
        arrivals[i] = [&, i]
        {
            const auto passed =
                support::duration_cast<milliseconds>(fleet.now() - start);
            if (passed >= options.length)
                return;
            const job_shape shape = source.next_shape(kind);
            const std::string& host = source.pick_host(fleet, hosts, passed);
            const double work_ms = static_cast<double>(shape.work.count());
            sent.push_back({.id = fleet.submit(host, shape),
                            .kind = &kind,
                            .work_ms = work_ms,
                            .core_ms = work_ms * shape.tasks *
                                       static_cast<double>(shape.millicores) /
                                       1000.0,
                            .millicores = shape.millicores,
                            .rack = shape.preferred_rack,
                            .sent = fleet.now(),
                            .domain = host.substr(0, host.find('-'))});
            const auto now = support::duration_cast<milliseconds>(
                fleet.now().time_since_epoch());
            fleet.at(now + source.next_gap(kind, passed), arrivals[i]);
        };
        arrivals[i]();
    }
    inject(fleet, options, start);
    fleet.run_for(options.length + settling);
    load_result result;
    const std::vector<std::string> ranks = size_ranks(sent);
    for (std::size_t i = 0; i < sent.size(); ++i)
    {
        const sent_job& job = sent[i];
        const load_kind& kind = *job.kind;
        const caller_record& caller = fleet.caller(job.id);
        const double mean_core_ms =
            kind.mean_tasks * kind.mean_work_ms * kind.mean_millicores / 1000.0;
        const double size = job.core_ms / mean_core_ms;
        const double worth = kind.worth * std::min(4.0, 0.3 + 0.7 * size);
        const auto since =
            support::duration_cast<milliseconds>(job.sent - start);
        const auto slot = since / window;
        for (credit* const group :
             {&result.total, &result.by_kind[kind.route],
              &result.by_domain[job.domain], &result.by_window[slot * 2],
              &result.by_place[job.rack.empty() ? "any" : job.rack],
              &result.by_size[kind.route + "/" + ranks[i]],
              &result.by_width[kind.route + "/" + width_of(job, options)]})
            count(*group, job, caller, worth, options.late_share);
    }
    result.violations = fleet.violations();
    return result;
}

} // namespace chicorydrum::shards
