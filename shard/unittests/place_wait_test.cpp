/// \file
/// Tests how long a wait for a place near a task's data or group, or for a
/// faster endpoint, pays.
#include "place_wait.hpp"

#include <boost/test/unit_test.hpp>

#include <utility>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::milliseconds;

const instant start(milliseconds(1000));

using option_list = std::vector<place_option>;

place_option option(std::string endpoint, milliseconds wait, double run_ms)
{
    return {.endpoint = std::move(endpoint),
            .free_at = start + wait,
            .run_ms = run_ms};
}

place_choice choose(const place_option& free_now,
                    const std::vector<place_option>& later, milliseconds target)
{
    return choose_place(free_now, later, start + target, start, {});
}

schema::resources cores(std::int64_t count)
{
    schema::resources need;
    need.millicores = count * 1000;
    return need;
}

} // namespace

BOOST_AUTO_TEST_SUITE(place_wait)

// A task of 900 ms whose data are on a busy rack: away from it, it takes twice
// as long.
BOOST_AUTO_TEST_CASE(waits_for_a_place_near_its_data_that_is_free_soon)
{
    const auto choice =
        choose(option("far", {}, 1800),
               {option("near", milliseconds(200), 900)}, milliseconds(3000));
    BOOST_TEST_REQUIRE(choice.wait_for.has_value());
    BOOST_TEST(*choice.wait_for == 0);
    BOOST_TEST((choice.reason == place_reason::ends_sooner_after_wait));
    // 1,800 ms without the wait, less a tenth, less 900 ms near the data.
    BOOST_TEST((choice.pays_until == start + milliseconds(720)));
}

BOOST_AUTO_TEST_CASE(
    runs_away_from_its_data_if_the_wait_is_longer_than_it_saves)
{
    const auto choice =
        choose(option("far", {}, 1800),
               {option("near", milliseconds(800), 900)}, milliseconds(3000));
    BOOST_TEST(!choice.wait_for.has_value());
}

BOOST_AUTO_TEST_CASE(a_short_task_does_not_wait_for_a_few_milliseconds)
{
    const auto choice =
        choose(option("far", {}, 30), {option("near", milliseconds(8), 15)},
               milliseconds(100));
    BOOST_TEST(!choice.wait_for.has_value());
}

// If the place is not free in time, the task must still be in time elsewhere.
BOOST_AUTO_TEST_CASE(a_wait_does_not_put_the_target_at_risk)
{
    const option_list later = {option("near", milliseconds(200), 900)};
    const auto tight =
        choose(option("far", {}, 1800), later, milliseconds(1900));
    BOOST_TEST(!tight.wait_for.has_value());
    const auto loose =
        choose(option("far", {}, 1800), later, milliseconds(2100));
    BOOST_TEST_REQUIRE(loose.wait_for.has_value());
    BOOST_TEST((loose.pays_until == start + milliseconds(300)));
}

// Away from its data the task is late in any case.
BOOST_AUTO_TEST_CASE(waits_if_only_a_place_near_its_data_meets_the_target)
{
    const auto choice =
        choose(option("far", {}, 1800),
               {option("near", milliseconds(400), 900)}, milliseconds(1500));
    BOOST_TEST_REQUIRE(choice.wait_for.has_value());
    BOOST_TEST((choice.reason == place_reason::target_needs_wait));
    BOOST_TEST((choice.pays_until == start + milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(starts_late_if_the_wait_would_hardly_help)
{
    const auto choice =
        choose(option("far", {}, 1800),
               {option("near", milliseconds(1200), 900)}, milliseconds(1500));
    BOOST_TEST(!choice.wait_for.has_value());
    BOOST_TEST((choice.reason == place_reason::late_anywhere));
}

// Many tasks want one rack while others idle.
BOOST_AUTO_TEST_CASE(a_queue_for_a_hot_rack_ends_where_other_places_end_sooner)
{
    place_bookings bookings(
        [](const std::string&)
        {
            return std::vector<endpoint_forecast>{
                {.id = "near",
                 .capacity = cores(16),
                 .occupied = {
                     {.need = cores(16), .ends = start + milliseconds(100)}}}};
        });
    int waiting = 0;
    for (int task = 0; task < 10; ++task)
    {
        const auto free_at =
            bookings.free_from("pool", "near", cores(16), start);
        BOOST_TEST_REQUIRE(free_at.has_value());
        const place_option near{
            .endpoint = "near", .free_at = *free_at, .run_ms = 200};
        const auto choice = choose_place(option("far", {}, 600), {near},
                                         start + milliseconds(1000), start, {});
        if (!choice.wait_for)
            continue;
        ++waiting;
        bookings.book("pool", "near", cores(16), *free_at + milliseconds(200));
    }
    // Ends near the data are expected at 300 and 500 ms. With the forecast's
    // error the second may be at 620, later than the 600 ms without a wait.
    BOOST_TEST(waiting == 1);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_gets_no_tasks_is_no_place)
{
    place_bookings bookings([](const std::string&)
                            { return std::vector<endpoint_forecast>{}; });
    BOOST_TEST(!bookings.free_from("pool", "lost", cores(1), start));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
