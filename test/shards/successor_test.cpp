/// \file
/// A host that becomes the owner of a shard with another table of endpoints
/// than its predecessor: it has read an earlier one, or lacks entries that have
/// lapsed while their endpoints were at work.
#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace chicorydrum::shards
{

namespace
{

using shard::answer_kind;
using support::milliseconds;

/// The first reading of the endpoints counts as a division for 5 s, in which
/// new owners are more careful.
constexpr milliseconds long_after_start(8000);

const job_shape very_long_task{.tasks = 1,
                               .millicores = 12000,
                               .work = milliseconds(14000),
                               .timeout = milliseconds(25000)};

/// A way in which an owner ends, by name.
struct owner_end
{
    const char* name;
    std::function<void(shard_fleet& fleet, const std::string& owner)> apply;
};

const std::vector<owner_end>& owner_ends()
{
    static const std::vector<owner_end> ends = {
        {"planned stop",
         [](shard_fleet& fleet, const std::string& owner)
         {
             fleet.stop_gracefully(owner);
         }},
        {"kill",
         [](shard_fleet& fleet, const std::string& owner)
         {
             fleet.kill(owner);
         }},
        {"silence", [](shard_fleet& fleet, const std::string& owner)
         {
             fleet.lose_power(owner);
         }}};
    return ends;
}

/// An installation of one domain, and the parts that its hosts play.
struct succession
{
    explicit succession(int endpoints)
        : fleet({.endpoints_per_domain = endpoints})
    {
        this->fleet.run_for(long_after_start);
        this->owner = this->fleet.owner_of("D1");
        BOOST_TEST(this->owner == "D1-h1");
    }

    shard_fleet fleet;
    std::string owner;
    /// Of hosts with equal power the first by name claims the shard.
    std::string successor = "D1-h2";
    std::string entry = "D1-h3";
};

} // namespace

BOOST_AUTO_TEST_SUITE(successor)

// An endpoint is added and gets a task. A host that reads the endpoints as they
// were before takes the shard over. It must not start the task elsewhere.
BOOST_AUTO_TEST_CASE(reads_of_the_successor_lack_a_new_endpoint)
{
    for (const owner_end& end : owner_ends())
        for (int offset = 0; offset <= 5000; offset += 250)
            BOOST_TEST_CONTEXT(end.name << " offset " << offset)
            {
                succession hosts(1);
                shard_fleet& fleet = hosts.fleet;
                fleet.submit(hosts.entry, {.tasks = 1,
                                           .millicores = 12000,
                                           .work = milliseconds(3500),
                                           .timeout = milliseconds(9000)});
                fleet.stop_gracefully(hosts.successor);
                fleet.run_for(milliseconds(900));
                fleet.add_endpoint("D1", 2);
                const std::string job =
                    fleet.submit(hosts.entry, very_long_task);
                fleet.run_for(milliseconds(1700));
                BOOST_TEST(fleet.endpoint("D1-e2").running_count() == 1);
                BOOST_TEST(fleet.host(hosts.successor) == nullptr);
                fleet.set_read_lag(hosts.successor, milliseconds(5500));
                fleet.start(hosts.successor);
                fleet.run_for(milliseconds(offset));
                end.apply(fleet, hosts.owner);
                fleet.run_for(milliseconds(20000));
                BOOST_TEST(
                    (fleet.caller(job).answer == answer_kind::completed));
                BOOST_TEST(fleet.starts_of(job) == 1);
                check_no_violations(fleet);
            }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
