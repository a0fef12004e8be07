/// \file
/// Tests how cancelled jobs are kept in the store, and how many writes waves of
/// them make.
#include "chicorydrum/shard/cancellation_store.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

using support::instant;
using support::milliseconds;

namespace
{

struct store_fixture
{
    void run_for(milliseconds span)
    {
        constexpr milliseconds tick{25};
        for (milliseconds past{0}; past < span; past += tick)
        {
            this->now += tick;
            this->jobs.tick(this->now);
        }
    }

    instant now{milliseconds(1000)};
    std::vector<cancelled_write> writes;
    std::vector<cancelled_read> reads;
    std::vector<std::string> kept;
    std::vector<std::string> found;
    cancellation_store jobs{
        {},
        {.read = [this](const cancelled_read& read)
         { this->reads.push_back(read); },
         .write = [this](const cancelled_write& write)
         { this->writes.push_back(write); },
         .kept = [this](const std::string& id) { this->kept.push_back(id); },
         .found = [this](const std::string& id) { this->found.push_back(id); },
         .log =
             [](const support::log_line&) {
             }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(cancellation_store_rules)

BOOST_FIXTURE_TEST_CASE(answer_waits_for_the_row, store_fixture)
{
    this->jobs.add("a", this->now);
    BOOST_REQUIRE(this->writes.size() == 1);
    BOOST_TEST(this->writes.front().added.size() == 1);
    BOOST_TEST(!this->jobs.is_kept("a"));
    this->jobs.written(true, this->now);
    BOOST_TEST(this->jobs.is_kept("a"));
    BOOST_TEST(this->kept.size() == 1);
    // The caller repeats its call.
    this->jobs.add("a", this->now);
    BOOST_TEST(this->writes.size() == 1);
}

// The store does not answer: the cancellation is kept by the processes, and
// written when it does.
BOOST_FIXTURE_TEST_CASE(answer_waits_for_a_bounded_time, store_fixture)
{
    this->jobs.add("a", this->now);
    this->run_for(milliseconds(475));
    BOOST_TEST(this->kept.empty());
    this->run_for(milliseconds(25));
    BOOST_TEST(this->kept.size() == 1);
    this->jobs.written(false, this->now);
    this->run_for(milliseconds(250));
    BOOST_REQUIRE(this->writes.size() == 2);
    BOOST_TEST(this->writes.back().added.front() == "a");
    this->jobs.written(true, this->now);
    BOOST_TEST(this->kept.size() == 1);
}

// A caller cancels thousands of jobs at once.
BOOST_FIXTURE_TEST_CASE(waves_make_few_writes, store_fixture)
{
    for (int i = 0; i < 250; ++i)
        this->jobs.add("job" + std::to_string(i), this->now);
    BOOST_TEST(this->writes.size() == 1);
    std::size_t added = 0;
    for (int second = 0; second < 2; ++second)
    {
        for (int half = 0; half < 2; ++half)
        {
            this->jobs.written(true, this->now);
            this->run_for(milliseconds(500));
        }
        BOOST_TEST(this->writes.size() <= 2U * (second + 1U) + 1);
    }
    for (const cancelled_write& write : this->writes)
    {
        BOOST_TEST(write.added.size() <= 100);
        added += write.added.size();
    }
    BOOST_TEST(added == 250);
}

BOOST_FIXTURE_TEST_CASE(rows_are_removed_when_the_job_cannot_run, store_fixture)
{
    this->jobs.add("a", this->now);
    this->jobs.written(true, this->now);
    this->run_for(milliseconds(29900));
    BOOST_TEST(this->writes.size() == 1);
    this->run_for(milliseconds(200));
    BOOST_REQUIRE(this->writes.size() == 2);
    BOOST_TEST(this->writes.back().removed.front() == "a");
    this->jobs.written(true, this->now);
    this->run_for(milliseconds(60000));
    BOOST_TEST(this->writes.size() == 2);
}

// All processes were lost, and the rows are in two answers.
BOOST_FIXTURE_TEST_CASE(new_process_finds_rows_and_removes_them, store_fixture)
{
    this->jobs.tick(this->now);
    BOOST_REQUIRE(this->reads.size() == 1);
    this->jobs.rows_read({}, this->now);
    BOOST_TEST(!this->jobs.has_read());
    this->run_for(milliseconds(250));
    BOOST_REQUIRE(this->reads.size() == 2);
    this->jobs.rows_read({.is_read = true, .ids = {"a", "b"}, .next_key = "b"},
                         this->now);
    BOOST_REQUIRE(this->reads.size() == 3);
    BOOST_TEST(this->reads.back().from == "b");
    BOOST_TEST(!this->jobs.has_read());
    this->jobs.rows_read({.is_read = true, .ids = {"b", "c"}}, this->now);
    BOOST_TEST(this->jobs.has_read());
    BOOST_TEST(this->found.size() == 3);
    std::size_t removed = 0;
    for (int i = 0; i < 45; ++i)
    {
        this->run_for(milliseconds(1000));
        if (this->writes.empty())
            continue;
        BOOST_TEST(i >= 29);
        for (const cancelled_write& write : this->writes)
            removed += write.removed.size();
        this->writes.clear();
        this->jobs.written(true, this->now);
    }
    BOOST_TEST(removed == 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
