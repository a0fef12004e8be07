/// \file
/// Copies of jobs that start in another domain, while an endpoint executes the
/// orders late that end the runs of the earlier call.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

/// From a caller's lost call to the copy of its job.
constexpr milliseconds resend_delay{1300};

/// Returns rules by which all orders of \p kinds are executed after \p delay.
late_order_rules late(std::set<order_kind> kinds, milliseconds delay)
{
    return {.percent = 100,
            .kinds = std::move(kinds),
            .least = delay,
            .most = delay};
}

void set_late_orders(shard_fleet& fleet, const std::string& domain,
                     const late_order_rules& rules)
{
    for (const std::string& id : fleet.endpoint_names())
        if (id.starts_with(domain + "-"))
            fleet.endpoint(id).set_late_orders(rules);
}

/// What goes on beside a run whose stop is executed late.
enum class beside
{
    nothing,
    /// A long run of another job at the same endpoint.
    long_run,
    /// Short jobs that start there every 100 ms.
    short_runs,
};

/// One domain with one endpoint, and another one for the copies.
fleet_options two_domains()
{
    return {.domains = 2, .hosts_per_domain = 2, .endpoints_per_domain = 1};
}

void add_load(shard_fleet& fleet, beside load)
{
    if (load == beside::long_run)
        fleet.submit("D1-h2", {.tasks = 1,
                               .millicores = 4000,
                               .work = milliseconds(9000),
                               .timeout = milliseconds(12000)});
    for (int i = 0; load == beside::short_runs && i < 60; ++i)
        fleet.at(support::duration_cast<milliseconds>(
                     fleet.now().time_since_epoch()) +
                     milliseconds(100 * i),
                 [&fleet]
                 {
                     fleet.submit("D1-h2", {.tasks = 1,
                                            .millicores = 4000,
                                            .work = milliseconds(60)});
                 });
}

} // namespace

BOOST_AUTO_TEST_SUITE(copies)

// A caller's time ends before its task does, the endpoint executes the stop
// seconds later, and the copy starts in another domain. The first run must have
// ended by then, also beside other runs and starts at its endpoint.
BOOST_AUTO_TEST_CASE(stop_executed_after_the_copy_started)
{
    for (const beside load :
         {beside::nothing, beside::long_run, beside::short_runs})
        for (int offset = 0; offset < 300; offset += 60)
            BOOST_TEST_CONTEXT("load " << static_cast<int>(load) << " offset "
                                       << offset)
            {
                shard_fleet fleet(two_domains());
                fleet.run_for(warm_up);
                fleet.send_copies_to("D2-h1");
                set_late_orders(fleet, "D1",
                                late({order_kind::stop}, milliseconds(3000)));
                add_load(fleet, load);
                const std::string job = fleet.submit(
                    "D1-h1", {.tasks = 1,
                              .work = milliseconds(4500),
                              .estimate = milliseconds(4000),
                              .timeout = milliseconds(2000 + offset)});
                fleet.run_for(milliseconds(5000));
                BOOST_TEST(fleet.starts_of(job) == 2);
                fleet.run_for(milliseconds(6000));
                check_no_violations(fleet);
            }
}

// The same, and the caller's entry host is killed: the owner learns of the end
// later than the caller.
BOOST_AUTO_TEST_CASE(stop_executed_late_after_the_entry_host_was_killed)
{
    for (const beside load :
         {beside::nothing, beside::long_run, beside::short_runs})
        for (int offset = 0; offset < 300; offset += 60)
            BOOST_TEST_CONTEXT("load " << static_cast<int>(load) << " offset "
                                       << offset)
            {
                shard_fleet fleet(two_domains());
                fleet.run_for(warm_up);
                fleet.send_copies_to("D2-h1");
                set_late_orders(fleet, "D1",
                                late({order_kind::stop}, milliseconds(3000)));
                const std::string owner = fleet.owner_of("D1");
                const std::string entry = other_host(fleet, owner);
                const std::string job =
                    fleet.submit(entry, {.tasks = 1,
                                         .work = milliseconds(6000),
                                         .timeout = milliseconds(9000)});
                add_load(fleet, load);
                fleet.run_for(milliseconds(1000 + offset));
                fleet.kill(entry);
                fleet.run_for(milliseconds(1600));
                BOOST_TEST(fleet.starts_of(job) == 2);
                fleet.run_for(milliseconds(6000));
                check_no_violations(fleet);
            }
}

