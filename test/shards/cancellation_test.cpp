/// \file
/// Jobs that are cancelled at any host, and requests that arrive once more
/// after that.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

const job_shape long_job{.work = milliseconds(6000),
                         .timeout = milliseconds(12000)};
/// An owner acts on a cancellation within two messages and a tick, and a run
/// takes 50 ms to stop.
constexpr milliseconds stop_bound{100};

std::size_t running_tasks(shard_fleet& fleet)
{
    std::size_t running = 0;
    for (const std::string& id : fleet.endpoint_names())
        running += fleet.endpoint(id).running_count();
    return running;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cancellation)

// A caller's cancelling call reaches another host than its job, as when a host
// was added meanwhile. The job must end, and the answer say so.
BOOST_AUTO_TEST_CASE(job_is_cancelled_at_any_host)
{
    for (const char* const at : {"D1-h1", "D1-h2", "D1-h3", "D2-h1", "D2-h3"})
        for (const char* const entry : {"D1-h1", "D1-h2", "D1-h3"})
        {
            BOOST_TEST_CONTEXT(entry << " and " << at)
            {
                shard_fleet fleet({.domains = 2});
                fleet.run_for(warm_up);
                const std::string job = fleet.submit(entry, long_job);
                fleet.run_for(milliseconds(200));
                BOOST_REQUIRE(running_tasks(fleet) == 4U);
                fleet.cancel(job, at);
                fleet.run_for(stop_bound);
                BOOST_TEST(running_tasks(fleet) == 0U);
                BOOST_TEST((fleet.caller(job).cancel_answer ==
                            answer_kind::cancelled));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::cancelled));
                check_no_violations(fleet);
            }
        }
}

// The request of a cancelled job arrives once more, seconds later and at any
// host. It must start nothing.
BOOST_AUTO_TEST_CASE(request_is_repeated_after_the_job_was_cancelled)
{
    for (const char* const at : {"D1-h1", "D1-h2", "D1-h3", "D2-h1", "D2-h3"})
        for (const int delay : {100, 3500, 9000})
        {
            BOOST_TEST_CONTEXT(at << " after " << delay)
            {
                shard_fleet fleet({.domains = 2});
                fleet.run_for(warm_up);
                const std::string job = fleet.submit("D1-h1", long_job);
                fleet.run_for(milliseconds(200));
                fleet.cancel(job, "D1-h1");
                fleet.run_for(milliseconds(delay));
                fleet.repeat(job, at);
                fleet.run_for(milliseconds(1000));
                BOOST_TEST(fleet.starts_of(job) == 4);
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::cancelled));
                check_no_violations(fleet);
            }
        }
}

// The owner that has recorded a cancellation crashes, and the request arrives
// once more at its successor.
BOOST_AUTO_TEST_CASE(successor_knows_a_cancelled_job)
{
    for (const bool cancelled_by_owner : {true, false})
    {
        shard_fleet fleet({.domains = 1, .hosts_per_domain = 4});
        fleet.run_for(warm_up);
        const std::string owner = fleet.owner_of("D1");
        const std::string entry = other_host(fleet, owner);
        const std::string job = fleet.submit(entry, long_job);
        fleet.run_for(milliseconds(200));
        const std::string at = cancelled_by_owner ? owner : entry;
        fleet.cancel(job, at);
        fleet.run_for(stop_bound);
        BOOST_TEST((fleet.caller(job).cancel_answer == answer_kind::cancelled));
        const std::string killed = cancelled_by_owner ? entry : owner;
        fleet.kill(killed);
        fleet.run_for(milliseconds(3000));
        fleet.repeat(job, other_host(fleet, killed));
        fleet.run_for(milliseconds(1000));
        BOOST_TEST(fleet.starts_of(job) == 4);
        check_no_violations(fleet);
    }
}

