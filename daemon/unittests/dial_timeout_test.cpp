/// \file
/// Pattern: connection attempts with a timeout and exponential backoff.
#include "chicorydrum/daemon/dial_timeout.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::daemon
{

using support::instant;
using support::milliseconds;

BOOST_AUTO_TEST_SUITE(dials)

BOOST_AUTO_TEST_CASE(gives_up_before_the_kernel_repeats_the_opening)
{
    dial_timeout timeout;
    const instant start(milliseconds(1000));
    timeout.dialled(start);
    BOOST_TEST(!timeout.is_over(start + milliseconds(100)));
    BOOST_TEST(timeout.is_over(start + milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(waits_longer_for_a_host_that_stays_away)
{
    dial_timeout timeout;
    const instant start(milliseconds(1000));
    for (int i = 0; i < 10; ++i)
        timeout.failed();
    timeout.dialled(start);
    BOOST_TEST(!timeout.is_over(start + milliseconds(1500)));
    BOOST_TEST(timeout.is_over(start + milliseconds(3000)));
    timeout.reset();
    BOOST_TEST(timeout.is_over(start + milliseconds(500)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::daemon
