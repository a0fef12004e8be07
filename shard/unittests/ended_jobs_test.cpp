/// \file
/// Tests how long, and how many, results of ended jobs are kept.
#include "chicorydrum/shard/ended_jobs.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

using support::instant;
using support::milliseconds;

BOOST_AUTO_TEST_SUITE(ended_jobs_rules)

BOOST_AUTO_TEST_CASE(first_result_stands_until_it_expires)
{
    const instant start(milliseconds(1000));
    ended_jobs jobs({.retention = milliseconds(500), .max_jobs = 10});
    jobs.add("a", schema::job_result::completed, start);
    jobs.add("a", schema::job_result::cancelled_by_caller,
             start + milliseconds(100));
    jobs.remove_expired(start + milliseconds(499));
    BOOST_TEST((jobs.find("a") == schema::job_result::completed));
    BOOST_TEST(!jobs.find("b").has_value());
    jobs.remove_expired(start + milliseconds(500));
    BOOST_TEST(!jobs.find("a").has_value());
}

// Guards against memory that grows with the load.
BOOST_AUTO_TEST_CASE(oldest_results_are_dropped_beyond_the_limit)
{
    const instant start(milliseconds(1000));
    ended_jobs jobs({.retention = milliseconds(500), .max_jobs = 2});
    for (const char* const id : {"a", "b", "c"})
        jobs.add(id, schema::job_result::cancelled_by_caller, start);
    BOOST_TEST(!jobs.find("a").has_value());
    BOOST_TEST(jobs.find("b").has_value());
    BOOST_TEST(jobs.find("c").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