// The same while the hosts that keep the cancellation are late, and the request
// arrives at the successor before they have told it.
BOOST_AUTO_TEST_CASE(keepers_of_a_cancelled_job_are_late)
{
    for (const int stall : {0, 200, 300, 390})
        for (int offset = 200; offset <= 700; offset += 50)
            BOOST_TEST_CONTEXT("stall " << stall << " offset " << offset)
            {
                shard_fleet fleet({.domains = 1,
                                   .hosts_per_domain = 6,
                                   .powers = {1, 0.1, 0.1, 0.9, 0.1, 0.1}});
                fleet.run_for(milliseconds(8000));
                BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
                const std::string job = fleet.submit("D1-h6", long_job);
                fleet.run_for(milliseconds(200));
                fleet.cancel(job, "D1-h6");
                fleet.run_for(stop_bound);
                const auto starts = fleet.starts_of(job);
                fleet.kill("D1-h1");
                fleet.run_for(milliseconds(200));
                if (stall > 0)
                    for (const char* const keeper : {"D1-h2", "D1-h3", "D1-h6"})
                        fleet.pause(keeper, milliseconds(stall));
                fleet.run_for(milliseconds(offset - 200));
                fleet.repeat(job, "D1-h5");
                fleet.run_for(milliseconds(2000));
                BOOST_TEST(fleet.owner_of("D1") == "D1-h4");
                BOOST_TEST(fleet.starts_of(job) == starts);
                check_no_violations(fleet);
            }
}

// A job is cancelled while its host cannot reach the owner, and so before the
// owner has heard of the job.
BOOST_AUTO_TEST_CASE(cancellation_overtakes_the_job)
{
    shard_fleet fleet({.domains = 1});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string entry = other_host(fleet, owner);
    std::string third;
    for (const std::string& name : fleet.host_names())
        if (name != owner && name != entry)
            third = name;
    fleet.partition({entry}, {owner});
    const std::string job = fleet.submit(entry, long_job);
    fleet.run_for(milliseconds(100));
    fleet.cancel(job, third);
    fleet.run_for(milliseconds(100));
    BOOST_TEST(fleet.caller(job).is_cancelled());
    fleet.heal();
    fleet.run_for(milliseconds(5000));
    BOOST_TEST(fleet.starts_of(job) == 0);
    check_no_violations(fleet);
}

// A job that its home shard has refused runs in another domain. Its home shard
// must carry the cancellation to the host that has offered it.
BOOST_AUTO_TEST_CASE(offered_job_is_cancelled_at_another_host)
{
    shard_fleet fleet({.domains = 2, .endpoints_per_domain = 2});
    fleet.run_for(warm_up);
    fleet.submit(fleet.owner_of("D1"), {.tasks = 4,
                                        .work = milliseconds(3000),
                                        .timeout = milliseconds(9000)});
    fleet.run_for(milliseconds(100));
    const std::string owner = fleet.owner_of("D1");
    const std::string entry = other_host(fleet, owner);
    const std::string job =
        fleet.submit(entry, {.tasks = 2,
                             .work = milliseconds(1000),
                             .timeout = milliseconds(2000)});
    fleet.run_for(milliseconds(300));
    BOOST_REQUIRE(fleet.starts_of(job) == 2);
    fleet.cancel(job, owner);
    fleet.run_for(stop_bound);
    BOOST_TEST(running_tasks(fleet) == 4U);
    BOOST_TEST((fleet.caller(job).answer == answer_kind::cancelled));
    BOOST_TEST((fleet.caller(job).cancel_answer == answer_kind::cancelled));
    check_no_violations(fleet);
}

// A job that its home shard has refused runs in the other shard of its domain,
// and the channel between the home shard's owner and the job's host has gone
// silent. The host must be told over the next one.
BOOST_AUTO_TEST_CASE(offered_job_is_cancelled_over_a_silent_channel)
{
    const job_shape filling{.tasks = 2,
                            .millicores = 15000,
                            .work = milliseconds(9000),
                            .timeout = milliseconds(20000)};
    for (int silence = 100; silence <= 1500; silence += 100)
        BOOST_TEST_CONTEXT("silence " << silence)
        {
            shard_fleet fleet({.endpoints_per_domain = 4,
                               .endpoints_per_shard = 2,
                               .powers = {1, 0.9, 0.1}});
            fleet.run_for(milliseconds(8000));
            const std::string entry = "D1-h3";
            // By their ids, the first and the third job belong to shard 0.
            fleet.submit(entry, filling);
            fleet.submit(entry, {.tasks = 1, .work = milliseconds(10)});
            fleet.run_for(milliseconds(100));
            const std::string job =
                fleet.submit(entry, {.tasks = 2,
                                     .millicores = 15000,
                                     .work = milliseconds(8000),
                                     .estimate = milliseconds(2500),
                                     .timeout = milliseconds(15000)});
            fleet.run_for(milliseconds(300));
            BOOST_REQUIRE(running_tasks(fleet) == 4U);
            const std::string home =
                fleet.host("D1-h1")->owned_shards().contains(0) ? "D1-h1"
                                                                : "D1-h2";
            fleet.partition({home}, {entry});
            fleet.run_for(milliseconds(50));
            fleet.cancel(job, home);
            fleet.run_for(milliseconds(50));
            BOOST_TEST(fleet.caller(job).is_cancelled());
            fleet.run_for(milliseconds(silence));
            fleet.close_link(home, entry);
            fleet.heal();
            fleet.run_for(milliseconds(3000));
            BOOST_TEST(running_tasks(fleet) <= 2U);
            BOOST_TEST((fleet.caller(job).answer == answer_kind::cancelled));
            check_no_violations(fleet);
        }
}

