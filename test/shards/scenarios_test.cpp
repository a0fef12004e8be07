/// \file
/// One scenario per kind of failure, in virtual time.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

/// Time after a stop request at which a host answers its remaining callers.
constexpr milliseconds remaining_answers{5200};
/// A domain must recover full service within a third of twelve seconds.
constexpr milliseconds recovery_target{4000};

} // namespace

BOOST_AUTO_TEST_SUITE(scenarios)

// Without faults each domain has exactly one owner, and each task starts once.
BOOST_AUTO_TEST_CASE(jobs_complete_without_faults)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.owners_of("D1") == 1);
    BOOST_TEST(fleet.owners_of("D2") == 1);
    const auto jobs = submit_load(fleet, 40, milliseconds(60));
    fleet.run_for(milliseconds(2000));
    BOOST_TEST(fleet.answered(answer_kind::completed) == 40);
    for (const std::string& job : jobs)
        BOOST_TEST(fleet.starts_of(job) == 4);
    check_no_violations(fleet);
}

// After a crash of the owner its successor must adopt the running tasks. If
// it misses them, it starts them a second time.
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
    check_no_violations(fleet);
}

// A paused owner resumes after its shard has a new owner and still sends its
// own orders. Fencing must reject them, and the old owner must resign.
BOOST_AUTO_TEST_CASE(owner_paused)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    submit_load(fleet, 6, milliseconds(20));
    fleet.pause(owner, milliseconds(4000));
    submit_load(fleet, 30, milliseconds(150));
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    BOOST_TEST(fleet.owner_of("D1") != owner);
    BOOST_TEST(fleet.has_logged("shard_released"));
    check_no_violations(fleet);
}

// Guards against reentrancy: one host owns several overloaded shards, each of
// which refuses jobs while the others offer it the jobs they refused.
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
        // Capacity drops at once, so that each shard gives up several jobs.
        const std::string hit = "D1-e" + std::to_string(1 + wave % 8);
        fleet.endpoint(hit).set_fault(endpoint_fault::dead);
        fleet.run_for(milliseconds(150));
        fleet.endpoint(hit).set_fault(endpoint_fault::none);
    }
    fleet.run_for(milliseconds(5000));
    BOOST_TEST(fleet.unanswered() == 0);
    check_no_violations(fleet);
}

// A planned stop must hand the shard over while tasks run. Otherwise the job
// fails or its tasks start twice during a rolling restart.
BOOST_AUTO_TEST_CASE(planned_stop_of_owner)
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
    check_no_violations(fleet);
}

// A caller may reuse a connection from before a planned stop when the host has
// almost no time left. The host must refuse the job at once, not abort it.
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
        if (fleet.now() - began > remaining_answers)
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
    check_no_violations(fleet);
}

// The only peer of a host leaves as planned. That is no sign that the host is
// cut off, and must not end its open jobs.
BOOST_AUTO_TEST_CASE(only_peer_stopped)
{
    for (const char* const stopped : {"D1-h1", "D1-h2"})
    {
        shard_fleet fleet({.hosts_per_domain = 2});
        fleet.run_for(warm_up);
        const std::string job = fleet.submit(other_host(fleet, stopped),
                                             {.tasks = 1,
                                              .work = milliseconds(4500),
                                              .timeout = milliseconds(8000)});
        fleet.run_for(milliseconds(100));
        fleet.stop_gracefully(stopped);
        fleet.run_for(milliseconds(8000));
        BOOST_TEST(fleet.host(stopped) == nullptr);
        BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
        BOOST_TEST(fleet.caller(job).attempts == 1);
        check_no_violations(fleet);
    }
}

// All hosts stop at once. A host with a longer job must outlive the others.
BOOST_AUTO_TEST_CASE(all_hosts_stopped_at_once)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string job =
        fleet.submit(fleet.owner_of("D1"), {.tasks = 1,
                                            .work = milliseconds(4000),
                                            .timeout = milliseconds(8000)});
    fleet.run_for(milliseconds(100));
    for (const std::string& name : fleet.host_names())
        fleet.stop_gracefully(name);
    fleet.run_for(milliseconds(8000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 1);
    check_no_violations(fleet);
}

// A rolling restart of all hosts must not fail any job.
BOOST_AUTO_TEST_CASE(all_hosts_restarted_in_turn)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    for (const std::string& host : fleet.host_names())
    {
        fleet.stop_gracefully(host);
        submit_load(fleet, 60, milliseconds(60), {.tasks = 2});
        fleet.start(host);
        fleet.run_for(milliseconds(1500));
    }
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.submitted() >= 120);
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_no_violations(fleet);
}

