/// \file
/// Tests of what is learned of run times, in the loads that call for it:
/// endpoints of unequal speed after a takeover, endpoints that change, and
/// reports that can't be true.
#include "chicorydrum/shard/learned_speeds.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>
#include <random>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::milliseconds;

const instant start(milliseconds(1000));
/// Run times on slow and on fast endpoints, against an average one.
constexpr double slow = 1 / 0.7;
constexpr double fast = 1 / 1.7;
const std::string route = "quote";

schema::endpoint_registration entry_of(const std::string& id,
                                       const std::string& label,
                                       std::int64_t born_ms = 1)
{
    schema::endpoint_registration entry;
    entry.id = id;
    entry.pool = "workers";
    entry.domain = "D1";
    entry.labels = {label, "r1-" + id};
    entry.capacity.millicores = label == "b" ? 96000 : 64000;
    entry.born_ms = born_ms;
    return entry;
}

/// An endpoint without runs counts as faster by this much.
const double optimism = std::exp(-learned_speeds_options{}.optimism);

/// Learned speeds, and runs whose estimates are off by 0.4.
struct owner_state
{
    std::vector<std::string> log;
    learned_speeds speeds{{},
                          {.log = [this](const support::log_line& line)
                           {
                               this->log.push_back(line.text());
                           }}};
    std::minstd_rand random{7};
    instant now = start;

    void run(const std::string& endpoint, double slowness, int runs,
             double deviation = 0.4)
    {
        std::lognormal_distribution<double> error(-deviation * deviation / 2,
                                                  deviation);
        for (int i = 0; i < runs; ++i)
        {
            this->now += milliseconds(10);
            this->speeds.observe(route, endpoint,
                                 slowness * error(this->random), this->now);
        }
    }
    double expected(const std::string& endpoint) const
    {
        return this->speeds.route_ratio(route) *
               this->speeds.slowness(endpoint);
    }
    /// Four endpoints of each speed, and runs at all of them.
    void learn_two_kinds(int runs)
    {
        for (int i = 0; i < 4; ++i)
        {
            this->speeds.add_endpoint(entry_of("a" + std::to_string(i), "a"));
            this->speeds.add_endpoint(entry_of("b" + std::to_string(i), "b"));
        }
        for (int run = 0; run < runs; ++run)
            for (int i = 0; i < 4; ++i)
            {
                this->run("a" + std::to_string(i), slow, 1);
                this->run("b" + std::to_string(i), fast, 1);
            }
    }
};

/// Returns whether \p value is within \p factor of \p wanted.
boost::test_tools::predicate_result is_near(double value, double wanted,
                                            double factor)
{
    boost::test_tools::predicate_result result(value < wanted * factor &&
                                               value > wanted / factor);
    if (!result)
        result.message() << value << " is not within a factor of " << factor
                         << " of " << wanted;
    return result;
}

schema::learned_run_time run_time_of(double log_ratio)
{
    schema::learned_run_time told;
    told.route = route;
    told.kind = kind_of(entry_of("a0", "a"));
    told.log_ratio = log_ratio;
    told.weight = 10;
    return told;
}

schema::learned_endpoint endpoint_of(const std::string& id, double deviation)
{
    schema::learned_endpoint told;
    told.id = id;
    told.born_ms = 1;
    told.kind = kind_of(entry_of(id, "a"));
    told.log_deviation = deviation;
    told.weight = 10;
    return told;
}

} // namespace

BOOST_AUTO_TEST_SUITE(learned_speeds_tests)

// Nothing is refused on a guess: without runs, endpoints count as faster.
BOOST_AUTO_TEST_CASE(without_a_run_the_callers_estimates_count)
{
    owner_state owner;
    owner.speeds.add_endpoint(entry_of("a0", "a"));
    BOOST_TEST(is_near(owner.expected("a0"), 1, 1.4));
    BOOST_TEST(owner.expected("a0") < 1);
    BOOST_TEST(owner.expected("a0") == owner.expected("unknown"));
}

// An endpoint that is added under load is placed by its kind's speed at once.
BOOST_AUTO_TEST_CASE(an_added_endpoint_is_like_its_kind)
{
    owner_state owner;
    owner.learn_two_kinds(20);
    owner.speeds.add_endpoint(entry_of("a9", "a"));
    owner.speeds.add_endpoint(entry_of("b9", "b"));
    BOOST_TEST(is_near(owner.expected("a9"), optimism * slow, 1.2));
    BOOST_TEST(is_near(owner.expected("b9"), optimism * fast, 1.2));
}