// All processes are lost after a cancellation was answered, and the job's
// request arrives once more.
BOOST_AUTO_TEST_CASE(cancellation_outlasts_all_processes)
{
    for (const int later : {700, 1500, 4800})
        for (const char* const at : {"D1-h1", "D1-h2", "D2-h3"})
            BOOST_TEST_CONTEXT("at " << at << " after " << later)
            {
                shard_fleet fleet({.domains = 2});
                fleet.run_for(warm_up);
                const std::string job = fleet.submit("D1-h1", long_job);
                fleet.run_for(milliseconds(200));
                fleet.cancel(job, "D1-h2");
                fleet.run_for(stop_bound);
                BOOST_TEST((fleet.caller(job).cancel_answer ==
                            answer_kind::cancelled));
                for (const std::string& host : fleet.host_names())
                    fleet.kill(host);
                fleet.run_for(milliseconds(300));
                for (const std::string& host : fleet.host_names())
                    fleet.start(host);
                fleet.run_for(milliseconds(later));
                fleet.repeat(job, at);
                fleet.run_for(milliseconds(2000));
                BOOST_TEST(fleet.starts_of(job) == 4);
                check_no_violations(fleet);
            }
}

// The store is away: the answer comes in time, and the cancellation is kept by
// the processes.
BOOST_AUTO_TEST_CASE(job_is_cancelled_while_the_store_is_away)
{
    shard_fleet fleet({.domains = 1});
    fleet.run_for(warm_up);
    const std::string job = fleet.submit("D1-h1", long_job);
    fleet.run_for(milliseconds(200));
    fleet.set_store_up(false);
    fleet.cancel(job, "D1-h2");
    fleet.run_for(milliseconds(600));
    BOOST_TEST((fleet.caller(job).cancel_answer == answer_kind::cancelled));
    BOOST_TEST(running_tasks(fleet) == 0U);
    // It is stored once the store is back.
    fleet.set_store_up(true);
    fleet.run_for(milliseconds(4000));
    for (const std::string& host : fleet.host_names())
        fleet.kill(host);
    fleet.run_for(milliseconds(300));
    for (const std::string& host : fleet.host_names())
        fleet.start(host);
    fleet.run_for(milliseconds(1500));
    fleet.repeat(job, "D1-h3");
    fleet.run_for(milliseconds(2000));
    BOOST_TEST(fleet.starts_of(job) == 4);
    check_no_violations(fleet);
}

// A host of another domain is cut off. Cancelling must not wait for it.
BOOST_AUTO_TEST_CASE(cut_off_domain_does_not_hold_up_cancelling)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    std::set<std::string> here;
    std::set<std::string> there;
    for (const std::string& name : fleet.host_names())
        (name.starts_with("D1") ? here : there).insert(name);
    fleet.partition(here, there);
    fleet.run_for(milliseconds(3000));
    const std::string job = fleet.submit("D1-h1", long_job);
    fleet.run_for(milliseconds(200));
    fleet.cancel(job, "D1-h2");
    fleet.run_for(stop_bound);
    BOOST_TEST((fleet.caller(job).cancel_answer == answer_kind::cancelled));
    BOOST_TEST(running_tasks(fleet) == 0U);
    // The copy of a caller at the other side is cancelled when the domains
    // reach each other again.
    fleet.heal();
    fleet.run_for(milliseconds(3000));
    fleet.repeat(job, "D2-h1");
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(fleet.starts_of(job) == 4);
    check_no_violations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
