/// \file
/// Load simulations in virtual time that check load shedding by urgency.
#include "load_simulation.hpp"
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

constexpr std::uint64_t session_count = 10;

/// Returns the credit by kind over several sessions in which the rate of
/// \p route rises by \p factor.
std::map<std::string, credit> simulate_burst(const std::string& route,
                                             double factor)
{
    std::map<std::string, credit> sum;
    for (std::uint64_t seed = 1; seed <= session_count; ++seed)
    {
        load_options options = small_installation_load(seed);
        options.length = milliseconds(14000);
        options.bursts.push_back({.route = route,
                                  .from = milliseconds(4000),
                                  .length = milliseconds(7000),
                                  .factor = factor});
        const load_result result = simulate_load(options);
        for (const std::string& line : result.violations)
            BOOST_ERROR(line);
        for (const auto& [name, group] : result.by_kind)
        {
            sum[name].attainable += group.attainable;
            sum[name].earned += group.earned;
        }
    }
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load)

// A burst of the least urgent kind must not take capacity from more urgent
// kinds: it is shed first.
BOOST_AUTO_TEST_CASE(burst_of_least_urgent_kind_is_shed_first)
{
    const auto kinds = simulate_burst("check", 3.5);
    BOOST_TEST(kinds.at("check").share() < kinds.at("quote").share());
    BOOST_TEST(kinds.at("check").share() < kinds.at("print").share());
}

// Half of the endpoints are cut off while a job of wide tasks waits for room
// that was planned there. It can't be served in time any more, so it must be
// refused when the endpoints are lost, not when its caller gives up; what still
// fits must be served.
BOOST_AUTO_TEST_CASE(endpoints_lost_while_wide_tasks_wait)
{
    constexpr milliseconds work(300);
    constexpr milliseconds timeout(2000);
    shard_fleet fleet(
        {.endpoints_per_domain = 4, .profiles = {{.millicores = 64000}}});
    fleet.run_for(warm_up);
    const std::string host = fleet.host_names().front();
    const job_shape wide{
        .tasks = 4, .millicores = 40000, .work = work, .timeout = timeout};
    fleet.submit(host, wide);
    fleet.run_for(milliseconds(10));
    const std::string waiting = fleet.submit(host, wide);
    fleet.run_for(milliseconds(50));
    BOOST_TEST(!fleet.caller(waiting).answer.has_value());
    const std::vector<std::string> hosts = fleet.host_names();
    fleet.partition({hosts.begin(), hosts.end()}, {"D1-e1", "D1-e2"});
    // The owner finds the loss by the overdue answers to these starts.
    fleet.submit(host, {.tasks = 2, .millicores = 20000, .work = work});
    fleet.run_for(milliseconds(150));
    const std::string narrow =
        fleet.submit(host, {.tasks = 2, .millicores = 20000, .work = work});
    fleet.run_for(milliseconds(150));
    const caller_record& refused = fleet.caller(waiting);
    BOOST_TEST((refused.answer == answer_kind::not_run));
    BOOST_TEST(fleet.has_logged("event=job_shed job=" + waiting));
    fleet.run_for(milliseconds(3000));
    BOOST_TEST((fleet.caller(narrow).answer == answer_kind::completed));
    check_no_violations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
