/// \file
/// End-to-end tests with real processes: requests, jobs, bad input and
/// operators' commands.
#include "process_fleet.hpp"

#include <fstream>

#include <boost/test/unit_test.hpp>

using namespace chicorydrum::process_test;
using chicorydrum::transport::http_method;
using nlohmann::json;

namespace
{

int count_starts(const std::map<std::string, int>& starts)
{
    int sum = 0;
    for (const auto& [payload, count] : starts)
        sum += count;
    return sum;
}

/// Returns status and error kind of an answer.
std::string error_of(const call_ptr& done)
{
    return std::to_string(done->status()) + " " +
           done->body().value("error", "none");
}

} // namespace

BOOST_AUTO_TEST_SUITE(path)

// A caller may resubmit a job through any host. Each task must run once, and
// all answers must be equal.
BOOST_AUTO_TEST_CASE(job_resubmitted_through_every_host_runs_once)
{
    process_fleet fleet;
    const std::string id = fleet.new_id(0, "j1");
    const std::string body = job_body("tag", 630, "tag");
    const call_ptr first = fleet.put_job(0, id, body);
    const call_ptr second = fleet.put_job(1, id, body);
    fleet.wait_for_answer(first);
    fleet.wait_for_answer(second);
    const call_ptr third = fleet.wait_for_answer(fleet.put_job(2, id, body));
    for (const call_ptr& done : {first, second, third})
    {
        BOOST_TEST(done->status() == 200);
        BOOST_TEST(done->body()["results"].size() == 630U);
    }
    BOOST_TEST(first->body() == third->body());
    const auto starts = fleet.starts();
    BOOST_TEST(starts.size() == 630U);
    BOOST_TEST(count_starts(starts) == 630);
    const call_ptr other = fleet.wait_for_answer(
        fleet.put_job(1, id, job_body("tag", 2, "another")));
    BOOST_TEST(error_of(other) == "409 conflict");
}

// Malformed, oversized or slow input must be rejected, start nothing and leave
// the host healthy.
BOOST_AUTO_TEST_CASE(bad_input_gets_json_error)
{
    process_fleet fleet;
    const int port = fleet.http_port(0);
    const auto send = [&](http_method method, const std::string& path,
                          const std::string& body)
    {
        return error_of(
            fleet.wait_for_answer(fleet.start(port, method, path, body)));
    };
    using enum http_method;
    const std::string job = "/v1/jobs/" + fleet.new_id(0, "k");
    const std::string good = job_body("quote", 1);
    BOOST_TEST(send(put, job, "{") == "400 bad_request");
    BOOST_TEST(send(put, job, "[]") == "400 bad_request");
    BOOST_TEST(send(put, job, R"({"kind":3,"tasks":[{}]})") ==
               "400 bad_request");
    BOOST_TEST(send(put, job, R"({"kind":"quote","tasks":[]})") ==
               "400 bad_request");
    BOOST_TEST(send(put, job, R"({"kind":"quote","tasks":[{"x":1}]})") ==
               "400 bad_request");
    BOOST_TEST(send(put, job, job_body("no-such-kind", 1)) ==
               "400 bad_request");
    BOOST_TEST(send(put, "/v1/jobs/a~b.c", good) == "400 bad_request");
    BOOST_TEST(send(put, "/v1/jobs/k%20k", good) == "400 bad_request");
    BOOST_TEST(send(post, "/v1/requests/quote", R"({"team":"nobody"})") ==
               "400 bad_request");
    BOOST_TEST(send(post, "/v1/requests/tag", R"({"team":"desk"})") ==
               "400 bad_request");
    BOOST_TEST(send(put, "/v1/home", good) == "405 method_not_allowed");
    BOOST_TEST(send(get, "/v1/nothing", "") == "404 not_found");
    BOOST_TEST(send(put, job, std::string(1100000, ' ')) == "413 too_large");
    const std::string unknown = raw_exchange(
        port, "DANCE /v1/home HTTP/1.1\r\n\r\n", std::chrono::seconds(3));
    BOOST_TEST(unknown.starts_with("HTTP/1.1 400"));
    BOOST_TEST(unknown.find("\"bad_request\"") != std::string::npos);
    const std::string slow = raw_exchange(
        port,
        "PUT " + job + " HTTP/1.1\r\nhost: h\r\ncontent-length: 50\r\n\r\n{",
        std::chrono::seconds(5));
    BOOST_TEST(slow.find("\"too_slow\"") != std::string::npos);
    const std::string oversized = raw_exchange(
        port,
        "GET /v1/home HTTP/1.1\r\nx: " + std::string(100000, 'x') + "\r\n\r\n",
        std::chrono::seconds(3));
    BOOST_TEST(oversized.empty());
    BOOST_TEST(fleet.get(port, "/healthz")->status() == 200);
    BOOST_TEST(count_starts(fleet.starts()) == 0);
}

