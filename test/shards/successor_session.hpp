/// \file
/// A seeded random session of takeovers between hosts that know different
/// endpoints: their reads of the store are behind, and entries lapse while the
/// endpoints are at work.
#pragma once

#include "shard_fleet.hpp"

#include <random>
#include <string>
#include <vector>

namespace chicorydrum::shards
{

class successor_session
{
public:
    successor_session(std::uint64_t seed, bool keeps_log);

    /// Plays the session and returns what was violated.
    std::vector<std::string> run();
    const shard_fleet& simulated_fleet() const
    {
        return this->fleet;
    }

private:
    int pick(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(this->random);
    }
    /// Returns a time of \p from to \p to.
    support::milliseconds pick_time(int from, int to)
    {
        return support::milliseconds(from + this->pick(to - from + 1));
    }
    std::string pick_host();

    void plan_load();
    /// Plans what makes the hosts' tables differ, within some seconds.
    void plan_differences(support::milliseconds when);
    void plan_restart(support::milliseconds when, const std::string& host);
    /// Plans the end of an owner, whichever it is at \p when.
    void plan_takeover(support::milliseconds when);
    std::vector<std::string> check();

    std::minstd_rand random;
    int hosts_per_domain;
    int endpoints;
    shard_fleet fleet;
};

} // namespace chicorydrum::shards
