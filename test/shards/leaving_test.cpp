/// \file
/// Endpoints that leave, and what the owners of their shards know of it.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

/// The time in which a small site's endpoints still serve after they have told
/// the store that they leave.
constexpr milliseconds small_drain_time{2000};
/// Longer than the time after which a refused host's reads fail.
constexpr milliseconds refusal_noticed{1600};

/// Submits jobs for \p span and returns how many tasks \p endpoint started
/// meanwhile.
int starts_during(shard_fleet& fleet, const std::string& endpoint,
                  milliseconds span, const job_shape& shape = {})
{
    constexpr milliseconds gap{50};
    const int before = fleet.endpoint(endpoint).starts();
    submit_load(fleet, static_cast<int>(span / gap), gap, shape);
    return fleet.endpoint(endpoint).starts() - before;
}

/// Keeps all hosts of \p domain from the store.
void refuse_domain(shard_fleet& fleet, const std::string& domain)
{
    for (const std::string& host : fleet.host_names())
        if (host.starts_with(domain + "-"))
            fleet.partition({host}, {"store"});
}

} // namespace

BOOST_AUTO_TEST_SUITE(leaving)

// Guards against starts on a new incarnation that leaves, by an owner that the
// store refuses and that knows the earlier one.
BOOST_AUTO_TEST_CASE(unknown_incarnation_leaves)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.partition({fleet.owner_of("D1")}, {"store"});
    fleet.run_for(refusal_noticed);
    // Without closed connections, only the next call shows the restart.
    fleet.restart_endpoint("D1-e1");
    fleet.set_draining("D1-e1");
    fleet.run_for(small_drain_time);
    BOOST_TEST(starts_during(fleet, "D1-e1", milliseconds(2000)) == 0);
    check_no_violations(fleet);
}

// Guards against starts on a leaving endpoint that the owner first reads of in
// rows as they were before, when it has been told of it already.
BOOST_AUTO_TEST_CASE(unknown_endpoint_leaves)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const int refusal = fleet.partition({owner}, {"store"});
    fleet.run_for(refusal_noticed);
    fleet.add_endpoint("D1", 5);
    fleet.run_for(milliseconds(3000));
    fleet.set_draining("D1-e5");
    fleet.run_for(milliseconds(1000));
    fleet.discard_history();
    fleet.set_read_lag(milliseconds(3000));
    fleet.heal(refusal);
    BOOST_TEST(starts_during(fleet, "D1-e5", milliseconds(1900)) == 0);
    check_no_violations(fleet);
}

// Guards against starts on an endpoint that still serves after its row was
// removed, by a domain that the store refuses and that hears of others later.
BOOST_AUTO_TEST_CASE(row_is_removed_before_the_news)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    refuse_domain(fleet, "D1");
    std::set<std::string> first;
    std::set<std::string> second;
    for (const std::string& host : fleet.host_names())
        (host.starts_with("D1-") ? first : second).insert(host);
    const int cut = fleet.partition(first, second);
    fleet.set_draining("D1-e1");
    fleet.run_for(milliseconds(1000));
    fleet.remove_endpoint("D1-e1");
    // Longer than the time for which a missing entry stands.
    fleet.run_for(milliseconds(4000));
    fleet.heal(cut);
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(starts_during(fleet, "D1-e1", milliseconds(2000)) == 0);
}

// Guards against news that a refused owner does not get since all hosts that
// could tell it start anew when the endpoint leaves.
BOOST_AUTO_TEST_CASE(relays_start_anew)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    fleet.partition({owner}, {"store"});
    fleet.run_for(refusal_noticed);
    fleet.set_draining("D1-e1");
    for (const std::string& host : fleet.host_names())
        if (host != owner)
            fleet.kill(host);
    fleet.run_for(milliseconds(1000));
    for (const std::string& host : fleet.host_names())
        if (host != owner)
            fleet.start(host);
    fleet.run_for(milliseconds(900));
    starts_during(fleet, "D1-e1", milliseconds(2000));
    check_no_violations(fleet);
}

// Guards against news that comes too late to an owner that the store refuses
// from the moment on at which the endpoint leaves.
BOOST_AUTO_TEST_CASE(owner_is_refused_at_that_moment)
{
    for (int offset = 0; offset < 20; ++offset)
    {
        shard_fleet fleet({});
        fleet.run_for(warm_up + milliseconds(offset * 25));
        fleet.partition({fleet.owner_of("D1")}, {"store"});
        fleet.set_draining("D1-e1");
        starts_during(fleet, "D1-e1", small_drain_time + milliseconds(500));
        check_no_violations(fleet);
    }
}

