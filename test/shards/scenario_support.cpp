#include "scenario_support.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace chicorydrum::shards
{

std::vector<std::string> submit_load(shard_fleet& fleet, int jobs,
                                     support::milliseconds gap,
                                     const job_shape& shape)
{
    std::vector<std::string> ids;
    const std::vector<std::string> hosts = fleet.host_names();
    for (int i = 0; i < jobs; ++i)
    {
        const std::string& host =
            hosts[static_cast<std::size_t>(i) % hosts.size()];
        if (fleet.host(host) != nullptr)
            ids.push_back(fleet.submit(host, shape));
        fleet.run_for(gap);
    }
    return ids;
}

void check_no_violations(const shard_fleet& fleet)
{
    if (!fleet.violations().empty() || std::getenv("SHOW_LOG") != nullptr)
        for (const std::string& line : fleet.log())
            BOOST_TEST_MESSAGE(line);
    for (const std::string& line : fleet.violations())
        BOOST_ERROR(line);
}

std::string other_host(const shard_fleet& fleet, const std::string& owner)
{
    for (const std::string& name : fleet.host_names())
        if (name != owner && fleet.host(name) != nullptr)
            return name;
    return "";
}

} // namespace chicorydrum::shards