// A machine comes back as one of another kind, under the same id.
BOOST_AUTO_TEST_CASE(a_new_incarnation_of_another_kind_is_like_that_kind)
{
    owner_state owner;
    owner.learn_two_kinds(20);
    owner.run("a0", 5 * slow, 20);
    owner.speeds.add_endpoint(entry_of("a0", "b", 2));
    BOOST_TEST(is_near(owner.expected("a0"), optimism * fast, 1.2));
}

// The label covers two speeds, so that an endpoint of it counts by its runs.
BOOST_AUTO_TEST_CASE(a_label_that_covers_two_speeds)
{
    owner_state owner;
    for (int i = 0; i < 4; ++i)
        owner.speeds.add_endpoint(entry_of("a" + std::to_string(i), "a"));
    for (int run = 0; run < 40; ++run)
        for (int i = 0; i < 4; ++i)
            owner.run("a" + std::to_string(i), i % 2 == 0 ? 0.5 : 2.0, 1);
    BOOST_TEST(is_near(owner.expected("a0"), 0.5, 1.3));
    BOOST_TEST(is_near(owner.expected("a1"), 2.0, 1.3));
}

// A disturbed machine takes 5.5 times as long, and then is itself again.
BOOST_AUTO_TEST_CASE(an_endpoint_that_turns_slow_against_its_kind)
{
    owner_state owner;
    owner.learn_two_kinds(50);
    owner.run("a0", 5.5 * slow, 4);
    BOOST_TEST(owner.expected("a0") > 2.5 * slow);
    BOOST_TEST(is_near(owner.expected("a1"), slow, 1.3));
    owner.run("a0", slow, 10);
    BOOST_TEST(is_near(owner.expected("a0"), slow, 1.6));
}

BOOST_AUTO_TEST_CASE(a_slow_endpoint_without_runs_is_tried_again)
{
    owner_state owner;
    owner.learn_two_kinds(50);
    owner.run("a0", 5.5 * slow, 4);
    owner.speeds.tick(owner.now + support::seconds(120));
    BOOST_TEST(is_near(owner.expected("a0"), slow, 1.5));
}

// A successor that has never run a task places as its predecessor did.
BOOST_AUTO_TEST_CASE(a_successor_starts_with_what_its_predecessor_learned)
{
    owner_state owner;
    owner.learn_two_kinds(50);
    owner.run("a1", 4 * slow, 10);
    owner_state keeper;
    keeper.speeds.merge("h1", owner.speeds.take_report(true, owner.now), true,
                        owner.now);
    const instant later = owner.now + milliseconds(500);
    owner_state successor;
    for (const char* const id : {"a0", "a1"})
        successor.speeds.add_endpoint(entry_of(id, "a"));
    successor.speeds.add_endpoint(entry_of("b0", "b"));
    successor.speeds.merge(
        "h2", keeper.speeds.report_for_successor(true, later), true, later);
    // It knows the speeds, not yet what runs there.
    BOOST_TEST(is_near(successor.expected("a0"),
                       optimism * owner.expected("a0"), 1.25));
    BOOST_TEST(is_near(successor.expected("b0"),
                       optimism * owner.expected("b0"), 1.25));
    BOOST_TEST(is_near(successor.expected("a1"), owner.expected("a1"), 1.25));
}

BOOST_AUTO_TEST_CASE(runs_count_more_than_reports)
{
    owner_state owner;
    for (const char* const id : {"a0", "a1"})
        owner.speeds.add_endpoint(entry_of(id, "a"));
    schema::learned_speeds_report report;
    report.run_times = {run_time_of(std::log(50))};
    report.run_times[0].weight = 1e9;
    owner.speeds.merge("h1", report, true, owner.now);
    BOOST_TEST(owner.expected("a0") > 10);
    for (int run = 0; run < 100; ++run)
        for (const char* const id : {"a0", "a1"})
            owner.run(id, 1, 1);
    BOOST_TEST(is_near(owner.expected("a0"), 1, 2));
}