// Connections beyond the limit must be refused without starting anything.
BOOST_AUTO_TEST_CASE(excess_connections_are_refused)
{
    process_fleet fleet;
    std::vector<call_ptr> calls;
    for (int i = 0; i < 100; ++i)
        calls.push_back(fleet.start(
            fleet.http_port(0), http_method::post, "/v1/requests/quote",
            R"({"team":"desk","payload":"sleep=300"})"));
    int served = 0;
    int refused = 0;
    for (const call_ptr& one : calls)
    {
        fleet.wait_for_answer(one);
        served += one->status() == 200 ? 1 : 0;
        refused += error_of(one) == "503 too_many_connections" ? 1 : 0;
    }
    BOOST_TEST(served + refused == 100);
    BOOST_TEST(served >= 60);
    BOOST_TEST(refused > 0);
    BOOST_TEST(count_starts(fleet.starts()) == served);
}

// The command-line client must report results and exit codes to callers and
// operators.
BOOST_AUTO_TEST_CASE(command_line_for_callers_and_operators)
{
    process_fleet fleet;
    const std::string hosts =
        "--host " + fleet.host_address(0) + "," + fleet.host_address(1) + " ";
    const std::string file = fleet.directory() + "/job.json";
    std::ofstream(file) << job_body("tag", 3, "t");
    const auto submitted = fleet.run_cli(hosts + "submit " + file);
    BOOST_TEST(submitted.exit_code == 0);
    BOOST_TEST(submitted.output.find("complete: 3 results") !=
               std::string::npos);
    const std::string id =
        submitted.output.substr(3, submitted.output.find('\n') - 3);
    BOOST_TEST(fleet.run_cli(hosts + "status " + id).exit_code == 0);
    const auto trace = fleet.run_cli(hosts + "explain " + id);
    BOOST_TEST(trace.output.find("event=accepted") != std::string::npos);
    BOOST_TEST(trace.output.find("event=route") != std::string::npos);
    BOOST_TEST(fleet.run_cli(hosts + "hosts").output.find("thamel-1") !=
               std::string::npos);
    const auto endpoints = fleet.run_cli(hosts + "--json endpoints");
    BOOST_TEST(json::parse(endpoints.output)["endpoints"].size() == 2U);
    BOOST_TEST(fleet.run_cli(hosts + "status nothing").exit_code == 1);
    BOOST_TEST(fleet.run_cli(hosts + "dance").exit_code == 2);
    BOOST_TEST(fleet.run_cli("--host nowhere hosts").exit_code == 2);
    BOOST_TEST(fleet.run_cli("--host 127.0.0.1:1 hosts").exit_code == 4);
    const auto history = fleet.run_cli(hosts + "bundle history");
    BOOST_TEST(history.output.find("version 1") != std::string::npos);
    std::ofstream(file) << "kinds: [{name: tag}]\nteams: [{name: desk}]\n";
    BOOST_TEST(fleet.run_cli(hosts + "bundle check " + file).exit_code == 3);
    std::ofstream(file) << "kinds: 3\n";
    const auto bad = fleet.run_cli(hosts + "bundle check " + file);
    BOOST_TEST(bad.exit_code == 2);
    BOOST_TEST(bad.output.find(":1: key 'kinds'") != std::string::npos);
    BOOST_TEST(fleet.run_cli(hosts + "drain").exit_code == 0);
    BOOST_TEST(fleet.wait_for([&] { return fleet.host(0).exit_code() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
