/// \file
/// Load simulations in virtual time that check load shedding by urgency.
#include "load_simulation.hpp"

#include <boost/test/unit_test.hpp>

namespace chicorydrum::shards
{

namespace
{

using support::milliseconds;

constexpr std::uint64_t session_count = 10;

/// Returns the credit by kind over several sessions in which the rate of
/// \p route rises by \p factor.
std::map<std::string, credit> simulate_burst(const std::string& route,
                                             double factor)
{
    std::map<std::string, credit> sum;
    for (std::uint64_t seed = 1; seed <= session_count; ++seed)
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

// A burst of the least urgent kind must not take capacity from more urgent
// kinds: it is shed first.
BOOST_AUTO_TEST_CASE(burst_of_least_urgent_kind_is_shed_first)
{
    const auto kinds = simulate_burst("check", 3.5);
    BOOST_TEST(kinds.at("check").share() < kinds.at("quote").share());
    BOOST_TEST(kinds.at("check").share() < kinds.at("print").share());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace chicorydrum::shards
