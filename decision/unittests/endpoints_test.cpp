#include "chicorydrum/decision/circuit_breaker.hpp"
#include "chicorydrum/decision/endpoint_pool.hpp"
#include "chicorydrum/decision/rate_limiter.hpp"

#include <boost/test/unit_test.hpp>

using namespace chicorydrum;
using namespace chicorydrum::decision;
using support::instant;
using support::milliseconds;

namespace
{

endpoint_listing make_listing(const std::string& name, int slots = 8)
{
    return {.name = name,
            .domain = "d",
            .slots = slots,
            .connections = 64,
            .millicores = 16000,
            .memory_mb = 65536};
}

instant at(int ms)
{
    return instant(milliseconds(ms));
}

int share_of(const std::string& self, const std::string& endpoint)
{
    endpoint_pool pool({.self = self, .domain = "d", .health = {}});
    pool.update({make_listing(endpoint)});
    pool.set_sharing_hosts({"a", "b", "c"}, at(0));
    pool.settle_shares(at(60000));
    return pool.find(endpoint)->share;
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpoints)

BOOST_AUTO_TEST_CASE(shares_add_up_to_the_slots)
{
    for (const char* endpoint : {"e1", "e2", "e3", "runner-17"})
        BOOST_TEST(share_of("a", endpoint) + share_of("b", endpoint) +
                       share_of("c", endpoint) ==
                   8);
}

BOOST_AUTO_TEST_CASE(shares_shrink_at_once_and_grow_when_settled)
{
    endpoint_pool pool({.self = "a", .domain = "d", .health = {}});
    pool.update({make_listing("e")});
    BOOST_TEST(pool.idle_slots() == 0);
    pool.set_sharing_hosts({"a"}, at(0));
    pool.settle_shares(at(2000));
    BOOST_TEST(pool.idle_slots() == 8);
    pool.set_sharing_hosts({"a", "b"}, at(3000));
    BOOST_TEST(pool.idle_slots() == 4);
    pool.set_sharing_hosts({"a"}, at(4000));
    pool.settle_shares(at(4100));
    BOOST_TEST(pool.idle_slots() == 4);
    pool.settle_shares(at(4600));
    BOOST_TEST(pool.idle_slots() == 8);
}

BOOST_AUTO_TEST_CASE(large_tasks_take_several_slots)
{
    const endpoint_listing worker = make_listing("e");
    const auto needed = [&worker](double cores, double memory)
    {
        return endpoint_pool::slots_needed({cores, memory}, worker);
    };
    BOOST_TEST(needed(100, 100) == 1);
    BOOST_TEST(needed(2000, 8192) == 1);
    BOOST_TEST(needed(2001, 100) == 2);
    BOOST_TEST(needed(100, 65536) == 8);
    BOOST_TEST(needed(16001, 100) == 9);
}

BOOST_AUTO_TEST_CASE(a_failing_endpoint_is_ejected_and_gets_a_trial)
{
    endpoint_health health({});
    for (int i = 0; i < 10; ++i)
        health.succeeded("good", "k");
    int failures = 0;
    while (health.state("bad", at(0)) != health_state::ejected)
    {
        health.failed("bad", "k", 10, at(0));
        BOOST_REQUIRE(++failures < 6);
    }
    BOOST_TEST((health.state("bad", at(1100)) == health_state::on_trial));
    health.failed("bad", "k", 10, at(1100));
    BOOST_TEST((health.state("bad", at(2500)) == health_state::ejected));
    BOOST_TEST((health.state("bad", at(3200)) == health_state::on_trial));
    health.succeeded("bad", "k");
    BOOST_TEST((health.state("bad", at(3200)) == health_state::healthy));
}

BOOST_AUTO_TEST_CASE(a_kind_that_fails_everywhere_ejects_no_endpoint)
{
    endpoint_health health({});
    for (int round = 0; round < 20; ++round)
        for (const char* endpoint : {"a", "b", "c", "d"})
            health.failed(endpoint, "broken", 4, at(round));
    for (const char* endpoint : {"a", "b", "c", "d"})
        BOOST_TEST((health.state(endpoint, at(50)) != health_state::ejected));
}

BOOST_AUTO_TEST_CASE(the_number_of_ejected_endpoints_is_bounded)
{
    endpoint_health health({.max_ejected_percent = 30});
    for (int i = 0; i < 40; ++i)
        health.succeeded("good", "k");
    int ejected = 0;
    for (int e = 0; e < 9; ++e)
    {
        const std::string name = "e" + std::to_string(e);
        for (int i = 0; i < 8; ++i)
        {
            health.failed(name, "k", 10, at(0));
            health.succeeded("good", "k");
        }
        ejected += health.state(name, at(0)) == health_state::ejected ? 1 : 0;
    }
    BOOST_TEST(ejected == 3);
}

BOOST_AUTO_TEST_CASE(endpoint_speeds_are_learned_and_reported)
{
    run_time_model one;
    run_time_model other;
    for (int i = 0; i < 200; ++i)
    {
        one.observe("k", "fast", milliseconds(50 + i % 50));
        one.observe("k", "slow", milliseconds(4 * (50 + i % 50)));
    }
    const double ratio = one.slowness("slow") / one.slowness("fast");
    BOOST_TEST(ratio > 3.4);
    BOOST_TEST(ratio < 4.6);
    other.merge(one.take_report());
    BOOST_TEST(other.slowness("slow") > 2 * other.slowness("fast"));
    BOOST_TEST(one.take_report().endpoints.empty());
}

BOOST_AUTO_TEST_CASE(a_bucket_admits_one_job_beyond_its_tokens)
{
    rate_limiter limiter;
    BOOST_TEST(limiter.take(630, 100, at(0)));
    BOOST_TEST(!limiter.take(1, 100, at(1000)));
    BOOST_TEST(limiter.seconds_until_positive(100) > 4);
    BOOST_TEST(limiter.take(1, 100, at(6000)));
}

BOOST_AUTO_TEST_CASE(an_open_breaker_allows_one_trial_call)
{
    circuit_breaker breaker({.seed = 1});
    for (int i = 0; i < 3; ++i)
    {
        BOOST_TEST(breaker.allow(at(i)));
        breaker.failed(at(i));
    }
    BOOST_TEST(!breaker.allow(at(10)));
    BOOST_TEST(breaker.allow(at(700)));
    BOOST_TEST(!breaker.allow(at(701)));
    breaker.succeeded();
    BOOST_TEST(breaker.allow(at(702)));
}

BOOST_AUTO_TEST_SUITE_END()
