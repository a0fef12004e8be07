/// \file
/// One scenario for each pattern of trouble, in virtual time.
#include "shard_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

/// Long enough for registration, links and the first owners.
constexpr milliseconds warm_up{3000};
/// A host that stops answers its last callers so long after the request.
constexpr milliseconds last_answers{5200};
/// A domain must be back at full service within a third of twelve seconds.
constexpr milliseconds recovery_target{4000};

/// Submits a job to each host of the fleet in turn, every \p gap.
std::vector<std::string> load(shard_fleet& fleet, int jobs, milliseconds gap,
                              const job_shape& shape = {})
{
    std::vector<std::string> ids;
    const std::vector<std::string> hosts = fleet.host_names();
    for (int i = 0; i < jobs; ++i)
    {
        const std::string& host =
            hosts[static_cast<std::size_t>(i) % hosts.size()];
        if (fleet.host(host) != nullptr)
            ids.push_back(fleet.submit(host, shape));
        fleet.run_for(gap);
    }
    return ids;
}

void check_kept(const shard_fleet& fleet)
{
    if (!fleet.violations().empty() || std::getenv("SHOW_LOG") != nullptr)
        for (const std::string& line : fleet.log())
            BOOST_TEST_MESSAGE(line);
    for (const std::string& line : fleet.violations())
        BOOST_ERROR(line);
}

std::string other_host(const shard_fleet& fleet, const std::string& owner)
{
    for (const std::string& name : fleet.host_names())
        if (name != owner && fleet.host(name) != nullptr)
            return name;
    return "";
}

} // namespace

BOOST_AUTO_TEST_SUITE(scenarios)

// Pattern: one owner for each domain, all jobs served.
BOOST_AUTO_TEST_CASE(calm_day)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.owners_of("D1") == 1);
    BOOST_TEST(fleet.owners_of("D2") == 1);
    const auto jobs = load(fleet, 40, milliseconds(60));
    fleet.run_for(milliseconds(2000));
    BOOST_TEST(fleet.answered(answer_kind::completed) == 40);
    for (const std::string& job : jobs)
        BOOST_TEST(fleet.starts_of(job) == 4);
    check_kept(fleet);
}

// Pattern: failover; running tasks are adopted, not run again.
BOOST_AUTO_TEST_CASE(owner_killed)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string caller = other_host(fleet, owner);
    const std::string job = fleet.submit(caller, {.work = milliseconds(900)});
    fleet.run_for(milliseconds(100));
    fleet.kill(owner);
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    BOOST_TEST(fleet.owner_of("D1") != owner);
    fleet.run_for(milliseconds(2000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.starts_of(job) == 4);
    check_kept(fleet);
}

// Pattern: a paused leader wakes with orders of its own; fencing.
BOOST_AUTO_TEST_CASE(owner_paused)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    load(fleet, 6, milliseconds(20));
    fleet.pause(owner, milliseconds(4000));
    load(fleet, 30, milliseconds(150));
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    BOOST_TEST(fleet.owner_of("D1") != owner);
    BOOST_TEST(fleet.has_logged("shard_resigned"));
    check_kept(fleet);
}

// Pattern: reentrancy; one host owns several shards, each of which refuses
// jobs for want of room while the others hand it what they have refused.
BOOST_AUTO_TEST_CASE(overloaded_shards_of_one_host)
{
    shard_fleet fleet({.hosts_per_domain = 1,
                       .endpoints_per_domain = 8,
                       .endpoints_per_shard = 2});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.shards_of("D1") > 1);
    const std::string host = fleet.owner_of("D1");
    for (int wave = 0; wave < 12; ++wave)
    {
        for (int i = 0; i < 20; ++i)
            fleet.submit(host, {.tasks = 1 + i % 5,
                                .work = milliseconds(60 + 90 * (i % 7))});
        // Less room all at once, so that each shard gives up several jobs.
        const std::string hit = "D1-e" + std::to_string(1 + wave % 8);
        fleet.endpoint(hit).set_fault(endpoint_fault::dead);
        fleet.run_for(milliseconds(150));
        fleet.endpoint(hit).set_fault(endpoint_fault::none);
    }
    fleet.run_for(milliseconds(5000));
    BOOST_TEST(fleet.unanswered() == 0);
    check_kept(fleet);
}

