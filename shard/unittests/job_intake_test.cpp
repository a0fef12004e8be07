/// \file
/// Tests which owners an entry host submits a job to and withdraws it from.
#include "chicorydrum/shard/job_intake.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::milliseconds;
using names = std::vector<std::string>;

const instant start(milliseconds(1000));
const shard_name home{.domain = "D1", .shard = 0};

/// An intake with one open job, call 1, whose home shard \p first owns.
struct intake_fixture
{
    intake_fixture()
    {
        this->intake.set_owners({{home, {.host = "first", .token = 1}}}, 1,
                                start);
        schema::job work;
        work.id = "job";
        this->intake.submit(1, work, {}, milliseconds(2000), milliseconds(0),
                            start);
    }

    void move_to(const std::string& host, fencing_token token)
    {
        this->intake.set_owners({{home, {.host = host, .token = token}}}, 1,
                                start);
    }

    void end(const std::string& host, schema::job_result outcome,
             std::int32_t submission)
    {
        schema::job_ended ended;
        ended.call = 1;
        ended.id = "job";
        ended.outcome = outcome;
        ended.__set_submission(submission);
        this->intake.ended(host, ended, start);
    }

    std::vector<std::int32_t> submissions;
    names submitted_to;
    names withdrawn_from;
    /// The last result that a withdrawal told.
    std::optional<schema::job_result> last_outcome;
    std::vector<answer_kind> answers;
    job_intake intake{
        {.domain = "D1"},
        {.answer = [this](const caller_answer& answer)
         { this->answers.push_back(answer.kind); },
         .submit =
             [this](const std::string& owner, const schema::job_submitted& job)
         {
             this->submitted_to.push_back(owner);
             this->submissions.push_back(job.submission);
         },
         .withdraw =
             [this](const std::string& owner, const schema::job_withdrawn& job)
         {
             this->withdrawn_from.push_back(owner);
             if (job.__isset.outcome)
                 this->last_outcome = job.outcome;
         },
         .log =
             [](const support::log_line&) {
             }}};
};

const std::vector<answer_kind> interrupted{answer_kind::interrupted};
const std::vector<answer_kind> completed{answer_kind::completed};

} // namespace

BOOST_FIXTURE_TEST_SUITE(job_intake_rules, intake_fixture)

// A refusal that crossed a newer submission must not end the call: the owner
// has just accepted the job again.
BOOST_AUTO_TEST_CASE(refusal_of_an_earlier_submission)
{
    this->intake.resubmit_to("first", start);
    this->end("first", schema::job_result::not_run, this->submissions.front());
    BOOST_TEST(this->answers.empty());
    BOOST_TEST(this->intake.is_open("job"));
    this->end("first", schema::job_result::not_run, this->submissions.back());
    BOOST_TEST((this->answers == interrupted));
}

// An owner that was not told of its successor must not go on with a job whose
// caller has left.
BOOST_AUTO_TEST_CASE(caller_leaves_after_takeover)
{
    this->move_to("second", 2);
    BOOST_TEST((this->submitted_to == names{"first", "second"}));
    this->intake.caller_left(1, start);
    BOOST_TEST((this->withdrawn_from == names{"first", "second"}));
}

// When an earlier owner completes a job, the newest one must not start it.
BOOST_AUTO_TEST_CASE(earlier_owner_completes_job)
{
    this->move_to("second", 2);
    this->end("first", schema::job_result::completed,
              this->submissions.front());
    BOOST_TEST((this->answers == completed));
    BOOST_TEST((this->withdrawn_from == names{"second"}));
}

// A job is interrupted only once none of its tasks runs, also at earlier
// owners.
BOOST_AUTO_TEST_CASE(newest_owner_gives_job_up)
{
    this->move_to("second", 2);
    this->end("second", schema::job_result::interrupted,
              this->submissions.back());
    BOOST_TEST((this->answers == interrupted));
    BOOST_TEST((this->withdrawn_from == names{"first"}));
}

// The result of a job that was sent to its owner twice must withdraw the
// second submission, which the owner may not know to be a repetition.
BOOST_AUTO_TEST_CASE(completion_crosses_resubmission)
{
    this->intake.resubmit_to("first", start);
    this->end("first", schema::job_result::completed,
              this->submissions.front());
    BOOST_TEST((this->answers == completed));
    BOOST_TEST((this->withdrawn_from == names{"first"}));
}