// The same for a whole domain, which only hosts of another one can tell.
BOOST_AUTO_TEST_CASE(domain_is_refused_at_that_moment)
{
    for (int offset = 0; offset < 20; ++offset)
    {
        shard_fleet fleet({.domains = 2});
        fleet.run_for(warm_up + milliseconds(offset * 25));
        refuse_domain(fleet, "D1");
        fleet.set_draining("D1-e1");
        starts_during(fleet, "D1-e1", small_drain_time + milliseconds(500));
        check_no_violations(fleet);
    }
}

// The same if the hosts that tell of it have slow reads themselves.
BOOST_AUTO_TEST_CASE(relays_read_slowly)
{
    for (int offset = 0; offset < 20; ++offset)
    {
        shard_fleet fleet({});
        fleet.run_for(warm_up + milliseconds(offset * 25));
        const std::string owner = fleet.owner_of("D1");
        for (const std::string& host : fleet.host_names())
            if (host != owner)
                fleet.set_read_delay(host, milliseconds(200));
        fleet.partition({owner}, {"store"});
        fleet.set_draining("D1-e1");
        starts_during(fleet, "D1-e1", small_drain_time + milliseconds(500));
        check_no_violations(fleet);
    }
}

// Guards against an owner whose reads all succeed, but so slowly that it learns
// too late of what happens between two of them.
BOOST_AUTO_TEST_CASE(owner_reads_slowly)
{
    for (const int delay_ms : {300, 600, 900})
        for (int offset = 0; offset < 80; ++offset)
        {
            shard_fleet fleet({.hosts_per_domain = 2});
            fleet.run_for(warm_up);
            fleet.set_read_delay(fleet.owner_of("D1"), milliseconds(delay_ms));
            fleet.run_for(milliseconds(3000 + offset * 50));
            fleet.set_draining("D1-e1");
            starts_during(fleet, "D1-e1", small_drain_time + milliseconds(500));
            check_no_violations(fleet);
        }
}

// Guards against a host that takes itself for informed after one good read
// between two refusals.
BOOST_AUTO_TEST_CASE(refusal_ends_and_begins_again)
{
    for (int offset = 0; offset < 20; ++offset)
    {
        shard_fleet fleet({});
        fleet.run_for(warm_up);
        const std::string owner = fleet.owner_of("D1");
        const int refusal = fleet.partition({owner}, {"store"});
        fleet.run_for(milliseconds(3000));
        fleet.heal(refusal);
        fleet.run_for(milliseconds(100 + offset * 50));
        fleet.partition({owner}, {"store"});
        fleet.set_draining("D1-e1");
        starts_during(fleet, "D1-e1", small_drain_time + milliseconds(500));
        check_no_violations(fleet);
    }
}

// Guards against hosts that start anew, read rows as they were before, and give
// work to endpoints of which the one host that went on knows that they leave.
BOOST_AUTO_TEST_CASE(all_but_one_start_anew_while_the_store_lags)
{
    constexpr milliseconds lag(8000);
    shard_fleet fleet({});
    fleet.run_for(warm_up + lag);
    const std::string other = other_host(fleet, fleet.owner_of("D1"));
    fleet.set_draining("D1-e1");
    // Covers the longest time between two reads.
    fleet.run_for(milliseconds(2100));
    // Without the history, all reads are of whole tables.
    fleet.set_read_lag(lag);
    fleet.discard_history();
    for (const std::string& host : fleet.host_names())
        if (host != other)
            fleet.kill(host);
    fleet.run_for(milliseconds(300));
    for (const std::string& host : fleet.host_names())
        if (host != other)
            fleet.start(host);
    fleet.run_for(milliseconds(1000));
    // The others own the shard from then on.
    fleet.kill(other);
    BOOST_TEST(starts_during(fleet, "D1-e1", milliseconds(4000)) == 0);
    check_no_violations(fleet);
}

