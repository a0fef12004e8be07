/// \file
/// Tasks that run faster near their data or their group: how long they wait
/// for such a place.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

namespace chicorydrum::shards
{

using shard::answer_kind;
using support::milliseconds;

namespace
{

/// In one domain, endpoints with odd numbers are on rack-1, the others on
/// rack-0. Each runs two tasks of the default size.
fleet_options one_domain(int endpoints)
{
    return {.hosts_per_domain = 2, .endpoints_per_domain = endpoints};
}

/// Lets the owner learn the speeds of its endpoints: it expects the first tasks
/// on an endpoint to be faster, so that it is tried.
void learn_speeds(shard_fleet& fleet)
{
    fleet.run_for(warm_up);
    submit_load(fleet, 40, milliseconds(110),
                {.tasks = 4, .work = milliseconds(100)});
    fleet.run_for(milliseconds(1000));
}

support::decision_clock::duration time_of(const shard_fleet& fleet,
                                          const std::string& id)
{
    const caller_record& caller = fleet.caller(id);
    return caller.answered - caller.sent;
}

/// Returns the mean time to the answers of \p jobs, all of them completed.
support::decision_clock::duration
mean_time(const shard_fleet& fleet, const std::vector<std::string>& jobs)
{
    support::decision_clock::duration sum{0};
    for (const std::string& id : jobs)
    {
        BOOST_TEST((fleet.caller(id).answer == answer_kind::completed));
        sum += time_of(fleet, id);
    }
    return sum / static_cast<std::int64_t>(jobs.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(place)

// One rack is busy for a little longer: a task whose data is there ends sooner
// if it waits than away from its data.
BOOST_AUTO_TEST_CASE(task_waits_for_its_busy_rack)
{
    shard_fleet fleet(one_domain(2));
    learn_speeds(fleet);
    const std::string host = fleet.host_names().front();
    const job_shape near{
        .tasks = 2, .work = milliseconds(300), .preferred_rack = "rack-1"};
    const std::string first = fleet.submit(host, near);
    fleet.run_for(milliseconds(200));
    // The rack is free after 100 ms; away from it the task takes 600.
    const std::string second = fleet.submit(
        host,
        {.tasks = 1, .work = milliseconds(300), .preferred_rack = "rack-1"});
    fleet.run_for(milliseconds(2000));
    BOOST_TEST((fleet.caller(second).answer == answer_kind::completed));
    BOOST_TEST((time_of(fleet, second) < milliseconds(500)));
    check_no_violations(fleet);
}

// The wait would take longer than it saves.
BOOST_AUTO_TEST_CASE(task_runs_away_from_a_rack_that_is_busy_for_long)
{
    shard_fleet fleet(one_domain(2));
    fleet.run_for(warm_up);
    const std::string host = fleet.host_names().front();
    fleet.submit(
        host,
        {.tasks = 2, .work = milliseconds(900), .preferred_rack = "rack-1"});
    fleet.run_for(milliseconds(50));
    const std::string second = fleet.submit(
        host,
        {.tasks = 1, .work = milliseconds(100), .preferred_rack = "rack-1"});
    fleet.run_for(milliseconds(2000));
    BOOST_TEST((fleet.caller(second).answer == answer_kind::completed));
    BOOST_TEST((time_of(fleet, second) < milliseconds(300)));
    check_no_violations(fleet);
}

// Many jobs want the same rack while the other one idles: they use both, as
// soon as the queue for the rack costs more than the distance.
BOOST_AUTO_TEST_CASE(hot_rack_does_not_queue_while_the_other_idles)
{
    shard_fleet fleet(one_domain(8));
    fleet.run_for(warm_up);
    // Three times what the rack's endpoints can run.
    std::vector<std::string> jobs;
    const std::vector<std::string> hosts = fleet.host_names();
    for (int i = 0; i < 24; ++i)
        jobs.push_back(fleet.submit(hosts[static_cast<std::size_t>(i) % 2],
                                    {.tasks = 1,
                                     .work = milliseconds(200),
                                     .preferred_rack = "rack-1"}));
    fleet.run_for(milliseconds(3000));
    // On the rack alone they take 200, 400 and 600 ms, 400 on average; with
    // the other rack, whose endpoints take 400 ms, none takes 600.
    for (const std::string& id : jobs)
        BOOST_TEST((time_of(fleet, id) < milliseconds(550)));
    BOOST_TEST((mean_time(fleet, jobs) < milliseconds(390)));
    check_no_violations(fleet);
}

// The rack that a task waits for is lost meanwhile.
BOOST_AUTO_TEST_CASE(lost_rack_is_not_waited_for)
{
    shard_fleet fleet(one_domain(2));
    fleet.run_for(warm_up);
    const std::string host = fleet.host_names().front();
    fleet.submit(
        host,
        {.tasks = 2, .work = milliseconds(400), .preferred_rack = "rack-1"});
    fleet.run_for(milliseconds(250));
    const std::string second = fleet.submit(
        host,
        {.tasks = 1, .work = milliseconds(400), .preferred_rack = "rack-1"});
    fleet.run_for(milliseconds(50));
    fleet.remove_endpoint("D1-e1");
    fleet.run_for(milliseconds(3000));
    BOOST_TEST((fleet.caller(second).answer == answer_kind::completed));
    BOOST_TEST((time_of(fleet, second) < milliseconds(1300)));
    check_no_violations(fleet);
}

// The tasks of a group that wants one rack are not spread over two, although
// both have free capacity.
BOOST_AUTO_TEST_CASE(group_runs_on_one_rack)
{
    shard_fleet fleet(one_domain(8));
    fleet.run_for(warm_up);
    const std::string id = fleet.submit(
        fleet.host_names().front(),
        {.tasks = 8, .work = milliseconds(200), .wants_one_rack = true});
    fleet.run_for(milliseconds(100));
    std::set<int> racks;
    for (int number = 1; number <= 8; ++number)
        if (fleet.endpoint("D1-e" + std::to_string(number)).running_count() > 0)
            racks.insert(number % 2);
    BOOST_TEST(racks.size() == 1);
    fleet.run_for(milliseconds(1000));
    BOOST_TEST((fleet.caller(id).answer == answer_kind::completed));
    check_no_violations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
