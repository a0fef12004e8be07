/// \file
/// Owners of other domains that are lost with runs: how long copies, and the
/// new jobs that cannot be told from them, are held back.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

/// Jobs are held from the first age of an owner's last heartbeat to the second.
constexpr milliseconds held_from{600};
constexpr milliseconds held_to{1500};
/// Owners place held jobs at their ticks, which come every 25 ms.
constexpr milliseconds tick{25};
constexpr milliseconds heartbeat_interval{300};
constexpr milliseconds gap{20};
/// Still of use after a window.
const job_shape short_job{
    .tasks = 1, .millicores = 1000, .work = milliseconds(200)};

std::set<std::string> hosts_of(const shard_fleet& fleet,
                               const std::string& domain)
{
    std::set<std::string> hosts;
    for (const std::string& name : fleet.host_names())
        if (name.starts_with(domain))
            hosts.insert(name);
    return hosts;
}

/// What callers of one domain saw.
struct observed_load
{
    int jobs = 0;
    int held = 0;
    /// The longest time from a request to its answer.
    milliseconds longest{0};
};

/// Submits short jobs to \p host for \p span and checks that all complete.
observed_load submit_to(shard_fleet& fleet, const std::string& host,
                        milliseconds span)
{
    std::vector<std::string> jobs;
    const auto end = fleet.now() + span;
    while (fleet.now() < end)
    {
        jobs.push_back(fleet.submit(host, short_job));
        fleet.run_for(gap);
    }
    fleet.run_for(milliseconds(3000));
    observed_load seen{.jobs = static_cast<int>(jobs.size())};
    for (const std::string& job : jobs)
    {
        const caller_record& caller = fleet.caller(job);
        BOOST_TEST((caller.answer == answer_kind::completed));
        seen.longest =
            std::max(seen.longest, support::duration_cast<milliseconds>(
                                       caller.answered - caller.sent));
        seen.held += fleet.has_logged("event=job_held job=" + job + " ");
    }
    BOOST_TEST_MESSAGE("held " << seen.held << " of " << seen.jobs
                               << ", longest " << seen.longest.count()
                               << " ms");
    check_no_violations(fleet);
    return seen;
}

/// Checks that \p seen are jobs of at most one window.
void check_one_window(const observed_load& seen)
{
    BOOST_TEST(seen.held > 0);
    BOOST_TEST(seen.held <= (held_to - held_from) / gap + 1);
    BOOST_TEST(
        (seen.longest <= held_to - held_from + 2 * tick + short_job.work));
}

} // namespace

BOOST_AUTO_TEST_SUITE(lost_owners)

// Guards against new jobs that wait longer than lost leases can last.
BOOST_AUTO_TEST_CASE(domain_whose_neighbour_is_lost_holds_jobs_for_one_window)
{
    for (const bool loses_power : {false, true})
        for (int offset = 0; offset < 300; offset += 50)
            BOOST_TEST_CONTEXT("power " << loses_power << " offset " << offset)
            {
                shard_fleet fleet({.domains = 2});
                fleet.run_for(warm_up + milliseconds(offset));
                for (const std::string& host : hosts_of(fleet, "D1"))
                    if (loses_power)
                        fleet.lose_power(host);
                    else
                        fleet.kill(host);
                check_one_window(submit_to(fleet, "D2-h1", milliseconds(3000)));
            }
}

// Guards against domains that stop serving when they are cut off.
BOOST_AUTO_TEST_CASE(domains_cut_off_from_each_other_serve_on)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    fleet.partition(hosts_of(fleet, "D1"), hosts_of(fleet, "D2"));
    check_one_window(submit_to(fleet, "D2-h1", milliseconds(3000)));
}

// Guards against windows that add up when several domains are lost.
BOOST_AUTO_TEST_CASE(domains_lost_at_once_cost_one_window)
{
    shard_fleet fleet({.domains = 4});
    fleet.run_for(warm_up);
    for (const char* const domain : {"D1", "D3", "D4"})
        for (const std::string& host : hosts_of(fleet, domain))
            fleet.kill(host);
    check_one_window(submit_to(fleet, "D2-h1", milliseconds(3000)));
}