// Pattern: graceful handover during a rolling restart.
BOOST_AUTO_TEST_CASE(planned_stop_of_the_owner)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string job = fleet.submit(owner, {.work = milliseconds(900)});
    fleet.run_for(milliseconds(50));
    fleet.stop_gracefully(owner);
    fleet.run_for(milliseconds(600));
    BOOST_TEST(fleet.owner_of("D1") != owner);
    fleet.run_for(milliseconds(6000));
    BOOST_TEST((fleet.host(owner) == nullptr));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 1);
    BOOST_TEST(fleet.starts_of(job) == 4);
    check_kept(fleet);
}

// Pattern: late arrival during a graceful shutdown; a caller uses a connection
// from before the stop when the host has almost no time left.
BOOST_AUTO_TEST_CASE(requests_late_in_a_planned_stop)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string host = fleet.owner_of("D1");
    fleet.stop_gracefully(host);
    const support::instant began = fleet.now();
    std::vector<std::string> late;
    while (fleet.host(host) != nullptr)
    {
        const std::string job =
            fleet.submit(host, {.tasks = 1, .work = milliseconds(60)});
        if (fleet.now() - began > last_answers)
            late.push_back(job);
        fleet.run_for(milliseconds(10));
    }
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(!late.empty());
    for (const std::string& job : late)
    {
        const caller_record& caller = fleet.caller(job);
        BOOST_TEST((caller.answer == answer_kind::not_run));
        BOOST_TEST((caller.answered - caller.sent < milliseconds(5)));
    }
    BOOST_TEST(fleet.unanswered() == 0);
    check_kept(fleet);
}

BOOST_AUTO_TEST_CASE(all_hosts_restarted_in_turn)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    for (const std::string& host : fleet.host_names())
    {
        fleet.stop_gracefully(host);
        load(fleet, 60, milliseconds(60), {.tasks = 2});
        fleet.start(host);
        fleet.run_for(milliseconds(1500));
    }
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.submitted() >= 120);
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_kept(fleet);
}

// Pattern: orphaned work is stopped before its caller resends.
BOOST_AUTO_TEST_CASE(entry_host_killed_with_callers)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string entry = other_host(fleet, owner);
    const std::string job = fleet.submit(
        entry, {.work = milliseconds(1800), .patience = milliseconds(4000)});
    fleet.run_for(milliseconds(100));
    fleet.kill(entry);
    fleet.run_for(milliseconds(1250));
    std::size_t running = 0;
    for (const std::string& id : fleet.endpoint_names())
        running += fleet.endpoint(id).running_count();
    BOOST_TEST(running == 0);
    fleet.run_for(milliseconds(4000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 2);
    check_kept(fleet);
}

// Pattern: owner and caller's host are one, and die together.
BOOST_AUTO_TEST_CASE(owner_killed_with_its_own_callers)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string job = fleet.submit(
        owner, {.work = milliseconds(1900), .patience = milliseconds(5000)});
    fleet.run_for(milliseconds(100));
    fleet.kill(owner);
    fleet.run_for(milliseconds(6000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    check_kept(fleet);
}

// Pattern: a partitioned worker; its lease must lapse before a rerun.
BOOST_AUTO_TEST_CASE(endpoint_cut_off)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string job =
        fleet.submit(other_host(fleet, ""), {.work = milliseconds(700),
                                             .patience = milliseconds(5000)});
    fleet.run_for(milliseconds(100));
    std::set<std::string> hosts;
    for (const std::string& name : fleet.host_names())
        hosts.insert(name);
    fleet.partition({"D1-e1", "D1-e2"}, hosts);
    fleet.run_for(milliseconds(5000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.has_logged("lease_lapsed"));
    check_kept(fleet);
}

// Pattern: delayed duplicate delivery of orders.
BOOST_AUTO_TEST_CASE(starts_carried_out_late)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.endpoint("D1-e1").set_fault(endpoint_fault::late_starts);
    fleet.endpoint("D1-e2").set_fault(endpoint_fault::late_starts);
    load(fleet, 40, milliseconds(100), {.patience = milliseconds(3000)});
    fleet.endpoint("D1-e1").set_fault(endpoint_fault::none);
    fleet.endpoint("D1-e2").set_fault(endpoint_fault::none);
    load(fleet, 60, milliseconds(200), {.tasks = 2});
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.answered(answer_kind::completed) >= 90);
    check_kept(fleet);
}

