/// \file
/// Hosts whose answers of the store hold only a part of what has changed: each
/// report of an endpoint is a change.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using support::milliseconds;

/// As the users' installations: an answer holds the changes of two seconds.
constexpr milliseconds report_interval{1500};
constexpr std::size_t changes_per_answer = 12;

fleet_options small_answers()
{
    return {.endpoints_per_domain = 8,
            .changes_per_answer = changes_per_answer,
            .report_interval = report_interval};
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_feed)

// An owner that the store has refused for seconds reads what has changed since,
// oldest first. Rows from before an endpoint's leaving must not bring it back.
BOOST_AUTO_TEST_CASE(owner_that_was_refused_sends_no_work_to_a_leaving_endpoint)
{
    for (int phase = 0; phase < 500; phase += 50)
        BOOST_TEST_CONTEXT("phase " << phase)
        {
            shard_fleet fleet(small_answers());
            fleet.run_for(warm_up + milliseconds(phase));
            fleet.partition({fleet.owner_of("D1")}, {"store"});
            fleet.run_for(milliseconds(6000));
            fleet.set_draining("D1-e1");
            fleet.run_for(milliseconds(3000));
            fleet.heal();
            const int starts = fleet.endpoint("D1-e1").starts();
            submit_load(fleet, 60, milliseconds(50));
            BOOST_TEST(fleet.endpoint("D1-e1").starts() == starts);
            check_no_violations(fleet);
        }
}

// The same for an endpoint whose leaving no other host could tell it of.
BOOST_AUTO_TEST_CASE(
    domain_that_was_refused_sends_no_work_to_a_leaving_endpoint)
{
    shard_fleet fleet(small_answers());
    fleet.run_for(warm_up);
    fleet.partition({"D1-h1", "D1-h2", "D1-h3"}, {"store"});
    fleet.run_for(milliseconds(6000));
    fleet.set_draining("D1-e1");
    fleet.run_for(milliseconds(3000));
    fleet.heal();
    // A refused read, the longest delay before the next one, and the reads.
    fleet.run_for(milliseconds(2000));
    const int starts = fleet.endpoint("D1-e1").starts();
    submit_load(fleet, 60, milliseconds(50));
    BOOST_TEST(fleet.endpoint("D1-e1").starts() == starts);
}

// A process that starts reads the store as it is, not as it was.
BOOST_AUTO_TEST_CASE(hosts_that_start_anew_send_no_work_to_a_leaving_endpoint)
{
    shard_fleet fleet(small_answers());
    fleet.run_for(milliseconds(9000));
    fleet.set_draining("D1-e1");
    fleet.run_for(milliseconds(2500));
    for (const std::string& host : fleet.host_names())
        fleet.kill(host);
    fleet.run_for(milliseconds(500));
    for (const std::string& host : fleet.host_names())
        fleet.start(host);
    fleet.run_for(milliseconds(1500));
    const int starts = fleet.endpoint("D1-e1").starts();
    submit_load(fleet, 60, milliseconds(50));
    BOOST_TEST(fleet.endpoint("D1-e1").starts() == starts);
    check_no_violations(fleet);
}

// More changes between two reads of a host without shards than one answer
// holds: it must not fall behind, as it may own a shard next.
BOOST_AUTO_TEST_CASE(successor_sends_no_work_to_a_leaving_endpoint)
{
    fleet_options options = small_answers();
    options.changes_per_answer = 8;
    shard_fleet fleet(options);
    fleet.run_for(milliseconds(25000));
    fleet.set_draining("D1-e1");
    fleet.run_for(milliseconds(2100));
    const int starts = fleet.endpoint("D1-e1").starts();
    fleet.kill(fleet.owner_of("D1"));
    fleet.run_for(milliseconds(400));
    submit_load(fleet, 60, milliseconds(50));
    BOOST_TEST(fleet.endpoint("D1-e1").starts() == starts);
    check_no_violations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
