/// \file
/// Domains that the operator evacuates: no task starts there, beside losses of
/// hosts, of links and of the store.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

/// In which all hosts that reach the store or a peer must know of a change;
/// well below the platform's 5,000 ms.
constexpr milliseconds known_everywhere{2000};
/// Longer than a claim, and the wait of a new owner for what others started.
constexpr milliseconds takeover_time{2500};
/// Longer than an entry host waits for answers to one job of submit_load().
constexpr milliseconds settle_time{3000};

fleet_options two_domains()
{
    return {.domains = 2};
}

std::string owner_log(const shard_fleet& fleet, const std::string& domain)
{
    return "host=" + fleet.owner_of(domain);
}

/// Submits jobs to all hosts for \p span, and returns how many tasks the
/// endpoints of \p domain started meanwhile.
int starts_during(shard_fleet& fleet, const std::string& domain,
                  milliseconds span, const job_shape& shape = {})
{
    constexpr milliseconds gap{50};
    const auto count = [&fleet, &domain]
    {
        int starts = 0;
        for (const std::string& id : fleet.endpoint_names())
            if (id.starts_with(domain + "-"))
                starts += fleet.endpoint(id).starts();
        return starts;
    };
    const int before = count();
    submit_load(fleet, static_cast<int>(span / gap), gap, shape);
    return count() - before;
}

std::set<std::string> hosts_of(const shard_fleet& fleet,
                               const std::string& domain)
{
    std::set<std::string> found;
    for (const std::string& host : fleet.host_names())
        if (host.starts_with(domain + "-"))
            found.insert(host);
    return found;
}

std::set<std::string> all_hosts(const shard_fleet& fleet)
{
    const std::vector<std::string> names = fleet.host_names();
    return {names.begin(), names.end()};
}

int count_logged(const shard_fleet& fleet, const std::string& text)
{
    return static_cast<int>(
        std::count_if(fleet.log().begin(), fleet.log().end(),
                      [&text](const std::string& line)
                      { return line.find(text) != std::string::npos; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation)

// Guards against starts in a domain after the operator's request, against
// callers of its hosts that are not served elsewhere, and against a domain that
// stays empty when the request is removed.
BOOST_AUTO_TEST_CASE(domain_is_emptied_and_taken_back)
{
    shard_fleet fleet(two_domains());
    fleet.run_for(warm_up);
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) > 0);
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(200));
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(4000)) == 0);
    for (const std::string& host : fleet.host_names())
        BOOST_TEST(fleet.host(host)->is_ready(), host);
    fleet.end_evacuation("D1");
    fleet.run_for(milliseconds(200));
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) > 0);
    fleet.run_for(settle_time);
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_no_violations(fleet);
}

// Guards against an end of tasks that run when the request comes, and against
// jobs that wait in the domain until their callers have left.
BOOST_AUTO_TEST_CASE(running_tasks_go_on_and_waiting_jobs_leave)
{
    shard_fleet fleet({.domains = 2, .endpoints_per_domain = 2});
    fleet.run_for(warm_up);
    const job_shape slow{.tasks = 4,
                         .millicores = 8000,
                         .work = milliseconds(900),
                         .timeout = milliseconds(4000)};
    const std::string running = fleet.submit("D1-h1", slow);
    fleet.run_for(milliseconds(100));
    BOOST_TEST(fleet.starts_of(running) == 4);
    const std::string waiting = fleet.submit("D1-h2", slow);
    fleet.run_for(milliseconds(50));
    BOOST_TEST(fleet.starts_of(waiting) == 0);
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(300));
    BOOST_TEST(fleet.starts_of(waiting) == 4);
    fleet.run_for(milliseconds(1500));
    for (const std::string& job : {running, waiting})
    {
        BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
        BOOST_TEST(fleet.caller(job).attempts == 1);
        BOOST_TEST(fleet.starts_of(job) == 4);
    }
    check_no_violations(fleet);
}

