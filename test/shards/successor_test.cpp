/// \file
/// A host that becomes the owner of a shard with another table of endpoints
/// than its predecessor: it has read an earlier one, or lacks entries that have
/// lapsed while their endpoints were at work.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

/// The first reading of the endpoints counts as a division for 5 s, in which
/// new owners are more careful.
constexpr milliseconds long_after_start(8000);

const job_shape very_long_task{.tasks = 1,
                               .millicores = 12000,
                               .work = milliseconds(14000),
                               .timeout = milliseconds(25000)};

/// A way in which an owner ends, by name.
struct owner_end
{
    const char* name;
    std::function<void(shard_fleet& fleet, const std::string& owner)> apply;
    /// Its links stay open, so that it takes longer to be succeeded.
    bool is_silent = false;
};

const std::vector<owner_end>& owner_ends()
{
    static const std::vector<owner_end> ends = {
        {.name = "planned stop",
         .apply =
             [](shard_fleet& fleet, const std::string& owner)
         {
             fleet.stop_gracefully(owner);
         }},
        {.name = "kill",
         .apply =
             [](shard_fleet& fleet, const std::string& owner)
         {
             fleet.kill(owner);
         }},
        {.name = "silence",
         .apply = [](shard_fleet& fleet, const std::string& owner)
         { fleet.lose_power(owner); },
         .is_silent = true}};
    return ends;
}

/// An installation of one domain, and the parts that its hosts play.
struct succession
{
    explicit succession(int endpoints, int hosts = 3)
        : fleet({.hosts_per_domain = hosts, .endpoints_per_domain = endpoints})
    {
        this->fleet.run_for(long_after_start);
        this->owner = this->fleet.owner_of("D1");
        BOOST_TEST(this->owner == "D1-h1");
    }

    /// Starts the successor's process again in a planned restart.
    void restart_successor()
    {
        this->fleet.stop_gracefully(this->successor);
        this->fleet.run_for(milliseconds(2600));
        BOOST_TEST(this->fleet.host(this->successor) == nullptr);
        this->fleet.start(this->successor);
    }

    shard_fleet fleet;
    std::string owner;
    /// Of hosts with equal power the first by name claims the shard.
    std::string successor = "D1-h2";
    std::string entry = "D1-h3";
};

} // namespace

BOOST_AUTO_TEST_SUITE(successor)