// Each bad entry is refused by itself, and the peer is logged once.
BOOST_AUTO_TEST_CASE(malformed_entries_of_reports)
{
    owner_state owner;
    owner.speeds.add_endpoint(entry_of("a0", "a"));
    constexpr double infinity = std::numeric_limits<double>::infinity();
    constexpr double not_a_number = std::numeric_limits<double>::quiet_NaN();
    schema::learned_speeds_report report;
    for (const double odd : {not_a_number, infinity, -infinity, 1e300, -1e9})
    {
        report.run_times.push_back(run_time_of(odd));
        report.endpoints.push_back(endpoint_of("a0", odd));
        for (double schema::learned_run_time::*const member :
             {&schema::learned_run_time::weight,
              &schema::learned_run_time::log_variance})
        {
            report.run_times.push_back(run_time_of(0));
            report.run_times.back().*member = odd;
        }
    }
    // The only one that is in order, but for its great weight.
    report.run_times.resize(10);
    report.run_times[4] = run_time_of(std::log(2));
    for (const std::int64_t age_ms :
         {std::numeric_limits<std::int64_t>::max(), std::int64_t(-1)})
    {
        report.run_times.push_back(run_time_of(1));
        report.run_times.back().age_ms = age_ms;
    }
    report.run_times.push_back(run_time_of(1));
    report.run_times.back().kind = std::string(5000, 'x');
    report.run_times.push_back(run_time_of(1));
    report.run_times.back().route.clear();
    owner.speeds.merge("h1", report, true, owner.now);
    owner.speeds.merge("h1", report, true, owner.now);
    BOOST_TEST(std::isfinite(owner.expected("a0")));
    BOOST_TEST(is_near(owner.expected("a0"), optimism * 2, 1.2));
    BOOST_TEST(owner.log.size() == 1U);
}

// Endpoints that nobody here knows take no more than their bounded room, and
// one that is known later counts only as the incarnation that was meant.
BOOST_AUTO_TEST_CASE(reports_of_unknown_endpoints)
{
    owner_state owner;
    owner.speeds.add_endpoint(entry_of("a0", "a"));
    for (int i = 0; i < 200; ++i)
    {
        schema::learned_speeds_report report;
        for (int j = 0; j < 32; ++j)
            report.endpoints.push_back(
                endpoint_of("u" + std::to_string(32 * i + j), 1));
        owner.speeds.merge("h1", report, true, owner.now);
    }
    BOOST_TEST(owner.speeds.endpoint_count() == 1024U);
    owner.speeds.add_endpoint(entry_of("u1", "a", 1));
    owner.speeds.add_endpoint(entry_of("u2", "a", 2));
    BOOST_TEST(owner.expected("u1") > 1.5);
    BOOST_TEST(owner.expected("u2") <= 1);
    owner.speeds.tick(owner.now + support::seconds(301));
    BOOST_TEST(owner.speeds.endpoint_count() == 3U);
}

BOOST_AUTO_TEST_CASE(endpoints_of_other_domains_are_refused)
{
    owner_state owner;
    owner.speeds.add_endpoint(entry_of("a0", "a"));
    schema::learned_speeds_report report;
    report.endpoints = {endpoint_of("a0", 1)};
    owner.speeds.merge("h1", report, false, owner.now);
    BOOST_TEST(owner.expected("a0") <= 1);
}

BOOST_AUTO_TEST_CASE(a_report_is_bounded_and_says_only_what_has_changed)
{
    owner_state owner;
    for (int i = 0; i < 300; ++i)
        owner.speeds.add_endpoint(entry_of("a" + std::to_string(i), "a"));
    for (int run = 0; run < 5; ++run)
        for (int i = 0; i < 300; ++i)
            owner.run("a" + std::to_string(i), i % 2 == 0 ? 0.3 : 3, 1, 0.05);
    std::size_t told = 0;
    for (int i = 0; i < 20; ++i)
    {
        const auto report = owner.speeds.take_report(true, owner.now);
        BOOST_TEST(report.endpoints.size() <= 32U);
        told += report.endpoints.size();
    }
    BOOST_TEST(told >= 290U);
    BOOST_TEST(told <= 300U);
    BOOST_TEST(owner.speeds.take_report(true, owner.now).endpoints.empty());
}

BOOST_AUTO_TEST_CASE(many_kinds_are_told_apart_by_capacity)
{
    owner_state owner;
    for (int i = 0; i < 100; ++i)
        owner.speeds.add_endpoint(
            entry_of("e" + std::to_string(i), "k" + std::to_string(i)));
    BOOST_TEST(owner.speeds.kinds_now().size() == 17U);
    owner.run("e50", 3, 30);
    owner.speeds.tick(owner.now);
    BOOST_TEST(is_near(owner.expected("e60"), optimism * 3, 1.3));
}

BOOST_AUTO_TEST_CASE(a_learned_speed_of_a_kind_is_logged_when_it_moves)
{
    owner_state owner;
    owner.learn_two_kinds(50);
    owner.speeds.tick(owner.now);
    BOOST_TEST(owner.log.size() == 2U);
    owner.speeds.tick(owner.now + support::seconds(2));
    BOOST_TEST(owner.log.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
