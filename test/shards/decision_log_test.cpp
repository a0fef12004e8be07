/// \file
/// Lines of the log from which a claim of a shard can be judged afterwards.
#include "scenario_support.hpp"

#include <algorithm>
#include <functional>

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using support::milliseconds;

/// Returns the lines of \p event that were logged since \p first.
std::vector<std::string> lines_of(const shard_fleet& fleet,
                                  const std::string& event,
                                  std::size_t first = 0)
{
    std::vector<std::string> found;
    const std::string name = "event=" + event + " ";
    for (std::size_t i = first; i < fleet.log().size(); ++i)
        if (fleet.log()[i].find(name) != std::string::npos)
            found.push_back(fleet.log()[i]);
    return found;
}

bool has_field(const std::string& line, const std::string& field)
{
    return (line + " ").find(" " + field + " ") != std::string::npos;
}

/// Returns the value of the number \p key in \p line.
std::int64_t number_of(const std::string& line, const std::string& key)
{
    const std::size_t at = line.find(" " + key + "=");
    BOOST_REQUIRE(at != std::string::npos);
    return std::stoll(line.substr(at + key.size() + 2));
}

/// Returns the first claim that was logged since \p first.
std::string first_claim(const shard_fleet& fleet, std::size_t first = 0)
{
    const auto claims = lines_of(fleet, "shard_claimed", first);
    BOOST_REQUIRE(!claims.empty());
    return claims.front();
}

} // namespace

BOOST_AUTO_TEST_SUITE(decision_log)

BOOST_AUTO_TEST_CASE(first_claim_of_a_domain)
{
    shard_fleet fleet({.endpoints_per_domain = 2, .powers = {1, 0.9, 0.5}});
    fleet.run_for(warm_up);
    const std::string line = first_claim(fleet);
    BOOST_TEST_INFO(line);
    BOOST_TEST(has_field(line, "cause=never_heard"));
    BOOST_TEST(has_field(line, "predecessor=\"\""));
    BOOST_TEST(has_field(line, "heard_ms=-1"));
    BOOST_TEST(has_field(line, "peers=2"));
    BOOST_TEST(has_field(line, "hosts_read=true"));
    BOOST_TEST(has_field(line, "endpoints=2"));
    // Entries may be missing for 2.5 s after the first read.
    BOOST_TEST(has_field(line, "endpoints_complete=false"));
    BOOST_TEST(number_of(line, "endpoints_read_ms") >= 0);
    BOOST_TEST(number_of(line, "ownerless_ms") >= 100);
    BOOST_TEST(number_of(line, "age_ms") < 1400);
    // The owner of the same token logs its shard next.
    BOOST_TEST(
        fleet.has_logged("event=shard_owned domain=D1 shard=0 shards=1 token=" +
                         std::to_string(number_of(line, "token"))));
    fleet.submit("D1-h2");
    fleet.run_for(milliseconds(100));
    const auto starts = lines_of(fleet, "task_started");
    BOOST_REQUIRE(!starts.empty());
    // So docs/OPERATIONS.md finds the claim of a start.
    BOOST_TEST(number_of(starts.front(), "token") / 1024 ==
               number_of(line, "token"));
}

// All start at once and none reads a table.
BOOST_AUTO_TEST_CASE(claim_without_tables)
{
    shard_fleet fleet({.endpoints_per_domain = 2});
    fleet.run_for(warm_up);
    // Hosts read at once when the fleet is made, so they start anew.
    fleet.set_store_up(false);
    for (const std::string& name : fleet.host_names())
        fleet.kill(name);
    const std::size_t before = fleet.log().size();
    for (const std::string& name : fleet.host_names())
        fleet.start(name);
    fleet.run_for(warm_up);
    const std::string line = first_claim(fleet, before);
    BOOST_TEST_INFO(line);
    BOOST_TEST(has_field(line, "cause=never_heard"));
    BOOST_TEST(has_field(line, "listed=0"));
    BOOST_TEST(has_field(line, "hosts_read=false"));
    BOOST_TEST(has_field(line, "endpoints_read_ms=-1"));
    BOOST_TEST(has_field(line, "endpoints=0"));
    BOOST_TEST(number_of(line, "age_ms") >= 1200);
}

BOOST_AUTO_TEST_CASE(claims_after_a_loss)
{
    struct loss
    {
        std::string cause;
        std::function<void(shard_fleet&)> hook;
    };
    const std::vector<loss> losses = {
        {"link_closed",
         [](shard_fleet& fleet)
         {
             fleet.kill("D1-h1");
         }},
        {"silent",
         [](shard_fleet& fleet)
         {
             fleet.partition({"D1-h1"}, {"D1-h2", "D1-h3"});
         }},
        {"offered",
         [](shard_fleet& fleet)
         {
             fleet.stop_gracefully("D1-h1");
         }},
        {"paused",
         [](shard_fleet& fleet)
         {
             fleet.pause("D1-h1", milliseconds(450));
         }},
    };
    for (const loss& each : losses)
    {
        shard_fleet fleet({.endpoints_per_domain = 2, .powers = {1, 0.9, 0.5}});
        fleet.run_for(milliseconds(6000));
        BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
        const std::size_t before = fleet.log().size();
        each.hook(fleet);
        fleet.run_for(milliseconds(3000));
        const std::string line = first_claim(fleet, before);
        BOOST_TEST_INFO(line);
        BOOST_TEST(has_field(line, "cause=" + each.cause));
        BOOST_TEST(has_field(line, "predecessor=D1-h1"));
        BOOST_TEST(has_field(line, "endpoints_complete=true"));
        BOOST_TEST(number_of(line, "heard_ms") >= 100);
        BOOST_TEST(number_of(line, "ownerless_ms") >= 100);
    }
}

