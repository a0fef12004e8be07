/// \file
/// Overflow between domains: the callers of one domain want more than it has,
/// while the others have room.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace chicorydrum::shards
{

using shard::answer_kind;
using support::milliseconds;

namespace
{

/// Four shards in each domain, with room for 16 tasks together.
const fleet_options large_domains{.domains = 3,
                                  .hosts_per_domain = 3,
                                  .endpoints_per_domain = 8,
                                  .endpoints_per_shard = 2};
const job_shape quick{
    .tasks = 4, .work = milliseconds(100), .timeout = milliseconds(1500)};

/// Sends \p count jobs to the hosts of domain D1, one every \p gap.
std::vector<std::string> flood(shard_fleet& fleet, int count, milliseconds gap)
{
    std::vector<std::string> jobs;
    for (int i = 0; i < count; ++i)
    {
        jobs.push_back(fleet.submit("D1-h" + std::to_string(1 + i % 3), quick));
        fleet.run_for(gap);
    }
    return jobs;
}

int count_answers(const shard_fleet& fleet,
                  const std::vector<std::string>& jobs, answer_kind kind)
{
    return static_cast<int>(
        std::count_if(jobs.begin(), jobs.end(),
                      [&fleet, kind](const std::string& job)
                      { return fleet.caller(job).answer == kind; }));
}

/// Returns how many jobs hosts of D1 have sent to another domain.
int count_forwards(const shard_fleet& fleet, const std::string& domain)
{
    return static_cast<int>(std::count_if(
        fleet.log().begin(), fleet.log().end(),
        [&domain](const std::string& line)
        {
            return line.find(" D1-") != std::string::npos &&
                   line.find("event=job_forwarded") != std::string::npos &&
                   line.find("domain=" + domain + " ") != std::string::npos;
        }));
}

std::set<std::string> members_of(const shard_fleet& fleet,
                                 const std::string& domain)
{
    std::set<std::string> members;
    for (const std::string& name : fleet.host_names())
        if (name.starts_with(domain + "-"))
            members.insert(name);
    for (const std::string& name : fleet.endpoint_names())
        if (name.starts_with(domain + "-"))
            members.insert(name);
    return members;
}

} // namespace

BOOST_AUTO_TEST_SUITE(overflow)

// One domain gets half as much again as it can run; the others have little to
// do. Offers that are spent in the flooded domain leave its callers refused.
BOOST_AUTO_TEST_CASE(flood_in_one_domain_is_served_by_the_others)
{
    shard_fleet fleet(large_domains);
    fleet.run_for(warm_up);
    BOOST_TEST(fleet.shards_of("D1") == 4);
    std::vector<std::string> own;
    for (int i = 0; i < 20; ++i)
        fleet.at(milliseconds(100 * i), [&fleet, &own]
                 { own.push_back(fleet.submit("D2-h1", quick)); });
    constexpr int jobs = 120;
    const std::vector<std::string> sent = flood(fleet, jobs, milliseconds(17));
    fleet.run_for(milliseconds(3000));
    BOOST_TEST(fleet.unanswered() == 0);
    BOOST_TEST(count_forwards(fleet, "D2") > 0);
    BOOST_TEST(count_forwards(fleet, "D3") > 0);
    // Refusals of such a load are to stay under one in fifty.
    BOOST_TEST(count_answers(fleet, sent, answer_kind::not_run) * 50 <= jobs);
    BOOST_TEST(count_answers(fleet, own, answer_kind::completed) == 20);
    check_no_violations(fleet);
}

// The domain that takes the overflow is cut off halfway: it is not asked from
// when its news is late, long before it counts as lost, and again when it is
// back.
BOOST_AUTO_TEST_CASE(neighbour_is_cut_off_halfway)
{
    fleet_options options = large_domains;
    options.domains = 2;
    shard_fleet fleet(options);
    fleet.run_for(warm_up);
    std::vector<std::string> sent = flood(fleet, 60, milliseconds(17));
    BOOST_TEST(count_forwards(fleet, "D2") > 0);
    const int number =
        fleet.partition(members_of(fleet, "D1"), members_of(fleet, "D2"));
    // The oldest news that offers rest on is 450 ms old.
    const std::vector<std::string> first = flood(fleet, 27, milliseconds(17));
    const int before = count_forwards(fleet, "D2");
    const std::vector<std::string> later = flood(fleet, 60, milliseconds(17));
    BOOST_TEST(count_forwards(fleet, "D2") == before);
    BOOST_TEST(count_answers(fleet, later, answer_kind::interrupted) == 0);
    fleet.heal(number);
    fleet.run_for(milliseconds(3000));
    flood(fleet, 60, milliseconds(17));
    BOOST_TEST(count_forwards(fleet, "D2") > before);
    fleet.run_for(milliseconds(4000));
    BOOST_TEST(fleet.unanswered() == 0);
    check_no_violations(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
