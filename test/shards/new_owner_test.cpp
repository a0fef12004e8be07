/// \file
/// A new owner of a shard that has not listed all of its endpoints yet, or
/// lists them while its predecessor is stopping runs there.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

/// The first reading of the endpoints counts as a division for 5 s, in which
/// new owners are more careful.
constexpr milliseconds long_after_start(8000);

const job_shape one_long_task{
    .tasks = 1, .work = milliseconds(1500), .timeout = milliseconds(6000)};

} // namespace

BOOST_AUTO_TEST_SUITE(new_owner)

// An entry host loses power, and the owner before it has noticed. The owner's
// successor gets the callers' copy before it reaches an endpoint that still
// runs the job under the owner's lease. It must not start the job elsewhere.
BOOST_AUTO_TEST_CASE(copy_before_a_new_owner_has_listed_all_endpoints)
{
    for (int offset = 425; offset <= 525; offset += 25)
        for (int extended_before = 0; extended_before < 300;
             extended_before += 50)
        {
            BOOST_TEST_CONTEXT("offset " << offset << " extended before "
                                         << extended_before)
            {
                shard_fleet fleet(
                    {.endpoints_per_domain = 2, .powers = {1, 0.9, 0.5}});
                fleet.run_for(warm_up);
                BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
                fleet.send_copies_to("D1-h2");
                const std::string job =
                    fleet.submit("D1-h3", {.tasks = 4,
                                           .work = milliseconds(3000),
                                           .timeout = milliseconds(8000)});
                fleet.run_for(milliseconds(100 + extended_before));
                fleet.lose_caller(job);
                fleet.pause("D1-h3", milliseconds(20000));
                fleet.run_for(milliseconds(offset));
                fleet.pause("D1-h1", milliseconds(20000));
                fleet.partition({"D1-h2"}, {"D1-e1"});
                fleet.run_for(milliseconds(1600 - offset));
                fleet.heal();
                fleet.run_for(milliseconds(9000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                BOOST_TEST(fleet.caller(job).attempts == 2);
                check_no_violations(fleet);
            }
        }
}

// An owner that is cut off, and a little late, stops the jobs of the hosts that
// it does not hear while its successor lists the endpoints. A list may omit a
// run that is being stopped; its task must not start elsewhere before it ends.
BOOST_AUTO_TEST_CASE(job_whose_run_the_earlier_owner_is_stopping)
{
    for (int stall = 100; stall < 200; stall += 10)
    {
        BOOST_TEST_CONTEXT("stall " << stall)
        {
            shard_fleet fleet(
                {.endpoints_per_domain = 2, .powers = {1, 0.9, 0.5}});
            for (const std::string& id : fleet.endpoint_names())
                fleet.endpoint(id).set_answers({.omits_stopping_runs = true});
            fleet.run_for(warm_up);
            BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
            const std::string job = fleet.submit("D1-h3", one_long_task);
            fleet.run_for(milliseconds(100));
            const std::set<std::string> others{"D1-h2", "D1-h3"};
            fleet.partition({"D1-h1"}, others);
            fleet.run_for(milliseconds(400));
            // The successor's first list of the endpoint is late.
            fleet.partition({"D1-h2"}, {"D1-e1"});
            fleet.run_for(milliseconds(25));
            fleet.pause("D1-h1", milliseconds(stall));
            fleet.run_for(milliseconds(125));
            fleet.heal();
            fleet.partition({"D1-h1"}, others);
            fleet.run_for(milliseconds(6000));
            BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
            check_no_violations(fleet);
        }
    }
}

// The same while the successor knows no endpoints, as the store refuses it. It
// cannot tell that the copy has not run: its refusal must not let the copy be
// offered to another domain.
BOOST_AUTO_TEST_CASE(copy_at_a_new_owner_that_knows_no_endpoints)
{
    for (int extended_before = 0; extended_before < 300; extended_before += 50)
    {
        BOOST_TEST_CONTEXT("extended before " << extended_before)
        {
            shard_fleet fleet({.domains = 2,
                               .endpoints_per_domain = 2,
                               .powers = {1, 0.9, 0.5}});
            fleet.run_for(warm_up);
            BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
            fleet.kill("D1-h2");
            fleet.partition({"D1-h2"}, {"store"});
            fleet.start("D1-h2");
            fleet.run_for(milliseconds(3000));
            fleet.send_copies_to("D1-h2");
            const std::string job =
                fleet.submit("D1-h3", {.tasks = 4,
                                       .work = milliseconds(3000),
                                       .timeout = milliseconds(8000)});
            fleet.run_for(milliseconds(100 + extended_before));
            fleet.lose_caller(job);
            fleet.pause("D1-h3", milliseconds(20000));
            fleet.run_for(milliseconds(475));
            fleet.pause("D1-h1", milliseconds(20000));
            fleet.run_for(milliseconds(9000));
            check_no_violations(fleet);
        }
    }
}

// The owner of a job's home shard has refused it and is lost, and a copy meets
// the successor before the entry host, which may be late, has named the job.
BOOST_AUTO_TEST_CASE(copy_before_a_new_owner_has_heard_of_refused_jobs)
{
    const job_shape filling{.tasks = 2,
                            .millicores = 15000,
                            .work = milliseconds(9000),
                            .timeout = milliseconds(20000)};
    const job_shape refused{.tasks = 2,
                            .millicores = 15000,
                            .work = milliseconds(2500),
                            .timeout = milliseconds(5000)};
    for (const int stall : {0, 200, 300, 390, 450})
        for (int offset = 200; offset <= 900; offset += 25)
            BOOST_TEST_CONTEXT("stall " << stall << " offset " << offset)
            {
                shard_fleet fleet({.hosts_per_domain = 4,
                                   .endpoints_per_domain = 4,
                                   .endpoints_per_shard = 2,
                                   .powers = {1, 0.9, 0.1, 0.1}});
                fleet.run_for(long_after_start);
                // By their ids, job1 and job3 belong to shard 0 and job2 to
                // shard 1.
                const std::string filler = fleet.submit("D1-h3", filling);
                fleet.submit("D1-h3", {.tasks = 1, .work = milliseconds(10)});
                fleet.run_for(milliseconds(50));
                const std::string job = fleet.submit("D1-h3", refused);
                fleet.run_for(milliseconds(50));
                BOOST_TEST(fleet.starts_of(job) == 2);
                fleet.disconnect_caller(filler);
                fleet.run_for(milliseconds(150));
                fleet.send_copies_to("D1-h4");
                fleet.lose_caller(job, std::nullopt, milliseconds(offset));
                for (const char* const host : {"D1-h1", "D1-h2"})
                    if (fleet.host(host)->owned_shards().contains(0))
                        fleet.kill(host);
                // It has told by now that it does not hear the owner any more.
                fleet.run_for(milliseconds(200));
                if (stall > 0)
                    fleet.pause("D1-h3", milliseconds(stall));
                fleet.run_for(milliseconds(9000));
                BOOST_TEST(fleet.caller(job).attempts > 1);
                check_no_violations(fleet);
            }
}

// A copy arrives before, while or after its domain is divided, and the entry
// host of its first call may be late. They must not run beside each other.
BOOST_AUTO_TEST_CASE(copy_at_any_time_around_a_division)
{
    for (const int number : {1, 2, 3, 4})
        for (const int stall : {0, 250, 390, 450})
            for (int offset = 0; offset <= 1500; offset += 50)
                BOOST_TEST_CONTEXT("job " << number << " stall " << stall
                                          << " offset " << offset)
                {
                    shard_fleet fleet({.endpoints_per_domain = 2,
                                       .endpoints_per_shard = 2,
                                       .powers = {1, 0.9, 0.5}});
                    fleet.run_for(warm_up);
                    std::string job;
                    for (int i = 0; i < number; ++i)
                    {
                        job = fleet.submit("D1-h3",
                                           {.tasks = 1,
                                            .work = milliseconds(3000),
                                            .timeout = milliseconds(9000)});
                        if (i + 1 < number)
                            fleet.disconnect_caller(job);
                    }
                    fleet.run_for(milliseconds(100));
                    for (const int added : {3, 4, 5, 6})
                        fleet.add_endpoint("D1", added);
                    fleet.send_copies_to("D1-h2");
                    fleet.lose_caller(job, std::nullopt, milliseconds(offset));
                    // The new halves are claimed a little later.
                    fleet.run_for(milliseconds(330));
                    if (stall > 0)
                        fleet.pause("D1-h3", milliseconds(stall));
                    fleet.run_for(milliseconds(12000));
                    BOOST_TEST(fleet.shards_of("D1") == 2);
                    BOOST_TEST(
                        (fleet.caller(job).answer == answer_kind::completed));
                    check_no_violations(fleet);
                }
}

// A refused job that runs elsewhere is withdrawn, and its stops do not arrive;
// the owner that has refused it is lost. Its successor must not start a copy
// before the runs' leases have lapsed.
BOOST_AUTO_TEST_CASE(copy_of_a_refused_job_that_was_withdrawn)
{
    const job_shape filling{.tasks = 2,
                            .millicores = 15000,
                            .work = milliseconds(9000),
                            .timeout = milliseconds(20000)};
    const job_shape refused{.tasks = 2,
                            .millicores = 15000,
                            .work = milliseconds(2500),
                            .timeout = milliseconds(5000)};
    for (const int killed_after : {0, 100, 300})
        for (int offset = 200; offset <= 1000; offset += 50)
            BOOST_TEST_CONTEXT("killed after " << killed_after << " offset "
                                               << offset)
            {
                shard_fleet fleet({.hosts_per_domain = 4,
                                   .endpoints_per_domain = 4,
                                   .endpoints_per_shard = 2,
                                   .powers = {1, 0.9, 0.1, 0.1}});
                fleet.run_for(long_after_start);
                // By their ids, job1 and job3 belong to shard 0 and job2 to
                // shard 1.
                const std::string filler = fleet.submit("D1-h3", filling);
                fleet.submit("D1-h3", {.tasks = 1, .work = milliseconds(10)});
                fleet.run_for(milliseconds(50));
                const std::string job = fleet.submit("D1-h3", refused);
                fleet.run_for(milliseconds(50));
                BOOST_TEST(fleet.starts_of(job) == 2);
                fleet.disconnect_caller(filler);
                fleet.run_for(milliseconds(150));
                for (const char* const endpoint : {"D1-e1", "D1-e4"})
                    fleet.partition({"D1-h1", "D1-h2", "D1-h3", "D1-h4"},
                                    {endpoint});
                fleet.send_copies_to("D1-h4");
                fleet.lose_caller(job, milliseconds(0), milliseconds(offset));
                fleet.run_for(milliseconds(killed_after));
                for (const char* const host : {"D1-h1", "D1-h2"})
                    if (fleet.host(host)->owned_shards().contains(0))
                        fleet.kill(host);
                fleet.run_for(milliseconds(9000));
                BOOST_TEST(fleet.caller(job).attempts > 1);
                check_no_violations(fleet);
            }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