// When an entry host crashes, its callers resend their jobs. The orphaned runs
// must stop before that, or the tasks run twice.
BOOST_AUTO_TEST_CASE(entry_host_killed_with_callers)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string entry = other_host(fleet, owner);
    const std::string job = fleet.submit(
        entry, {.work = milliseconds(1800), .timeout = milliseconds(4000)});
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
    check_no_violations(fleet);
}

// The owner crashes and is also the caller's entry host, so that nobody else
// holds the job. The resent job must still complete.
BOOST_AUTO_TEST_CASE(owner_killed_with_its_own_callers)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string job = fleet.submit(
        owner, {.work = milliseconds(1900), .timeout = milliseconds(5000)});
    fleet.run_for(milliseconds(100));
    fleet.kill(owner);
    fleet.run_for(milliseconds(6000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    check_no_violations(fleet);
}

// A partitioned endpoint may still run its tasks. They must not be rerun
// elsewhere before its lease has lapsed.
BOOST_AUTO_TEST_CASE(endpoint_partitioned_from_all_hosts)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string job =
        fleet.submit(other_host(fleet, ""), {.work = milliseconds(700),
                                             .timeout = milliseconds(5000)});
    fleet.run_for(milliseconds(100));
    std::set<std::string> hosts;
    for (const std::string& name : fleet.host_names())
        hosts.insert(name);
    fleet.partition({"D1-e1", "D1-e2"}, hosts);
    fleet.run_for(milliseconds(5000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.has_logged("lease_lapsed"));
    check_no_violations(fleet);
}

// An endpoint executes starts long after their timeout. Such a start must not
// run a task that was rerun elsewhere.
BOOST_AUTO_TEST_CASE(starts_executed_late)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.endpoint("D1-e1").set_fault(endpoint_fault::late_starts);
    fleet.endpoint("D1-e2").set_fault(endpoint_fault::late_starts);
    submit_load(fleet, 40, milliseconds(100), {.timeout = milliseconds(3000)});
    fleet.endpoint("D1-e1").set_fault(endpoint_fault::none);
    fleet.endpoint("D1-e2").set_fault(endpoint_fault::none);
    submit_load(fleet, 60, milliseconds(200), {.tasks = 2});
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.answered(answer_kind::completed) >= 90);
    check_no_violations(fleet);
}

// An endpoint answers health checks while its tasks make no progress. It must
// be recognised by the missing progress and get no further tasks.
BOOST_AUTO_TEST_CASE(endpoint_with_hanging_tasks)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.endpoint("D1-e3").set_fault(endpoint_fault::hangs);
    submit_load(fleet, 30, milliseconds(100),
                {.tasks = 2, .timeout = milliseconds(3000)});
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.answered(answer_kind::completed) == 30);
    BOOST_TEST(fleet.endpoint("D1-e3").starts() <= 12);
    check_no_violations(fleet);
}

// An endpoint that fails every task at once always appears idle. It must not
// attract most of the tasks.
BOOST_AUTO_TEST_CASE(endpoint_fails_all_tasks)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.endpoint("D1-e1").set_fault(endpoint_fault::fails_all);
    submit_load(fleet, 60, milliseconds(100), {.tasks = 2});
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.answered(answer_kind::completed) >= 58);
    BOOST_TEST(fleet.endpoint("D1-e1").starts() <= 40);
    check_no_violations(fleet);
}

// A draining endpoint must get no new tasks, and its removal must leave no
// caller without an answer.
BOOST_AUTO_TEST_CASE(draining_endpoint_gets_no_new_work)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.set_draining("D1-e1");
    fleet.run_for(milliseconds(1000));
    const int starts = fleet.endpoint("D1-e1").starts();
    submit_load(fleet, 30, milliseconds(100));
    BOOST_TEST(fleet.endpoint("D1-e1").starts() == starts);
    fleet.remove_endpoint("D1-e1");
    fleet.endpoint("D1-e1").set_fault(endpoint_fault::dead);
    submit_load(fleet, 30, milliseconds(100), {.tasks = 2});
    fleet.run_for(milliseconds(2000));
    BOOST_TEST(fleet.unanswered() == 0);
    check_no_violations(fleet);
}

