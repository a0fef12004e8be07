/// \file
/// A seeded random session of endpoints that answer no order for a span and
/// execute all of them later, while owners change and copies of jobs come to
/// the other domain.
#pragma once

#include "shard_fleet.hpp"

#include <random>
#include <string>
#include <vector>

namespace chicorydrum::shards
{

class late_session
{
public:
    late_session(std::uint64_t seed, bool keeps_log);

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
    std::string pick_domain();
    std::string pick_host(const std::string& domain);
    job_shape pick_shape();

    void plan_load();
    void plan_job(support::milliseconds when);
    /// Plans that some endpoints of \p domain execute their orders late, and
    /// what happens beside that.
    void plan_late_span(support::milliseconds when, const std::string& domain);
    late_order_rules pick_rules();
    void plan_failing_runs(support::milliseconds when, const std::string& id);
    /// Makes the next run at \p id fail, \p starts having begun before, or as
    /// many as have by \p when if that is negative.
    void fail_next_run(support::milliseconds when, const std::string& id,
                       int starts, int checks);
    /// Kills the owner of \p id when the run that has just begun has failed:
    /// the end is not acknowledged, and the task may run again.
    void lose_owner_after_failure(support::milliseconds began,
                                  const std::string& id);
    void plan_loss(support::milliseconds when, const std::string& domain);

    std::minstd_rand random;
    /// Endpoints are idle before; with clocks that are slow, an owner knows
    /// little of them then.
    support::milliseconds start_of_load;
    support::milliseconds end_of_load;
    int endpoints_per_domain;
    shard_fleet fleet;
};

} // namespace chicorydrum::shards