// The same, and the entry host falls silent: its owner takes it for lost when
// the copy is due within the time of a lease.
BOOST_AUTO_TEST_CASE(stop_executed_late_after_the_entry_host_fell_silent)
{
    for (int offset = 0; offset < 300; offset += 30)
        BOOST_TEST_CONTEXT("offset " << offset)
        {
            shard_fleet fleet(two_domains());
            fleet.run_for(warm_up);
            fleet.send_copies_to("D2-h1");
            set_late_orders(fleet, "D1",
                            late({order_kind::stop}, milliseconds(3000)));
            const std::string entry = other_host(fleet, fleet.owner_of("D1"));
            const std::string job =
                fleet.submit(entry, {.tasks = 1,
                                     .work = milliseconds(6000),
                                     .timeout = milliseconds(9000)});
            fleet.run_for(milliseconds(1000 + offset));
            fleet.lose_power(entry);
            fleet.run_for(milliseconds(1600));
            BOOST_TEST(fleet.starts_of(job) == 2);
            fleet.run_for(milliseconds(6000));
            check_no_violations(fleet);
        }
}

// A stop gets no answer once, and the repeated one does. The other runs at the
// endpoint must not end with the lease.
BOOST_AUTO_TEST_CASE(other_runs_outlast_a_stop_that_is_repeated)
{
    for (int offset = 0; offset < 300; offset += 30)
    {
        shard_fleet fleet(two_domains());
        fleet.run_for(warm_up);
        const std::string other =
            fleet.submit("D1-h1", {.tasks = 1,
                                   .work = milliseconds(3000),
                                   .timeout = milliseconds(9000)});
        const std::string job =
            fleet.submit("D1-h1", {.tasks = 1, .work = milliseconds(5000)});
        fleet.run_for(milliseconds(400 + offset));
        set_late_orders(fleet, "D1",
                        late({order_kind::stop}, milliseconds(3000)));
        fleet.disconnect_caller(job);
        fleet.run_for(milliseconds(150));
        set_late_orders(fleet, "D1", {});
        fleet.run_for(milliseconds(6000));
        BOOST_TEST((fleet.caller(other).answer == answer_kind::completed));
        BOOST_TEST(fleet.starts_of(other) == 1);
        check_no_violations(fleet);
    }
}

// A task's first run fails, its end is not acknowledged in time, and the owner
// is lost after the start of the second run: the next owner's first list has
// both. The job ends before its task does, and the copy starts in another
// domain. The second run must have ended by then.
BOOST_AUTO_TEST_CASE(run_adopted_with_the_end_of_an_earlier_one)
{
    for (const bool is_planned : {false, true})
        for (int offset = 0; offset < 200; offset += 50)
            BOOST_TEST_CONTEXT("planned " << is_planned << " offset " << offset)
            {
                shard_fleet fleet(two_domains());
                fleet.run_for(warm_up);
                fleet.send_copies_to("D2-h1");
                const std::string owner = fleet.owner_of("D1");
                virtual_endpoint& endpoint = fleet.endpoint("D1-e1");
                endpoint.set_fault(endpoint_fault::fails_all);
                const std::string job =
                    fleet.submit(other_host(fleet, owner),
                                 {.tasks = 1,
                                  .work = milliseconds(1000),
                                  .timeout = milliseconds(2200 + offset)});
                fleet.run_for(milliseconds(980));
                // The task's later runs take longer than the job's time.
                endpoint.work_of = [](const shard::task_key&)
                {
                    return milliseconds(5000);
                };
                endpoint.set_late_orders(
                    late({order_kind::list}, milliseconds(2500)));
                fleet.run_for(milliseconds(100 + offset));
                endpoint.set_fault(endpoint_fault::none);
                endpoint.set_late_orders({});
                if (is_planned)
                    fleet.stop_gracefully(owner);
                else
                    fleet.kill(owner);
                fleet.run_for(milliseconds(9000));
                BOOST_TEST(fleet.starts_of(job) >= 2);
                check_no_violations(fleet);
            }
}