// An owner that the store refuses must learn from the other hosts of its domain
// that an endpoint leaves. It went on without the news for as long as that
// lasted.
BOOST_AUTO_TEST_CASE(owner_without_store_learns_of_a_leaving_endpoint)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.partition({fleet.owner_of("D1")}, {"store"});
    fleet.run_for(milliseconds(1500));
    fleet.set_draining("D1-e1");
    fleet.run_for(milliseconds(2000));
    const int starts = fleet.endpoint("D1-e1").starts();
    submit_load(fleet, 30, milliseconds(100));
    BOOST_TEST(fleet.endpoint("D1-e1").starts() == starts);
    check_no_violations(fleet);
}

// The same if the store refuses all hosts of the domain, for hosts of another.
BOOST_AUTO_TEST_CASE(domain_without_store_learns_of_a_leaving_endpoint)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    fleet.partition({"D1-h1", "D1-h2", "D1-h3"}, {"store"});
    fleet.set_draining("D1-e1");
    // The hosts learn at their next read, of up to 2 s, that the store is away.
    fleet.run_for(milliseconds(4000));
    const int starts = fleet.endpoint("D1-e1").starts();
    submit_load(fleet, 30, milliseconds(100));
    BOOST_TEST(fleet.endpoint("D1-e1").starts() == starts);
    check_no_violations(fleet);
}

// After a restart of all hosts, each host connects to every registered peer.
// It must not wait for missing peers before it claims a shard.
BOOST_AUTO_TEST_CASE(all_hosts_restarted)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    for (const std::string& host : fleet.host_names())
        fleet.kill(host);
    fleet.run_for(milliseconds(500));
    for (const std::string& host : fleet.host_names())
        fleet.start(host);
    // Covers connecting, one read of the table and the claim delay.
    fleet.run_for(milliseconds(400));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    const auto jobs = submit_load(fleet, 5, milliseconds(50));
    fleet.run_for(milliseconds(1500));
    BOOST_TEST(fleet.answered(answer_kind::completed) == 5);
    check_no_violations(fleet);
}

// One host does not come back after a crash of all. The others must not wait
// for it longer than two connection attempts.
BOOST_AUTO_TEST_CASE(hosts_restarted_without_one)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    for (const std::string& host : fleet.host_names())
        fleet.kill(host);
    fleet.run_for(milliseconds(500));
    fleet.start("D1-h2");
    fleet.start("D1-h3");
    // Covers two connection attempts and the claim delay.
    fleet.run_for(milliseconds(700));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    check_no_violations(fleet);
}

// A start whose answer was lost may run. The owner must list the endpoint's
// runs before it retries, or the task runs twice.
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
    check_no_violations(fleet);
}

// After a restart of a strong host its shards must move back from weak hosts
// and stay there: rebalancing has a hysteresis.
BOOST_AUTO_TEST_CASE(shards_return_to_strong_hosts)
{
    shard_fleet fleet({.hosts_per_domain = 3, .powers = {0.09, 0.09, 0.5}});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.owner_of("D1") == "D1-h3");
    fleet.stop_gracefully("D1-h3");
    submit_load(fleet, 30, milliseconds(100));
    BOOST_TEST(fleet.owner_of("D1") != "D1-h3");
    fleet.run_for(milliseconds(4000));
    fleet.start("D1-h3");
    submit_load(fleet, 60, milliseconds(100));
    BOOST_TEST(fleet.owner_of("D1") == "D1-h3");
    BOOST_TEST(fleet.owners_of("D1") == 1);
    submit_load(fleet, 30, milliseconds(100));
    fleet.run_for(milliseconds(2000));
    BOOST_TEST(fleet.owner_of("D1") == "D1-h3");
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_no_violations(fleet);
}

// A stopping strong host must delay its handover while only weak hosts could
// take over, and hand over to a strong host that returns.
BOOST_AUTO_TEST_CASE(strong_hosts_stopped_one_after_the_other)
{
    shard_fleet fleet(
        {.hosts_per_domain = 4, .powers = {0.09, 0.09, 0.5, 0.5}});
    fleet.run_for(warm_up);
    const std::string first = fleet.owner_of("D1");
    const std::string second = first == "D1-h3" ? "D1-h4" : "D1-h3";
    fleet.stop_gracefully(second);
    submit_load(fleet, 10, milliseconds(100));
    fleet.stop_gracefully(first);
    submit_load(fleet, 10, milliseconds(100));
    BOOST_TEST(fleet.owner_of("D1") == first);
    fleet.kill(second);
    fleet.start(second);
    submit_load(fleet, 15, milliseconds(100));
    BOOST_TEST(fleet.owner_of("D1") == second);
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.owner_of("D1") == second);
    check_no_violations(fleet);
}

