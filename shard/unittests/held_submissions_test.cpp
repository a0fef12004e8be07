/// \file
/// Tests how long jobs wait for the configuration that admitted them.
#include "chicorydrum/shard/held_submissions.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

using support::instant;
using support::milliseconds;

namespace
{

const instant start(milliseconds(1000));

schema::job_submitted submission(std::int64_t call, std::int64_t version)
{
    schema::job_submitted job;
    job.call = call;
    job.terms.config_version = version;
    job.age_us = 1000;
    job.time_left_us = 900000;
    return job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(held_submissions_rules)

BOOST_AUTO_TEST_CASE(jobs_are_ready_with_their_configuration)
{
    held_submissions held({});
    BOOST_TEST(held.add("h1", submission(1, 9), start, start));
    BOOST_TEST(held.add("h2", submission(1, 10), start, start));
    BOOST_TEST(held.take_ready(8, start).empty());
    const auto ready = held.take_ready(9, start + milliseconds(20));
    BOOST_REQUIRE(ready.size() == 1);
    BOOST_TEST(ready.front().host == "h1");
    BOOST_TEST(ready.front().job.age_us == 21000);
    BOOST_TEST(ready.front().job.time_left_us == 880000);
    BOOST_TEST(held.take_ready(10, start).size() == 1);
}

BOOST_AUTO_TEST_CASE(jobs_do_not_wait_for_ever)
{
    held_submissions held({.longest_wait = milliseconds(500)});
    held.add("h1", submission(1, 9), start, start);
    held.add("h1", submission(2, 9), start, start + milliseconds(100));
    BOOST_TEST(held.take_expired(start + milliseconds(499)).empty());
    BOOST_TEST(held.take_expired(start + milliseconds(500)).size() == 1);
    BOOST_TEST(held.take_ready(9, start).size() == 1);
}

BOOST_AUTO_TEST_CASE(jobs_that_have_ended_at_their_host_are_forgotten)
{
    held_submissions held({});
    held.add("h1", submission(1, 9), start, start);
    held.add("h1", submission(2, 9), start, start);
    held.add("h2", submission(1, 9), start, start);
    held.remove("h1", 1);
    held.remove_host("h2");
    const auto ready = held.take_ready(9, start);
    BOOST_REQUIRE(ready.size() == 1);
    BOOST_TEST(ready.front().job.call == 2);
}

// A flood of jobs of a new route, at a host that the store does not answer.
BOOST_AUTO_TEST_CASE(table_is_bounded)
{
    held_submissions held({.max_jobs = 2});
    BOOST_TEST(held.add("h1", submission(1, 9), start, start));
    BOOST_TEST(held.add("h1", submission(2, 9), start, start));
    BOOST_TEST(!held.add("h1", submission(3, 9), start, start));
    // A new submission of a call takes the place of the earlier one.
    BOOST_TEST(held.add("h1", submission(2, 9), start, start));
    BOOST_TEST(held.take_ready(9, start).size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
