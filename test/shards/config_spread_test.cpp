/// \file
/// Configurations of many routes, in installations whose links have a rate and
/// whose hosts have a share of a core.
#include "scenario_support.hpp"

#include <array>
#include <map>

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

using shard::answer_kind;
using support::milliseconds;

namespace
{

/// The thinnest links of quesada-cinta-grown: 19 Mbit/s.
constexpr double link_rate = 2375;
/// On one core of the machines that the tests run on.
constexpr support::microseconds decode_time{25};
/// A confirmed configuration must be in force after this.
constexpr milliseconds apply_limit{3000};
constexpr std::size_t many_routes = 1400;

/// The installation of quesada-cinta-grown with fewer endpoints.
fleet_options large_installation()
{
    return {.domains = 4,
            .hosts_per_domain = 7,
            .endpoints_per_domain = 8,
            .powers = {0.5, 0.5, 0.3, 0.3, 0.09, 0.09, 0.09},
            .peer_bytes_per_ms = link_rate,
            .decode_time = decode_time};
}

std::vector<std::string> routes_with(std::size_t added)
{
    std::vector<std::string> names = {"quote", "check"};
    for (std::size_t i = 0; i < added; ++i)
        names.push_back("added" + std::to_string(i));
    return names;
}

/// Returns the hosts that run and have not the version \p version.
std::vector<std::string> hosts_without(const shard_fleet& fleet,
                                       std::int64_t version)
{
    std::vector<std::string> found;
    for (const std::string& name : fleet.host_names())
    {
        const shard::entry_host* const host = fleet.host(name);
        if (host != nullptr && host->config().version() != version)
            found.push_back(name);
    }
    return found;
}

/// Fails for each line from \p begin on that shows that a host took another
/// one, or the store, for lost. The lines of the store may be \p lost_stores.
void check_nobody_lost(const shard_fleet& fleet, std::size_t begin,
                       int lost_stores = 0)
{
    static constexpr std::array<std::string_view, 7> events = {
        "link_was_silent", "peer_lost",     "host_isolated", "shard_claimed",
        "pause_detected",  "endpoint_lost", "store_lost"};
    std::map<std::string_view, int> counts;
    for (std::size_t i = begin; i < fleet.log().size(); ++i)
        for (const std::string_view event : events)
            if (fleet.log()[i].find(event) != std::string::npos)
                ++counts[event];
    for (const auto& [event, count] : counts)
        BOOST_TEST((event == "store_lost" && count <= lost_stores),
                   count << " lines with " << event);
}

void check_all_have(const shard_fleet& fleet, std::int64_t version)
{
    const std::vector<std::string> without = hosts_without(fleet, version);
    BOOST_TEST(without.empty(), without.size()
                                    << " hosts are without version " << version
                                    << ", such as " << without.front());
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_spread)

// Guards against hosts that send each large configuration to all others, so
// that heartbeats wait behind it and live hosts count as lost.
BOOST_AUTO_TEST_CASE(large_change_disturbs_nobody)
{
    shard_fleet fleet(large_installation());
    fleet.run_for(warm_up);
    const std::size_t begin = fleet.log().size();
    fleet.set_config(2, routes_with(many_routes));
    const auto jobs = submit_load(fleet, 60, milliseconds(50),
                                  {.tasks = 1, .timeout = milliseconds(2000)});
    check_all_have(fleet, 2);
    fleet.run_for(milliseconds(2000));
    check_nobody_lost(fleet, begin);
    for (const std::string& job : jobs)
        BOOST_TEST((fleet.caller(job).answer == answer_kind::completed &&
                    fleet.caller(job).attempts == 1));
    check_no_violations(fleet);
}

// Guards against the same for small changes of a large configuration in quick
// succession, and against a version that is late behind the earlier ones.
BOOST_AUTO_TEST_CASE(changes_in_series_disturb_nobody)
{
    shard_fleet fleet(large_installation());
    fleet.run_for(warm_up);
    fleet.set_config(2, routes_with(many_routes));
    fleet.run_for(apply_limit);
    const std::size_t begin = fleet.log().size();
    constexpr int changes = 12;
    for (int i = 0; i < changes; ++i)
    {
        fleet.set_config(
            3 + i, routes_with(many_routes + 1 + static_cast<std::size_t>(i)));
        fleet.run_for(milliseconds(300));
    }
    fleet.run_for(apply_limit - milliseconds(300));
    check_all_have(fleet, 2 + changes);
    check_nobody_lost(fleet, begin);
    check_no_violations(fleet);
}

// Guards against a restart that makes all peers send the configuration to the
// host that starts.
BOOST_AUTO_TEST_CASE(restarts_beside_a_large_configuration_disturb_nobody)
{
    shard_fleet fleet(large_installation());
    fleet.run_for(warm_up);
    fleet.set_config(2, routes_with(many_routes));
    fleet.run_for(milliseconds(4000));
    for (const char* const host : {"D1-h7", "D2-h6", "D3-h5"})
    {
        fleet.stop_gracefully(host);
        fleet.run_for(milliseconds(4000));
        const std::size_t begin = fleet.log().size();
        fleet.start(host);
        fleet.run_for(apply_limit);
        check_all_have(fleet, 2);
        check_nobody_lost(fleet, begin);
    }
    check_no_violations(fleet);
}

// Guards against a large configuration that does not reach the hosts that the
// store does not answer, or that takes them apart.
BOOST_AUTO_TEST_CASE(hosts_without_the_store_get_it_from_peers)
{
    for (const std::set<std::string>& cut :
         {std::set<std::string>{"D1-h7"},
          std::set<std::string>{"D1-h5", "D2-h6", "D3-h7", "D4-h1", "D4-h2"}})
    {
        shard_fleet fleet(large_installation());
        fleet.run_for(warm_up);
        fleet.partition(cut, {"store"});
        fleet.run_for(milliseconds(4000));
        const std::size_t begin = fleet.log().size();
        fleet.set_config(2, routes_with(many_routes));
        fleet.run_for(apply_limit);
        check_all_have(fleet, 2);
        fleet.set_config(3, routes_with(many_routes + 1));
        fleet.run_for(apply_limit);
        check_all_have(fleet, 3);
        check_nobody_lost(fleet, begin);
        check_no_violations(fleet);
    }
}

// Guards against a host that reads each version that it has missed, one large
// document after the other, when the store serves it again.
BOOST_AUTO_TEST_CASE(store_that_is_back_after_many_changes_disturbs_nobody)
{
    shard_fleet fleet(large_installation());
    fleet.run_for(warm_up);
    fleet.set_config(2, routes_with(many_routes));
    fleet.run_for(apply_limit);
    const int cut = fleet.partition({"D1-h5", "D2-h1"}, {"store"});
    fleet.run_for(milliseconds(4000));
    constexpr int changes = 20;
    for (int i = 0; i < changes; ++i)
    {
        fleet.set_config(
            3 + i, routes_with(many_routes + 1 + static_cast<std::size_t>(i)));
        fleet.run_for(milliseconds(400));
    }
    const std::size_t begin = fleet.log().size();
    fleet.heal(cut);
    fleet.set_config(3 + changes, routes_with(many_routes));
    fleet.run_for(apply_limit);
    check_all_have(fleet, 3 + changes);
    // The last reads that were asked before the store was back fail after it.
    check_nobody_lost(fleet, begin, 2);
    check_no_violations(fleet);
}

// Guards against a final answer from a host that knows that its configuration
// is not the newest one: its caller would not come again.
BOOST_AUTO_TEST_CASE(route_that_a_host_may_lack_is_not_denied)
{
    shard_fleet fleet({.hosts_per_domain = 4});
    fleet.run_for(warm_up);
    const std::string late = other_host(fleet, fleet.owner_of("D1"));
    fleet.set_read_delay(late, milliseconds(900));
    fleet.run_for(milliseconds(2000));
    fleet.set_config(2, {"quote", "check", "added"});
    fleet.run_for(milliseconds(300));
    BOOST_REQUIRE(fleet.host(late)->config().version() == 1);
    const std::string job = fleet.submit(late, {.route = "added"});
    fleet.run_for(milliseconds(50));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::not_run));
    BOOST_TEST(fleet.caller(job).retry_after.count() > 0);
    fleet.run_for(fleet.caller(job).retry_after);
    fleet.submit_again(job);
    const std::string unknown = fleet.submit(late, {.route = "nowhere"});
    fleet.run_for(milliseconds(1000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST((fleet.caller(unknown).answer == answer_kind::no_route));
    check_no_violations(fleet);
}

// The store does not answer the shard's owner, and another host admits a job
// under a newer configuration. Its order shows that to an endpoint, so that the
// owner must not run jobs of a dropped route any more.
BOOST_AUTO_TEST_CASE(owner_behind_runs_no_dropped_route_after_a_new_one)
{
    for (int phase = 0; phase < 600; phase += 50)
        BOOST_TEST_CONTEXT("phase " << phase)
        {
            shard_fleet fleet({.hosts_per_domain = 3});
            fleet.set_config(2, {"quote", "dropped"});
            fleet.run_for(milliseconds(3000) + milliseconds(phase));
            const std::string owner = fleet.owner_of("D1");
            fleet.set_read_delay(owner, milliseconds(60000));
            fleet.set_config(3, {"quote", "added"});
            fleet.run_for(milliseconds(30));
            BOOST_TEST(fleet.host(owner)->config().version() == 2);
            const std::string first = fleet.submit(
                other_host(fleet, owner),
                {.tasks = 1, .work = milliseconds(20), .route = "added"});
            while (fleet.starts_of(first) == 0 && !fleet.caller(first).answer)
                fleet.run_for(milliseconds(5));
            BOOST_TEST(fleet.starts_of(first) == 1);
            fleet.run_for(milliseconds(250));
            const std::string late = fleet.submit(
                owner,
                {.tasks = 1, .work = milliseconds(20), .route = "dropped"});
            fleet.run_for(milliseconds(100));
            BOOST_TEST(fleet.starts_of(late) == 0);
            fleet.run_for(milliseconds(3000));
            check_no_violations(fleet);
        }
}

// The other way: the store does not answer a host, which takes jobs of a route
// that the owner's configuration has dropped.
BOOST_AUTO_TEST_CASE(host_behind_gets_no_orders_for_a_dropped_route)
{
    shard_fleet fleet({.hosts_per_domain = 3});
    fleet.set_config(2, {"quote", "dropped"});
    fleet.run_for(milliseconds(3000));
    const std::string owner = fleet.owner_of("D1");
    const std::string behind = other_host(fleet, owner);
    fleet.set_read_delay(behind, milliseconds(60000));
    fleet.set_config(3, {"quote", "added"});
    fleet.run_for(milliseconds(400));
    BOOST_TEST(fleet.host(behind)->config().version() == 2);
    const std::string late = fleet.submit(
        behind, {.tasks = 1, .work = milliseconds(20), .route = "dropped"});
    fleet.run_for(milliseconds(100));
    BOOST_TEST(fleet.starts_of(late) == 0);
    BOOST_TEST((fleet.caller(late).answer == answer_kind::not_run));
    check_no_violations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