// Guards against a job some of whose tasks run and whose others can't start:
// its caller must learn at once, and its copy must not meet its runs.
BOOST_AUTO_TEST_CASE(job_that_is_half_started_ends)
{
    shard_fleet fleet({.domains = 2, .endpoints_per_domain = 1});
    fleet.run_for(warm_up);
    const std::string job =
        fleet.submit("D1-h1", {.tasks = 3,
                               .millicores = 8000,
                               .work = milliseconds(700),
                               .timeout = milliseconds(4000)});
    fleet.run_for(milliseconds(100));
    BOOST_TEST(fleet.starts_of(job) == 2);
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.caller(job).attempts == 2);
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    check_no_violations(fleet);
}

// Guards against a task that starts again in the domain after its run there has
// failed.
BOOST_AUTO_TEST_CASE(failed_task_does_not_start_again)
{
    shard_fleet fleet(two_domains());
    fleet.run_for(warm_up);
    for (const std::string& id : fleet.endpoint_names())
        if (id.starts_with("D1-"))
            fleet.endpoint(id).set_fault(endpoint_fault::fails_all);
    const std::string job = fleet.submit(
        "D1-h1",
        {.tasks = 4, .work = milliseconds(600), .timeout = milliseconds(4000)});
    fleet.run_for(milliseconds(200));
    BOOST_TEST(fleet.starts_of(job) == 4);
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(600));
    BOOST_TEST(fleet.starts_of(job) == 4);
    // The copy runs elsewhere.
    fleet.run_for(settle_time);
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 2);
    check_no_violations(fleet);
}

// Guards against offers that are used up among the shards of the domain.
BOOST_AUTO_TEST_CASE(domain_of_several_shards_is_emptied)
{
    shard_fleet fleet({.domains = 2,
                       .hosts_per_domain = 4,
                       .endpoints_per_domain = 8,
                       .endpoints_per_shard = 2});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.owners_of("D1") == 4);
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(200));
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(2000)) == 0);
    fleet.run_for(settle_time);
    BOOST_TEST(fleet.answered(answer_kind::completed) == fleet.submitted());
    check_no_violations(fleet);
}

// Guards against an old request that comes back, or a removal that is missed,
// when both follow each other faster than they spread.
BOOST_AUTO_TEST_CASE(request_and_removal_in_quick_turns)
{
    for (const bool ends_requested : {false, true})
        for (const int gap_ms : {1, 10, 60, 250})
        {
            shard_fleet fleet(two_domains());
            fleet.run_for(warm_up);
            fleet.partition({fleet.owner_of("D1")}, {"store"});
            for (int turn = 0; turn < 10; ++turn)
            {
                fleet.request_evacuation("D1");
                fleet.run_for(milliseconds(gap_ms));
                fleet.end_evacuation("D1");
                fleet.run_for(milliseconds(gap_ms));
            }
            if (ends_requested)
                fleet.request_evacuation("D1");
            fleet.run_for(known_everywhere);
            const int starts = starts_during(fleet, "D1", milliseconds(1000));
            BOOST_TEST((ends_requested ? starts == 0 : starts > 0),
                       starts << " starts, gap " << gap_ms);
            check_no_violations(fleet);
        }
}

// Guards against an owner that the store does not answer, and that goes on.
BOOST_AUTO_TEST_CASE(owner_cut_off_from_the_store_learns_it)
{
    shard_fleet fleet(two_domains());
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const int cut = fleet.partition({owner}, {"store"});
    fleet.run_for(milliseconds(3000));
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(500));
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(2000)) == 0);
    fleet.end_evacuation("D1");
    fleet.run_for(milliseconds(500));
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) > 0);
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(500));
    fleet.heal(cut);
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(2000)) == 0);
    check_no_violations(fleet);
}

// The same for a whole domain, which only hosts of another one can tell.
BOOST_AUTO_TEST_CASE(domain_cut_off_from_the_store_learns_it)
{
    shard_fleet fleet(two_domains());
    fleet.run_for(warm_up);
    fleet.partition(hosts_of(fleet, "D1"), {"store"});
    fleet.run_for(milliseconds(3000));
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(500));
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(2000)) == 0);
    check_no_violations(fleet);
}