// Pattern: a stuck worker; progress, not health, tells it apart.
BOOST_AUTO_TEST_CASE(tasks_stand_still)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.endpoint("D1-e3").set_fault(endpoint_fault::hangs);
    load(fleet, 30, milliseconds(100),
         {.tasks = 2, .patience = milliseconds(3000)});
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.answered(answer_kind::completed) == 30);
    BOOST_TEST(fleet.endpoint("D1-e3").starts() <= 12);
    check_kept(fleet);
}

// Pattern: black-hole worker that fails everything fast.
BOOST_AUTO_TEST_CASE(endpoint_fails_everything)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.endpoint("D1-e1").set_fault(endpoint_fault::fails_all);
    load(fleet, 60, milliseconds(100), {.tasks = 2});
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.answered(answer_kind::completed) >= 58);
    BOOST_TEST(fleet.endpoint("D1-e1").starts() <= 40);
    check_kept(fleet);
}

BOOST_AUTO_TEST_CASE(leaving_endpoint_gets_no_new_work)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.set_draining("D1-e1");
    fleet.run_for(milliseconds(1000));
    const int starts = fleet.endpoint("D1-e1").starts();
    load(fleet, 30, milliseconds(100));
    BOOST_TEST(fleet.endpoint("D1-e1").starts() == starts);
    fleet.remove_endpoint("D1-e1");
    fleet.endpoint("D1-e1").set_fault(endpoint_fault::dead);
    load(fleet, 30, milliseconds(100), {.tasks = 2});
    fleet.run_for(milliseconds(2000));
    BOOST_TEST(fleet.unanswered() == 0);
    check_kept(fleet);
}

// Pattern: cold restart; peers that are all heard from again need no
// settling time.
BOOST_AUTO_TEST_CASE(all_hosts_restarted)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    for (const std::string& host : fleet.host_names())
        fleet.kill(host);
    fleet.run_for(milliseconds(500));
    for (const std::string& host : fleet.host_names())
        fleet.start(host);
    // Links, one read of the table and the claim delay.
    fleet.run_for(milliseconds(400));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    const auto jobs = load(fleet, 5, milliseconds(50));
    fleet.run_for(milliseconds(1500));
    BOOST_TEST(fleet.answered(answer_kind::completed) == 5);
    check_kept(fleet);
}

// Pattern: cold restart without a host that is gone for good.
BOOST_AUTO_TEST_CASE(hosts_restarted_without_one)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    for (const std::string& host : fleet.host_names())
        fleet.kill(host);
    fleet.run_for(milliseconds(500));
    fleet.start("D1-h2");
    fleet.start("D1-h3");
    // Two dials, and the claim delay.
    fleet.run_for(milliseconds(700));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    check_kept(fleet);
}

// Pattern: read before retry; a start whose answer was lost goes on.
BOOST_AUTO_TEST_CASE(endpoints_lose_answers)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    for (const std::string& id : fleet.endpoint_names())
        fleet.endpoint(id).set_fault(endpoint_fault::loses_answers);
    const std::string job = fleet.submit("D1-h1", {.work = milliseconds(600)});
    fleet.run_for(milliseconds(2000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.starts_of(job) == 4);
    check_kept(fleet);
}

// Pattern: rebalancing with hysteresis; after a rolling restart the shards
// go back from weak hosts to strong ones, and stay there.
BOOST_AUTO_TEST_CASE(shards_return_to_strong_hosts)
{
    shard_fleet fleet({.hosts_per_domain = 3, .powers = {0.09, 0.09, 0.5}});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.owner_of("D1") == "D1-h3");
    fleet.stop_gracefully("D1-h3");
    load(fleet, 30, milliseconds(100));
    BOOST_TEST(fleet.owner_of("D1") != "D1-h3");
    fleet.run_for(milliseconds(4000));
    fleet.start("D1-h3");
    load(fleet, 60, milliseconds(100));
    BOOST_TEST(fleet.owner_of("D1") == "D1-h3");
    BOOST_TEST(fleet.owners_of("D1") == 1);
    load(fleet, 30, milliseconds(100));
    fleet.run_for(milliseconds(2000));
    BOOST_TEST(fleet.owner_of("D1") == "D1-h3");
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_kept(fleet);
}

