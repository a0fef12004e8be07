/// \file
/// Hosts whose links carry hardly more than their orders: the orders of a wide
/// job queue in the owner's own link, so that all answers are late.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

using shard::answer_kind;
using support::milliseconds;

namespace
{

/// What links of 2 Mbit/s leave to calls beside heartbeats, jobs and answers.
constexpr double link_rate = 120;

} // namespace

BOOST_AUTO_TEST_SUITE(thin_link)

// Answers that wait in the owner's link must not count against its endpoints:
// that would take them out of use, and send still more requests for lists.
BOOST_AUTO_TEST_CASE(late_answers_tell_of_the_link)
{
    shard_fleet fleet({.hosts_per_domain = 4,
                       .endpoints_per_domain = 17,
                       .link_bytes_per_ms = link_rate});
    fleet.run_for(warm_up);
    // The kinds of strapworks-sched-large, in their proportions.
    const job_shape quote{.tasks = 8, .work = milliseconds(60)};
    const job_shape check{.tasks = 4, .work = milliseconds(900)};
    const job_shape print{.tasks = 2, .work = milliseconds(200)};
    constexpr int jobs = 520;
    const std::vector<std::string> hosts = fleet.host_names();
    for (int i = 0; i < jobs; ++i)
    {
        const job_shape& shape =
            i % 23 == 0 ? check : (i % 4 == 1 ? quote : print);
        fleet.submit(hosts[static_cast<std::size_t>(i) % hosts.size()], shape);
        fleet.run_for(milliseconds(38));
    }
    fleet.run_for(milliseconds(3000));
    const auto lost = std::count_if(
        fleet.log().begin(), fleet.log().end(),
        [](const std::string& line)
        { return line.find("endpoint_lost") != std::string::npos; });
    // All endpoints answer all the time.
    BOOST_TEST(lost == 0);
    BOOST_TEST(fleet.answered(answer_kind::completed) == jobs);
    check_no_violations(fleet);
}

// Guards against links that are closed as silent, and shards that are claimed
// from a live owner, since messages wait although they come all the time.
BOOST_AUTO_TEST_CASE(slow_links_stay_open)
{
    for (const int delay : {200, 300, 400})
        BOOST_TEST_CONTEXT("delay " << delay)
        {
            shard_fleet fleet({.domains = 2, .hosts_per_domain = 4});
            fleet.run_for(warm_up);
            fleet.set_peer_delay(fleet.owner_of("D1"), milliseconds(delay));
            // A first message that is late may close a link.
            fleet.run_for(milliseconds(2000));
            const auto before = static_cast<std::ptrdiff_t>(fleet.log().size());
            fleet.run_for(milliseconds(5000));
            const auto flaps = std::count_if(
                fleet.log().begin() + before, fleet.log().end(),
                [](const std::string& line)
                {
                    return line.find("link_was_silent") != std::string::npos ||
                           line.find("shard_claimed") != std::string::npos;
                });
            BOOST_TEST(flaps == 0);
            check_no_violations(fleet);
        }
}

// The shards of hosts with thin links must be small, so that several links
// share the orders of a domain. Beyond 8 Mbit/s the link does not bind.
BOOST_AUTO_TEST_CASE(shards_are_sized_to_the_link)
{
    BOOST_TEST(shard::endpoints_for_link(0.5) == 8);
    BOOST_TEST(shard::endpoints_for_link(2) == 8);
    BOOST_TEST(shard::endpoints_for_link(4) == 16);
    BOOST_TEST(shard::endpoints_for_link(20) == 32);
    BOOST_TEST(shard::endpoints_for_link(1000) == 32);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(slow_link)

// Guards against a host that counts as lost to the owners, since its messages
// wait in its link, although they come all the time.
BOOST_AUTO_TEST_CASE(jobs_of_a_host_behind_a_slow_link_are_served)
{
    for (const int delay : {50, 100, 150, 175, 200, 225})
        BOOST_TEST_CONTEXT("delay " << delay)
        {
            shard_fleet fleet({.domains = 2, .hosts_per_domain = 4});
            fleet.run_for(warm_up);
            const std::string slow = other_host(fleet, fleet.owner_of("D1"));
            fleet.set_peer_delay(slow, milliseconds(delay));
            fleet.run_for(milliseconds(3000));
            constexpr int jobs = 20;
            std::vector<std::string> sent;
            for (int i = 0; i < jobs; ++i)
            {
                sent.push_back(
                    fleet.submit(slow, {.tasks = 1,
                                        .work = milliseconds(500),
                                        .timeout = milliseconds(4000)}));
                fleet.run_for(milliseconds(150));
            }
            fleet.run_for(milliseconds(5000));
            const auto lost =
                std::count_if(sent.begin(), sent.end(),
                              [&fleet](const std::string& job)
                              { return fleet.caller(job).attempts > 1; });
            BOOST_TEST(lost == 0);
            check_no_violations(fleet);
        }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
