/// \file
/// Failures of real processes: kills, freezes, outages, planned stops.
#include "process_fleet.hpp"

#include <csignal>

#include <boost/test/unit_test.hpp>

using namespace chicorydrum::process_test;
using chicorydrum::transport::http_method;
using nlohmann::json;

namespace
{

constexpr std::chrono::milliseconds told_within(2000);

bool starts_once(process_fleet& fleet)
{
    for (const auto& [payload, count] : fleet.starts())
        if (count > 1)
            return false;
    return true;
}

/// Whether the answer is a whole one, or a failure that does not claim
/// "not run" although something started.
bool is_truthful(const call_ptr& done, std::size_t tasks, std::size_t started)
{
    const json body = done->body();
    if (body.value("state", "") == "complete")
        return body["results"].size() == tasks;
    return body.value("state", "") == "failed" &&
           (!body.value("not_run", false) || started == 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(failure)

BOOST_AUTO_TEST_CASE(killed_owner)
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
    BOOST_TEST((std::chrono::steady_clock::now() - killed < told_within));
    fleet.wait_for_answer(direct);
    BOOST_TEST(direct->status() == 0);
    for (const int host : {1, 2})
    {
        const call_ptr again =
            fleet.wait_for_answer(fleet.put_job(host, id, body));
        BOOST_TEST((again->took < told_within));
        BOOST_TEST(is_truthful(again, 200, 1));
        BOOST_TEST(again->body().value("error", "") == "home_gone");
    }
    fleet.start_host(0);
    fleet.wait_until_ready();
    const call_ptr reborn = fleet.wait_for_answer(fleet.put_job(0, id, body));
    BOOST_TEST(is_truthful(reborn, 200, 1));
    BOOST_TEST(starts_once(fleet));
}

BOOST_AUTO_TEST_CASE(killed_witness_and_then_the_owner_too)
{
    process_fleet fleet;
    const std::string id = fleet.new_id(0, "j1");
    const int witness = id.find("~patan-1~") != std::string::npos ? 1 : 2;
    const int other = 3 - witness;
    const std::string body = job_body("tag", 100, "sleep=200");
    const call_ptr first = fleet.put_job(0, id, body);
    BOOST_TEST(fleet.wait_for([&] { return fleet.starts().size() > 10; }));
    fleet.host(witness).signal(SIGKILL);
    // The home changes, and new work under it is served.
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
    BOOST_TEST((again->took < told_within));
    BOOST_TEST(again->body().value("error", "") == "undetermined");
    BOOST_TEST(!again->body().value("not_run", true));
    BOOST_TEST(starts_once(fleet));
}

BOOST_AUTO_TEST_CASE(frozen_owner_wakes_up_after_every_timeout)
{
    process_fleet fleet;
    const std::string id = fleet.new_id(0, "j1");
    const std::string unseen = fleet.new_id(0, "j2");
    const std::string body = job_body("tag", 200, "sleep=100");
    const call_ptr first = fleet.put_job(0, id, body);
    BOOST_TEST(fleet.wait_for([&] { return fleet.starts().size() > 20; }));
    fleet.host(0).signal(SIGSTOP);
    // Sent to the frozen owner, which sees it when it wakes up.
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
        BOOST_TEST(is_truthful(again, 200, 1));
        const call_ptr not_run = fleet.wait_for_answer(
            fleet.put_job(host, unseen, job_body("tag", 5, "unseen")));
        BOOST_TEST(not_run->body().value("not_run", false));
    }
    fleet.host(0).signal(SIGCONT);
    fleet.wait_for_answer(first);
    fleet.wait_for_answer(late);
    BOOST_TEST(is_truthful(first, 200, 1));
    BOOST_TEST(late->body().value("not_run", false));
    BOOST_TEST(fleet.starts().count("unseen #0") == 0U);
    BOOST_TEST(starts_once(fleet));
}

BOOST_AUTO_TEST_CASE(platform_down_throughout)
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
    BOOST_TEST(starts_once(fleet));
}

BOOST_AUTO_TEST_CASE(planned_stop_cuts_nothing)
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
    BOOST_TEST(starts_once(fleet));
}

BOOST_AUTO_TEST_CASE(a_second_signal_ends_it_with_true_answers)
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

BOOST_AUTO_TEST_CASE(rolling_replacement_under_load)
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
    BOOST_TEST(starts_once(fleet));
}

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

// Pattern: crash report; the log names the signal and the places in the code.
BOOST_AUTO_TEST_CASE(crashed_host_says_where)
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
    // The loop waits for events; one of the frames is its function's.
    BOOST_TEST(process_fleet::symbolize(log.substr(report))
                   .find("event_loop::run_until") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
