/// \file
/// Jobs whose submission, withdrawal or result is lost or crosses a reset link.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

/// Runs longer than callers wait before they resend a lost job.
const job_shape long_job{.work = milliseconds(2500),
                         .timeout = milliseconds(9000)};

/// Fills the two endpoints of \p domain with tasks that take 3 s.
void fill_domain(shard_fleet& fleet, const std::string& domain)
{
    fleet.submit(fleet.owner_of(domain), {.tasks = 4,
                                          .work = milliseconds(3000),
                                          .timeout = milliseconds(9000)});
    fleet.run_for(milliseconds(100));
}

} // namespace

BOOST_AUTO_TEST_SUITE(submissions)

// A machine loses its callers and its links at once, so that the withdrawals
// are lost. The owner must still stop the jobs before their copies run.
BOOST_AUTO_TEST_CASE(callers_and_links_reset_at_once)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    const std::string entry = other_host(fleet, fleet.owner_of("D1"));
    fleet.send_copies_to("D2-h1");
    const std::string job = fleet.submit(entry, long_job);
    fleet.run_for(milliseconds(100));
    fleet.reset_channels(entry);
    fleet.run_for(milliseconds(9000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 2);
    check_no_violations(fleet);
}

// A process that is replaced before its links count as lost knows none of its
// predecessor's jobs. The owner must stop them before their copies run.
BOOST_AUTO_TEST_CASE(entry_host_replaced_at_once)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    const std::string entry = other_host(fleet, fleet.owner_of("D1"));
    fleet.send_copies_to("D2-h1");
    const std::string job = fleet.submit(entry, long_job);
    fleet.run_for(milliseconds(100));
    fleet.kill(entry);
    fleet.start(entry);
    fleet.run_for(milliseconds(9000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 2);
    check_no_violations(fleet);
}

// An owner gives a job up while its entry host submits it again over a new
// link. The refusal must not count for the second submission, or the job runs
// at the owner after its caller was told to send it elsewhere.
BOOST_AUTO_TEST_CASE(refusal_crosses_resubmission)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string entry = other_host(fleet, owner);
    fleet.send_copies_to("D2-h1");
    for (int i = 0; i < 2; ++i)
        fleet.submit(owner, {.work = milliseconds(900),
                             .timeout = milliseconds(5000),
                             .route = "check"});
    fleet.run_for(milliseconds(20));
    const std::string job = fleet.submit(entry, {.work = milliseconds(600),
                                                 .timeout = milliseconds(5000),
                                                 .route = "check"});
    fleet.run_for(milliseconds(20));
    fleet.reset_links(entry);
    // The links are restored every 100 ms.
    fleet.run_for(milliseconds(60));
    fleet.submit(
        owner,
        {.tasks = 8, .work = milliseconds(500), .timeout = milliseconds(5000)});
    fleet.run_for(milliseconds(50));
    BOOST_TEST(fleet.has_logged("event=job_ended job=" + job +
                                " route=check outcome=not_run"));
    fleet.run_for(milliseconds(8000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 1);
    check_no_violations(fleet);
}

// A host has two calls of one job and learns late that the first one's caller
// is gone. Withdrawing that call must not end the copy's run.
BOOST_AUTO_TEST_CASE(two_calls_at_one_host)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string entry = other_host(fleet, fleet.owner_of("D1"));
    fleet.send_copies_to(entry);
    const std::string job = fleet.submit(entry, long_job);
    fleet.run_for(milliseconds(100));
    fleet.lose_caller(job, milliseconds(1600));
    fleet.run_for(milliseconds(4000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 2);
    BOOST_TEST(fleet.starts_of(job) == 4);
    check_no_violations(fleet);
}

// A host submits a job again whose caller has sent a copy through another host.
// The answer must reach the newer call.
BOOST_AUTO_TEST_CASE(older_call_submitted_after_copy)
{
    shard_fleet fleet({});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string entry = other_host(fleet, owner);
    fleet.send_copies_to(owner);
    const std::string job = fleet.submit(entry, long_job);
    fleet.run_for(milliseconds(100));
    fleet.lose_caller(job);
    fleet.run_for(milliseconds(1500));
    fleet.reset_links(entry);
    fleet.run_for(milliseconds(2500));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 2);
    BOOST_TEST(fleet.starts_of(job) == 4);
    check_no_violations(fleet);
}