// An endpoint whose clock is slow was idle for a minute. It executes a start
// two seconds late, when its job has ended and the copy runs in another domain.
// The start must be refused as too late.
BOOST_AUTO_TEST_CASE(start_executed_late_by_an_idle_endpoint)
{
    for (int offset = 0; offset < 400; offset += 100)
        BOOST_TEST_CONTEXT("offset " << offset)
        {
            shard_fleet fleet(two_domains());
            fleet.run_for(warm_up + milliseconds(57000));
            set_late_orders(
                fleet, "D1",
                late({order_kind::start, order_kind::stop, order_kind::list},
                     milliseconds(1600 + offset)));
            const milliseconds timeout(200);
            const std::string job = fleet.submit(
                "D1-h1",
                {.tasks = 1, .work = milliseconds(1000), .timeout = timeout});
            fleet.run_for(timeout + resend_delay);
            fleet.repeat(job, "D2-h1");
            fleet.run_for(milliseconds(500));
            BOOST_TEST(fleet.endpoint("D2-e1").starts() == 1);
            set_late_orders(fleet, "D1", {});
            fleet.run_for(milliseconds(9000));
            check_no_violations(fleet);
        }
}

// Each row of the time sums of a copy (06-platform.md) with the orders of one
// kind executed late from the loss on: a lost entry host, an owner that is lost
// with its own callers, and both in turn. The first run must have ended when
// the copy starts in another domain.
BOOST_AUTO_TEST_CASE(losses_beside_late_orders_of_each_kind)
{
    enum class loss
    {
        entry_host_killed,
        entry_host_silent,
        owner_killed,
        owner_silent,
        both_silent_in_turn,
    };
    const std::vector<std::set<order_kind>> kinds = {
        {order_kind::start},
        {order_kind::stop},
        {order_kind::list},
        {order_kind::start, order_kind::stop, order_kind::list}};
    for (const loss what :
         {loss::entry_host_killed, loss::entry_host_silent, loss::owner_killed,
          loss::owner_silent, loss::both_silent_in_turn})
        for (std::size_t kind = 0; kind < kinds.size(); ++kind)
            for (int offset = 0; offset < 300; offset += 75)
                BOOST_TEST_CONTEXT("loss " << static_cast<int>(what)
                                           << " orders " << kind << " offset "
                                           << offset)
                {
                    shard_fleet fleet({.domains = 2,
                                       .hosts_per_domain = 3,
                                       .endpoints_per_domain = 1});
                    fleet.run_for(warm_up);
                    fleet.send_copies_to("D2-h1");
                    const std::string owner = fleet.owner_of("D1");
                    const bool is_own = what == loss::owner_killed ||
                                        what == loss::owner_silent;
                    const std::string entry =
                        is_own ? owner : other_host(fleet, owner);
                    const std::string job =
                        fleet.submit(entry, {.tasks = 1,
                                             .work = milliseconds(6000),
                                             .timeout = milliseconds(9000)});
                    fleet.run_for(milliseconds(1000 + offset));
                    set_late_orders(fleet, "D1",
                                    late(kinds[kind], milliseconds(2500)));
                    if (what == loss::entry_host_killed ||
                        what == loss::owner_killed)
                        fleet.kill(entry);
                    else
                        fleet.lose_power(entry);
                    fleet.run_for(milliseconds(offset * 2));
                    if (what == loss::both_silent_in_turn)
                        fleet.lose_power(owner);
                    fleet.run_for(milliseconds(2500));
                    BOOST_TEST(fleet.starts_of(job) == 2);
                    fleet.run_for(milliseconds(6000));
                    check_no_violations(fleet);
                }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
