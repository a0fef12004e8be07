/// \file
/// Tests when capacity of an endpoint is expected to be free.
#include "capacity_forecast.hpp"

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

occupied_capacity run_of(std::int64_t count, milliseconds ends)
{
    return {.need = cores(count), .ends = start + ends};
}

} // namespace

BOOST_AUTO_TEST_SUITE(capacity_forecast)

BOOST_AUTO_TEST_CASE(a_task_fits_at_once_beside_others)
{
    const endpoint_forecast endpoint{
        .id = "e1",
        .capacity = cores(64),
        .occupied = {run_of(30, milliseconds(500))}};
    BOOST_TEST((fits_from(endpoint, cores(34), start) == start));
}

BOOST_AUTO_TEST_CASE(a_wide_task_waits_until_enough_runs_have_ended)
{
    const endpoint_forecast endpoint{
        .id = "e1",
        .capacity = cores(64),
        .occupied = {run_of(40, milliseconds(500)),
                     run_of(20, milliseconds(100))}};
    BOOST_TEST(
        (fits_from(endpoint, cores(20), start) == start + milliseconds(100)));
    BOOST_TEST(
        (fits_from(endpoint, cores(32), start) == start + milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(an_overdue_run_ends_now_at_the_earliest)
{
    const endpoint_forecast endpoint{
        .id = "e1",
        .capacity = cores(16),
        .occupied = {run_of(16, milliseconds(-200))}};
    BOOST_TEST((fits_from(endpoint, cores(1), start) == start));
}

BOOST_AUTO_TEST_CASE(a_task_above_the_capacity_never_fits)
{
    const endpoint_forecast endpoint{.id = "e1", .capacity = cores(16)};
    BOOST_TEST(!fits_from(endpoint, cores(17), start));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