// A backlog of tasks that need memory but no cores is extreme input. All of
// its jobs must still get an answer.
BOOST_AUTO_TEST_CASE(tasks_without_cores)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    submit_load(fleet, 5, milliseconds(5),
                {.millicores = 0, .memory_mb = 40000});
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.unanswered() == 0);
    BOOST_TEST(fleet.answered(answer_kind::completed) > 0);
    check_no_violations(fleet);
}

// A host that started during an outage of the store takes over without knowing
// the endpoints whose entries have lapsed. They still run tasks that its
// predecessor started, which must not be run twice.
BOOST_AUTO_TEST_CASE(takeover_with_unknown_endpoints)
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
    // The first job runs on endpoints that the other host does not know; the
    // second one leaves capacity on those that it knows.
    for (const int tasks : {4, 1})
        fleet.submit(owner, {.tasks = tasks,
                             .work = milliseconds(2500),
                             .timeout = milliseconds(9000)});
    fleet.run_for(milliseconds(100));
    BOOST_TEST(fleet.endpoint("D1-e1").running_count() == 2U);
    BOOST_TEST(fleet.endpoint("D1-e2").running_count() == 2U);
    fleet.set_store_up(true);
    // The predecessor is fenced while its leases on the other endpoints still
    // have most of their time, and hands its jobs over.
    const std::string fenced_line = owner + " event=fenced";
    for (int i = 0; i < 300 && !fleet.has_logged(fenced_line); ++i)
        fleet.run_for(milliseconds(10));
    BOOST_TEST(fleet.has_logged(fenced_line));
    fleet.heal();
    fleet.run_for(milliseconds(8000));
    BOOST_TEST(fleet.unanswered() == 0);
    check_no_violations(fleet);
}

// The owner learns the end of a run from a list request. When its connection
// is reset, the first retry must not wait, or the answer misses its target.
BOOST_AUTO_TEST_CASE(list_connections_reset)
{
    constexpr milliseconds work(100);
    // The tightest target: 60 ms plus one and a half times the work.
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
    check_no_violations(fleet);
}

// A restarted endpoint has lost its runs but keeps its id. Its jobs must not
// wait for runs of the earlier incarnation.
BOOST_AUTO_TEST_CASE(endpoint_restarted_under_same_id)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    submit_load(fleet, 5, milliseconds(20), {.work = milliseconds(600)});
    fleet.restart_endpoint("D1-e1");
    fleet.restart_endpoint("D1-e2");
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.answered(answer_kind::completed) == 5);
    check_no_violations(fleet);
}

// Jobs and failover must not depend on the store while it is down.
BOOST_AUTO_TEST_CASE(store_down)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.set_store_up(false);
    submit_load(fleet, 30, milliseconds(200));
    const std::string owner = fleet.owner_of("D1");
    fleet.kill(owner);
    fleet.run_for(milliseconds(1500));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    submit_load(fleet, 10, milliseconds(200));
    fleet.set_store_up(true);
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_no_violations(fleet);
}

// A host that cannot reach the store must get a new configuration from its
// peers, or it serves outdated routes. Versions must never decrease.
BOOST_AUTO_TEST_CASE(config_reaches_host_partitioned_from_store)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string partitioned = other_host(fleet, fleet.owner_of("D1"));
    fleet.partition({partitioned}, {"store"});
    fleet.run_for(milliseconds(3000));
    fleet.set_config(7, {"quote", "fresh"});
    fleet.run_for(milliseconds(1500));
    for (const std::string& name : fleet.host_names())
        BOOST_TEST(fleet.host(name)->config().version() == 7);
    const std::string job = fleet.submit(partitioned, {.route = "fresh"});
    const std::string dropped = fleet.submit(partitioned, {.route = "check"});
    fleet.run_for(milliseconds(1000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST((fleet.caller(dropped).answer == answer_kind::no_route));
    check_no_violations(fleet);
}

// A change is lost with the store's change history. The hosts must reread the
// tables, or they place tasks on a draining endpoint.
BOOST_AUTO_TEST_CASE(change_history_discarded)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.discard_history();
    fleet.set_draining("D1-e1");
    fleet.discard_history();
    fleet.run_for(milliseconds(1500));
    const int starts = fleet.endpoint("D1-e1").starts();
    submit_load(fleet, 20, milliseconds(100), {.tasks = 2});
    BOOST_TEST(fleet.endpoint("D1-e1").starts() == starts);
    fleet.run_for(milliseconds(2000));
    BOOST_TEST(fleet.answered(answer_kind::completed) == 20);
    check_no_violations(fleet);
}

// Under overload, jobs that cannot be served in time must be refused at once
// with a retry delay instead of waiting for their timeout.
BOOST_AUTO_TEST_CASE(overload_is_refused_at_once)
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
    check_no_violations(fleet);
}

