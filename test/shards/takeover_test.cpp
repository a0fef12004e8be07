/// \file
/// An owner that does not know of its successor, and a successor that cannot
/// reach all that its predecessor may still use.
#include "chicorydrum/support/validation.hpp"
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

const job_shape one_long_task{
    .tasks = 1, .work = milliseconds(1500), .timeout = milliseconds(6000)};

const job_shape two_long_tasks{
    .tasks = 2, .work = milliseconds(3000), .timeout = milliseconds(8000)};

std::set<std::string> hosts_without(const shard_fleet& fleet,
                                    const std::string& excluded)
{
    std::set<std::string> names;
    for (const std::string& name : fleet.host_names())
        if (name != excluded)
            names.insert(name);
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(takeover)

// A host that wakes handles the messages that arrived meanwhile before its
// tick. It must not start their tasks on an endpoint that its successor could
// not reach: the successor has started them elsewhere.
BOOST_AUTO_TEST_CASE(paused_owner_wakes_to_a_job)
{
    shard_fleet fleet({.endpoints_per_domain = 2, .resumes_with_events = true});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    fleet.pause(owner, milliseconds(2500));
    fleet.partition(hosts_without(fleet, owner), {"D1-e1"});
    const std::string job =
        fleet.submit(other_host(fleet, owner), one_long_task);
    fleet.run_for(milliseconds(6000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.starts_of(job) == 1);
    check_no_violations(fleet);
}

// The same on an endpoint that was reborn after the takeover: it has not seen
// the successor's token.
BOOST_AUTO_TEST_CASE(paused_owner_wakes_beside_a_reborn_endpoint)
{
    shard_fleet fleet({.endpoints_per_domain = 2, .resumes_with_events = true});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string caller = other_host(fleet, owner);
    // The owner takes the first endpoint for full when it wakes.
    fleet.submit(caller, {.tasks = 2, .work = milliseconds(300)});
    fleet.run_for(milliseconds(50));
    fleet.pause(owner, milliseconds(1500));
    const std::string job = fleet.submit(caller, one_long_task);
    fleet.run_for(milliseconds(1480));
    BOOST_TEST(fleet.endpoint("D1-e1").running_count() == 1);
    fleet.restart_endpoint("D1-e2", milliseconds(1000));
    fleet.run_for(milliseconds(6000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.starts_of(job) == 1);
    check_no_violations(fleet);
}

// A suspended host's steady clock stands still. It must notice nevertheless
// that others may have succeeded it.
BOOST_AUTO_TEST_CASE(suspended_owner_wakes_beside_a_reborn_endpoint)
{
    shard_fleet fleet({.endpoints_per_domain = 2, .resumes_with_events = true});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string caller = other_host(fleet, owner);
    fleet.submit(caller, {.tasks = 2, .work = milliseconds(300)});
    fleet.run_for(milliseconds(50));
    fleet.suspend(owner, milliseconds(1500));
    const std::string job = fleet.submit(caller, one_long_task);
    fleet.run_for(milliseconds(1480));
    BOOST_TEST(fleet.endpoint("D1-e1").running_count() == 1);
    fleet.restart_endpoint("D1-e2", milliseconds(1000));
    fleet.run_for(milliseconds(6000));
    BOOST_TEST(fleet.has_logged("event=pause_detected gap_ms=15"));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.starts_of(job) == 1);
    check_no_violations(fleet);
}

// One cut separates a host from the owner and from an endpoint that the owner
// uses; a third host hears both. The host must not succeed the owner, which
// would go on at that endpoint.
BOOST_AUTO_TEST_CASE(host_cut_off_from_owner_and_endpoint)
{
    shard_fleet fleet({.endpoints_per_domain = 2, .powers = {1, 0.9, 0.5}});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
    const std::string job = fleet.submit("D1-h3", two_long_tasks);
    fleet.run_for(milliseconds(100));
    fleet.partition({"D1-h2"}, {"D1-h1", "D1-e1"});
    fleet.run_for(milliseconds(8000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.starts_of(job) == 2);
    BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
    check_no_violations(fleet);
}

// A host that owns one shard takes over another whose epoch is not above that
// of the first. Hosts that have answered its earlier claim have not submitted
// their jobs of the new shard yet, and the runs of these must not be stopped.
BOOST_AUTO_TEST_CASE(owner_of_a_shard_adopts_runs_of_another)
{
    for (const int claims : {0, 3})
    {
        shard_fleet fleet({.endpoints_per_domain = 4,
                           .endpoints_per_shard = 2,
                           .powers = {1, 0.9, 0.1}});
        fleet.run_for(warm_up);
        BOOST_TEST(fleet.shards_of("D1") == 2);
        BOOST_TEST(fleet.host("D1-h1")->owned_shards().size() == 1);
        // Raises the epochs of the shard that it has.
        for (int i = 0; i < claims; ++i)
        {
            fleet.pause("D1-h1", milliseconds(450));
            fleet.run_for(milliseconds(1000));
        }
        std::vector<std::string> jobs;
        for (int i = 0; i < 4; ++i)
            jobs.push_back(fleet.submit("D1-h3", one_long_task));
        fleet.run_for(milliseconds(100));
        fleet.kill("D1-h2");
        fleet.run_for(milliseconds(240));
        // The claim's answer takes longer than the endpoints' lists.
        fleet.pause("D1-h3", milliseconds(60));
        fleet.run_for(milliseconds(4000));
        BOOST_TEST(fleet.host("D1-h1")->owned_shards().size() == 2);
        for (const std::string& job : jobs)
        {
            BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
            BOOST_TEST(fleet.starts_of(job) == 1);
        }
        check_no_violations(fleet);
    }
}

// Nobody hears the owner any more, but it hears a host that knows its
// successor. It must not go on at an endpoint that the successor cannot reach.
BOOST_AUTO_TEST_CASE(owner_that_nobody_hears)
{
    shard_fleet fleet({.endpoints_per_domain = 2, .powers = {1, 0.9, 0.5}});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
    const std::string job = fleet.submit("D1-h3", two_long_tasks);
    fleet.run_for(milliseconds(100));
    fleet.partition_one_way({"D1-h1"}, {"D1-h3"});
    fleet.partition({"D1-h2"}, {"D1-h1", "D1-e1"});
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    BOOST_TEST(fleet.owner_of("D1") == "D1-h2");
    fleet.run_for(milliseconds(7000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    check_no_violations(fleet);
}

// A host that no owner can be reached from must not stay ready: its callers
// would wait in vain.
BOOST_AUTO_TEST_CASE(host_cut_off_from_owner)
{
    shard_fleet fleet({.endpoints_per_domain = 2, .powers = {1, 0.9, 0.5}});
    fleet.run_for(warm_up);
    fleet.partition({"D1-h2"}, {"D1-h1"});
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(!fleet.host("D1-h2")->is_ready());
    BOOST_TEST(fleet.host("D1-h3")->is_ready());
    fleet.heal();
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(fleet.host("D1-h2")->is_ready());
    check_no_violations(fleet);
}

// Two halves of a domain take a shard from each other for long, as both reach
// its endpoints. The tokens must not run out: no host could own the shard.
BOOST_AUTO_TEST_CASE(halves_of_a_domain_for_long)
{
    shard_fleet fleet({.hosts_per_domain = 2, .endpoints_per_domain = 2});
    fleet.run_for(warm_up);
    fleet.partition({"D1-h1"}, {"D1-h2"});
    submit_load(fleet, 150, milliseconds(200), {.tasks = 1});
    fleet.heal();
    fleet.run_for(milliseconds(2000));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    const std::string owner = fleet.owner_of("D1");
    fleet.kill(owner);
    fleet.run_for(milliseconds(2000));
    const std::string survivor = other_host(fleet, owner);
    BOOST_TEST(fleet.owner_of("D1") == survivor);
    const std::string job = fleet.submit(survivor, {.tasks = 1});
    fleet.run_for(milliseconds(1000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    check_no_violations(fleet);
}

// The domain is divided, and the owner of the new half is late: it keeps the
// earlier owner's runs for adoption when the owner of the old half may already
// start them again.
BOOST_AUTO_TEST_CASE(late_owner_after_a_division)
{
    for (int offset = 340; offset < 370; offset += 2)
    {
        shard_fleet fleet({.endpoints_per_domain = 2,
                           .endpoints_per_shard = 2,
                           .powers = {1, 0.9, 0.5}});
        fleet.run_for(warm_up);
        BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
        const std::string job =
            fleet.submit("D1-h3", {.tasks = 4,
                                   .work = milliseconds(3000),
                                   .timeout = milliseconds(8000)});
        fleet.run_for(milliseconds(100));
        for (const int number : {3, 4, 5, 6})
            fleet.add_endpoint("D1", number);
        fleet.run_for(milliseconds(offset));
        fleet.pause("D1-h2", milliseconds(2500));
        fleet.run_for(milliseconds(9000));
        BOOST_TEST(fleet.shards_of("D1") == 2);
        BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
        check_no_violations(fleet);
    }
}

// A domain is cut in two, and a host of another domain, which hears both
// halves, moves its job to the successor. The earlier owner must drop it.
BOOST_AUTO_TEST_CASE(job_of_another_domain_in_a_divided_domain)
{
    shard_fleet fleet(
        {.domains = 2, .endpoints_per_domain = 2, .powers = {1, 0.9, 0.5}});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
    // The last of them finds its own domain full.
    std::string job;
    for (int i = 0; i < 5; ++i)
        job = fleet.submit("D2-h1", two_long_tasks);
    fleet.run_for(milliseconds(100));
    BOOST_TEST(fleet.endpoint("D1-e1").running_count() == 2);
    fleet.partition({"D1-h1", "D1-e1"}, {"D1-h2", "D1-h3", "D1-e2"});
    fleet.run_for(milliseconds(8000));
    BOOST_TEST(fleet.owners_of("D1") == 2);
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    check_no_violations(fleet);
}

// The copy of a job arrives at a host that cannot reach the owner of the job's
// shard, while the first host has not noticed that its caller is lost. The copy
// must not run in another shard.
BOOST_AUTO_TEST_CASE(copy_at_a_host_that_cannot_reach_the_owner)
{
    for (const char* const cut : {"D1-h1", "D1-h2"})
    {
        shard_fleet fleet({.hosts_per_domain = 4,
                           .endpoints_per_domain = 4,
                           .endpoints_per_shard = 2,
                           .powers = {1, 0.9, 0.1, 0.1}});
        fleet.run_for(warm_up);
        BOOST_TEST(fleet.shards_of("D1") == 2);
        BOOST_TEST(fleet.owners_of("D1") == 2);
        fleet.send_copies_to("D1-h4");
        const std::string job = fleet.submit("D1-h3", two_long_tasks);
        fleet.run_for(milliseconds(100));
        fleet.partition({"D1-h4"}, {cut});
        fleet.lose_caller(job);
        fleet.run_for(milliseconds(8000));
        check_no_violations(fleet);
    }
}

/// Returns the highest epoch that an owner of the fleet has claimed.
std::int64_t highest_epoch(const shard_fleet& fleet)
{
    constexpr int registration_bits = 22;
    const std::string field = "token=";
    std::int64_t highest = 0;
    for (const std::string& line : fleet.log())
        if (line.find("event=shard_owned") != std::string::npos)
            highest = std::max<std::int64_t>(
                highest,
                std::stoll(line.substr(line.find(field) + field.size())));
    return highest >> registration_bits;
}

// Hosts of a domain with several shards are all cut off from each other but
// reach its endpoints, and claim every shard again and again. A search for a
// higher epoch in one shard must not raise the epochs of the others, or they
// run out and no host can own a shard any more.
BOOST_AUTO_TEST_CASE(hosts_cut_off_from_each_other_with_several_shards)
{
    // At least an hour of such a partition must fit into 21 bits.
    constexpr std::int64_t epochs_in_ten_seconds = (1 << 21) / 360;
    for (const int hosts : {3, 13})
    {
        shard_fleet fleet({.hosts_per_domain = hosts,
                           .endpoints_per_domain = 8,
                           .endpoints_per_shard = 2});
        fleet.run_for(warm_up);
        BOOST_TEST(fleet.shards_of("D1") == 4);
        for (const std::string& name : fleet.host_names())
            fleet.partition({name}, hosts_without(fleet, name));
        submit_load(fleet, 200, milliseconds(50),
                    {.tasks = 1, .millicores = 1000});
        BOOST_TEST(highest_epoch(fleet) < epochs_in_ten_seconds);
        fleet.heal();
        // Covers the time after which shards are offered.
        fleet.run_for(milliseconds(6000));
        BOOST_TEST(fleet.owners_of("D1") == 4);
        const int before = fleet.answered(answer_kind::completed);
        submit_load(fleet, 20, milliseconds(60),
                    {.tasks = 1, .millicores = 1000});
        fleet.run_for(milliseconds(3000));
        BOOST_TEST(fleet.answered(answer_kind::completed) - before == 20);
        check_no_violations(fleet);
    }
}

// Hosts that were all cut off from each other hear several owners of each shard
// when their links return. Their heartbeats must stay within the limits that
// their peers check, or the links are closed again at once.
BOOST_AUTO_TEST_CASE(many_owners_are_heard_after_a_partition)
{
    shard_fleet fleet({.hosts_per_domain = 8,
                       .endpoints_per_domain = 8,
                       .endpoints_per_shard = 2});
    fleet.run_for(warm_up);
    for (const std::string& name : fleet.host_names())
        fleet.partition({name}, hosts_without(fleet, name));
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.owners_of("D1") > support::max_shards);
    fleet.heal();
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.owners_of("D1") == 4);
    check_no_violations(fleet);
}

// A host that is cut off from its peers ends its open jobs once. Jobs that its
// callers send later must not be ended when the silent links are closed.
BOOST_AUTO_TEST_CASE(cut_off_host_serves_new_jobs)
{
    shard_fleet fleet({.endpoints_per_domain = 2});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string before = fleet.submit(owner, one_long_task);
    fleet.run_for(milliseconds(100));
    std::set<std::string> others = hosts_without(fleet, owner);
    others.insert("D1-e2");
    fleet.partition({owner, "D1-e1"}, others);
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(fleet.has_logged(owner + " event=host_isolated open_jobs=1"));
    const std::string job = fleet.submit(owner, one_long_task);
    fleet.run_for(milliseconds(5000));
    BOOST_TEST(fleet.caller(before).attempts > 1);
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 1);
    check_no_violations(fleet);
}

// The links of a new owner are reset while it takes its shard over. It must
// wait for the hosts that connect again with their jobs, or it stops the runs.
BOOST_AUTO_TEST_CASE(links_of_the_successor_reset)
{
    shard_fleet fleet({.endpoints_per_domain = 2, .powers = {1, 0.9, 0.1}});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
    const std::string job = fleet.submit("D1-h3", one_long_task);
    fleet.run_for(milliseconds(100));
    fleet.kill("D1-h1");
    fleet.run_for(milliseconds(270));
    BOOST_TEST(fleet.owners_of("D1") == 0);
    fleet.reset_links("D1-h2");
    fleet.run_for(milliseconds(10));
    BOOST_TEST(fleet.owner_of("D1") == "D1-h2");
    fleet.run_for(milliseconds(4000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.starts_of(job) == 1);
    check_no_violations(fleet);
}

// An owner starts a task on a new endpoint and fails. Its successor reads the
// endpoints less often and does not know the new one yet. It must not start the
// task again before it does.
BOOST_AUTO_TEST_CASE(successor_that_does_not_know_a_new_endpoint)
{
    for (int offset = 0; offset < 2000; offset += 200)
    {
        shard_fleet fleet({.endpoints_per_domain = 2});
        fleet.run_for(warm_up + milliseconds(offset));
        const std::string owner = fleet.owner_of("D1");
        std::string caller;
        for (const std::string& host : fleet.host_names())
            if (host != owner)
                caller = host;
        // The other endpoints are full until the owner fails.
        fleet.submit(caller, {.tasks = 2,
                              .millicores = 15000,
                              .work = milliseconds(700),
                              .timeout = milliseconds(9000)});
        fleet.add_endpoint("D1", 3);
        fleet.run_for(milliseconds(550));
        const std::string job =
            fleet.submit(caller, {.tasks = 1,
                                  .millicores = 15000,
                                  .work = milliseconds(2500),
                                  .timeout = milliseconds(9000)});
        fleet.run_for(milliseconds(50));
        fleet.kill(owner);
        fleet.run_for(milliseconds(9000));
        BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
        check_no_violations(fleet);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
