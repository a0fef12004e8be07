/// \file
/// Which endpoints fail what they start, judged against their peers.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <string>
#include <unordered_map>

namespace chicorydrum::decision
{

enum class health_state
{
    healthy,
    /// Failed lately: one task at a time.
    suspect,
    /// Gets nothing until its backoff is over.
    ejected,
    /// The backoff is over: one trial.
    on_trial,
};

std::string_view name_of(health_state state);

struct endpoint_health_options
{
    /// Most endpoints that may be ejected at once, of those listed.
    int max_ejected_percent = 30;
    support::milliseconds first_backoff{1000};
    support::milliseconds max_backoff{60000};
    support::milliseconds first_refusal_pause{50};
    support::milliseconds max_refusal_pause{2000};
};

/// Scores failures by how rare they are elsewhere: a kind that fails on every
/// endpoint ejects none, an endpoint that fails what others run is ejected.
class endpoint_health
{
public:
    explicit endpoint_health(endpoint_health_options given) : options(given)
    {
    }

    void set_max_ejected_percent(int percent)
    {
        this->options.max_ejected_percent = percent;
    }

    void succeeded(const std::string& endpoint, const std::string& kind);
    void failed(const std::string& endpoint, const std::string& kind,
                std::size_t listed_endpoints, support::instant now);
    /// A certain refusal: a short pause that grows while refusals go on.
    void refused(const std::string& endpoint, support::instant now);

    health_state state(const std::string& endpoint, support::instant now) const;
    /// Whether a refusal's pause is still on.
    bool is_paused(const std::string& endpoint, support::instant now) const;

    void forget(const std::string& endpoint);

private:
    /// Outcomes that fade with each new one.
    struct outcome_counts
    {
        double succeeded = 0;
        double failed = 0;

        void add(bool is_success);
    };

    struct endpoint_record
    {
        double score = 0;
        bool ejected = false;
        support::instant ejected_until;
        support::milliseconds backoff{0};
        support::instant paused_until;
        support::milliseconds pause{0};
        std::unordered_map<std::string, outcome_counts> by_kind;
    };

    double weight_of_failure(const endpoint_record& record,
                             const std::string& kind) const;
    void eject(endpoint_record& record, support::instant now);

    endpoint_health_options options;
    std::unordered_map<std::string, endpoint_record> endpoints;
    std::unordered_map<std::string, outcome_counts> kinds;
    std::size_t ejected_count = 0;
};

} // namespace chicorydrum::decision