// Owners that report the end of a job have it no more. A withdrawal for each
// job would double the messages.
BOOST_AUTO_TEST_CASE(completed_job_is_not_withdrawn)
{
    this->end("first", schema::job_result::completed,
              this->submissions.front());
    BOOST_TEST((this->answers == completed));
    BOOST_TEST(this->withdrawn_from.empty());
}

// The home shard has refused the job and reports later that it was cancelled.
// Another shard of the same host has the job meanwhile, and must end it.
BOOST_FIXTURE_TEST_CASE(job_is_cancelled_at_the_shard_that_has_it,
                        intake_fixture)
{
    this->intake.set_owners(
        {{home, {.host = "first", .token = 1}},
         {{.domain = "D1", .shard = 1}, {.host = "first", .token = 2}}},
        1, start);
    this->end("first", schema::job_result::not_run, 1);
    BOOST_REQUIRE((this->submitted_to == names{"first", "first"}));
    schema::job_ended cancelled;
    cancelled.call = 1;
    cancelled.id = "job";
    cancelled.outcome = schema::job_result::cancelled_by_caller;
    this->intake.ended("first", cancelled, start);
    BOOST_REQUIRE(!this->withdrawn_from.empty());
    BOOST_TEST((this->answers.back() == answer_kind::cancelled));
}

// A job is offered to the domains that are left, past the other shards of its
// own and the load that keeps jobs at home. Its home is asked first, since
// copies arrive there.
BOOST_FIXTURE_TEST_CASE(job_leaves_an_evacuated_domain, intake_fixture)
{
    this->intake.set_owners(
        {{home, {.host = "first", .token = 1}},
         {{.domain = "D1", .shard = 1}, {.host = "second", .token = 1}},
         {{.domain = "D2", .shard = 0}, {.host = "third", .token = 1}},
         {{.domain = "D3", .shard = 0},
          {.host = "fourth",
           .token = 1,
           .wanted_millicores = 2000,
           .capacity_millicores = 1000}}},
        1, start);
    this->intake.set_evacuated({"D1", "D2"});
    this->end("first", schema::job_result::not_run, this->submissions.back());
    BOOST_TEST((this->submitted_to == names{"first", "fourth"}));
    BOOST_TEST(this->answers.empty());
}

// Without an owner of its home there is nobody who could refuse it.
BOOST_FIXTURE_TEST_CASE(evacuated_domain_without_owner, intake_fixture)
{
    this->end("first", schema::job_result::completed, this->submissions.back());
    const shard_owners others = {
        {{.domain = "D2", .shard = 0}, {.host = "third", .token = 1}}};
    this->intake.set_owners(others, 1, start);
    this->intake.set_evacuated({"D1"});
    schema::job work;
    work.id = "next";
    this->intake.submit(2, work, {}, milliseconds(2000), milliseconds(0),
                        start);
    BOOST_TEST((this->submitted_to == names{"first"}));
    this->intake.set_owners(others, 1, start + milliseconds(1100));
    BOOST_TEST((this->submitted_to == names{"first", "third"}));
}

// The domain is divided while a job runs in the shard that it was sent to.
// Copies go to another shard now, which must know of the job and of its end.
BOOST_FIXTURE_TEST_CASE(new_home_of_a_job_learns_of_it, intake_fixture)
{
    const int parts = 4;
    const shard_name part{.domain = "D1", .shard = shard_of("job", parts)};
    const shard_name other{.domain = "D1", .shard = part.shard ^ 1};
    BOOST_REQUIRE((part != home));
    this->intake.set_owners({{home, {.host = "first", .token = 2}},
                             {part, {.host = "second", .token = 3}}},
                            parts, start);
    const auto named = this->intake.jobs_elsewhere(part, parts, start);
    BOOST_REQUIRE(named.size() == 1U);
    BOOST_TEST(named.front().id == "job");
    BOOST_TEST(named.front().call == 1);
    BOOST_TEST(this->intake.jobs_elsewhere(other, parts, start).empty());
    this->end("first", schema::job_result::completed, this->submissions.back());
    BOOST_TEST((this->withdrawn_from == names{"second"}));
    BOOST_TEST((this->last_outcome == schema::job_result::completed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