// Guards against a removal that a host misses that was cut off from all when
// it came, and against such a host's old request for the others.
BOOST_AUTO_TEST_CASE(host_that_missed_the_removal_follows)
{
    shard_fleet fleet(two_domains());
    fleet.run_for(warm_up);
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(500));
    const std::string away = other_host(fleet, fleet.owner_of("D1"));
    std::set<std::string> rest = all_hosts(fleet);
    rest.erase(away);
    rest.insert("store");
    const int cut = fleet.partition({away}, rest);
    fleet.run_for(milliseconds(2000));
    fleet.end_evacuation("D1");
    fleet.run_for(milliseconds(2000));
    fleet.set_store_up(false);
    fleet.heal(cut);
    fleet.run_for(known_everywhere);
    for (const std::string& host : fleet.host_names())
        BOOST_TEST(!fleet.host(host)->evacuations().is_evacuated("D1"), host);
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) > 0);
    check_no_violations(fleet);
}

// Guards against a domain that stays empty as the row was removed while no host
// could read the store, whose history is then lost.
BOOST_AUTO_TEST_CASE(removal_while_the_store_is_away)
{
    for (const bool is_history_lost : {false, true})
    {
        shard_fleet fleet(two_domains());
        fleet.run_for(warm_up);
        fleet.request_evacuation("D1");
        fleet.run_for(milliseconds(500));
        fleet.set_store_up(false);
        fleet.run_for(milliseconds(1500));
        BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) == 0);
        fleet.end_evacuation("D1");
        if (is_history_lost)
            fleet.discard_history();
        fleet.run_for(milliseconds(1000));
        fleet.set_store_up(true);
        fleet.run_for(known_everywhere);
        BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) > 0);
        check_no_violations(fleet);
    }
}

// Guards against an evacuation that ends since the store shows rows as they
// were before it, in a read of all.
BOOST_AUTO_TEST_CASE(late_reads_do_not_end_it)
{
    shard_fleet fleet(two_domains());
    fleet.run_for(warm_up);
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(500));
    fleet.discard_history();
    fleet.set_read_lag(milliseconds(3000));
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(2000)) == 0);
    fleet.end_read_lags();
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) == 0);
    check_no_violations(fleet);
}

// Guards against a successor that starts tasks in the domain, or that stops
// those which run there.
BOOST_AUTO_TEST_CASE(owner_is_lost_during_it)
{
    for (const bool loses_power : {false, true})
    {
        shard_fleet fleet(two_domains());
        fleet.run_for(warm_up);
        const std::string owner = fleet.owner_of("D1");
        const std::string entry = other_host(fleet, owner);
        const std::string running =
            fleet.submit(entry, {.tasks = 2,
                                 .work = milliseconds(2500),
                                 .timeout = milliseconds(6000)});
        fleet.run_for(milliseconds(100));
        fleet.request_evacuation("D1");
        fleet.run_for(milliseconds(200));
        if (loses_power)
            fleet.lose_power(owner);
        else
            fleet.kill(owner);
        BOOST_TEST(starts_during(fleet, "D1", takeover_time) == 0);
        BOOST_TEST(fleet.owner_of("D1") != owner);
        fleet.start(owner);
        BOOST_TEST(starts_during(fleet, "D1", takeover_time) == 0);
        fleet.run_for(settle_time);
        BOOST_TEST((fleet.caller(running).answer == answer_kind::completed),
                   owner_log(fleet, "D1"));
        fleet.end_evacuation("D1");
        fleet.run_for(milliseconds(500));
        BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) > 0);
        check_no_violations(fleet);
    }
}