// Pattern: deferred handover; a strong host that stops serves on for a while
// if only weak ones could take over, and a strong one that returns does.
BOOST_AUTO_TEST_CASE(strong_hosts_stopped_one_after_the_other)
{
    shard_fleet fleet(
        {.hosts_per_domain = 4, .powers = {0.09, 0.09, 0.5, 0.5}});
    fleet.run_for(warm_up);
    const std::string first = fleet.owner_of("D1");
    const std::string second = first == "D1-h3" ? "D1-h4" : "D1-h3";
    fleet.stop_gracefully(second);
    load(fleet, 10, milliseconds(100));
    fleet.stop_gracefully(first);
    load(fleet, 10, milliseconds(100));
    BOOST_TEST(fleet.owner_of("D1") == first);
    fleet.kill(second);
    fleet.start(second);
    load(fleet, 15, milliseconds(100));
    BOOST_TEST(fleet.owner_of("D1") == second);
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.owner_of("D1") == second);
    check_kept(fleet);
}

// Pattern: extreme input; a backlog of tasks that need memory and no cores.
BOOST_AUTO_TEST_CASE(tasks_without_cores)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    load(fleet, 5, milliseconds(5), {.millicores = 0, .memory_mb = 40000});
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.unanswered() == 0);
    BOOST_TEST(fleet.answered(answer_kind::completed) > 0);
    check_kept(fleet);
}

// Pattern: incomplete view after an outage of the store. A host that started
// meanwhile takes over and does not know endpoints whose entries had lapsed;
// they still run what its predecessor has started.
BOOST_AUTO_TEST_CASE(takeover_without_all_endpoints)
{
    shard_fleet fleet({.hosts_per_domain = 2});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string other = other_host(fleet, owner);
    fleet.set_store_up(false);
    fleet.kill(other);
    fleet.partition({owner}, {other});
    fleet.start(other);
    fleet.run_for(milliseconds(1500));
    fleet.remove_endpoint("D1-e1");
    fleet.remove_endpoint("D1-e2");
    // The first job runs on endpoints that the other host does not know, the
    // second one leaves room on those that it knows.
    for (const int tasks : {4, 1})
        fleet.submit(owner, {.tasks = tasks,
                             .work = milliseconds(2500),
                             .patience = milliseconds(9000)});
    fleet.run_for(milliseconds(100));
    BOOST_TEST(fleet.endpoint("D1-e1").running_count() == 2U);
    BOOST_TEST(fleet.endpoint("D1-e2").running_count() == 2U);
    fleet.set_store_up(true);
    // The predecessor learns that it is outbid while its leases on the other
    // endpoints still have most of their time, and hands its jobs over.
    const std::string outbid = owner + " event=fenced";
    for (int i = 0; i < 300 && !fleet.has_logged(outbid); ++i)
        fleet.run_for(milliseconds(10));
    BOOST_TEST(fleet.has_logged(outbid));
    fleet.heal();
    fleet.run_for(milliseconds(8000));
    BOOST_TEST(fleet.unanswered() == 0);
    check_kept(fleet);
}

// Pattern: retry without delay after the first loss; the end of a run is
// learned from a list, whose connection is reset.
BOOST_AUTO_TEST_CASE(lists_are_reset)
{
    constexpr milliseconds work(100);
    // A target adds 60 ms and half of the work, as the tightest one does.
    constexpr milliseconds target(60 + 150);
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    std::vector<std::string> jobs;
    for (int i = 0; i < 10; ++i)
    {
        jobs.push_back(fleet.submit("D1-h1", {.work = work}));
        fleet.run_for(milliseconds(60));
        for (const std::string& id : fleet.endpoint_names())
            fleet.endpoint(id).reset_lists();
        fleet.run_for(milliseconds(300));
    }
    for (const std::string& job : jobs)
    {
        BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
        BOOST_TEST(
            (fleet.caller(job).answered - fleet.caller(job).sent <= target));
        BOOST_TEST(fleet.starts_of(job) == 4);
    }
    check_kept(fleet);
}

