/// \file
/// Tests which owners an entry host withdraws a job from.
#include "chicorydrum/shard/job_intake.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::milliseconds;

constexpr call_id call = 1;
const instant start(milliseconds(1000));

/// An intake whose only job was sent to one owner of its shard, and then to a
/// successor.
struct moved_job
{
    moved_job()
    {
        schema::job work;
        work.id = "job1";
        this->set_owner("earlier", 1);
        this->intake.submit(call, work, {}, milliseconds(2000), start);
        this->set_owner("successor", 2);
        BOOST_REQUIRE(this->submitted.size() == 2U);
        BOOST_TEST(this->submitted.back().may_run);
    }

    void set_owner(const std::string& host, fencing_token token)
    {
        this->intake.set_owners(
            {{{.domain = "D1", .shard = 0}, {.host = host, .token = token}}}, 1,
            start);
    }

    schema::job_ended completed() const
    {
        schema::job_ended end;
        end.call = static_cast<std::int64_t>(call);
        end.id = "job1";
        end.outcome = schema::job_result::completed;
        end.__set_submission(this->submitted.front().submission);
        return end;
    }

    std::vector<schema::job_submitted> submitted;
    std::vector<std::string> withdrawn_from;
    std::vector<answer_kind> answers;
    job_intake intake{
        {.domain = "D1"},
        {.answer = [this](const caller_answer& answer)
         { this->answers.push_back(answer.kind); },
         .submit = [this](const std::string&, const schema::job_submitted& job)
         { this->submitted.push_back(job); },
         .withdraw =
             [this](const std::string& owner, const schema::job_withdrawn&)
         { this->withdrawn_from.push_back(owner); },
         .log =
             [](const support::log_line&) {
             }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(job_intake_withdrawals)

// A caller leaves after its job has moved to a new owner. The earlier owner may
// not know of that, and must be told to stop the job as well.
BOOST_AUTO_TEST_CASE(caller_leaves_after_takeover)
{
    moved_job job;
    job.intake.caller_left(call);
    const std::vector<std::string> both = {"earlier", "successor"};
    BOOST_TEST(job.withdrawn_from == both, boost::test_tools::per_element());
}

// The earlier owner of a job that has moved completes it. The new owner must
// not start it afterwards.
BOOST_AUTO_TEST_CASE(earlier_owner_completes_job)
{
    moved_job job;
    job.intake.ended("earlier", job.completed(), start);
    BOOST_REQUIRE(job.answers.size() == 1U);
    BOOST_TEST((job.answers.front() == answer_kind::completed));
    const std::vector<std::string> successor = {"successor"};
    BOOST_TEST(job.withdrawn_from == successor,
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