// Guards against jobs that wait in all domains whenever one owner is killed or
// stops as planned.
BOOST_AUTO_TEST_CASE(owner_with_a_successor_holds_no_jobs)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    fleet.kill(fleet.owner_of("D1"));
    BOOST_TEST(submit_to(fleet, "D2-h1", milliseconds(3000)).held == 0);
    fleet.stop_gracefully(fleet.owner_of("D1"));
    BOOST_TEST(submit_to(fleet, "D2-h1", milliseconds(3000)).held == 0);
}

// Guards against jobs that wait although the successor of a silent owner is
// heard, which it is within 700 ms of the owner's loss.
BOOST_AUTO_TEST_CASE(jobs_are_held_until_the_successor_of_a_silent_owner)
{
    for (int offset = 0; offset < 300; offset += 50)
        BOOST_TEST_CONTEXT("offset " << offset)
        {
            shard_fleet fleet({.domains = 2});
            fleet.run_for(warm_up + milliseconds(offset));
            fleet.lose_power(fleet.owner_of("D1"));
            const observed_load seen =
                submit_to(fleet, "D2-h1", milliseconds(3000));
            // The last heartbeat to D2 may be older by its interval.
            BOOST_TEST((seen.longest <= milliseconds(700) - held_from +
                                            heartbeat_interval + 2 * tick +
                                            short_job.work));
        }
}

// Guards against jobs of the other shards of a domain that wait for longer than
// the succession of a silent owner takes: 700 ms, and 101 ms until its
// successor has listed the endpoints (51 ms and two ticks).
BOOST_AUTO_TEST_CASE(other_shards_of_the_domain_wait_for_the_successor)
{
    constexpr milliseconds settled{700 + 101};
    for (int offset = 0; offset < 300; offset += 50)
        BOOST_TEST_CONTEXT("offset " << offset)
        {
            shard_fleet fleet({.hosts_per_domain = 4,
                               .endpoints_per_domain = 4,
                               .endpoints_per_shard = 2,
                               .powers = {1, 0.9, 0.1, 0.1}});
            fleet.run_for(warm_up + milliseconds(offset));
            for (const char* const host : {"D1-h1", "D1-h2"})
                if (fleet.host(host)->owned_shards().contains(1))
                    fleet.lose_power(host);
            const observed_load seen =
                submit_to(fleet, "D1-h3", milliseconds(3000));
            BOOST_TEST(seen.held <= (settled - held_from) / gap + 1);
        }
}

