/// \file
/// Tests which owners are told of a cancelled job, and when its caller is
/// answered.
#include "chicorydrum/shard/cancellations.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::milliseconds;

struct cancellation_fixture
{
    /// Returns the hosts that were told since the last call, in order.
    std::string told()
    {
        return std::exchange(this->told_hosts, {});
    }
    void record(const std::string& domain, fencing_token token,
                bool was_open = false)
    {
        schema::cancellation_recorded record;
        record.id = "job";
        record.domain = domain;
        record.token = token;
        record.was_open = was_open;
        this->jobs.recorded(record);
    }

    instant now{milliseconds(1000)};
    std::string told_hosts;
    std::vector<answer_kind> answers;
    cancellations jobs{
        {.domain = "D1"},
        {.answer = [this](const caller_answer& answer)
         { this->answers.push_back(answer.kind); },
         .tell = [this](const std::string& owner, const schema::job_cancelled&)
         { this->told_hosts += owner + " "; },
         .log =
             [](const support::log_line&) {
             }}};
    const shard_name own{.domain = "D1", .shard = 0};
    const shard_name other{.domain = "D2", .shard = 0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(cancellation_rules)

// Guards against an answer that an owner which may start the job has not heard
// of.
BOOST_FIXTURE_TEST_CASE(caller_waits_for_the_owners_of_all_domains,
                        cancellation_fixture)
{
    this->jobs.set_owners({{own, {.host = "h1", .token = 5}},
                           {other, {.host = "h2", .token = 7}}},
                          1);
    this->jobs.begin(1, "job", false, this->now);
    BOOST_TEST(this->told() == "h1 h2 ");
    this->record("D1", 5);
    BOOST_TEST(this->answers.empty());
    this->record("D2", 7, true);
    BOOST_REQUIRE(this->answers.size() == 1U);
    BOOST_TEST((this->answers.front() == answer_kind::cancelled));
    // Told once only.
    this->jobs.tick(this->now + milliseconds(1000));
    BOOST_TEST(this->told().empty());
}

BOOST_FIXTURE_TEST_CASE(owner_that_does_not_answer_is_told_again,
                        cancellation_fixture)
{
    this->jobs.set_owners({{own, {.host = "h1", .token = 5}}}, 1);
    this->jobs.begin(1, "job", false, this->now);
    BOOST_TEST(this->told() == "h1 ");
    this->jobs.tick(this->now + milliseconds(250));
    BOOST_TEST(this->told() == "h1 ");
    this->record("D1", 5);
    BOOST_REQUIRE(this->answers.size() == 1U);
    BOOST_TEST((this->answers.front() == answer_kind::unknown_job));
}

// Guards against a repeated request that starts a cancelled job at a new owner.
BOOST_FIXTURE_TEST_CASE(successor_is_told, cancellation_fixture)
{
    this->jobs.set_owners({{own, {.host = "h1", .token = 5}}}, 1);
    this->jobs.begin(1, "job", false, this->now);
    this->record("D1", 5);
    this->told();
    this->jobs.set_owners({{own, {.host = "h3", .token = 6}}}, 1);
    this->jobs.tick(this->now + milliseconds(5000));
    BOOST_TEST(this->told() == "h3 ");
    this->record("D1", 6);
    // Forgotten when no request can be repeated any more.
    this->jobs.tick(this->now + milliseconds(30000));
    this->jobs.set_owners({{own, {.host = "h1", .token = 7}}}, 1);
    this->jobs.tick(this->now + milliseconds(30100));
    BOOST_TEST(this->told().empty());
}

// Guards against an acknowledgement of a cancellation that nobody has recorded,
// and against a caller who waits for ever.
BOOST_FIXTURE_TEST_CASE(caller_is_told_to_repeat_its_request,
                        cancellation_fixture)
{
    this->jobs.set_owners(
        {{own, {.host = "h1", .token = 5, .is_reachable = false}},
         {other, {.host = "h2", .token = 7}}},
        1);
    this->jobs.begin(1, "job", true, this->now);
    BOOST_TEST(this->told() == "h2 ");
    this->record("D2", 7);
    this->jobs.tick(this->now + milliseconds(1999));
    BOOST_TEST(this->answers.empty());
    this->jobs.tick(this->now + milliseconds(2000));
    BOOST_REQUIRE(this->answers.size() == 1U);
    BOOST_TEST((this->answers.front() == answer_kind::not_run));
    // The repeated request is acknowledged when the owner is back.
    this->jobs.begin(2, "job", false, this->now + milliseconds(2300));
    this->jobs.set_owners({{own, {.host = "h1", .token = 5}},
                           {other, {.host = "h2", .token = 7}}},
                          1);
    this->jobs.tick(this->now + milliseconds(2400));
    this->record("D1", 5);
    BOOST_REQUIRE(this->answers.size() == 2U);
    BOOST_TEST((this->answers.back() == answer_kind::cancelled));
}

// Guards against memory that grows with the cancellations.
BOOST_FIXTURE_TEST_CASE(oldest_cancellations_are_dropped, cancellation_fixture)
{
    this->jobs.set_owners({{own, {.host = "h1", .token = 5}}}, 1);
    for (int i = 0; i < 5000; ++i)
        this->jobs.begin(static_cast<call_id>(i), "job" + std::to_string(i),
                         false, this->now);
    // Those whose callers still wait are told to repeat their requests.
    BOOST_TEST(this->answers.size() == 5000U - 4096U);
    BOOST_TEST(this->jobs.waiting_calls() == 4096U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
