/// \file
/// The endpoints of this host's domain and the slots it may use on them.
#pragma once

#include "chicorydrum/decision/endpoint_health.hpp"
#include "chicorydrum/decision/messages.hpp"
#include "chicorydrum/decision/run_time_model.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chicorydrum::decision
{

/// Resources that a task needs, after correction by the learned ratio.
struct task_size
{
    double millicores = 0;
    double memory_mb = 0;
};

struct endpoint_state
{
    endpoint_listing listing;
    /// Whether the last host list contains it; if not, it gets no new work.
    bool listed = true;
    /// This host's share of the endpoint's slots.
    int share = 0;
    /// Own slots that are currently lent to peers, and slots of peers on which
    /// this host may currently start tasks.
    int lent = 0;
    int borrowed = 0;
    int in_use = 0;
    /// Running attempts; one attempt may take several slots.
    int attempts = 0;
    double slowness = 1;

    /// Returns the slots that this host may use on the endpoint, busy or not.
    int usable() const
    {
        return this->share - this->lent + this->borrowed;
    }
    int free() const
    {
        return this->usable() - this->in_use;
    }
    bool may_start() const
    {
        return this->listed && this->listing.state == listing_state::live;
    }
};

/// One endpoint on which a task could start; the input of routing policies.
struct route_candidate
{
    const endpoint_state* endpoint = nullptr;
    health_state health = health_state::healthy;
    int slots_needed = 1;
};

/// Returns the index of the chosen candidate. There is at least one.
using routing_policy =
    std::function<std::size_t(const std::vector<route_candidate>&)>;

/// Returns the healthy endpoint with the least learned slowness, or the
/// fastest of all if none is healthy.
std::size_t choose_fastest(const std::vector<route_candidate>& candidates);

struct endpoint_pool_options
{
    std::string self;
    std::string domain;
    endpoint_health_options health;
    routing_policy policy = choose_fastest;
    /// Delay before the new slots of a grown share are used, so that their
    /// former holder has given them up.
    support::milliseconds share_settling{500};
};

class endpoint_pool
{
public:
    explicit endpoint_pool(endpoint_pool_options opts);

    /// Applies the platform's list. If most endpoints are missing at once, the
    /// list is considered implausible: missing endpoints keep their last state,
    /// but those listed as leaving are treated so. Returns the names of
    /// endpoints that no longer accept work.
    std::vector<std::string>
    update(const std::vector<endpoint_listing>& listings);

    /// Splits the slots among \p hosts, the sorted names of the entry hosts
    /// that share the domain's endpoints.
    void set_sharing_hosts(const std::vector<std::string>& hosts,
                           support::instant now);

    /// Grows shares after their settling time.
    void settle_shares(support::instant now);

    /// Returns the slots that \p size takes on \p endpoint; more than it has
    /// if the task does not fit.
    static int slots_needed(const task_size& size,
                            const endpoint_listing& endpoint);

    /// Returns whether any known endpoint is large enough for \p size.
    bool fits_somewhere(const task_size& size) const;

    /// Returns an endpoint with enough free slots for \p size, or null.
    /// \p held_endpoint names an endpoint that is held for another submission
    /// and must not be chosen, or is empty.
    endpoint_state* choose(const task_size& size,
                           const std::string& held_endpoint,
                           support::instant now);

    /// Returns the endpoint that lacks the fewest free slots for \p size and is
    /// large enough for it, or null.
    const endpoint_state* choose_to_hold(const task_size& size) const;

    void started(endpoint_state& endpoint, int slots);
    /// Releases slots. Ignores endpoints that have been removed meanwhile.
    void finished(const std::string& endpoint, int slots);

    /// Updates health and run time statistics with one finished attempt.
    void learn(const std::string& endpoint, const std::string& kind,
               attempt_outcome outcome,
               support::decision_clock::duration run_time,
               support::instant now);

    /// Merges the endpoint speeds that a peer reported.
    void merge_speeds(const schema::speed_report& report);

    endpoint_state* find(const std::string& name);
    const std::map<std::string, endpoint_state>& endpoints() const
    {
        return this->states;
    }
    endpoint_health& health()
    {
        return this->health_records;
    }
    const endpoint_health& health() const
    {
        return this->health_records;
    }
    run_time_model& run_times()
    {
        return this->model;
    }
    const run_time_model& run_times() const
    {
        return this->model;
    }

    /// Returns this host's free slots on endpoints that accept work.
    int idle_slots() const;
    /// Returns the slots that this host may use, busy or not.
    int usable_slots() const;
    /// Returns the slowness of the fastest endpoint that accepts work, or 1 if
    /// there is none.
    double fastest_slowness() const;

private:
    int share_of(const endpoint_listing& endpoint) const;

    endpoint_pool_options options;
    endpoint_health health_records;
    run_time_model model;
    std::map<std::string, endpoint_state> states;
    // Empty until the first call of set_sharing_hosts(); shares are 0 until
    // then.
    std::vector<std::string> sharing_hosts;
    support::instant shares_grow_at;
    bool shares_settled = true;
    // Buffer of choose(), reused to avoid an allocation per start.
    std::vector<route_candidate> candidates;
};

} // namespace chicorydrum::decision