// Pattern: a new life under an old id.
BOOST_AUTO_TEST_CASE(endpoint_born_again)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    load(fleet, 5, milliseconds(20), {.work = milliseconds(600)});
    fleet.restart_endpoint("D1-e1");
    fleet.restart_endpoint("D1-e2");
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.answered(answer_kind::completed) == 5);
    check_kept(fleet);
}

// Pattern: control-plane outage; the data path does without the store.
BOOST_AUTO_TEST_CASE(store_down)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.set_store_up(false);
    load(fleet, 30, milliseconds(200));
    const std::string owner = fleet.owner_of("D1");
    fleet.kill(owner);
    fleet.run_for(milliseconds(1500));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    load(fleet, 10, milliseconds(200));
    fleet.set_store_up(true);
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_kept(fleet);
}

// Pattern: gossip of configuration past a partition; versions never fall.
BOOST_AUTO_TEST_CASE(config_reaches_a_host_that_is_cut_off_from_the_store)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string alone = other_host(fleet, fleet.owner_of("D1"));
    fleet.partition({alone}, {"store"});
    fleet.run_for(milliseconds(3000));
    fleet.set_config(7, {"quote", "fresh"});
    fleet.run_for(milliseconds(1500));
    for (const std::string& name : fleet.host_names())
        BOOST_TEST(fleet.host(name)->config().version() == 7);
    const std::string job = fleet.submit(alone, {.route = "fresh"});
    const std::string dropped = fleet.submit(alone, {.route = "check"});
    fleet.run_for(milliseconds(1000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST((fleet.caller(dropped).answer == answer_kind::no_route));
    check_kept(fleet);
}

BOOST_AUTO_TEST_CASE(history_lost)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.discard_history();
    fleet.set_draining("D1-e1");
    fleet.discard_history();
    fleet.run_for(milliseconds(1500));
    const int starts = fleet.endpoint("D1-e1").starts();
    load(fleet, 20, milliseconds(100), {.tasks = 2});
    BOOST_TEST(fleet.endpoint("D1-e1").starts() == starts);
    fleet.run_for(milliseconds(2000));
    BOOST_TEST(fleet.answered(answer_kind::completed) == 20);
    check_kept(fleet);
}

// Pattern: load shedding; what cannot be served is told at once.
BOOST_AUTO_TEST_CASE(flood_is_refused_at_once)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    std::vector<std::string> jobs;
    for (int i = 0; i < 200; ++i)
        jobs.push_back(fleet.submit("D1-h1", {.work = milliseconds(900)}));
    fleet.run_for(milliseconds(50));
    const int at_once = fleet.answered(answer_kind::not_run);
    BOOST_TEST(at_once > 150);
    fleet.run_for(milliseconds(6000));
    BOOST_TEST(fleet.unanswered() == 0);
    for (const std::string& job : jobs)
        if (fleet.caller(job).answer == answer_kind::not_run)
            BOOST_TEST(fleet.caller(job).retry_after.count() >= 1000);
    check_kept(fleet);
}

// Pattern: cancellation propagates; nothing runs for a caller who left.
BOOST_AUTO_TEST_CASE(caller_leaves)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string job = fleet.submit("D1-h1", {.work = milliseconds(1500)});
    fleet.run_for(milliseconds(100));
    fleet.disconnect_caller(job);
    fleet.run_for(milliseconds(100));
    for (const std::string& id : fleet.endpoint_names())
        BOOST_TEST(fleet.endpoint(id).running_count() == 0U);
    check_kept(fleet);
}

// Pattern: cold start of the whole system after a power loss.
BOOST_AUTO_TEST_CASE(all_hosts_lose_power)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    load(fleet, 12, milliseconds(20), {.work = milliseconds(800)});
    for (const std::string& host : fleet.host_names())
        fleet.kill(host);
    fleet.run_for(milliseconds(1400));
    for (const std::string& host : fleet.host_names())
        fleet.start(host);
    fleet.run_for(recovery_target);
    const int before = fleet.answered(answer_kind::completed);
    load(fleet, 20, milliseconds(60));
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(fleet.answered(answer_kind::completed) - before == 20);
    check_kept(fleet);
}

