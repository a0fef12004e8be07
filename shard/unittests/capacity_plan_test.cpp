/// \file
/// Tests when tasks are planned to run, given their needs.
#include "capacity_plan.hpp"

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

planned_group tasks_of(std::int64_t need, int count, double task_ms)
{
    return {.need = cores(need), .tasks = count, .task_ms = task_ms};
}

endpoint_forecast endpoint_of(std::int64_t count,
                              std::vector<occupied_capacity> occupied = {})
{
    return {
        .id = "e", .capacity = cores(count), .occupied = std::move(occupied)};
}

occupied_capacity run_of(std::int64_t count, milliseconds ends)
{
    return {.need = cores(count), .ends = start + ends};
}

} // namespace

BOOST_AUTO_TEST_SUITE(capacity_planning)

// Tasks of 32 cores, a fifth more or less, on endpoints of 64.
BOOST_AUTO_TEST_CASE(tasks_share_an_endpoint_only_if_both_fit)
{
    capacity_plan plan({endpoint_of(64)}, start);
    BOOST_TEST((plan.add({tasks_of(36, 1, 100)}) == start + milliseconds(100)));
    BOOST_TEST((plan.add({tasks_of(30, 1, 100)}) == start + milliseconds(200)));
    BOOST_TEST((plan.add({tasks_of(28, 1, 100)}) == start + milliseconds(100)));
}

// Endpoints of 0.7 and 1.7 times the usual speed: a task starts where it can
// first, and among those on the fastest.
BOOST_AUTO_TEST_CASE(a_task_runs_where_it_starts_first)
{
    endpoint_forecast slow = endpoint_of(64);
    slow.slowness = 1 / 0.7;
    endpoint_forecast fast = endpoint_of(96);
    fast.slowness = 1 / 1.7;
    capacity_plan plan({slow, fast}, start);
    const auto first = plan.first_start(tasks_of(60, 1, 170), start);
    BOOST_TEST_REQUIRE(first.has_value());
    BOOST_TEST(first->endpoint == 1);
    BOOST_TEST((first->ends == start + milliseconds(100)));
    plan.reserve(tasks_of(60, 1, 170), *first);
    const auto second = plan.first_start(tasks_of(60, 1, 70), start);
    BOOST_TEST_REQUIRE(second.has_value());
    BOOST_TEST(second->endpoint == 0);
    BOOST_TEST((second->starts == start));
}

// A narrow task uses the room beside a planned wide one only as long as it does
// not delay that.
BOOST_AUTO_TEST_CASE(narrow_tasks_do_not_pass_a_planned_wide_one)
{
    capacity_plan plan({endpoint_of(64, {run_of(32, milliseconds(100))})},
                       start);
    BOOST_TEST((plan.add({tasks_of(48, 1, 200)}) == start + milliseconds(300)));
    BOOST_TEST((plan.add({tasks_of(32, 1, 80)}) == start + milliseconds(80)));
    BOOST_TEST((plan.add({tasks_of(32, 1, 80)}) == start + milliseconds(380)));
}

BOOST_AUTO_TEST_CASE(a_group_starts_after_those_it_depends_on)
{
    capacity_plan plan({endpoint_of(64)}, start);
    planned_group second = tasks_of(32, 2, 100);
    second.after = {0};
    BOOST_TEST(
        (plan.add({tasks_of(64, 1, 50), second}) == start + milliseconds(150)));
}

BOOST_AUTO_TEST_CASE(a_task_that_fits_nowhere_has_no_end)
{
    capacity_plan plan({endpoint_of(64)}, start);
    BOOST_TEST(!plan.add({tasks_of(65, 1, 50)}).has_value());
    BOOST_TEST(!plan.first_start(tasks_of(65, 1, 50), start).has_value());
}

// A job of thousands of tasks must not take the owner's processor time.
BOOST_AUTO_TEST_CASE(a_plan_is_bounded)
{
    capacity_plan plan({endpoint_of(1)}, start);
    BOOST_TEST(!plan.is_full());
    const auto end = plan.add({tasks_of(1, 10000, 1)});
    BOOST_TEST(plan.is_full());
    BOOST_TEST_REQUIRE(end.has_value());
    BOOST_TEST((*end < start + milliseconds(10000)));
}

BOOST_AUTO_TEST_CASE(memory_bounds_the_tasks_of_an_endpoint)
{
    endpoint_forecast endpoint = endpoint_of(64);
    endpoint.capacity.memory_mb = 1000;
    planned_group group = tasks_of(1, 2, 50);
    group.need.memory_mb = 600;
    capacity_plan plan({endpoint}, start);
    BOOST_TEST((plan.add({group}) == start + milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
