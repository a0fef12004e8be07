/// \file
/// Tests which jobs an overloaded shard sheds.
#include "backlog_plan.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::milliseconds;

const instant start(milliseconds(1000));

schema::resources cores(std::int64_t count)
{
    schema::resources need;
    need.millicores = count * 1000;
    return need;
}

/// Returns a plan of \p count endpoints of one core.
capacity_plan units(std::size_t count)
{
    const endpoint_forecast free{.id = "e", .capacity = cores(1)};
    return capacity_plan(std::vector<endpoint_forecast>(count, free), start);
}

planned_job make_job(const std::string& route, int priority, int tasks,
                     double task_ms, milliseconds due)
{
    return {.route = route,
            .priority = priority,
            .groups = {{.need = cores(1), .tasks = tasks, .task_ms = task_ms}},
            .due = start + due,
            .arrived = start,
            .may_be_shed = true};
}

} // namespace

BOOST_AUTO_TEST_SUITE(backlog_plan)

BOOST_AUTO_TEST_CASE(keeps_jobs_that_end_in_time)
{
    const std::vector<planned_job> jobs = {
        make_job("quote", 0, 2, 50, milliseconds(100)),
        make_job("print", 1, 2, 50, milliseconds(100))};
    BOOST_TEST(jobs_to_shed(jobs, units(2), {}).empty());
}

BOOST_AUTO_TEST_CASE(sheds_the_overloading_route_first)
{
    // Four large jobs of one route occupy all units until the small one is
    // late.
    std::vector<planned_job> jobs;
    for (int i = 0; i < 4; ++i)
        jobs.push_back(make_job("check", 2, 2, 400, milliseconds(900)));
    jobs.push_back(make_job("quote", 0, 2, 50, milliseconds(1000)));
    const auto shed = jobs_to_shed(jobs, units(2), {});
    BOOST_TEST(shed.size() == 2);
    for (const shed_job& chosen : shed)
        BOOST_TEST(jobs[chosen.job].route == "check");
}

BOOST_AUTO_TEST_CASE(counts_recent_use_of_a_route)
{
    const std::vector<planned_job> jobs = {
        make_job("flood", 0, 1, 100, milliseconds(100)),
        make_job("other", 0, 1, 100, milliseconds(100))};
    const auto shed =
        jobs_to_shed(jobs, units(1), {{.route = "flood", .core_ms = 1000}});
    BOOST_TEST_REQUIRE(shed.size() == 1);
    BOOST_TEST(jobs[shed[0].job].route == "flood");
}

BOOST_AUTO_TEST_CASE(gives_urgent_routes_the_larger_share)
{
    // The urgent route has used twice as much, but its fair share is larger.
    const std::vector<planned_job> jobs = {
        make_job("late", 2, 1, 100, milliseconds(100)),
        make_job("urgent", 0, 1, 100, milliseconds(100))};
    const auto shed = jobs_to_shed(jobs, units(1),
                                   {{.route = "urgent", .core_ms = 100},
                                    {.route = "late", .core_ms = 50}});
    BOOST_TEST_REQUIRE(shed.size() == 1);
    BOOST_TEST(jobs[shed[0].job].route == "late");
}

BOOST_AUTO_TEST_CASE(sheds_the_newest_job_of_a_route)
{
    std::vector<planned_job> jobs = {
        make_job("print", 0, 1, 100, milliseconds(100)),
        make_job("print", 0, 1, 100, milliseconds(100))};
    jobs[0].arrived = start + milliseconds(1);
    const auto shed = jobs_to_shed(jobs, units(1), {});
    BOOST_TEST_REQUIRE(shed.size() == 1);
    BOOST_TEST(shed[0].job == 0);
}

BOOST_AUTO_TEST_CASE(keeps_started_jobs)
{
    std::vector<planned_job> jobs = {
        make_job("check", 2, 1, 400, milliseconds(100)),
        make_job("quote", 0, 1, 50, milliseconds(1000))};
    jobs[0].may_be_shed = false;
    BOOST_TEST(jobs_to_shed(jobs, units(1), {}).empty());
}

BOOST_AUTO_TEST_CASE(sheds_nothing_without_endpoints)
{
    const std::vector<planned_job> jobs = {
        make_job("quote", 0, 1, 50, milliseconds(10))};
    BOOST_TEST(jobs_to_shed(jobs, units(0), {}).empty());
}

// Two tasks of 40 cores don't fit beside each other on 64, although their mean
// need with a task of 20 would suggest two rooms.
BOOST_AUTO_TEST_CASE(plans_with_the_need_of_each_task)
{
    const std::vector<endpoint_forecast> endpoints = {
        {.id = "e", .capacity = cores(64)}};
    std::vector<planned_job> jobs = {
        make_job("scan", 0, 1, 100, milliseconds(150)),
        make_job("scan", 0, 1, 100, milliseconds(150)),
        make_job("scan", 0, 1, 100, milliseconds(150))};
    jobs[0].groups[0].need = cores(40);
    jobs[1].groups[0].need = cores(40);
    jobs[2].groups[0].need = cores(20);
    jobs[1].arrived = start + milliseconds(1);
    const auto shed = jobs_to_shed(jobs, capacity_plan(endpoints, start), {});
    BOOST_TEST_REQUIRE(shed.size() == 1);
    BOOST_TEST(shed[0].job == 1);
    BOOST_TEST(shed[0].late_job == 1);
    BOOST_TEST((shed[0].late_end == start + milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
