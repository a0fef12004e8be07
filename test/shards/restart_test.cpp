/// \file
/// Owners that start anew: they know fewer endpoints or fewer shards than their
/// predecessors, or none of the other hosts.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

const job_shape very_long_task{
    .tasks = 1, .work = milliseconds(9000), .timeout = milliseconds(20000)};

} // namespace

BOOST_AUTO_TEST_SUITE(restart)

// The entry of an endpoint has lapsed, so that its owner's successor does not
// know it. It must not start a task again that runs there.
BOOST_AUTO_TEST_CASE(successor_that_does_not_know_an_unlisted_endpoint)
{
    for (int offset = 0; offset <= 5000; offset += 100)
        for (const int delay : {0, 150})
            BOOST_TEST_CONTEXT("offset " << offset << " delay " << delay)
            {
                shard_fleet fleet(
                    {.endpoints_per_domain = 2,
                     .longest_answer_delay = milliseconds(delay)});
                fleet.run_for(warm_up);
                const std::string owner = fleet.owner_of("D1");
                const std::string job =
                    fleet.submit(other_host(fleet, owner), very_long_task);
                fleet.run_for(milliseconds(100));
                BOOST_TEST(fleet.endpoint("D1-e1").running_count() == 1);
                fleet.remove_endpoint("D1-e1");
                fleet.run_for(milliseconds(offset));
                fleet.kill(owner);
                fleet.run_for(milliseconds(20000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                check_no_violations(fleet);
            }
}

// The same if the owner hands its shard over to a stronger host: it gives no
// orders any more, but its last lease is in force.
BOOST_AUTO_TEST_CASE(offered_shard_with_an_unlisted_endpoint)
{
    for (int offset = 0; offset < 1000; offset += 100)
        BOOST_TEST_CONTEXT("offset " << offset)
        {
            shard_fleet fleet(
                {.endpoints_per_domain = 2, .powers = {1, 0.25, 0.25}});
            fleet.run_for(warm_up);
            fleet.kill("D1-h1");
            fleet.run_for(milliseconds(1000));
            BOOST_TEST(fleet.owner_of("D1") != "");
            const std::string job = fleet.submit("D1-h3", very_long_task);
            fleet.run_for(milliseconds(100));
            BOOST_TEST(fleet.endpoint("D1-e1").running_count() == 1);
            fleet.remove_endpoint("D1-e1");
            fleet.run_for(milliseconds(offset));
            fleet.start("D1-h1");
            fleet.run_for(milliseconds(20000));
            BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
            BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
            check_no_violations(fleet);
        }
}

// A host that starts anew reads a part of the endpoints, hears no other host
// and owns them all as one shard. When it hears the others, which have known of
// several shards for long, its jobs move to a shard that cannot list their
// runs.
BOOST_AUTO_TEST_CASE(owner_of_fewer_shards_meets_the_others)
{
    for (int offset = 0; offset < 1000; offset += 50)
        BOOST_TEST_CONTEXT("offset " << offset)
        {
            shard_fleet fleet({.endpoints_per_domain = 3,
                               .endpoints_per_shard = 2,
                               .powers = {1, 1, 0.5}});
            fleet.run_for(milliseconds(2000));
            BOOST_TEST(fleet.shards_of("D1") == 1);
            for (const int number : {4, 5, 6, 7, 8})
                fleet.add_endpoint("D1", number);
            fleet.run_for(milliseconds(7000));
            BOOST_TEST(fleet.shards_of("D1") == 4);
            BOOST_TEST(fleet.owners_of("D1") == 4);
            fleet.kill("D1-h3");
            fleet.partition({"D1-h3"}, {"D1-h1", "D1-h2"});
            for (const int number : {4, 5, 6, 7, 8})
                fleet.unlist_endpoint("D1-e" + std::to_string(number),
                                      milliseconds(1500));
            fleet.run_for(milliseconds(200));
            fleet.start("D1-h3");
            fleet.run_for(milliseconds(60));
            fleet.partition({"D1-h3"}, {"store"});
            fleet.run_for(milliseconds(2000));
            std::vector<std::string> jobs;
            for (int i = 0; i < 3; ++i)
                jobs.push_back(
                    fleet.submit("D1-h3", {.tasks = 1,
                                           .millicores = 15000,
                                           .work = milliseconds(3000),
                                           .timeout = milliseconds(9000)}));
            fleet.run_for(milliseconds(100 + offset));
            fleet.heal();
            fleet.run_for(milliseconds(12000));
            check_no_violations(fleet);
        }
}

// An entry host falls silent, and its owner just before it has noticed. The
// successor cannot list the endpoint, and must not run a copy before the last
// lease there has lapsed.
BOOST_AUTO_TEST_CASE(entry_host_and_owner_silent_with_an_endpoint_not_reached)
{
    for (int phase = 0; phase < 300; phase += 25)
        for (int offset = 350; offset <= 525; offset += 25)
            BOOST_TEST_CONTEXT("phase " << phase << " offset " << offset)
            {
                shard_fleet fleet(
                    {.hosts_per_domain = 4, .endpoints_per_domain = 2});
                fleet.run_for(warm_up);
                const std::string owner = fleet.owner_of("D1");
                const std::string entry = other_host(fleet, owner);
                std::set<std::string> others;
                for (const std::string& name : fleet.host_names())
                    if (name != owner && name != entry)
                        others.insert(name);
                fleet.send_copies_to(*others.begin());
                const std::string job =
                    fleet.submit(entry, {.tasks = 1,
                                         .work = milliseconds(3000),
                                         .timeout = milliseconds(9000)});
                fleet.run_for(milliseconds(100 + phase));
                BOOST_TEST(fleet.endpoint("D1-e1").running_count() == 1);
                fleet.partition(others, {"D1-e1"});
                fleet.lose_caller(job);
                fleet.pause(entry, milliseconds(9000));
                fleet.run_for(milliseconds(offset));
                fleet.kill(owner);
                fleet.run_for(milliseconds(9000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                check_no_violations(fleet);
            }
}

// The same if all hosts of the domain fail with the owner, and the copy arrives
// in another domain.
BOOST_AUTO_TEST_CASE(entry_host_silent_and_then_its_domain)
{
    for (int phase = 0; phase < 300; phase += 25)
        for (int offset = 350; offset <= 525; offset += 25)
            BOOST_TEST_CONTEXT("phase " << phase << " offset " << offset)
            {
                shard_fleet fleet({.domains = 2, .endpoints_per_domain = 2});
                fleet.run_for(warm_up);
                const std::string owner = fleet.owner_of("D1");
                const std::string entry = other_host(fleet, owner);
                fleet.send_copies_to("D2-h1");
                const std::string job =
                    fleet.submit(entry, {.tasks = 1,
                                         .work = milliseconds(3000),
                                         .timeout = milliseconds(9000)});
                fleet.run_for(milliseconds(100 + phase));
                BOOST_TEST(fleet.endpoint("D1-e1").running_count() == 1);
                fleet.lose_caller(job);
                fleet.pause(entry, milliseconds(9000));
                fleet.run_for(milliseconds(offset));
                for (const std::string& name : fleet.host_names())
                    if (name.starts_with("D1") && name != entry)
                        fleet.kill(name);
                fleet.run_for(milliseconds(9000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                check_no_violations(fleet);
            }
}

// A domain is divided while a job runs, which stays in the shard that it was
// sent to. A copy whose first caller was lost unseen must not run in the shard
// that its id names now.
BOOST_AUTO_TEST_CASE(copy_after_a_division)
{
    for (int number = 1; number <= 8; ++number)
        BOOST_TEST_CONTEXT("job " << number)
        {
            shard_fleet fleet({.endpoints_per_domain = 2,
                               .endpoints_per_shard = 2,
                               .powers = {1, 0.9, 0.5}});
            fleet.run_for(warm_up);
            std::string job;
            for (int i = 0; i < number; ++i)
            {
                job = fleet.submit("D1-h3", {.tasks = 1,
                                             .work = milliseconds(4000),
                                             .timeout = milliseconds(9000)});
                if (i + 1 < number)
                    fleet.disconnect_caller(job);
            }
            fleet.run_for(milliseconds(100));
            for (const int added : {3, 4, 5, 6})
                fleet.add_endpoint("D1", added);
            fleet.run_for(milliseconds(700));
            BOOST_TEST(fleet.shards_of("D1") == 2);
            fleet.send_copies_to("D1-h2");
            fleet.lose_caller(job);
            fleet.run_for(milliseconds(9000));
            BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
            check_no_violations(fleet);
        }
}

// The owner of a job's home shard has refused it, and another shard runs it.
// The owner's successor must not run a copy whose first caller was lost unseen.
BOOST_AUTO_TEST_CASE(copy_at_the_successor_of_an_owner_that_refused)
{
    const job_shape filling{.tasks = 2,
                            .millicores = 15000,
                            .work = milliseconds(9000),
                            .timeout = milliseconds(20000)};
    const job_shape refused{.tasks = 2,
                            .millicores = 15000,
                            .work = milliseconds(2500),
                            .timeout = milliseconds(5000)};
    shard_fleet fleet({.hosts_per_domain = 4,
                       .endpoints_per_domain = 4,
                       .endpoints_per_shard = 2,
                       .powers = {1, 0.9, 0.1, 0.1}});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.shards_of("D1") == 2);
    // By their ids, job1 and job3 belong to shard 0 and job2 to shard 1.
    const std::string filler = fleet.submit("D1-h3", filling);
    fleet.submit("D1-h3", {.tasks = 1, .work = milliseconds(10)});
    fleet.run_for(milliseconds(50));
    const std::string job = fleet.submit("D1-h3", refused);
    fleet.run_for(milliseconds(50));
    BOOST_TEST(fleet.has_logged("event=job_forwarded job=" + job +
                                " route=quote domain=D1 shard=1"));
    BOOST_TEST(fleet.starts_of(job) == 2);
    fleet.send_copies_to("D1-h4");
    fleet.lose_caller(job);
    fleet.disconnect_caller(filler);
    for (const char* const host : {"D1-h1", "D1-h2"})
        if (fleet.host(host)->owned_shards().contains(0))
            fleet.kill(host);
    fleet.run_for(milliseconds(9000));
    BOOST_TEST(fleet.caller(job).attempts > 1);
    check_no_violations(fleet);
}

// A submission is held up in the link to another domain, for less than the
// silence after which messages are discarded there. Its host is lost meanwhile,
// and the job must have been stopped before a copy starts at home.
BOOST_AUTO_TEST_CASE(submission_held_up_between_domains)
{
    for (int phase = 0; phase < 300; phase += 50)
        for (int offset = 400; offset <= 1000; offset += 25)
            BOOST_TEST_CONTEXT("phase " << phase << " offset " << offset)
            {
                const job_shape long_job{.work = milliseconds(2500),
                                         .timeout = milliseconds(9000)};
                shard_fleet fleet({.domains = 2});
                fleet.run_for(warm_up + milliseconds(phase));
                const std::string home_owner = fleet.owner_of("D1");
                const std::string entry = other_host(fleet, home_owner);
                const std::string remote_owner = fleet.owner_of("D2");
                fleet.send_copies_to(home_owner);
                std::vector<std::string> others;
                for (int i = 0; i < 4; ++i)
                    others.push_back(fleet.submit(home_owner, long_job));
                fleet.run_for(milliseconds(20));
                fleet.partition_one_way({entry}, {remote_owner});
                const std::string job = fleet.submit(entry, long_job);
                fleet.run_for(milliseconds(10));
                BOOST_TEST(fleet.has_logged("event=job_forwarded job=" + job +
                                            " route=quote domain=D2"));
                for (const std::string& other : others)
                    fleet.disconnect_caller(other);
                fleet.lose_caller(job);
                fleet.pause(entry, milliseconds(5000));
                fleet.run_for(milliseconds(offset));
                fleet.heal();
                fleet.run_for(milliseconds(9000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                check_no_violations(fleet);
            }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
