#include "chicorydrum/support/line_limit.hpp"

#include <boost/test/unit_test.hpp>

using chicorydrum::support::instant;
using chicorydrum::support::line_limit;
using chicorydrum::support::milliseconds;

BOOST_AUTO_TEST_SUITE(line_limits)

BOOST_AUTO_TEST_CASE(one_line_an_interval_counts_all_events)
{
    line_limit limit(milliseconds(1000));
    const instant start{};
    const auto first = limit.add(120, start);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->count == 1);
    BOOST_TEST(first->most == 120);
    BOOST_TEST(!limit.add(300, start + milliseconds(1)).has_value());
    BOOST_TEST(!limit.add(110, start + milliseconds(999)).has_value());
    const auto second = limit.add(130, start + milliseconds(1000));
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->count == 3);
    BOOST_TEST(second->most == 300);
    // The earlier largest value is not reported twice.
    const auto third = limit.add(101, start + milliseconds(2000));
    BOOST_REQUIRE(third.has_value());
    BOOST_TEST(third->count == 1);
    BOOST_TEST(third->most == 101);
}

// Under a flood of events.
BOOST_AUTO_TEST_CASE(lines_do_not_grow_with_events)
{
    line_limit limit(milliseconds(1000));
    int lines = 0;
    std::int64_t counted = 0;
    for (int ms = 0; ms <= 10000; ++ms)
        if (const auto line = limit.add(ms, instant{} + milliseconds(ms)))
        {
            ++lines;
            counted += line->count;
        }
    BOOST_TEST(lines == 11);
    BOOST_TEST(counted == 10001);
}

BOOST_AUTO_TEST_SUITE_END()
