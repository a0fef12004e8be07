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

namespace
{

/// An intake in a domain of four shards beside two domains of one shard each,
/// with one open job, call 1, whose home shard is 0.
struct overflow_fixture
{
    overflow_fixture()
    {
        this->set_owners();
        for (const shard_name& shard : this->shards)
            this->tell(shard, milliseconds(1200), 1);
        schema::job work;
        // By its id it belongs to shard 0 of 4.
        for (int i = 0; work.id.empty() || shard_of(work.id, 4) != 0; ++i)
            work.id = "job" + std::to_string(i);
        this->id = work.id;
        schema::task_group group;
        group.count = 8;
        group.need.millicores = 32000;
        group.estimate_ms = 60;
        work.groups.push_back(group);
        schema::job_policy terms;
        terms.pool = "pool";
        terms.slack_ms = 60;
        terms.stretch = 1.6;
        this->intake.submit(1, work, terms, milliseconds(1500), milliseconds(0),
                            start);
    }

    void set_owners()
    {
        shard_owners owners;
        for (const shard_name& shard : this->shards)
            owners[shard] = {.host = host_of(shard),
                             .token = 1,
                             .is_adopting = shard == this->adopting};
        this->intake.set_owners(owners, 4, start);
    }

    static std::string host_of(const shard_name& shard)
    {
        return shard.domain + "/" + std::to_string(shard.shard);
    }

    /// The owner of \p shard tells of room for 20 tasks from \p wait on.
    void tell(const shard_name& shard, milliseconds wait, int news)
    {
        pool_room room{.pool = "pool", .task_millicores = 32000};
        for (std::size_t i = 0; i < room_spans.size(); ++i)
            room.tasks[i] = room_spans[i] >= wait ? 20 : 0;
        this->intake.rooms().told(shard, 1, {room},
                                  start - milliseconds(100 - news));
    }

    /// The shard that has the job refuses it.
    void refuse()
    {
        schema::job_ended ended;
        ended.call = 1;
        ended.id = this->id;
        ended.outcome = schema::job_result::not_run;
        ended.reason = "overload";
        ended.__set_submission(this->submission);
        this->intake.ended(this->submitted_to.back(), ended, start);
    }

    const std::vector<shard_name> shards{
        {.domain = "D1", .shard = 0}, {.domain = "D1", .shard = 1},
        {.domain = "D1", .shard = 2}, {.domain = "D1", .shard = 3},
        {.domain = "D2", .shard = 0}, {.domain = "D3", .shard = 0}};
    std::optional<shard_name> adopting;
    std::string id;
    std::int32_t submission = 0;
    names submitted_to;
    std::vector<caller_answer> answers;
    std::vector<std::string> lines;
    job_intake intake{
        {.domain = "D1", .max_local_offers = 3, .max_offers = 5},
        {.answer = [this](const caller_answer& answer)
         { this->answers.push_back(answer); },
         .submit =
             [this](const std::string& owner, const schema::job_submitted& job)
         {
             this->submitted_to.push_back(owner);
             this->submission = job.submission;
         },
         .withdraw = [](const std::string&, const schema::job_withdrawn&) {},
         .log =
             [this](const support::log_line& line)
         {
             this->lines.push_back(line.text());
         }}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(job_intake_overflow, overflow_fixture)

// A domain is flooded while another one idles: no offer is spent on full shards
// of the own domain.
BOOST_AUTO_TEST_CASE(refused_job_goes_where_there_is_room)
{
    this->tell({.domain = "D2", .shard = 0}, milliseconds(0), 2);
    this->refuse();
    BOOST_TEST((this->submitted_to == names{"D1/0", "D2/0"}));
}

// Two offers are kept for other domains, no shard is asked twice, and the job
// is refused after the last one.
BOOST_AUTO_TEST_CASE(offers_are_bounded)
{
    for (const shard_name& shard : this->shards)
        this->tell(shard, milliseconds(0), 2);
    for (int offer = 0; offer < 5; ++offer)
    {
        BOOST_TEST(this->answers.empty());
        this->refuse();
    }
    BOOST_REQUIRE(this->answers.size() == 1U);
    BOOST_TEST((this->answers.front().kind == answer_kind::not_run));
    const std::set<std::string> asked(this->submitted_to.begin(),
                                      this->submitted_to.end());
    BOOST_TEST(this->submitted_to.size() == 5U);
    BOOST_TEST(asked.size() == 5U);
    BOOST_TEST(asked.contains("D2/0"));
    BOOST_TEST(asked.contains("D3/0"));
    const intake_counts& counts = this->intake.counts();
    const auto refused_at = [&counts](offer_place place)
    {
        return counts.offered[static_cast<std::size_t>(place)].refused;
    };
    BOOST_TEST(refused_at(offer_place::home) == 1);
    BOOST_TEST(refused_at(offer_place::own_domain) == 2);
    BOOST_TEST(refused_at(offer_place::other_domain) == 2);
    BOOST_TEST(
        counts.refused[static_cast<std::size_t>(refusal_cause::offers_used)] ==
        1);
}

// All shards are full: the caller learns at once when room is expected, and not
// all callers are told the same time.
BOOST_AUTO_TEST_CASE(full_installation_refuses_at_once)
{
    this->tell({.domain = "D3", .shard = 0}, milliseconds(500), 2);
    this->refuse();
    BOOST_TEST(this->submitted_to.size() == 1U);
    BOOST_REQUIRE(this->answers.size() == 1U);
    const auto told = this->answers.front().retry_after;
    // The news is 98 ms old, and waves of tasks need fewer units at a time.
    BOOST_TEST(told.count() >= 300);
    BOOST_TEST(told.count() <= 750);
    BOOST_TEST(this->intake.counts()
                   .refused[static_cast<std::size_t>(refusal_cause::no_room)] ==
               1);
}

// An owner that has just claimed its shard keeps new jobs waiting, and can't
// refuse them as not run.
BOOST_AUTO_TEST_CASE(adopting_shard_is_not_asked)
{
    this->tell({.domain = "D1", .shard = 2}, milliseconds(0), 2);
    this->tell({.domain = "D3", .shard = 0}, milliseconds(0), 2);
    this->adopting = {.domain = "D1", .shard = 2};
    this->set_owners();
    this->refuse();
    BOOST_TEST((this->submitted_to == names{"D1/0", "D3/0"}));
}

// A refusal brings news, so that the next offer does not rest on a heartbeat.
BOOST_AUTO_TEST_CASE(news_of_a_refusal_counts_at_once)
{
    this->tell({.domain = "D2", .shard = 0}, milliseconds(0), 2);
    schema::shard_room told;
    told.domain = "D2";
    told.shard = 0;
    told.token = 1;
    told.age_us = 20000;
    schema::pool_room full;
    full.pool = "pool";
    full.task_millicores = 32000;
    full.tasks.assign(room_spans.size() * room_sizes.size(), 0);
    told.pools.push_back(full);
    this->intake.hear_rooms({told}, start);
    this->refuse();
    BOOST_TEST(this->submitted_to.size() == 1U);
    BOOST_TEST(this->answers.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shard
