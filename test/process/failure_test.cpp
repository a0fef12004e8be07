/// \file
/// Failures of real processes: crashes, freezes, outages and planned stops.
#include "process_fleet.hpp"

#include <csignal>

#include <boost/test/unit_test.hpp>

using namespace chicorydrum::process_test;
using chicorydrum::transport::http_method;
using nlohmann::json;

namespace
{

constexpr std::chrono::milliseconds answer_limit(2000);

bool started_at_most_once(process_fleet& fleet)
{
    for (const auto& [payload, count] : fleet.starts())
        if (count > 1)
            return false;
    return true;
}

/// Returns whether the answer is complete, or a failure that does not report
/// "not run" although a task has started.
bool is_consistent(const call_ptr& done, std::size_t tasks, std::size_t started)
{
    const json body = done->body();
    if (body.value("state", "") == "complete")
        return body["results"].size() == tasks;
    return body.value("state", "") == "failed" &&
           (!body.value("not_run", false) || started == 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(failure)

// After a crash of the owner the other hosts must soon answer `home_gone`, and
// resubmissions, also to the restarted owner, must not run a task twice.
BOOST_AUTO_TEST_CASE(owner_killed)
{
    process_fleet fleet;
    const std::string id = fleet.new_id(0, "j1");
    const std::string body = job_body("tag", 200, "sleep=100");
    const call_ptr direct = fleet.put_job(0, id, body);
    const call_ptr relayed = fleet.put_job(2, id, body);
    BOOST_TEST(fleet.wait_for([&] { return fleet.starts().size() > 20; }));
    fleet.host(0).signal(SIGKILL);
    const auto killed = std::chrono::steady_clock::now();
    fleet.wait_for_answer(relayed);
    BOOST_TEST((std::chrono::steady_clock::now() - killed < answer_limit));
    fleet.wait_for_answer(direct);
    BOOST_TEST(direct->status() == 0);
    for (const int host : {1, 2})
    {
        const call_ptr again =
            fleet.wait_for_answer(fleet.put_job(host, id, body));
        BOOST_TEST((again->took < answer_limit));
        BOOST_TEST(is_consistent(again, 200, 1));
        BOOST_TEST(again->body().value("error", "") == "home_gone");
    }
    fleet.start_host(0);
    fleet.wait_until_ready();
    const call_ptr after_restart =
        fleet.wait_for_answer(fleet.put_job(0, id, body));
    BOOST_TEST(is_consistent(after_restart, 200, 1));
    BOOST_TEST(started_at_most_once(fleet));
}

// After the crashes of the witness and then of the owner, no host knows what
// has run. The answer must be `undetermined` instead of "not run".
BOOST_AUTO_TEST_CASE(witness_and_owner_killed)
{
    process_fleet fleet;
    const std::string id = fleet.new_id(0, "j1");
    const int witness = id.find("~patan-1~") != std::string::npos ? 1 : 2;
    const int other = 3 - witness;
    const std::string body = job_body("tag", 100, "sleep=200");
    const call_ptr first = fleet.put_job(0, id, body);
    BOOST_TEST(fleet.wait_for([&] { return fleet.starts().size() > 10; }));
    fleet.host(witness).signal(SIGKILL);
    // The home changes, and new jobs under it are served.
    BOOST_TEST(fleet.wait_for(
        [&]
        {
            return fleet.new_id(0, "x").find(
                       witness == 1 ? "patan" : "thamel") == std::string::npos;
        }));
    const call_ptr next = fleet.wait_for_answer(
        fleet.put_job(0, fleet.new_id(0, "j2"), job_body("tag", 3, "n")));
    BOOST_TEST(next->status() == 200);
    fleet.host(0).signal(SIGKILL);
    const call_ptr again =
        fleet.wait_for_answer(fleet.put_job(other, id, body));
    BOOST_TEST((again->took < answer_limit));
    BOOST_TEST(again->body().value("error", "") == "undetermined");
    BOOST_TEST(!again->body().value("not_run", true));
    BOOST_TEST(started_at_most_once(fleet));
}

// A frozen owner resumes after the others have answered for it, and finds an
// unread job. It must not start what they have reported as not run.
BOOST_AUTO_TEST_CASE(owner_resumes_after_all_timeouts)
{
    process_fleet fleet;
    const std::string id = fleet.new_id(0, "j1");
    const std::string unseen = fleet.new_id(0, "j2");
    const std::string body = job_body("tag", 200, "sleep=100");
    const call_ptr first = fleet.put_job(0, id, body);
    BOOST_TEST(fleet.wait_for([&] { return fleet.starts().size() > 20; }));
    fleet.host(0).signal(SIGSTOP);
    // The frozen owner reads this job only after it resumes.
    const call_ptr late =
        fleet.put_job(0, unseen, job_body("tag", 5, "unseen"));
    BOOST_TEST(fleet.wait_for(
        [&]
        {
            return fleet.get(fleet.http_port(1), "/v1/hosts")
                       ->body()["hosts"]
                       .size() == 2;
        }));
    for (const int host : {1, 2})
    {
        const call_ptr again =
            fleet.wait_for_answer(fleet.put_job(host, id, body));
        BOOST_TEST(is_consistent(again, 200, 1));
        const call_ptr not_run = fleet.wait_for_answer(
            fleet.put_job(host, unseen, job_body("tag", 5, "unseen")));
        BOOST_TEST(not_run->body().value("not_run", false));
    }
    fleet.host(0).signal(SIGCONT);
    fleet.wait_for_answer(first);
    fleet.wait_for_answer(late);
    BOOST_TEST(is_consistent(first, 200, 1));
    BOOST_TEST(late->body().value("not_run", false));
    BOOST_TEST(fleet.starts().count("unseen #0") == 0U);
    BOOST_TEST(started_at_most_once(fleet));
}

// Jobs with a home must not depend on the platform. A bare id needs a claim in
// the platform's store and must not start without it.
BOOST_AUTO_TEST_CASE(platform_outage)
{
    process_fleet fleet;
    fleet.set_platform_mode("down");
    for (int host = 0; host < process_fleet::host_count; ++host)
    {
        const std::string key = "j" + std::to_string(host);
        const call_ptr job = fleet.wait_for_answer(fleet.put_job(
            host, fleet.new_id(host, key), job_body("tag", 20, key)));
        BOOST_TEST(job->status() == 200);
    }
    const call_ptr bare = fleet.wait_for_answer(
        fleet.put_job(0, "bare", job_body("tag", 1, "bare")));
    BOOST_TEST(bare->body().value("error", "") == "undetermined");
    BOOST_TEST(fleet.starts().count("bare #0") == 0U);
    fleet.set_platform_mode("up");
    BOOST_TEST(fleet.wait_for(
        [&]
        {
            return fleet
                       .wait_for_answer(
                           fleet.put_job(1, "bare", job_body("tag", 1, "bare")))
                       ->status() == 200;
        }));
    BOOST_TEST(started_at_most_once(fleet));
}

// A planned stop must let running requests and jobs finish, and hand the
// answers over so that a resubmission does not run them again.
BOOST_AUTO_TEST_CASE(planned_stop_completes_open_work)
{
    process_fleet fleet;
    const std::string id = fleet.new_id(0, "j1");
    const std::string body = job_body("tag", 10, "sleep=3000");
    const call_ptr job = fleet.put_job(0, id, body);
    BOOST_TEST(fleet.wait_for([&] { return fleet.starts().size() == 10; }));
    std::vector<call_ptr> requests;
    for (int i = 0; i < 10; ++i)
        requests.push_back(fleet.start(
            fleet.http_port(0), http_method::post, "/v1/requests/quote",
            json{{"team", "desk"},
                 {"payload", "sleep=500 request " + std::to_string(i)}}
                .dump()));
    fleet.host(0).signal(SIGTERM);
    BOOST_TEST(fleet.wait_for(
        [&]
        { return fleet.get(fleet.http_port(0), "/readyz")->status() == 503; }));
    for (const call_ptr& request : requests)
        BOOST_TEST(fleet.wait_for_answer(request)->status() == 200);
    BOOST_TEST(fleet.wait_for_answer(job)->status() == 200);
    BOOST_TEST(fleet.wait_for([&] { return fleet.host(0).exit_code() == 0; }));
    const call_ptr again = fleet.wait_for_answer(fleet.put_job(1, id, body));
    BOOST_TEST(again->body() == job->body());
    BOOST_TEST(started_at_most_once(fleet));
}

// A second signal ends a planned stop at once. The answer must not report
// "not run" for a job that has started.
BOOST_AUTO_TEST_CASE(second_signal_forces_stop)
{
    process_fleet fleet;
    const std::string id = fleet.new_id(0, "j1");
    const call_ptr job =
        fleet.put_job(0, id, job_body("tag", 20, "sleep=9000"));
    BOOST_TEST(fleet.wait_for([&] { return fleet.starts().size() > 5; }));
    fleet.host(0).signal(SIGTERM);
    BOOST_TEST(fleet.wait_for(
        [&]
        { return fleet.get(fleet.http_port(0), "/readyz")->status() == 503; }));
    fleet.host(0).signal(SIGTERM);
    fleet.wait_for_answer(job);
    BOOST_TEST(job->body().value("error", "") == "stopping");
    BOOST_TEST(!job->body().value("not_run", true));
    BOOST_TEST(fleet.wait_for([&] { return fleet.host(0).exit_code() == 0; }));
}

// A rolling restart under load must not fail a job or run a task twice.
BOOST_AUTO_TEST_CASE(rolling_restart_under_load)
{
    process_fleet fleet;
    std::vector<call_ptr> jobs;
    int number = 0;
    constexpr std::size_t max_open_jobs = 6;
    const auto open_jobs = [&jobs]
    {
        std::size_t open = 0;
        for (const call_ptr& job : jobs)
            open += job->is_done() ? 0 : 1;
        return open;
    };
    const auto submit_some = [&](int replaced)
    {
        for (int host = 0; host < process_fleet::host_count; ++host)
        {
            if (host == replaced || open_jobs() >= max_open_jobs)
                continue;
            const std::string key = "j" + std::to_string(number++);
            jobs.push_back(
                fleet.put_job(host, fleet.new_id(host, key),
                              job_body("tag", 6, "sleep=200 " + key)));
        }
    };
    for (int host = 0; host < process_fleet::host_count; ++host)
    {
        submit_some(-1);
        fleet.host(host).signal(SIGTERM);
        BOOST_TEST(fleet.wait_for(
            [&]
            {
                submit_some(host);
                return fleet.host(host).exit_code() == 0;
            }));
        fleet.start_host(host);
        fleet.wait_until_ready();
    }
    for (const call_ptr& job : jobs)
    {
        fleet.wait_for_answer(job);
        BOOST_TEST(job->status() == 200, job->body().dump());
    }
    const auto starts = fleet.starts();
    BOOST_TEST(starts.size() == jobs.size() * 6);
    BOOST_TEST(started_at_most_once(fleet));
}

// An endpoint that fails every request at once always appears idle. It must not
// attract most of the requests.
BOOST_AUTO_TEST_CASE(endpoint_that_fails_everything_is_avoided)
{
    process_fleet fleet;
    fleet.set_endpoint_mode(0, "fail_all");
    int failed = 0;
    for (int i = 0; i < 60; ++i)
        failed +=
            fleet.wait_for_answer(
                     fleet.start(fleet.http_port(0), http_method::post,
                                 "/v1/requests/quote", R"({"team":"desk"})"))
                        ->status() == 200
                ? 0
                : 1;
    const json tried =
        fleet.get(fleet.endpoint_port(0), "/starts")->body()["starts"];
    BOOST_TEST(tried.size() <= 8U);
    BOOST_TEST(failed <= 8);
}

// The crash report in the log must name the signal and the functions of the
// backtrace.
BOOST_AUTO_TEST_CASE(crash_report_names_functions)
{
    process_fleet fleet;
    fleet.host(0).signal(SIGSEGV);
    BOOST_TEST(
        fleet.wait_for([&] { return fleet.host(0).exit_code().has_value(); }));
    BOOST_TEST(fleet.host(0).exit_code().value_or(0) == -SIGSEGV);
    const std::string log = fleet.log_of(0);
    const std::size_t report = log.find("event=crashed signal=SIGSEGV ");
    BOOST_REQUIRE(report != std::string::npos);
    const std::size_t frame = log.find("/chicorydrumd(+0x", report);
    BOOST_REQUIRE(frame != std::string::npos);
    // The crashed process was waiting for events in the event loop.
    BOOST_TEST(process_fleet::symbolize(log.substr(report))
                   .find("event_loop::run_until") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