// When a caller disconnects, the runs of its job must be stopped.
BOOST_AUTO_TEST_CASE(caller_disconnects)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string job = fleet.submit("D1-h1", {.work = milliseconds(1500)});
    fleet.run_for(milliseconds(100));
    fleet.disconnect_caller(job);
    fleet.run_for(milliseconds(100));
    for (const std::string& id : fleet.endpoint_names())
        BOOST_TEST(fleet.endpoint(id).running_count() == 0U);
    check_no_violations(fleet);
}

// After a power loss of all hosts, each domain must be back at full service
// within the recovery target.
BOOST_AUTO_TEST_CASE(all_hosts_lose_power)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    submit_load(fleet, 12, milliseconds(20), {.work = milliseconds(800)});
    for (const std::string& host : fleet.host_names())
        fleet.kill(host);
    fleet.run_for(milliseconds(1400));
    for (const std::string& host : fleet.host_names())
        fleet.start(host);
    fleet.run_for(recovery_target);
    const int before = fleet.answered(answer_kind::completed);
    submit_load(fleet, 20, milliseconds(60));
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(fleet.answered(answer_kind::completed) - before == 20);
    check_no_violations(fleet);
}

// Each new owner crashes shortly after its takeover, possibly before it has
// adopted all jobs. The domain must still have one owner in the end.
BOOST_AUTO_TEST_CASE(owners_killed_one_after_the_other)
{
    shard_fleet fleet({.hosts_per_domain = 4});
    fleet.run_for(warm_up);
    for (int i = 0; i < 3; ++i)
    {
        submit_load(fleet, 6, milliseconds(30), {.work = milliseconds(700)});
        fleet.kill(fleet.owner_of("D1"));
        fleet.run_for(milliseconds(400));
    }
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    check_no_violations(fleet);
}

// An owner that is partitioned from its peers keeps its endpoints while a
// successor claims the shard. The owner with the lower token must give way.
BOOST_AUTO_TEST_CASE(owner_partitioned_from_peers)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    std::set<std::string> others;
    for (const std::string& name : fleet.host_names())
        if (name != owner)
            others.insert(name);
    submit_load(fleet, 3, milliseconds(20), {.work = milliseconds(800)});
    fleet.partition({owner}, others);
    submit_load(fleet, 30, milliseconds(150), {.timeout = milliseconds(3000)});
    fleet.heal();
    fleet.run_for(milliseconds(5000));
    BOOST_TEST(fleet.owners_of("D1") == 1);
    check_no_violations(fleet);
}

// Connections between live hosts are reset. Lost messages must be resent, and
// the owner must not change.
BOOST_AUTO_TEST_CASE(links_reset)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    for (int i = 0; i < 10; ++i)
    {
        submit_load(fleet, 4, milliseconds(50), {.tasks = 2});
        fleet.reset_links(owner);
    }
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.unanswered() == 0);
    BOOST_TEST(fleet.answered(answer_kind::completed) == 40);
    BOOST_TEST(fleet.owner_of("D1") == owner);
    check_no_violations(fleet);
}

// Ids become part of task names and log lines, so that ids with other
// characters must be refused.
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
    check_no_violations(fleet);
}

// Several hosts each own a shard of a domain. When one crashes, all shards
// must have an owner again and no job may fail.
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
    submit_load(fleet, 40, milliseconds(50), {.tasks = 2});
    fleet.kill("D1-h2");
    submit_load(fleet, 40, milliseconds(50), {.tasks = 2});
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.owners_of("D1") == 4);
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_no_violations(fleet);
}

// The shard count of a domain grows while jobs run. All jobs must complete,
// and each shard must have one owner.
BOOST_AUTO_TEST_CASE(domain_resharded_under_load)
{
    shard_fleet fleet({.hosts_per_domain = 4,
                       .endpoints_per_domain = 4,
                       .endpoints_per_shard = 4});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.shards_of("D1") == 1);
    const job_shape shape{
        .tasks = 2, .work = milliseconds(700), .timeout = milliseconds(4000)};
    submit_load(fleet, 4, milliseconds(20), shape);
    for (int number = 5; number <= 28; ++number)
        fleet.add_endpoint("D1", number);
    submit_load(fleet, 60, milliseconds(100), shape);
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.shards_of("D1") > 1);
    BOOST_TEST(fleet.owners_of("D1") == fleet.shards_of("D1"));
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_no_violations(fleet);
}

// Jobs that exceed the capacity of their domain must run in another one.
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
    check_no_violations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
