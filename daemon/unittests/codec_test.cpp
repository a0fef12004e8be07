#include "chicorydrum/daemon/endpoint_client.hpp"
#include "chicorydrum/daemon/json_codec.hpp"
#include "chicorydrum/daemon/platform_client.hpp"
#include "chicorydrum/support/yaml_reader.hpp"

#include <random>

#include <boost/test/unit_test.hpp>

using namespace chicorydrum;
using namespace chicorydrum::daemon;
using decision::attempt_check;
using decision::attempt_outcome;

namespace
{

attempt_outcome outcome_of(int status, const std::string& body,
                           std::vector<transport::http_header> headers = {})
{
    const transport::http_response response{
        .status = status, .headers = std::move(headers), .body = body};
    return read_endpoint_response(7, response).outcome;
}

/// Changes a few bytes of \p text, to get malformed input that is close to
/// valid input.
std::string mutate(std::string text, std::mt19937_64& random)
{
    for (int i = 0; i < 3 && !text.empty(); ++i)
        text[random() % text.size()] = static_cast<char>(random() & 0xffU);
    if (random() % 4 == 0)
        text.resize(random() % (text.size() + 1));
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(codecs)

BOOST_AUTO_TEST_CASE(an_endpoint_response_is_mapped_to_an_attempt_outcome)
{
    const std::vector<transport::http_header> not_run = {
        {.name = "not-run", .value = "true"}};
    BOOST_TEST(
        (outcome_of(200, R"({"result":"r"})") == attempt_outcome::succeeded));
    BOOST_TEST((outcome_of(200, R"({"result":"r","attempt":"h~1.7"})") ==
                attempt_outcome::succeeded));
    BOOST_TEST((outcome_of(200, R"({"result":"r","attempt":"h~1.8"})") ==
                attempt_outcome::failed));
    BOOST_TEST((outcome_of(200, "{") == attempt_outcome::failed));
    BOOST_TEST((outcome_of(503, "{}", not_run) == attempt_outcome::refused));
    BOOST_TEST((outcome_of(503, "{}") == attempt_outcome::failed));
    BOOST_TEST((outcome_of(500, "{}", not_run) == attempt_outcome::failed));
    const auto lost = [](transport::client_error error)
    {
        return read_endpoint_response(7, tl::unexpected(error)).outcome;
    };
    BOOST_TEST(
        (lost(transport::client_error::not_sent) == attempt_outcome::refused));
    BOOST_TEST(
        (lost(transport::client_error::no_response) == attempt_outcome::lost));
    BOOST_TEST(
        (lost(transport::client_error::timed_out) == attempt_outcome::lost));
}

BOOST_AUTO_TEST_CASE(a_check_response_is_mapped_to_an_attempt_state)
{
    const auto state_of = [](int status, const std::string& body)
    {
        const transport::http_response response{.status = status, .body = body};
        return read_check_response(7, response).state;
    };
    BOOST_TEST(
        (state_of(200, R"({"state":"running"})") == attempt_check::running));
    BOOST_TEST((state_of(200, R"({"state":"succeeded","result":"r"})") ==
                attempt_check::succeeded));
    BOOST_TEST((state_of(404, "{}") == attempt_check::unknown));
    BOOST_TEST((read_check_response(
                    7, tl::unexpected(transport::client_error::timed_out))
                    .state == attempt_check::unreachable));
}

BOOST_AUTO_TEST_CASE(the_digest_differs_between_submissions)
{
    const auto job = [](const std::string& body)
    {
        return digest_of(parse_job(body).value());
    };
    const std::string base =
        job(R"({"kind":"k","team":"t","tasks":[{"payload":"ab"}]})");
    BOOST_TEST(job(R"({"tasks":[{"payload":"ab"}],"team":"t","kind":"k"})") ==
               base);
    BOOST_TEST(job(R"({"kind":"k","team":"t","deadline_ms":5,)"
                   R"("tasks":[{"payload":"ab"}]})") == base);
    BOOST_TEST(job(R"({"kind":"k","team":"t","caller":"c",)"
                   R"("tasks":[{"payload":"ab"}]})") != base);
    BOOST_TEST(job(R"({"kind":"k","team":"t","tasks":[{"payload":"a"},)"
                   R"({"payload":"b"}]})") != base);
}

BOOST_AUTO_TEST_CASE(a_failed_answer_contains_whether_tasks_ran)
{
    schema::answer answer;
    answer.id = "i";
    answer.error = support::error_kind::endpoint_failed;
    answer.tasks_maybe_run = 3;
    const std::string text = to_json(answer);
    BOOST_TEST(text.find("\"not_run\":false") != std::string::npos);
    BOOST_TEST(text.find("\"tasks_maybe_run\":3") != std::string::npos);
    answer = {};
    answer.results = {"\xff", "b"};
    BOOST_TEST(to_json(answer).find("\"state\":\"complete\"") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(malformed_input_does_not_crash_the_parsers)
{
    std::mt19937_64 random(7);
    const std::string job =
        R"({"kind":"k","deadline_ms":9,"tasks":[{"payload":"x","millicores":1}]})";
    const std::string hosts =
        R"({"entry_hosts":[{"name":"h","domain":"d","address":"1","peer_port":1}],)"
        R"("endpoints":[{"name":"e","domain":"d","address":"1","port":2}]})";
    const std::string result =
        R"({"attempt":"h.7","result":"r","state":"running","used_millicores":1})";
    const std::string accepted =
        R"({"version":1,"digest":"d","proposer":"p","token":"t"})";
    const std::string bundle =
        "kinds: [{name: k, share: 1.5}]\nteams: [{name: t}]\n";
    for (int round = 0; round < 20000; ++round)
    {
        static_cast<void>(parse_job(mutate(job, random)));
        static_cast<void>(parse_request(mutate(job, random), "k"));
        static_cast<void>(parse_host_list(mutate(hosts, random)));
        const transport::http_response answer{.body = mutate(result, random)};
        static_cast<void>(read_endpoint_response(7, answer));
        static_cast<void>(read_check_response(7, answer));
        static_cast<void>(
            decision::parse_accepted_bundle(mutate(accepted, random)));
        if (round % 10 == 0)
            static_cast<void>(
                support::read_bundle(mutate(bundle, random), "b"));
    }
    const transport::http_response wrong_type{.body = R"({"state":3})"};
    BOOST_TEST(
        (read_check_response(7, wrong_type).state == attempt_check::unknown));
    BOOST_TEST(decision::parse_accepted_bundle(R"({"version":1,"digest":2})")
                   ->digest.empty());
    BOOST_TEST(!parse_job(std::string(100000, '[')));
    BOOST_TEST(!support::read_bundle(std::string(2000, '['), "b"));
}

BOOST_AUTO_TEST_SUITE_END()