// The hosts of a domain that start anew have not heard a domain that is lost
// meanwhile, while runs of its lost hosts' jobs go on.
BOOST_AUTO_TEST_CASE(copy_at_hosts_that_start_anew)
{
    for (int phase = 0; phase < 300; phase += 25)
        for (int offset = 350; offset <= 525; offset += 25)
            BOOST_TEST_CONTEXT("phase " << phase << " offset " << offset)
            {
                shard_fleet fleet({.domains = 2, .endpoints_per_domain = 2});
                fleet.run_for(warm_up);
                const std::string entry =
                    other_host(fleet, fleet.owner_of("D1"));
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
                    if (name != entry)
                        fleet.kill(name);
                for (const std::string& name : hosts_of(fleet, "D2"))
                    fleet.start(name);
                fleet.run_for(milliseconds(9000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                check_no_violations(fleet);
            }
}

// Guards against a successor that is heard and knows nothing yet: it cannot
// list the endpoint where the lost owner's last lease runs on, and the copy is
// in another domain.
BOOST_AUTO_TEST_CASE(successor_that_does_not_reach_an_endpoint)
{
    for (const bool is_silent : {false, true})
        for (int phase = 0; phase < 300; phase += 25)
            for (int offset = 350; offset <= 525; offset += 25)
                BOOST_TEST_CONTEXT("silent " << is_silent << " phase " << phase
                                             << " offset " << offset)
                {
                    shard_fleet fleet({.domains = 2,
                                       .hosts_per_domain = 4,
                                       .endpoints_per_domain = 2});
                    fleet.run_for(warm_up);
                    const std::string owner = fleet.owner_of("D1");
                    const std::string entry = other_host(fleet, owner);
                    std::set<std::string> others = hosts_of(fleet, "D1");
                    others.erase(owner);
                    others.erase(entry);
                    fleet.send_copies_to("D2-h1");
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
                    if (is_silent)
                        fleet.lose_power(owner);
                    else
                        fleet.kill(owner);
                    fleet.run_for(milliseconds(9000));
                    BOOST_TEST(
                        (fleet.caller(job).answer == answer_kind::completed));
                    check_no_violations(fleet);
                }
}

// Guards against an owner that has stalled and counts a silent host's jobs to
// the end of its grace: it is lost later than the sums of the hold allow for,
// and its last leases run on beside the copy.
BOOST_AUTO_TEST_CASE(owner_that_stalled_is_lost_with_its_domain)
{
    for (const int stall : {250, 310, 390})
        for (int phase = 0; phase < 300; phase += 50)
            for (int offset = 400; offset <= 500; offset += 25)
                for (int left = 0; left <= 75; left += 25)
                    BOOST_TEST_CONTEXT("stall " << stall << " phase " << phase
                                                << " offset " << offset
                                                << " left " << left)
                    {
                        shard_fleet fleet(
                            {.domains = 2, .endpoints_per_domain = 2});
                        fleet.run_for(warm_up);
                        const std::string owner = fleet.owner_of("D1");
                        const std::string entry = other_host(fleet, owner);
                        fleet.send_copies_to("D2-h1");
                        const std::string job = fleet.submit(
                            entry, {.tasks = 1,
                                    .work = milliseconds(3000),
                                    .timeout = milliseconds(9000)});
                        fleet.run_for(milliseconds(100 + phase));
                        fleet.lose_caller(job);
                        fleet.pause(entry, milliseconds(9000));
                        fleet.run_for(milliseconds(offset));
                        fleet.pause(owner, milliseconds(stall));
                        fleet.run_for(milliseconds(stall + left));
                        for (const std::string& name : hosts_of(fleet, "D1"))
                            if (name != entry)
                                fleet.kill(name);
                        fleet.run_for(milliseconds(9000));
                        BOOST_TEST(fleet.caller(job).attempts > 1);
                        check_no_violations(fleet);
                    }
}

// Guards against a copy at its home shard while the job runs in another shard
// of the domain, whose owner is lost and whose successor does not reach its
// endpoints.
BOOST_AUTO_TEST_CASE(owner_of_another_shard_of_the_domain)
{
    const job_shape filling{.tasks = 2,
                            .millicores = 15000,
                            .work = milliseconds(9000),
                            .timeout = milliseconds(20000)};
    const job_shape offered{.tasks = 2,
                            .millicores = 15000,
                            .work = milliseconds(3000),
                            .timeout = milliseconds(9000)};
    for (int phase = 0; phase < 300; phase += 25)
        for (int offset = 350; offset <= 525; offset += 25)
            BOOST_TEST_CONTEXT("phase " << phase << " offset " << offset)
            {
                shard_fleet fleet({.hosts_per_domain = 4,
                                   .endpoints_per_domain = 4,
                                   .endpoints_per_shard = 2,
                                   .powers = {1, 0.9, 0.1, 0.1}});
                // Leases are extended 600 ms after the job's start, shortly
                // before its host counts as lost.
                fleet.run_for(warm_up - milliseconds(50));
                // By their ids, job1 and job3 belong to shard 0.
                const std::string filler = fleet.submit("D1-h4", filling);
                fleet.submit("D1-h4", {.tasks = 1, .work = milliseconds(10)});
                fleet.run_for(milliseconds(50));
                const std::string job = fleet.submit("D1-h3", offered);
                fleet.run_for(milliseconds(100 + phase));
                BOOST_TEST(fleet.has_logged("event=job_forwarded job=" + job +
                                            " route=quote domain=D1 shard=1"));
                BOOST_TEST(fleet.starts_of(job) == 2);
                std::string owner;
                for (const char* const host : {"D1-h1", "D1-h2"})
                    if (fleet.host(host)->owned_shards().contains(1))
                        owner = host;
                std::set<std::string> others = hosts_of(fleet, "D1");
                others.erase(owner);
                std::set<std::string> running;
                for (const std::string& name : fleet.endpoint_names())
                    if (shard::shard_of(name, 2) == 1)
                        running.insert(name);
                fleet.send_copies_to("D1-h4");
                fleet.disconnect_caller(filler);
                fleet.partition(others, running);
                fleet.lose_caller(job);
                fleet.pause("D1-h3", milliseconds(9000));
                fleet.run_for(milliseconds(offset));
                fleet.kill(owner);
                fleet.run_for(milliseconds(9000));
                BOOST_TEST(fleet.caller(job).attempts > 1);
                check_no_violations(fleet);
            }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