// The same for hosts that start anew while the store refuses them, after which
// it shows them rows as they were before.
BOOST_AUTO_TEST_CASE(refused_hosts_start_anew_and_read_old_rows)
{
    constexpr milliseconds lag(8000);
    shard_fleet fleet({});
    fleet.run_for(warm_up + lag);
    const std::string other = other_host(fleet, fleet.owner_of("D1"));
    std::vector<int> refusals;
    for (const std::string& host : fleet.host_names())
    {
        if (host == other)
            continue;
        refusals.push_back(fleet.partition({host}, {"store"}));
        fleet.kill(host);
    }
    fleet.set_draining("D1-e1");
    fleet.run_for(milliseconds(500));
    for (const std::string& host : fleet.host_names())
        if (host != other)
            fleet.start(host);
    fleet.run_for(milliseconds(4000));
    fleet.discard_history();
    fleet.set_read_lag(lag);
    for (const int refusal : refusals)
        fleet.heal(refusal);
    fleet.run_for(milliseconds(100));
    fleet.kill(other);
    BOOST_TEST(starts_during(fleet, "D1-e1", milliseconds(3000)) == 0);
    BOOST_TEST(fleet.answered(answer_kind::completed) > 0);
    check_no_violations(fleet);
}

// Guards against a domain that hears of its leaving endpoints from one host of
// another domain only, and loses that host at the moment at which one leaves.
BOOST_AUTO_TEST_CASE(last_relay_of_another_domain_is_lost)
{
    for (int offset = 0; offset < 20; ++offset)
    {
        shard_fleet fleet({.domains = 2});
        fleet.run_for(warm_up);
        refuse_domain(fleet, "D1");
        const std::string relay = fleet.owner_of("D2");
        for (const std::string& host : fleet.host_names())
            if (host.starts_with("D2-") && host != relay)
                fleet.partition({host}, {"store"});
        fleet.run_for(refusal_noticed + milliseconds(offset * 25));
        fleet.kill(relay);
        fleet.set_draining("D1-e1");
        fleet.at(milliseconds(500), [&fleet, relay] { fleet.start(relay); });
        starts_during(fleet, "D1-e1", small_drain_time + milliseconds(500));
        check_no_violations(fleet);
    }
}

// Guards against starts on an endpoint of which the owner reads only that its
// row is gone: it left between two reads.
BOOST_AUTO_TEST_CASE(row_is_removed_between_two_reads)
{
    for (int offset = 0; offset < 20; ++offset)
    {
        shard_fleet fleet({});
        fleet.run_for(warm_up + milliseconds(offset * 25));
        fleet.set_draining("D1-e1");
        fleet.at(milliseconds(5), [&fleet] { fleet.remove_endpoint("D1-e1"); });
        starts_during(fleet, "D1-e1", milliseconds(4000));
        check_no_violations(fleet);
    }
}

// Guards against work that is given up, or started, at an endpoint whose row is
// missing for a while although the store answers.
BOOST_AUTO_TEST_CASE(endpoint_without_a_row_ends_its_runs)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string job =
        fleet.submit("D1-h1", {.tasks = 8, .work = milliseconds(1500)});
    fleet.run_for(milliseconds(200));
    fleet.unlist_endpoint("D1-e1", milliseconds(2000));
    // The owner reads every 500 ms.
    fleet.run_for(milliseconds(600));
    BOOST_TEST(starts_during(fleet, "D1-e1", milliseconds(1300)) == 0);
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.starts_of(job) == 8);
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(starts_during(fleet, "D1-e1", milliseconds(1000)) > 0);
    check_no_violations(fleet);
}

// Guards against a domain that refuses its jobs after a time without the store,
// in which all entries have lapsed that come back later.
BOOST_AUTO_TEST_CASE(lapsed_entries_are_used_as_the_last_resort)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    fleet.set_store_up(false);
    fleet.run_for(milliseconds(4000));
    for (const std::string& id : fleet.endpoint_names())
        fleet.unlist_endpoint(id, milliseconds(2000));
    fleet.set_store_up(true);
    const int before = fleet.submitted();
    submit_load(fleet, 20, milliseconds(100));
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(fleet.answered(answer_kind::completed) ==
               fleet.submitted() - before);
    // Of several endpoints, only that of which nothing is known is spared.
    fleet.run_for(milliseconds(6000));
    fleet.set_store_up(false);
    fleet.run_for(milliseconds(4000));
    fleet.unlist_endpoint("D1-e1", milliseconds(4000));
    fleet.set_store_up(true);
    // The last read fails after up to a second; the next one comes up to a
    // second later.
    fleet.run_for(milliseconds(2200));
    // Tasks that three endpoints can take.
    BOOST_TEST(starts_during(fleet, "D1-e1", milliseconds(700), {.tasks = 2}) ==
               0);
    check_no_violations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
