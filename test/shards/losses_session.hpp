/// \file
/// A seeded random session of losses that overlap: hosts, links and endpoints
/// of one domain fail in series while hosts start anew and owners change.
#pragma once

#include "shard_fleet.hpp"

#include <random>
#include <string>
#include <vector>

namespace chicorydrum::shards
{

class losses_session
{
public:
    losses_session(std::uint64_t seed, bool keeps_log);

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
    std::string pick_endpoint(const std::string& domain);
    job_shape pick_shape();

    void plan_endpoints();
    void plan_load();
    void plan_job(support::milliseconds when, const std::string& host);
    /// Plans all that happens at \p domain within some seconds of \p when.
    void plan_series(support::milliseconds when, const std::string& domain);
    void plan_new_start(support::milliseconds when, const std::string& domain);
    /// Plans the loss of an entry host, then of its owner, and of the next one.
    void plan_losses_in_turn(support::milliseconds when,
                             const std::string& domain);
    /// Plans the loss of an owner of \p domain, whichever it is at \p when.
    void plan_loss_of_owner(support::milliseconds when,
                            const std::string& domain);
    /// Returns what takes a host away for a time.
    std::function<void(const std::string& host)>
    pick_loss(support::milliseconds when);
    void plan_link_fault(support::milliseconds when, const std::string& domain);
    void plan_endpoint_fault(support::milliseconds when,
                             const std::string& domain);
    void plan_endpoint_restarts(support::milliseconds when,
                                const std::string& domain);
    void plan_stops_in_turn(support::milliseconds when,
                            const std::string& domain);
    void plan_store_fault(support::milliseconds when,
                          const std::string& domain);
    /// Plans a partition from \p when on; \p is_one_way is from \p one only.
    void plan_partition(support::milliseconds when, support::milliseconds span,
                        const std::set<std::string>& one,
                        const std::set<std::string>& other, bool is_one_way);
    std::vector<std::string> check();

    std::minstd_rand random;
    int domains;
    int hosts_per_domain;
    shard_fleet fleet;
};

} // namespace chicorydrum::shards