// The job of a silent host runs in another domain, whose hosts wait longest for
// it. It must be stopped before a copy starts at home.
BOOST_AUTO_TEST_CASE(silent_host_with_job_in_another_domain)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    const std::string home_owner = fleet.owner_of("D1");
    const std::string entry = other_host(fleet, home_owner);
    fleet.send_copies_to(home_owner);
    std::vector<std::string> others;
    for (int i = 0; i < 4; ++i)
        others.push_back(fleet.submit(home_owner, long_job));
    fleet.run_for(milliseconds(20));
    const std::string job = fleet.submit(entry, long_job);
    fleet.run_for(milliseconds(80));
    BOOST_TEST(fleet.has_logged("event=job_forwarded job=" + job +
                                " route=quote domain=D2"));
    for (const std::string& other : others)
        fleet.disconnect_caller(other);
    fleet.lose_caller(job);
    fleet.pause(entry, milliseconds(5000));
    fleet.run_for(milliseconds(9000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 2);
    check_no_violations(fleet);
}

// An entry host falls silent, and the owner as well before it has noticed. The
// owner's successor must stop the job before a copy starts in another domain.
BOOST_AUTO_TEST_CASE(entry_host_and_owner_silent_in_turn)
{
    shard_fleet fleet({.domains = 2});
    fleet.run_for(warm_up);
    const std::string owner = fleet.owner_of("D1");
    const std::string entry = other_host(fleet, owner);
    fleet.send_copies_to("D2-h1");
    const std::string job = fleet.submit(entry, long_job);
    fleet.run_for(milliseconds(100));
    fleet.lose_caller(job);
    fleet.pause(entry, milliseconds(5000));
    fleet.run_for(milliseconds(400));
    fleet.pause(owner, milliseconds(5000));
    fleet.run_for(milliseconds(9000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    BOOST_TEST(fleet.caller(job).attempts == 2);
    check_no_violations(fleet);
}

// An entry host falls silent, and at any time after it the owner, at any phase
// of their heartbeats. The job must be stopped before a copy starts in another
// domain, by whoever notices last.
BOOST_AUTO_TEST_CASE(entry_host_and_owner_silent_at_any_offset)
{
    for (int phase = 0; phase < 150; phase += 50)
        for (int offset = 25; offset <= 700; offset += 25)
        {
            BOOST_TEST_CONTEXT("phase " << phase << " offset " << offset)
            {
                shard_fleet fleet({.domains = 2});
                fleet.run_for(warm_up + milliseconds(phase));
                const std::string owner = fleet.owner_of("D1");
                const std::string entry = other_host(fleet, owner);
                fleet.send_copies_to("D2-h1");
                const std::string job = fleet.submit(entry, long_job);
                fleet.run_for(milliseconds(100));
                fleet.lose_caller(job);
                fleet.pause(entry, milliseconds(5000));
                fleet.run_for(milliseconds(offset));
                fleet.pause(owner, milliseconds(5000));
                fleet.run_for(milliseconds(7000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                BOOST_TEST(fleet.caller(job).attempts == 2);
                check_no_violations(fleet);
            }
        }
}

// The same while the job runs in another domain, whose hosts hear the entry
// host less often.
BOOST_AUTO_TEST_CASE(entry_host_and_owner_in_another_domain_silent_in_turn)
{
    for (int offset = 100; offset <= 1000; offset += 50)
    {
        BOOST_TEST_CONTEXT("offset " << offset)
        {
            shard_fleet fleet({.domains = 2});
            fleet.run_for(warm_up);
            const std::string home_owner = fleet.owner_of("D1");
            const std::string entry = other_host(fleet, home_owner);
            fleet.send_copies_to(home_owner);
            std::vector<std::string> others;
            for (int i = 0; i < 4; ++i)
                others.push_back(fleet.submit(home_owner, long_job));
            fleet.run_for(milliseconds(20));
            const std::string job = fleet.submit(entry, long_job);
            fleet.run_for(milliseconds(80));
            BOOST_TEST(fleet.has_logged("event=job_forwarded job=" + job +
                                        " route=quote domain=D2"));
            for (const std::string& other : others)
                fleet.disconnect_caller(other);
            fleet.lose_caller(job);
            fleet.pause(entry, milliseconds(5000));
            fleet.run_for(milliseconds(offset));
            fleet.pause(fleet.owner_of("D2"), milliseconds(5000));
            fleet.run_for(milliseconds(9000));
            BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
            BOOST_TEST(fleet.caller(job).attempts == 2);
            check_no_violations(fleet);
        }
    }
}

// A submission is held up in a cut link until its caller has sent a copy to
// another domain. The owner must not start the job when the link returns.
BOOST_AUTO_TEST_CASE(submission_held_up_in_a_cut_link)
{
    for (int span = 1350; span < 1500; span += 25)
        for (const bool is_one_way : {true, false})
        {
            BOOST_TEST_CONTEXT("span " << span << " one way " << is_one_way)
            {
                shard_fleet fleet({.domains = 2});
                fleet.run_for(warm_up);
                const std::string owner = fleet.owner_of("D1");
                const std::string entry = other_host(fleet, owner);
                fleet.send_copies_to("D2-h1");
                if (is_one_way)
                    fleet.partition_one_way({entry}, {owner});
                else
                    fleet.partition({entry}, {owner});
                const std::string job = fleet.submit(entry, long_job);
                fleet.lose_caller(job, milliseconds(50));
                fleet.run_for(milliseconds(span));
                fleet.heal();
                fleet.run_for(milliseconds(9000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                BOOST_TEST(fleet.starts_of(job) == 4);
                check_no_violations(fleet);
            }
        }
}

// A host is cut off from its owner only, and does not learn that its caller is
// gone. It must not submit the job again when the link returns: a copy runs in
// another domain.
BOOST_AUTO_TEST_CASE(host_returns_to_its_owner_beside_a_copy)
{
    for (const int span : {1000, 1400, 2500})
    {
        BOOST_TEST_CONTEXT("span " << span)
        {
            shard_fleet fleet({.domains = 2});
            fleet.run_for(warm_up);
            const std::string owner = fleet.owner_of("D1");
            const std::string entry = other_host(fleet, owner);
            fleet.send_copies_to("D2-h1");
            const std::string job = fleet.submit(entry, long_job);
            fleet.run_for(milliseconds(100));
            fleet.lose_caller(job);
            fleet.partition({entry}, {owner});
            fleet.run_for(milliseconds(span));
            fleet.heal();
            fleet.run_for(milliseconds(9000));
            BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
            check_no_violations(fleet);
        }
    }
}

// A host is cut off from its domain, but hears another one, while its caller is
// lost without its learning of it. It must end the job, as its peers do, and
// not take it up in a shard that it claims itself.
BOOST_AUTO_TEST_CASE(host_cut_off_from_its_domain_only)
{
    for (const bool is_owner : {true, false})
        for (const int reached : {0, 2, 4})
        {
            BOOST_TEST_CONTEXT("owner " << is_owner << " reaches " << reached)
            {
                shard_fleet fleet({.domains = 2});
                fleet.run_for(warm_up);
                const std::string owner = fleet.owner_of("D1");
                const std::string entry =
                    is_owner ? owner : other_host(fleet, owner);
                fleet.send_copies_to("D2-h1");
                const std::string job = fleet.submit(entry, long_job);
                fleet.run_for(milliseconds(100));
                fleet.lose_caller(job);
                std::set<std::string> others;
                for (const std::string& name : fleet.host_names())
                    if (name != entry && name.starts_with("D1-"))
                        others.insert(name);
                for (int i = reached + 1; i <= 4; ++i)
                    others.insert("D1-e" + std::to_string(i));
                fleet.partition({entry}, others);
                fleet.run_for(milliseconds(6000));
                fleet.heal();
                fleet.run_for(milliseconds(6000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                check_no_violations(fleet);
            }
        }
}

// A host is paused while its links are silent, so that no report of its jobs'
// ends reaches it. It must not submit them again when it wakes: a copy runs in
// another domain.
BOOST_AUTO_TEST_CASE(paused_host_wakes_beside_a_copy)
{
    for (int span = 1400; span <= 2600; span += 200)
    {
        BOOST_TEST_CONTEXT("span " << span)
        {
            shard_fleet fleet({.domains = 2});
            fleet.run_for(warm_up);
            const std::string entry = other_host(fleet, fleet.owner_of("D1"));
            fleet.send_copies_to("D2-h1");
            const std::string job = fleet.submit(entry, long_job);
            fleet.run_for(milliseconds(100));
            fleet.lose_caller(job);
            fleet.silence_links(entry);
            fleet.pause(entry, milliseconds(span));
            fleet.run_for(milliseconds(9000));
            BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
            check_no_violations(fleet);
        }
    }
}

// Requests lie in the connections of a paused host until their callers have
// left and have sent them again to another domain. The host reads them when it
// wakes, before it learns that the callers are gone.
BOOST_AUTO_TEST_CASE(request_read_after_a_pause_beside_its_copy)
{
    const milliseconds patience(1500);
    for (const bool reads_first : {true, false})
        for (int span = 3000; span <= 4200; span += 200)
        {
            BOOST_TEST_CONTEXT("span " << span)
            {
                shard_fleet fleet(
                    {.domains = 2, .resumes_with_events = reads_first});
                fleet.run_for(warm_up);
                const std::string entry =
                    other_host(fleet, fleet.owner_of("D1"));
                fleet.send_copies_to("D2-h1");
                fleet.pause(entry, milliseconds(span));
                fleet.run_for(milliseconds(50));
                job_shape shape = long_job;
                shape.timeout = patience;
                const std::string job = fleet.submit(entry, shape);
                fleet.run_for(patience);
                // Learnt some time after the host has woken.
                fleet.lose_caller(job, milliseconds(span));
                fleet.run_for(milliseconds(9000));
                check_no_violations(fleet);
            }
        }
}

// The same, and the host is not paused: its connections alone deliver late, as
// those of a host that has no processor time for its callers.
BOOST_AUTO_TEST_CASE(request_that_waited_in_its_connection)
{
    for (const int waited : {0, 900, 1100, 2500})
    {
        shard_fleet fleet({.domains = 2});
        fleet.run_for(warm_up);
        const std::string entry = other_host(fleet, fleet.owner_of("D1"));
        const std::string job =
            fleet.submit(entry, {.waited = milliseconds(waited)});
        fleet.run_for(milliseconds(3000));
        const bool is_late = waited > 1000;
        BOOST_TEST((fleet.caller(job).answer ==
                    (is_late ? answer_kind::not_run : answer_kind::completed)));
        BOOST_TEST((fleet.starts_of(job) == 0) == is_late);
        check_no_violations(fleet);
    }
}

// A host that was cut off, or paused, comes back while the copy of one of its
// jobs runs in another domain. It has not heard yet that the caller is lost,
// and must not take the job up again.
BOOST_AUTO_TEST_CASE(host_comes_back_beside_a_copy)
{
    for (const bool is_cut : {true, false})
    {
        shard_fleet fleet({.domains = 2});
        fleet.run_for(warm_up);
        const std::string entry = other_host(fleet, fleet.owner_of("D1"));
        fleet.send_copies_to("D2-h1");
        const std::string job = fleet.submit(entry, long_job);
        fleet.run_for(milliseconds(100));
        fleet.lose_caller(job, milliseconds(2300));
        std::set<std::string> others;
        for (const std::string& name : fleet.host_names())
            if (name != entry)
                others.insert(name);
        for (const std::string& name : fleet.endpoint_names())
            others.insert(name);
        if (is_cut)
            fleet.partition({entry}, others);
        else
            fleet.pause(entry, milliseconds(2000));
        fleet.run_for(milliseconds(2000));
        fleet.heal();
        fleet.run_for(milliseconds(9000));
        check_no_violations(fleet);
    }
}

// A job runs in another domain, as its home shard had refused it, when its
// caller's connection breaks. The copy arrives before the run has been stopped,
// is refused as well, and must not be offered to a third domain meanwhile.
BOOST_AUTO_TEST_CASE(copy_of_an_offered_job_arrives_at_once)
{
    for (int copy_after = 0; copy_after <= 60; copy_after += 10)
    {
        BOOST_TEST_CONTEXT("copy after " << copy_after)
        {
            shard_fleet fleet({.domains = 3, .endpoints_per_domain = 2});
            fleet.run_for(warm_up);
            const std::string entry = other_host(fleet, fleet.owner_of("D1"));
            fill_domain(fleet, "D1");
            const std::string job =
                fleet.submit(entry, {.tasks = 2,
                                     .work = milliseconds(1200),
                                     .timeout = milliseconds(4000)});
            fleet.run_for(milliseconds(400));
            BOOST_TEST(fleet.starts_of(job) == 2);
            fleet.lose_caller(job, milliseconds(0), milliseconds(copy_after));
            fleet.run_for(milliseconds(6000));
            BOOST_TEST(fleet.caller(job).answer.has_value());
            check_no_violations(fleet);
        }
    }
}

// A job that its home shard had refused runs in another domain, and a second
// host reads the same job late, from a caller that has left. The job must not
// be offered to a third domain while it runs.
BOOST_AUTO_TEST_CASE(request_of_an_offered_job_is_read_late)
{
    shard_fleet fleet({.domains = 3, .endpoints_per_domain = 2});
    fleet.run_for(warm_up);
    const std::string entry = other_host(fleet, fleet.owner_of("D1"));
    fill_domain(fleet, "D1");
    const std::string job =
        fleet.submit(entry, {.tasks = 2,
                             .work = milliseconds(1200),
                             .timeout = milliseconds(4000)});
    fleet.run_for(milliseconds(400));
    BOOST_TEST(fleet.starts_of(job) == 2);
    fleet.lose_caller(job, std::nullopt, milliseconds(0));
    fleet.run_for(milliseconds(100));
    BOOST_TEST(fleet.starts_of(job) == 2);
    fleet.run_for(milliseconds(6000));
    check_no_violations(fleet);
}

// A caller whose job was refused everywhere comes back when it was told to. The
// job must be taken like a new one.
BOOST_AUTO_TEST_CASE(refused_caller_comes_back)
{
    shard_fleet fleet({.domains = 1, .endpoints_per_domain = 2});
    fleet.run_for(warm_up);
    const std::string entry = other_host(fleet, fleet.owner_of("D1"));
    fill_domain(fleet, "D1");
    const job_shape shape{
        .tasks = 2, .work = milliseconds(700), .timeout = milliseconds(4000)};
    const std::string job = fleet.submit(entry, shape);
    fleet.run_for(milliseconds(50));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::not_run));
    fleet.add_endpoint("D1", 3);
    fleet.add_endpoint("D1", 4);
    fleet.run_for(fleet.caller(job).retry_after);
    fleet.submit_again(job);
    fleet.run_for(milliseconds(3000));
    BOOST_TEST((fleet.caller(job).answer == answer_kind::completed));
    check_no_violations(fleet);
}

// Guards against a submission that was held up in its link and counts as a sign
// that its host lives: the runs of a lost host end 575 ms after its last
// message was sent (silence 500, tick 25, stop 50), whenever that arrives.
BOOST_AUTO_TEST_CASE(held_up_submission_prolongs_no_life)
{
    constexpr milliseconds longest_life{575};
    for (const bool crosses_domains : {false, true})
        for (int offset = 50; offset <= 950; offset += 25)
            BOOST_TEST_CONTEXT("crosses " << crosses_domains << " offset "
                                          << offset)
            {
                shard_fleet fleet({.domains = crosses_domains ? 2 : 1,
                                   .endpoints_per_domain = 2});
                fleet.run_for(warm_up);
                const std::string home_owner = fleet.owner_of("D1");
                const std::string entry = other_host(fleet, home_owner);
                const std::string owner =
                    crosses_domains ? fleet.owner_of("D2") : home_owner;
                if (crosses_domains)
                    fill_domain(fleet, "D1");
                fleet.partition_one_way({entry}, {owner});
                const std::string job =
                    fleet.submit(entry, {.tasks = 2,
                                         .work = milliseconds(1200),
                                         .timeout = milliseconds(4000)});
                fleet.run_for(milliseconds(10));
                const std::string target =
                    "event=job_forwarded job=" + job +
                    " route=quote domain=" + (crosses_domains ? "D2" : "D1");
                BOOST_TEST(fleet.has_logged(target));
                fleet.lose_caller(job);
                fleet.pause(entry, milliseconds(5000));
                fleet.run_for(milliseconds(offset));
                fleet.heal();
                if (milliseconds(offset) < longest_life)
                    fleet.run_for(longest_life - milliseconds(offset));
                else
                    fleet.run_for(milliseconds(100));
                if (milliseconds(offset) >= longest_life)
                    BOOST_TEST(fleet.starts_of(job) == 0);
                const std::string served = crosses_domains ? "D2" : "D1";
                for (const char* const number : {"-e1", "-e2"})
                    BOOST_TEST(
                        fleet.endpoint(served + number).running_count() == 0);
                fleet.run_for(milliseconds(9000));
                check_no_violations(fleet);
            }
}

// Guards against submissions of unknown age, which are not served, when a link
// is dialled again.
BOOST_AUTO_TEST_CASE(new_links_know_the_ages_of_submissions)
{
    for (const bool crosses_domains : {false, true})
        for (int offset = 1; offset <= 20; ++offset)
            BOOST_TEST_CONTEXT("crosses " << crosses_domains << " offset "
                                          << offset)
            {
                shard_fleet fleet({.domains = 2, .endpoints_per_domain = 2});
                fleet.run_for(warm_up);
                const std::string entry =
                    other_host(fleet, fleet.owner_of("D1"));
                if (crosses_domains)
                    fill_domain(fleet, "D1");
                const std::string job =
                    fleet.submit(entry, {.tasks = 2,
                                         .work = milliseconds(1200),
                                         .timeout = milliseconds(4000)});
                fleet.run_for(milliseconds(offset));
                fleet.reset_links(entry);
                fleet.run_for(milliseconds(4000));
                BOOST_TEST(!fleet.has_logged("event=submission_late"));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                BOOST_TEST(fleet.caller(job).attempts == 1);
                check_no_violations(fleet);
            }
}

// A call's deadline passes while another shard than the job's home runs it. A
// copy must not start at home before the run is stopped there.
BOOST_AUTO_TEST_CASE(copy_at_the_deadline_of_a_call_in_another_shard)
{
    const job_shape filling{.tasks = 2,
                            .millicores = 15000,
                            .work = milliseconds(9000),
                            .timeout = milliseconds(20000)};
    const job_shape refused{.tasks = 2,
                            .millicores = 15000,
                            .work = milliseconds(2500),
                            .timeout = milliseconds(2000)};
    for (int offset = 1900; offset <= 2200; offset += 5)
        BOOST_TEST_CONTEXT("offset " << offset)
        {
            shard_fleet fleet({.hosts_per_domain = 4,
                               .endpoints_per_domain = 4,
                               .endpoints_per_shard = 2,
                               .powers = {1, 0.9, 0.1, 0.1}});
            fleet.run_for(milliseconds(8000));
            // By their ids, job1 and job3 belong to shard 0 and job2 to shard
            // 1.
            const std::string filler = fleet.submit("D1-h3", filling);
            fleet.submit("D1-h3", {.tasks = 1, .work = milliseconds(10)});
            fleet.run_for(milliseconds(50));
            const std::string job = fleet.submit("D1-h3", refused);
            BOOST_TEST(fleet.submitted() == 3);
            fleet.run_for(milliseconds(50));
            BOOST_TEST(fleet.starts_of(job) == 2);
            fleet.disconnect_caller(filler);
            fleet.send_copies_to("D1-h4");
            fleet.lose_caller(job, std::nullopt, milliseconds(offset - 50));
            fleet.run_for(milliseconds(9000));
            check_no_violations(fleet);
        }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
