/// \file
/// Dial timeouts grow exponentially up to a maximum.
#include "chicorydrum/daemon/dial_timeout.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::daemon
{

using support::instant;
using support::milliseconds;

BOOST_AUTO_TEST_SUITE(dials)

BOOST_AUTO_TEST_CASE(expires_before_the_kernel_retransmits_the_opening_packet)
{
    dial_timeout timeout;
    const instant start(milliseconds(1000));
    timeout.start(start);
    BOOST_TEST(!timeout.has_expired(start + milliseconds(100)));
    BOOST_TEST(timeout.has_expired(start + milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(doubles_for_a_host_that_stays_unreachable)
{
    dial_timeout timeout;
    const instant start(milliseconds(1000));
    for (int i = 0; i < 10; ++i)
        timeout.increase();
    timeout.start(start);
    BOOST_TEST(!timeout.has_expired(start + milliseconds(1500)));
    BOOST_TEST(timeout.has_expired(start + milliseconds(3000)));
    timeout.reset();
    BOOST_TEST(timeout.has_expired(start + milliseconds(500)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::daemon
