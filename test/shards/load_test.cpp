/// \file
/// Load days in virtual time. Pattern: bulkhead, load shedding.
#include "load_simulation.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using support::milliseconds;

constexpr std::uint64_t days = 3;

/// Credit by kind over some days on which one kind floods.
std::map<std::string, credit> flood(const std::string& route, double factor)
{
    std::map<std::string, credit> sum;
    for (std::uint64_t seed = 1; seed <= days; ++seed)
    {
        load_options options = small_installation_load(seed);
        options.length = milliseconds(14000);
        options.bursts.push_back({.route = route,
                                  .from = milliseconds(4000),
                                  .length = milliseconds(7000),
                                  .factor = factor});
        const load_result result = simulate_load(options);
        for (const std::string& line : result.violations)
            BOOST_ERROR(line);
        for (const auto& [name, group] : result.by_kind)
        {
            sum[name].attainable += group.attainable;
            sum[name].earned += group.earned;
        }
    }
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load)

// Pattern: bulkhead; a flood of the least urgent kind costs that kind first.
BOOST_AUTO_TEST_CASE(flood_of_the_least_urgent)
{
    const auto kinds = flood("check", 3.5);
    BOOST_TEST(kinds.at("check").share() < kinds.at("quote").share());
    BOOST_TEST(kinds.at("check").share() < kinds.at("print").share());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