// Guards against processes that have all forgotten it.
BOOST_AUTO_TEST_CASE(all_processes_restart_during_it)
{
    shard_fleet fleet(two_domains());
    fleet.run_for(warm_up);
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(500));
    for (const std::string& host : fleet.host_names())
        fleet.kill(host);
    fleet.run_for(milliseconds(600));
    for (const std::string& host : fleet.host_names())
        fleet.start(host);
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(5000)) == 0);
    fleet.end_evacuation("D1");
    fleet.run_for(milliseconds(500));
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) > 0);
    check_no_violations(fleet);
}

// Guards against a process that starts while the store is away, and that its
// peers know more than: it must learn it before its first start.
BOOST_AUTO_TEST_CASE(process_that_restarts_without_the_store_learns_it)
{
    for (int offset = 0; offset < 8; ++offset)
    {
        shard_fleet fleet({.domains = 2, .hosts_per_domain = 1});
        fleet.run_for(warm_up);
        fleet.request_evacuation("D1");
        fleet.run_for(milliseconds(500 + offset * 25));
        fleet.set_store_up(false);
        fleet.kill("D1-h1");
        fleet.run_for(milliseconds(100));
        fleet.start("D1-h1");
        BOOST_TEST(starts_during(fleet, "D1", milliseconds(5000)) == 0);
        check_no_violations(fleet);
    }
}

// Guards against rows that end an evacuation, or hide others, as they can't be
// read or name no domain.
BOOST_AUTO_TEST_CASE(malformed_rows_change_nothing)
{
    shard_fleet fleet(two_domains());
    fleet.run_for(warm_up);
    fleet.spoil_evacuation("D2");
    fleet.request_evacuation("nowhere");
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(200));
    fleet.spoil_evacuation("D1");
    fleet.run_for(milliseconds(200));
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) == 0);
    BOOST_TEST(starts_during(fleet, "D2", milliseconds(1000)) > 0);
    fleet.discard_history();
    fleet.run_for(milliseconds(1500));
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) == 0);
    const int hosts = static_cast<int>(fleet.host_names().size());
    BOOST_TEST(count_logged(fleet, "evacuation_unknown") == hosts);
    BOOST_TEST(count_logged(fleet, "row_malformed table=config key=D1") ==
               hosts);
    fleet.end_evacuation("D1");
    fleet.run_for(milliseconds(500));
    BOOST_TEST(starts_during(fleet, "D1", milliseconds(1000)) > 0);
    check_no_violations(fleet);
}

// Guards against copies of a job that run beside it, when its home refuses it
// and another domain runs it.
BOOST_AUTO_TEST_CASE(copies_meet_the_run_elsewhere)
{
    shard_fleet fleet(two_domains());
    fleet.run_for(warm_up);
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(500));
    const std::string job =
        fleet.submit("D1-h1", {.tasks = 2,
                               .work = milliseconds(3000),
                               .timeout = milliseconds(6000)});
    fleet.run_for(milliseconds(100));
    BOOST_TEST(fleet.starts_of(job) == 2);
    fleet.repeat(job, "D1-h2");
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(fleet.starts_of(job) == 2);
    fleet.run_for(settle_time);
    check_no_violations(fleet);
}

// Guards against jobs of the domain that the others refuse although they have
// room, as their load is above what they take in an overload.
BOOST_AUTO_TEST_CASE(load_of_other_domains_does_not_hold_them_back)
{
    shard_fleet fleet({.domains = 2, .endpoints_per_domain = 2});
    fleet.run_for(warm_up);
    // 28 of the 32 cores of D2.
    const job_shape filling{.tasks = 4,
                            .millicores = 7000,
                            .work = milliseconds(3000),
                            .timeout = milliseconds(6000)};
    const std::string filled = fleet.submit("D2-h1", filling);
    fleet.run_for(milliseconds(500));
    fleet.request_evacuation("D1");
    fleet.run_for(milliseconds(500));
    const std::string job = fleet.submit(
        "D1-h1", {.tasks = 2, .millicores = 1000, .work = milliseconds(100)});
    fleet.run_for(milliseconds(500));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    check_no_violations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
