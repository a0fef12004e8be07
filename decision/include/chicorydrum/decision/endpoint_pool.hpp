/// \file
/// The endpoints of this host's domain and the slots that it may use there.
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

/// What a task needs of a worker, after correction by the learned ratio.
struct task_size
{
    double millicores = 0;
    double memory_mb = 0;
};

struct endpoint_state
{
    endpoint_listing listing;
    /// Whether the last list still shows it; a missing one gets no new work.
    bool listed = true;
    /// Slots that are this host's own by its share.
    int share = 0;
    /// Own slots that a peer uses now, and slots of peers that this host may
    /// start on now.
    int lent = 0;
    int borrowed = 0;
    int in_use = 0;
    /// Attempts that run now; one attempt may take several slots.
    int attempts = 0;
    double slowness = 1;

    /// Slots that this host may use on the endpoint, busy or not.
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

/// One endpoint that a task could start on, as routing policies see it.
struct route_candidate
{
    const endpoint_state* endpoint = nullptr;
    health_state health = health_state::healthy;
    int slots_needed = 1;
};

/// Chooses one of the candidates, which are never empty, by its position.
using routing_policy =
    std::function<std::size_t(const std::vector<route_candidate>&)>;

/// The fastest healthy endpoint, by learned slowness; others come last.
std::size_t choose_fastest(const std::vector<route_candidate>& candidates);

struct endpoint_pool_options
{
    std::string self;
    std::string domain;
    endpoint_health_options health;
    routing_policy policy = choose_fastest;
    /// How long a share must have grown before its new slots are used, so
    /// that the former holder has noticed.
    support::milliseconds share_settling{500};
};

class endpoint_pool
{
public:
    explicit endpoint_pool(endpoint_pool_options given);

    /// Takes over the platform's list. A list that lost most endpoints at
    /// once is doubted: what it lacks keeps its last state, what it shows as
    /// leaving is obeyed. Returns the names that newly stopped taking work.
    std::vector<std::string>
    update(const std::vector<endpoint_listing>& listings);

    /// Splits the slots among \p hosts, the sorted names of those that share
    /// the domain.
    void set_sharing_hosts(const std::vector<std::string>& hosts,
                           support::instant now);

    /// Grows shares whose settling time is over.
    void settle_shares(support::instant now);

    /// Slots that \p size takes on \p endpoint; more than it has if it does
    /// not fit.
    static int slots_needed(const task_size& size,
                            const endpoint_listing& endpoint);

    /// Whether any listed endpoint is large enough for \p size.
    bool fits_somewhere(const task_size& size) const;

    /// An endpoint with enough free slots for \p size, or null. \p held_back
    /// names an endpoint that only its holder may use, or is empty.
    endpoint_state* choose(const task_size& size, const std::string& held_back,
                           support::instant now);

    /// The listed endpoint that could soonest free enough slots for \p size.
    const endpoint_state* choose_to_hold(const task_size& size) const;

    void started(endpoint_state& endpoint, int slots);
    /// Returns slots; null-safe for endpoints that are gone meanwhile.
    void finished(const std::string& endpoint, int slots);

    /// Learns from one attempt's end.
    void learn(const std::string& endpoint, const std::string& kind,
               attempt_outcome outcome,
               support::decision_clock::duration run_time,
               support::instant now);

    /// Takes in what a peer learned of the endpoints' speeds.
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

    /// Free slots of this host that could start something now.
    int idle_slots() const;
    /// Slots that this host may use, busy or not.
    int usable_slots() const;
    /// Slowness of the fastest endpoint that takes work; 1 if there is none.
    double fastest_slowness() const;

private:
    int share_of(const endpoint_listing& endpoint) const;

    endpoint_pool_options options;
    endpoint_health health_records;
    run_time_model model;
    std::map<std::string, endpoint_state> states;
    // Empty until set_sharing_hosts() is first called: no slot is used before.
    std::vector<std::string> sharers;
    support::instant shares_grow_at;
    bool shares_settled = true;
    // Scratch space of choose(), kept to avoid an allocation per start.
    std::vector<route_candidate> candidates;
};

} // namespace chicorydrum::decision