// Pattern: the same failure twice in a row.
BOOST_AUTO_TEST_CASE(owners_killed_one_after_the_other)
{
    shard_fleet fleet({.hosts_per_domain = 4});
    fleet.run_for(warm_up);
    for (int i = 0; i < 3; ++i)
    {
        load(fleet, 6, milliseconds(30), {.work = milliseconds(700)});
        fleet.kill(fleet.owner_of("D1"));
        fleet.run_for(milliseconds(400));
    }
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    check_kept(fleet);
}

// Pattern: split brain inside a domain; the lower token loses.
BOOST_AUTO_TEST_CASE(owner_cut_off_from_its_peers)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    std::set<std::string> others;
    for (const std::string& name : fleet.host_names())
        if (name != owner)
            others.insert(name);
    load(fleet, 3, milliseconds(20), {.work = milliseconds(800)});
    fleet.partition({owner}, others);
    load(fleet, 30, milliseconds(150), {.patience = milliseconds(3000)});
    fleet.heal();
    fleet.run_for(milliseconds(5000));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    check_kept(fleet);
}

// Pattern: connections reset while both ends live; messages are resent.
BOOST_AUTO_TEST_CASE(links_reset)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    for (int i = 0; i < 10; ++i)
    {
        load(fleet, 4, milliseconds(50), {.tasks = 2});
        fleet.reset_links(owner);
    }
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.unanswered() == 0);
    BOOST_TEST(fleet.answered(answer_kind::completed) == 40);
    BOOST_TEST(fleet.owner_of("D1") == owner);
    check_kept(fleet);
}

// Pattern: hostile input; ids end up in task names and logs.
BOOST_AUTO_TEST_CASE(malformed_ids_are_refused)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    for (const char* const suffix : {"/x", "\xff\xfe", " ", ".0.0.1", "\n"})
    {
        const std::string job = fleet.submit("D1-h1", {.id_suffix = suffix});
        fleet.run_for(milliseconds(10));
        BOOST_TEST((fleet.caller(job).answer == answer_kind::malformed));
        BOOST_TEST(fleet.starts_of(job) == 0);
    }
    check_kept(fleet);
}

// Pattern: sharding; several owners in a domain, each failing alone.
BOOST_AUTO_TEST_CASE(domain_in_several_shards)
{
    shard_fleet fleet({.hosts_per_domain = 4,
                       .endpoints_per_domain = 12,
                       .endpoints_per_shard = 3});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.shards_of("D1") == 4);
    BOOST_TEST(fleet.owners_of("D1") == 4);
    for (const std::string& host : fleet.host_names())
        BOOST_TEST(fleet.host(host)->owned_shards().size() == 1U);
    load(fleet, 40, milliseconds(50), {.tasks = 2});
    fleet.kill("D1-h2");
    load(fleet, 40, milliseconds(50), {.tasks = 2});
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.owners_of("D1") == 4);
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_kept(fleet);
}

// Pattern: resharding while jobs run.
BOOST_AUTO_TEST_CASE(domain_divided_under_load)
{
    shard_fleet fleet({.hosts_per_domain = 4,
                       .endpoints_per_domain = 4,
                       .endpoints_per_shard = 4});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.shards_of("D1") == 1);
    const job_shape shape{
        .tasks = 2, .work = milliseconds(700), .patience = milliseconds(4000)};
    load(fleet, 4, milliseconds(20), shape);
    for (int number = 5; number <= 28; ++number)
        fleet.add_endpoint("D1", number);
    load(fleet, 60, milliseconds(100), shape);
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.shards_of("D1") > 1);
    BOOST_TEST(fleet.owners_of("D1") == fleet.shards_of("D1"));
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_kept(fleet);
}

// Pattern: spill-over; what one domain has no room for runs in another.
BOOST_AUTO_TEST_CASE(full_domain_offers_jobs_to_another)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    for (int i = 0; i < 8; ++i)
        fleet.submit("D1-h1", {.tasks = 4, .work = milliseconds(900)});
    fleet.run_for(milliseconds(6000));
    int elsewhere = 0;
    for (const std::string& id : fleet.endpoint_names())
        if (id.starts_with("D2"))
            elsewhere += fleet.endpoint(id).starts();
    BOOST_TEST(elsewhere > 0);
    check_kept(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
