#include "chicorydrum/transport/event_loop.hpp"

#include <boost/test/unit_test.hpp>

#include <ctime>

#include <sys/syscall.h>
#include <unistd.h>

namespace
{

/// How long the machine seems to have been suspended.
std::time_t suspended_seconds = 0;

} // namespace

// Replaces the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* result) noexcept
{
    const long status = syscall(SYS_clock_gettime, clock, result);
    if (clock == CLOCK_BOOTTIME)
        result->tv_sec += suspended_seconds;
    return static_cast<int>(status);
}

namespace chicorydrum::transport
{

BOOST_AUTO_TEST_SUITE(event_loop_time)

// After a suspension all deadlines and leases have passed, also those that were
// measured on this machine. The steady clock would hide that.
BOOST_AUTO_TEST_CASE(counts_suspended_time)
{
    const support::instant before = event_loop::now();
    suspended_seconds = 5;
    const support::instant after = event_loop::now();
    suspended_seconds = 0;
    BOOST_TEST(support::whole_ms(after - before) >= 5000);
    BOOST_TEST(support::whole_ms(after - before) < 6000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::transport
