/// \file
/// What a host knows of run times: by route and kind of endpoint, and how
/// single endpoints differ from their kind. Learned from the ends of runs in
/// the host's shards, and from reports of other owners. Without I/O.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/clock.hpp"
#include "chicorydrum/support/log.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorydrum::shard
{

/// Returns the kind of an endpoint: its pool, capacity and first label. Labels
/// that follow, such as the rack, say nothing of speed.
std::string kind_of(const schema::endpoint_registration& entry);

struct learned_speeds_options
{
    /// How many runs the prior counts as that an endpoint is like its kind:
    /// run times vary by 0.4 around their estimates, endpoints of one kind by
    /// about a third of that.
    double kind_prior = 8;
    /// How many runs the prior counts as that a kind is like the others: kinds
    /// differ by about as much as single runs.
    double average_prior = 1;
    /// Logarithm by which an endpoint without runs counts as faster than its
    /// kind, so that it is tried and a new owner refuses no job on a guess: it
    /// does not know yet what runs there. Shrinks with the square root of the
    /// runs. A new owner's endpoints have it alike, so that their order is
    /// right.
    double optimism = 0.3;
    /// Older runs of an endpoint count no more than this many, so that a change
    /// of its speed shows within a second or two of load.
    double most_endpoint_runs = 20;
    /// The same for a route at a kind, which changes rarely.
    double most_kind_runs = 100;
    /// What others report never counts as more runs than this.
    double most_reported_runs = 20;
    /// In this time half of what was learned of an endpoint is forgotten: a
    /// disturbance of one lasts some seconds.
    support::seconds endpoint_half_life{20};
    /// The same for reported run times of kinds.
    support::seconds report_half_life{60};
    /// What is older is forgotten, and not reported.
    support::seconds oldest{300};
    /// Interval between two refreshes of what ages.
    support::milliseconds aging_interval{1000};
    /// Bounds of the tables. Kinds beyond are told apart by capacity alone.
    std::size_t most_routes = 64;
    std::size_t most_kinds = 16;
    std::size_t most_endpoints = 1024;
    /// Bounds of one report.
    std::size_t most_reported_run_times = 32;
    std::size_t most_reported_endpoints = 32;
    /// An endpoint is reported again when its logarithm has moved this far,
    /// which is 10%.
    double reported_change = 0.1;
};

struct learned_speeds_hooks
{
    std::function<void(const support::log_line&)> log;
};

class learned_speeds
{
public:
    learned_speeds(learned_speeds_options opts, learned_speeds_hooks callbacks);

    /// Makes the endpoint known. What was learned of an earlier incarnation, or
    /// of one of another kind, is forgotten.
    void add_endpoint(const schema::endpoint_registration& entry);
    /// The endpoint is not this host's any more. What was learned of it is kept
    /// for a while.
    void remove_endpoint(const std::string& id);

    /// Learns that a task of \p route took \p ratio times its estimate.
    void observe(const std::string& route, const std::string& endpoint,
                 double ratio, support::instant now);

    /// Returns the run time of \p route's tasks against their estimates, at an
    /// average endpoint.
    double route_ratio(const std::string& route) const;
    /// Returns how much longer than at an average endpoint a task takes at
    /// \p endpoint: 2 is twice as long.
    double slowness(const std::string& endpoint) const;

    /// Returns whether anything was learned from own runs since the last call.
    bool take_news();
    /// Returns what was learned from own runs; with endpoints those that have
    /// changed since their last report, at most one report's worth.
    schema::learned_speeds_report take_report(bool with_endpoints,
                                              support::instant now);
    /// Returns all that is known, also from others, for a new owner.
    schema::learned_speeds_report
    report_for_successor(bool with_endpoints, support::instant now) const;
    /// Takes over what \p peer has learned; with \p with_endpoints also of
    /// single endpoints. Each malformed entry is refused by itself.
    void merge(const std::string& peer,
               const schema::learned_speeds_report& report, bool with_endpoints,
               support::instant now);

    /// Lets what was learned age.
    void tick(support::instant now);

    /// Learned slowness of a kind, for metrics.
    struct kind_summary
    {
        double slowness = 1;
        /// Runs that it was learned from, own and reported.
        double weight = 0;
    };
    std::map<std::string, kind_summary> kinds_now() const;
    /// Returns the time since the last report of another host, if any came.
    std::optional<support::decision_clock::duration>
    report_age(support::instant now) const;
    std::size_t endpoint_count() const
    {
        return this->endpoints.size();
    }

private:
    /// A mean and how many runs it rests on.
    struct estimate
    {
        double mean = 0;
        double weight = 0;
        support::instant as_of = {};

        /// Adds a sample; earlier ones count as \p most at most.
        void add(double sample, double most, support::instant now);
        /// Returns the weight, halved once for each \p half_life of its age.
        double weight_at(support::instant now,
                         support::seconds half_life) const;
    };
    /// One route at one kind.
    struct cell
    {
        estimate seen = {};
        estimate heard = {};
        double log_variance = 0;
    };
    struct kind_state
    {
        std::string name;
        double log_factor = 0;
        /// exp(log_factor).
        double factor = 1;
        double weight = 0;
        double logged_factor = 0;
    };
    struct route_state
    {
        double log_mean = 0;
        double log_variance = 0;
        /// exp(log_mean + log_variance / 2), the mean of a lognormal variable.
        double ratio = 1;
        /// By number of the kind.
        std::map<std::size_t, cell> cells;
    };
    struct endpoint_state
    {
        std::int64_t born_ms = 0;
        std::size_t kind = 0;
        estimate seen = {};
        estimate heard = {};
        double log_deviation = 0;
        double reported = 0;
        support::instant reported_at = {};
        /// The last run was far from what was expected, by this much.
        std::optional<double> surprise = {};
        /// Run time against what the kind takes.
        double factor = 1;
        /// A shard of this host has it. Until then a report says which
        /// incarnation it is.
        bool is_known = false;
        support::instant touched = {};
    };

    std::size_t number_of_kind(const std::string& name);
    /// Returns null if there are too many routes.
    route_state* find_or_add_route(const std::string& name);
    /// Returns the mean and the weight of a cell.
    estimate value_of(const cell& of, support::instant now) const;
    void update_route(route_state& route, support::instant now);
    void update_kind(std::size_t kind, support::instant now);
    void update_endpoint(endpoint_state& endpoint, support::instant now) const;
    void update_all(support::instant now);
    /// Returns the usual deviation of a run's logarithm.
    double usual_deviation() const;
    void log_kinds();
    bool merge_run_time(const schema::learned_run_time& told,
                        support::instant now);
    bool merge_endpoint(const schema::learned_endpoint& told,
                        support::instant now);
    bool is_valid(double mean, double weight, std::int64_t age_ms) const;
    /// Returns an estimate as of \p told's age.
    estimate heard_estimate(double mean, double weight, std::int64_t age_ms,
                            support::instant now) const;
    void add_run_times(schema::learned_speeds_report& report, bool with_heard,
                       support::instant now) const;

    learned_speeds_options options;
    learned_speeds_hooks hooks;
    std::vector<kind_state> kinds;
    std::map<std::string, std::size_t> kind_numbers;
    std::unordered_map<std::string, route_state> routes;
    std::unordered_map<std::string, endpoint_state> endpoints;
    /// Mean square of what is left of runs' logarithms.
    double residual_variance = 0;
    bool has_news = false;
    support::instant next_aging = {};
    std::optional<support::instant> last_report = {};
    /// Peers whose malformed reports were logged.
    std::set<std::string> logged_peers;
};

} // namespace chicorydrum::shard
