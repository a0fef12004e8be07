#include "chicorydrum/decision/fair_queue.hpp"

#include <boost/test/unit_test.hpp>

using namespace chicorydrum;
using namespace chicorydrum::decision;

namespace
{

record_ptr make_record(const std::string& kind, const std::string& team,
                       std::size_t tasks, int urgency = 0)
{
    auto record = std::make_shared<submission_record>();
    record->work.kind = kind;
    record->work.team = team;
    record->work.urgency = urgency;
    for (std::size_t task = tasks; task > 0; --task)
        record->waiting.push_back(task - 1);
    return record;
}

bool admit_all(const std::string& /*kind*/, const std::string& /*team*/)
{
    return true;
}

fair_queue make_queue()
{
    return fair_queue({.kind_share = [](const std::string& kind)
                       { return kind == "heavy" ? 3.0 : 1.0; },
                       .team_share =
                           [](const std::string&)
                       {
                           return 1.0;
                       }});
}

/// Takes \p count tasks and returns how many are of \p kind.
int take(fair_queue& queue, int count, const std::string& kind)
{
    int found = 0;
    for (int i = 0; i < count; ++i)
    {
        const record_ptr next = queue.peek(admit_all);
        BOOST_REQUIRE(next != nullptr);
        found += queue.take(next, 1).record->work.kind == kind ? 1 : 0;
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_queue_tests)

BOOST_AUTO_TEST_CASE(kinds_get_service_in_proportion_to_their_shares)
{
    fair_queue queue = make_queue();
    queue.add(make_record("heavy", "t", 400));
    queue.add(make_record("light", "t", 400));
    const int heavy = take(queue, 100, "heavy");
    BOOST_TEST(heavy >= 74);
    BOOST_TEST(heavy <= 76);
}

BOOST_AUTO_TEST_CASE(a_team_with_many_submissions_gets_only_its_share)
{
    fair_queue queue = make_queue();
    for (int i = 0; i < 50; ++i)
        queue.add(make_record("light", "flood", 20, 9));
    queue.add(make_record("light", "calm", 50, 0));
    int calm = 0;
    for (int i = 0; i < 60; ++i)
        calm += queue.take(queue.peek(admit_all), 1).record->work.team == "calm"
                    ? 1
                    : 0;
    BOOST_TEST(calm == 30);
}

BOOST_AUTO_TEST_CASE(an_idle_flow_accumulates_no_credit)
{
    fair_queue queue = make_queue();
    queue.add(make_record("light", "t", 500));
    take(queue, 200, "light");
    queue.add(make_record("other", "t", 500));
    const int other = take(queue, 100, "other");
    BOOST_TEST(other >= 49);
    BOOST_TEST(other <= 51);
}

BOOST_AUTO_TEST_CASE(urgency_orders_submissions_of_one_flow)
{
    fair_queue queue = make_queue();
    const record_ptr calm = make_record("light", "t", 1, 1);
    const record_ptr urgent = make_record("light", "t", 1, 5);
    queue.add(calm);
    queue.add(urgent);
    BOOST_TEST(queue.peek(admit_all) == urgent);
}

BOOST_AUTO_TEST_CASE(a_refused_task_returns_to_the_front)
{
    fair_queue queue = make_queue();
    const record_ptr first = make_record("light", "t", 1);
    queue.add(first);
    queue.add(make_record("light", "t", 1));
    const queued_task taken = queue.take(queue.peek(admit_all), 1);
    queue.put_back(taken);
    BOOST_TEST(queue.waiting_tasks() == 2U);
    BOOST_TEST(queue.peek(admit_all) == first);
}

BOOST_AUTO_TEST_CASE(finished_records_are_dropped_lazily)
{
    fair_queue queue = make_queue();
    const record_ptr cancelled = make_record("light", "t", 100);
    const record_ptr next = make_record("light", "t", 1);
    queue.add(cancelled);
    queue.add(next);
    cancelled->phase = submission_phase::finished;
    queue.forget(*cancelled);
    BOOST_TEST(queue.waiting_tasks() == 1U);
    BOOST_TEST(queue.peek(admit_all) == next);
}

BOOST_AUTO_TEST_CASE(flows_that_may_not_start_are_skipped)
{
    fair_queue queue = make_queue();
    queue.add(make_record("light", "full", 5));
    queue.add(make_record("light", "free", 5));
    const record_ptr next =
        queue.peek([](const std::string&, const std::string& team)
                   { return team != "full"; });
    BOOST_TEST(next->work.team == "free");
    BOOST_TEST(queue.guaranteed_fraction("light", "free") == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