// An endpoint is added and gets a task. A host that reads the endpoints as they
// were before takes the shard over. It must not start the task elsewhere.
BOOST_AUTO_TEST_CASE(reads_of_the_successor_lack_a_new_endpoint)
{
    for (const owner_end& end : owner_ends())
        for (int offset = 0; offset <= 5000; offset += 250)
            BOOST_TEST_CONTEXT(end.name << " offset " << offset)
            {
                succession hosts(1);
                shard_fleet& fleet = hosts.fleet;
                fleet.submit(hosts.entry, {.tasks = 1,
                                           .millicores = 12000,
                                           .work = milliseconds(3500),
                                           .timeout = milliseconds(9000)});
                fleet.stop_gracefully(hosts.successor);
                fleet.run_for(milliseconds(900));
                fleet.add_endpoint("D1", 2);
                const std::string job =
                    fleet.submit(hosts.entry, very_long_task);
                fleet.run_for(milliseconds(1700));
                BOOST_TEST(fleet.endpoint("D1-e2").running_count() == 1);
                BOOST_TEST(fleet.host(hosts.successor) == nullptr);
                fleet.set_read_lag(hosts.successor, milliseconds(5500));
                fleet.start(hosts.successor);
                fleet.run_for(milliseconds(offset));
                end.apply(fleet, hosts.owner);
                fleet.run_for(milliseconds(20000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                BOOST_TEST(fleet.starts_of(job) == 1);
                check_no_violations(fleet);
            }
}

// The entry of an endpoint lapses while it is at work, and a host that starts
// afterwards takes the shard over. It must not start the task elsewhere.
BOOST_AUTO_TEST_CASE(successor_started_after_an_entry_has_lapsed)
{
    for (const owner_end& end : owner_ends())
        for (int offset = 0; offset <= 5000; offset += 250)
            BOOST_TEST_CONTEXT(end.name << " offset " << offset)
            {
                succession hosts(2);
                shard_fleet& fleet = hosts.fleet;
                const std::string job =
                    fleet.submit(hosts.entry, very_long_task);
                fleet.run_for(milliseconds(100));
                BOOST_TEST(fleet.endpoint("D1-e1").running_count() == 1);
                fleet.remove_endpoint("D1-e1");
                hosts.restart_successor();
                fleet.run_for(milliseconds(offset));
                end.apply(fleet, hosts.owner);
                fleet.run_for(milliseconds(20000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                // The endpoint itself ends the run if the owner falls silent
                // just when the successor starts.
                const bool may_lapse = end.is_silent && offset == 0;
                BOOST_TEST((fleet.starts_of(job) == 1 || may_lapse));
                check_no_violations(fleet);
            }
}

// The owner's reads are behind: it starts tasks at an endpoint whose entry has
// lapsed before its successor started, and that successor has read further.
BOOST_AUTO_TEST_CASE(reads_of_the_owner_list_a_lapsed_endpoint)
{
    for (const owner_end& end : owner_ends())
        for (int offset = 200; offset <= 1000; offset += 200)
            BOOST_TEST_CONTEXT(end.name << " offset " << offset)
            {
                succession hosts(2, 4);
                shard_fleet& fleet = hosts.fleet;
                const std::string owner = "D1-h2";
                const std::string successor = "D1-h3";
                fleet.remove_endpoint("D1-e1");
                fleet.set_read_lag(owner, milliseconds(6000));
                fleet.stop_gracefully(successor);
                // The others have dropped it by then.
                fleet.run_for(milliseconds(3300));
                BOOST_TEST(fleet.host(successor) == nullptr);
                fleet.start(successor);
                fleet.run_for(milliseconds(400));
                fleet.kill(hosts.owner);
                fleet.run_for(milliseconds(400));
                BOOST_TEST(fleet.owner_of("D1") == owner);
                const std::array jobs = {fleet.submit("D1-h4", very_long_task),
                                         fleet.submit("D1-h4", very_long_task)};
                fleet.run_for(milliseconds(1200));
                BOOST_TEST(fleet.endpoint("D1-e1").running_count() == 1);
                fleet.run_for(milliseconds(offset));
                end.apply(fleet, owner);
                fleet.run_for(milliseconds(20000));
                for (const std::string& job : jobs)
                {
                    BOOST_TEST(
                        (fleet.caller(job).answer == answer_kind::completed));
                    BOOST_TEST(fleet.starts_of(job) == 1);
                }
                check_no_violations(fleet);
            }
}

// The entry host is lost, then the owner before it has stopped the run, and the
// caller sends the job again to the successor. A copy must not run beside the
// first run.
BOOST_AUTO_TEST_CASE(copy_at_a_successor_without_the_entry)
{
    for (const owner_end& end : owner_ends())
        for (int offset = 1000; offset <= 4000; offset += 500)
            for (int later = 0; later <= 600; later += 50)
                BOOST_TEST_CONTEXT(end.name << " offset " << offset << " later "
                                            << later)
                {
                    succession hosts(2);
                    shard_fleet& fleet = hosts.fleet;
                    const std::string job =
                        fleet.submit(hosts.entry, very_long_task);
                    fleet.run_for(milliseconds(100));
                    fleet.remove_endpoint("D1-e1");
                    hosts.restart_successor();
                    fleet.run_for(milliseconds(offset));
                    fleet.send_copies_to(hosts.successor);
                    fleet.lose_power(hosts.entry);
                    fleet.run_for(milliseconds(later));
                    end.apply(fleet, hosts.owner);
                    fleet.run_for(milliseconds(25000));
                    BOOST_TEST(
                        (fleet.caller(job).answer == answer_kind::completed));
                    check_no_violations(fleet);
                }
}

// A task runs for longer than hosts keep dropped entries, at an endpoint that
// has lost the store for as long.
BOOST_AUTO_TEST_CASE(entry_lapsed_long_before_the_takeover)
{
    for (const owner_end& end : owner_ends())
        for (const bool restarts : {false, true})
            BOOST_TEST_CONTEXT(end.name << " restarts " << restarts)
            {
                succession hosts(2);
                shard_fleet& fleet = hosts.fleet;
                const std::string job =
                    fleet.submit(hosts.entry, {.tasks = 1,
                                               .millicores = 12000,
                                               .work = milliseconds(45000),
                                               .timeout = milliseconds(90000)});
                fleet.run_for(milliseconds(100));
                fleet.remove_endpoint("D1-e1");
                fleet.run_for(milliseconds(36000));
                if (restarts)
                    hosts.restart_successor();
                fleet.run_for(milliseconds(1000));
                end.apply(fleet, hosts.owner);
                fleet.run_for(milliseconds(60000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                BOOST_TEST(fleet.starts_of(job) == 1);
                check_no_violations(fleet);
            }
}

// The owner alone has lost the store, and does not see that an entry lapses.
// The other hosts drop it, and forget it in time.
BOOST_AUTO_TEST_CASE(owner_without_the_store_keeps_an_endpoint)
{
    for (const owner_end& end : owner_ends())
        BOOST_TEST_CONTEXT(end.name)
        {
            succession hosts(2);
            shard_fleet& fleet = hosts.fleet;
            const std::string job =
                fleet.submit(hosts.entry, {.tasks = 1,
                                           .millicores = 12000,
                                           .work = milliseconds(50000),
                                           .timeout = milliseconds(99000)});
            fleet.run_for(milliseconds(100));
            fleet.partition({hosts.owner}, {"store"});
            fleet.remove_endpoint("D1-e1");
            fleet.run_for(milliseconds(40000));
            end.apply(fleet, hosts.owner);
            fleet.run_for(milliseconds(70000));
            BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
            BOOST_TEST(fleet.starts_of(job) == 1);
            check_no_violations(fleet);
        }
}

// A host that has started without the store takes the shard over.
BOOST_AUTO_TEST_CASE(successor_started_without_the_store)
{
    for (const owner_end& end : owner_ends())
        for (int offset = 250; offset <= 3000; offset += 250)
            BOOST_TEST_CONTEXT(end.name << " offset " << offset)
            {
                succession hosts(2);
                shard_fleet& fleet = hosts.fleet;
                const std::string job =
                    fleet.submit(hosts.entry, very_long_task);
                fleet.run_for(milliseconds(100));
                fleet.partition({hosts.successor}, {"store"});
                hosts.restart_successor();
                fleet.run_for(milliseconds(offset));
                end.apply(fleet, hosts.owner);
                fleet.run_for(milliseconds(4000));
                fleet.heal();
                fleet.run_for(milliseconds(16000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                check_no_violations(fleet);
            }
}

// A successor is lost before it has listed anything, and the next one takes the
// shard over from it.
BOOST_AUTO_TEST_CASE(two_successors_in_turn)
{
    for (const owner_end& end : owner_ends())
        for (int offset = 0; offset <= 3000; offset += 500)
            for (int next = 100; next <= 1900; next += 150)
                BOOST_TEST_CONTEXT(end.name << " offset " << offset << " next "
                                            << next)
                {
                    succession hosts(2, 4);
                    shard_fleet& fleet = hosts.fleet;
                    const std::string job =
                        fleet.submit("D1-h4", very_long_task);
                    fleet.run_for(milliseconds(100));
                    fleet.remove_endpoint("D1-e1");
                    fleet.run_for(milliseconds(3000));
                    for (const char* const host : {"D1-h2", "D1-h3"})
                        fleet.kill(host);
                    fleet.run_for(milliseconds(300));
                    for (const char* const host : {"D1-h2", "D1-h3"})
                        fleet.start(host);
                    fleet.run_for(milliseconds(offset));
                    end.apply(fleet, hosts.owner);
                    fleet.run_for(milliseconds(next));
                    fleet.kill("D1-h2");
                    fleet.run_for(milliseconds(20000));
                    BOOST_TEST(
                        (fleet.caller(job).answer == answer_kind::completed));
                    check_no_violations(fleet);
                }
}

// Where all hosts know the same endpoints, a takeover waits for no lease.
BOOST_AUTO_TEST_CASE(takeover_among_hosts_that_agree)
{
    for (const owner_end& end : owner_ends())
        for (int phase = 0; phase < 500; phase += 20)
            BOOST_TEST_CONTEXT(end.name << " phase " << phase)
            {
                succession hosts(2);
                shard_fleet& fleet = hosts.fleet;
                fleet.run_for(milliseconds(phase));
                end.apply(fleet, hosts.owner);
                // A planned stop hands over within 2 s.
                fleet.run_for(milliseconds(2200));
                BOOST_TEST(fleet.owner_of("D1") == hosts.successor);
                BOOST_TEST(fleet.has_logged("endpoints_vouched=true"));
                check_no_violations(fleet);
            }
}

// An entry has lapsed, and all hosts of the domain are lost and start anew, the
// entry host some time before the others. Nobody is left who knows the
// endpoint, whose lease is still in force when the caller's copy arrives.
BOOST_AUTO_TEST_CASE(all_hosts_lost_after_an_entry_has_lapsed)
{
    for (int later = 300; later <= 600; later += 10)
        for (const int gap : {50, 100, 200})
            BOOST_TEST_CONTEXT("later " << later << " gap " << gap)
            {
                succession hosts(2);
                shard_fleet& fleet = hosts.fleet;
                const std::string job =
                    fleet.submit(hosts.entry, very_long_task);
                fleet.run_for(milliseconds(100));
                fleet.remove_endpoint("D1-e1");
                // At different times since the lease was last extended.
                fleet.run_for(milliseconds(5000 + later * 3 % 300));
                fleet.lose_power(hosts.entry);
                fleet.run_for(milliseconds(later));
                for (const std::string& host : fleet.host_names())
                    fleet.lose_power(host);
                fleet.run_for(milliseconds(gap));
                for (const std::string& host : fleet.host_names())
                    fleet.start(host);
                fleet.run_for(milliseconds(25000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                check_no_violations(fleet);
            }
}

// All hosts of a domain are lost, and one of them is back only after the others
// have claimed the shard. It knows no earlier owner either, so that new jobs
// don't wait for the leases of one.
BOOST_AUTO_TEST_CASE(first_owner_asks_a_host_that_is_back_late)
{
    for (int later = 650; later <= 800; later += 50)
        BOOST_TEST_CONTEXT("later " << later)
        {
            succession hosts(2);
            shard_fleet& fleet = hosts.fleet;
            for (const std::string& host : fleet.host_names())
                fleet.kill(host);
            fleet.run_for(milliseconds(300));
            fleet.start("D1-h1");
            fleet.start("D1-h2");
            fleet.run_for(milliseconds(later));
            const std::string owner = fleet.owner_of("D1");
            BOOST_TEST(owner != "");
            fleet.start("D1-h3");
            fleet.run_for(milliseconds(400));
            const std::string job =
                fleet.submit(other_host(fleet, owner), very_long_task);
            fleet.run_for(milliseconds(100));
            BOOST_TEST(fleet.starts_of(job) == 1);
            check_no_violations(fleet);
        }
}

// A host that is back late has known an earlier owner: cut off from the others,
// it was none that they could ask when they claimed the shard.
BOOST_AUTO_TEST_CASE(first_owner_waits_for_leases_of_an_owner_that_was_cut_off)
{
    for (int later = 700; later <= 1000; later += 50)
        BOOST_TEST_CONTEXT("later " << later)
        {
            succession hosts(2);
            shard_fleet& fleet = hosts.fleet;
            fleet.partition({hosts.owner}, {"D1-h2", "D1-h3"});
            fleet.kill("D1-h2");
            fleet.kill("D1-h3");
            fleet.run_for(milliseconds(300));
            fleet.start("D1-h2");
            fleet.start("D1-h3");
            fleet.run_for(milliseconds(later));
            fleet.heal();
            const std::string job = fleet.submit("D1-h2", very_long_task);
            fleet.run_for(milliseconds(25000));
            BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
            check_no_violations(fleet);
        }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
