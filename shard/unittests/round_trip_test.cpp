/// \file
/// Tests when an answer counts as overdue.
#include "round_trip.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

using support::milliseconds;

BOOST_AUTO_TEST_SUITE(round_trips)

BOOST_AUTO_TEST_CASE(timeout_follows_the_answers_within_its_limits)
{
    round_trip answers;
    BOOST_TEST(answers.timeout().count() == 25);
    for (int i = 0; i < 50; ++i)
        answers.observe(milliseconds(1));
    BOOST_TEST(answers.timeout().count() == 25);
    // Orders queue in the link.
    for (int i = 0; i < 50; ++i)
        answers.observe(milliseconds(i % 2 == 0 ? 40 : 60));
    BOOST_TEST(answers.timeout().count() >= 60);
    for (int i = 0; i < 50; ++i)
        answers.observe(milliseconds(2000));
    BOOST_TEST(answers.timeout().count() == 200);
    for (int i = 0; i < 100; ++i)
        answers.observe(milliseconds(1));
    BOOST_TEST(answers.timeout().count() == 25);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