// Each half takes the shard from the other one at the endpoints.
BOOST_AUTO_TEST_CASE(claims_of_two_halves)
{
    shard_fleet fleet({.hosts_per_domain = 2, .endpoints_per_domain = 2});
    fleet.run_for(warm_up);
    fleet.partition({"D1-h1"}, {"D1-h2"});
    submit_load(fleet, 10, milliseconds(200), {.tasks = 1});
    const auto claims = lines_of(fleet, "shard_claimed");
    BOOST_TEST(std::any_of(claims.begin(), claims.end(),
                           [](const std::string& line)
                           { return has_field(line, "cause=fenced"); }));
    // No claim without its line.
    BOOST_TEST(claims.size() == lines_of(fleet, "shard_owned").size());
}

// Ticks that come late but not so late that the process counts as paused.
BOOST_AUTO_TEST_CASE(late_ticks)
{
    shard_fleet fleet({.endpoints_per_domain = 2, .powers = {1, 0.9, 0.5}});
    fleet.run_for(warm_up);
    fleet.pause("D1-h1", milliseconds(60));
    fleet.run_for(milliseconds(500));
    BOOST_TEST(lines_of(fleet, "tick_late").empty());
    for (int i = 0; i < 40; ++i)
    {
        fleet.pause("D1-h1", milliseconds(i == 1 ? 300 : 150));
        fleet.run_for(milliseconds(400));
    }
    const auto lines = lines_of(fleet, "tick_late");
    // Sixteen seconds, one line each at most.
    BOOST_TEST(lines.size() >= 10);
    BOOST_TEST(lines.size() <= 17);
    BOOST_TEST(has_field(lines.at(0), "count=1"));
    BOOST_TEST(number_of(lines.at(0), "gap_ms") >= 125);
    BOOST_TEST(number_of(lines.at(0), "gap_ms") <= 175);
    BOOST_TEST(has_field(lines.at(0), "shards=1"));
    // The second line stands for the longest one too.
    BOOST_TEST(number_of(lines.at(1), "count") >= 2);
    BOOST_TEST(number_of(lines.at(1), "longest_ms") >= 275);
    BOOST_TEST(lines_of(fleet, "pause_detected").empty());
    fleet.pause("D1-h1", milliseconds(450));
    const std::size_t before = fleet.log().size();
    fleet.run_for(milliseconds(600));
    BOOST_TEST(lines_of(fleet, "pause_detected", before).size() == 1);
    BOOST_TEST(lines_of(fleet, "tick_late", before).empty());
    check_no_violations(fleet);
}

// The owner learns late that a run is over, as it was late itself.
BOOST_AUTO_TEST_CASE(slow_stops)
{
    const job_shape long_task{
        .tasks = 1, .work = milliseconds(3000), .timeout = milliseconds(8000)};
    shard_fleet fleet({.endpoints_per_domain = 2, .powers = {1, 0.9, 0.5}});
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.owner_of("D1") == "D1-h1");
    const std::string quick = fleet.submit("D1-h2", long_task);
    fleet.run_for(milliseconds(300));
    fleet.disconnect_caller(quick);
    fleet.run_for(milliseconds(1000));
    BOOST_TEST(lines_of(fleet, "run_stopped").size() == 1);
    BOOST_TEST(lines_of(fleet, "stop_slow").empty());
    std::vector<std::string> jobs;
    for (int i = 0; i < 3; ++i)
        jobs.push_back(fleet.submit("D1-h2", long_task));
    fleet.run_for(milliseconds(300));
    for (const std::string& job : jobs)
        fleet.disconnect_caller(job);
    fleet.run_for(milliseconds(10));
    BOOST_TEST(lines_of(fleet, "run_stopped").size() == 4);
    fleet.pause("D1-h1", milliseconds(300));
    fleet.run_for(milliseconds(1000));
    const auto lines = lines_of(fleet, "stop_slow");
    // One line for the three of them.
    BOOST_REQUIRE(lines.size() == 1);
    BOOST_TEST_INFO(lines.front());
    BOOST_TEST(number_of(lines.front(), "took_ms") >= 250);
    BOOST_TEST(number_of(lines.front(), "took_ms") <= 400);
    BOOST_TEST(has_field(lines.front(), "run=1"));
    BOOST_TEST(has_field(lines.front(), "how=stopped"));
    BOOST_TEST(has_field(lines.front(), "evidence=listed"));
    check_no_violations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
