#include "experiment.hpp"

#include <cmath>
#include <memory>
#include <random>

namespace chicorydrum::measure
{

namespace
{

constexpr int domain_count = 3;
constexpr int hosts_per_domain = 3;
constexpr int endpoints_per_domain = 16;
constexpr double speed_spread = 4;

const char* const bundle_text = "kinds:\n"
                                "  - {name: quote, expected_run_time: 300}\n"
                                "  - {name: lookup, expected_run_time: 300}\n"
                                "  - {name: filing, expected_run_time: 300}\n"
                                "teams:\n"
                                "  - {name: desk}\n"
                                "  - {name: flood}\n";

std::string domain_name(int domain)
{
    return std::string(1, static_cast<char>('a' + domain));
}

void use_fixed_shares(decision::dispatcher_options& options)
{
    options.owner.scheduling.shares_work = false;
}

void disable_early_refusal(decision::dispatcher_options& options)
{
    options.owner.admission_control.sheds_predicted_late = false;
    options.owner.scheduling.drops_late_tasks = false;
    options.owner.admission_control.max_open_bytes = std::size_t{1} << 40U;
}

} // namespace

policy our_policy()
{
    return {.name = "ours", .apply = [](decision::dispatcher_options&) {
            }};
}

std::vector<policy> routing_baselines(std::uint64_t seed)
{
    using candidates = std::vector<decision::route_candidate>;
    // Each policy has its own generator, since the policies run in parallel.
    const auto make_pick = [](std::uint64_t generator_seed)
    {
        const auto random = std::make_shared<std::mt19937_64>(generator_seed);
        return [random](std::size_t count)
        {
            return std::uniform_int_distribution<std::size_t>(0, count - 1)(
                *random);
        };
    };
    const auto pick = make_pick(seed);
    const auto pick_two = make_pick(seed + 1);
    const auto make_policy =
        [](const std::string& name, const decision::routing_policy& choose)
    {
        return policy{.name = name,
                      .apply = [choose](decision::dispatcher_options& options)
                      {
                          use_fixed_shares(options);
                          options.owner.scheduling.pool.policy = choose;
                      }};
    };
    const auto is_less_busy = [](const decision::route_candidate& a,
                                 const decision::route_candidate& b)
    {
        return a.endpoint->in_use < b.endpoint->in_use;
    };
    const auto next_index = std::make_shared<std::size_t>(0);
    return {
        make_policy("random",
                    [pick](const candidates& all) { return pick(all.size()); }),
        make_policy("round_robin", [next_index](const candidates& all)
                    { return (*next_index)++ % all.size(); }),
        make_policy("least_outstanding",
                    [is_less_busy](const candidates& all)
                    {
                        return static_cast<std::size_t>(
                            std::min_element(all.begin(), all.end(),
                                             is_less_busy) -
                            all.begin());
                    }),
        make_policy("two_choices",
                    [pick_two, is_less_busy](const candidates& all)
                    {
                        const std::size_t a = pick_two(all.size());
                        const std::size_t b = pick_two(all.size());
                        return is_less_busy(all[a], all[b]) ? a : b;
                    }),
        make_policy("fixed_shares", decision::choose_fastest),
    };
}

std::vector<policy> admission_baselines()
{
    const auto make_policy =
        [](const std::string& name, const decision::queue_policy& next)
    {
        return policy{.name = name,
                      .apply = [next](decision::dispatcher_options& options)
                      {
                          disable_early_refusal(options);
                          options.owner.scheduling.next_record = next;
                      }};
    };
    return {
        make_policy("fifo", [](decision::fair_queue& queue,
                               const decision::flow_filter&)
                    { return queue.peek_oldest(); }),
        make_policy("strict_priority", [](decision::fair_queue& queue,
                                          const decision::flow_filter&)
                    { return queue.peek_most_urgent(); }),
    };
}

deployment make_deployment(std::uint64_t seed)
{
    deployment created;
    created.bundle = bundle_text;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> exponent(-0.5, 0.5);
    for (int i = 0; i < domain_count * endpoints_per_domain; ++i)
        created.endpoints.push_back(
            {.slots = 8, .slowness = std::pow(speed_spread, exponent(random))});
    return created;
}

run_result run(const experiment& config)
{
    fleet::fleet simulated({.seed = config.seed,
                            .keeps_logs = false,
                            .cross_latency = config.setup.cross_latency,
                            .caller_latency = config.setup.caller_latency,
                            .adjust = config.rules.apply},
                           {});
    simulated.platform().preset_bundle(config.setup.bundle);
    std::vector<std::string> hosts;
    for (int d = 0; d < domain_count; ++d)
        for (int i = 0; i < hosts_per_domain; ++i)
        {
            hosts.push_back(domain_name(d) + std::to_string(i));
            simulated.add_host(hosts.back(), domain_name(d));
        }
    for (std::size_t i = 0; i < config.setup.endpoints.size(); ++i)
    {
        const simulated_endpoint& endpoint = config.setup.endpoints[i];
        simulated.add_endpoint(
            {.name = "e" + std::to_string(i),
             .domain = domain_name(static_cast<int>(i) / endpoints_per_domain),
             .slots = endpoint.slots,
             .connections = 64,
             .millicores = 16000,
             .memory_mb = 65536},
            endpoint.slowness);
    }
    if (config.prepare)
        config.prepare(simulated);

    // The load balancer sends arrivals to the live hosts in turn.
    std::vector<std::size_t> calls(config.load.size());
    std::size_t next_host = 0;
    std::function<void(std::size_t)> submit = [&](std::size_t i)
    {
        const arrival& current = config.load[i];
        const std::string name = "r" + std::to_string(i);
        fleet::submission_entry entry;
        entry.work.kind = current.kind;
        entry.work.team = current.team;
        entry.work.urgency = current.urgency;
        entry.work.deadline_ms = current.deadline.count();
        entry.work.tasks.resize(current.run_times.size());
        entry.run_times = current.run_times;
        entry.has_id = current.run_times.size() > 1;
        do
            next_host = (next_host + 1) % hosts.size();
        while (!simulated.is_alive(hosts[next_host]));
        if (entry.has_id)
            entry.work.id = simulated.id_at(hosts[next_host], name);
        simulated.define(name, std::move(entry));
        calls[i] = simulated.submit(name, hosts[next_host]);
        if (i + 1 < config.load.size())
            simulated.events().at(config.load[i + 1].when,
                                  [&submit, i] { submit(i + 1); });
    };
    if (!config.load.empty())
        simulated.events().at(config.load.front().when,
                              [&submit] { submit(0); });
    const support::instant end =
        (config.load.empty() ? support::instant() : config.load.back().when) +
        config.tail;
    run_result result;
    if (!config.load.empty())
        // Later messages are left out: after the load there are heartbeats
        // only.
        simulated.events().at(config.load.back().when,
                              [&] { result.messages = simulated.messages(); });
    simulated.run_until(end);

    for (std::size_t i = 0; i < config.load.size(); ++i)
    {
        const fleet::call_record& call = simulated.records().calls[calls[i]];
        outcome observed;
        observed.response_seconds =
            support::in_seconds(call.answered - call.asked);
        observed.is_complete =
            call.is_answered && call.answer.error == support::error_kind::none;
        observed.is_refused = call.is_answered && call.answer.not_run;
        observed.is_in_deadline =
            observed.is_complete &&
            call.answered <= call.asked + config.load[i].deadline;
        result.outcomes.push_back(observed);
    }
    if (config.load.empty())
        result.messages = simulated.messages();
    result.starts =
        static_cast<std::int64_t>(simulated.records().starts.size());
    result.violations =
        fleet::find_violations(simulated.records(), simulated.now());
    for (const fleet::adoption_record& adoption : simulated.records().adoptions)
        if (adoption.version > 1)
            result.bundle_seconds = std::max(
                result.bundle_seconds,
                support::in_seconds(adoption.when - support::instant()));
    return result;
}

} // namespace chicorydrum::measure
