/// \file
/// Steps and checks that the scenarios of the virtual fleet share.
#pragma once

#include "shard_fleet.hpp"

#include <string>
#include <vector>

namespace chicorydrum::shards
{

/// Covers registration, connecting the hosts and the first owners.
constexpr support::milliseconds warm_up{3000};

/// Submits \p jobs jobs to the hosts in turn, one every \p gap.
std::vector<std::string> submit_load(shard_fleet& fleet, int jobs,
                                     support::milliseconds gap,
                                     const job_shape& shape = {});

/// Fails the test case for each violation, and prints the fleet's log then or
/// if SHOW_LOG is set.
void check_no_violations(const shard_fleet& fleet);

/// Returns a running host other than \p owner, or an empty string.
std::string other_host(const shard_fleet& fleet, const std::string& owner);

} // namespace chicorydrum::shards
