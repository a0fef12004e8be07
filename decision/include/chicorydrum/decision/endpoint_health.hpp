/// \file
/// Outlier detection: which endpoints fail tasks that succeed on others.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <string>
#include <unordered_map>

namespace chicorydrum::decision
{

enum class health_state
{
    healthy,
    /// Failed recently: gets one task at a time.
    suspect,
    /// Gets no task until its backoff ends.
    ejected,
    /// The backoff has ended: gets one trial task.
    on_trial,
};

std::string_view name_of(health_state state);

struct endpoint_health_options
{
    /// Largest percentage of the listed endpoints that may be ejected at once.
    int max_ejected_percent = 30;
    support::milliseconds first_backoff{1000};
    support::milliseconds max_backoff{60000};
    support::milliseconds first_refusal_pause{50};
    support::milliseconds max_refusal_pause{2000};
};

/// Weights failures by how rare they are on other endpoints: a kind that fails
/// everywhere ejects no endpoint, while an endpoint that fails tasks that
/// succeed on others is ejected.
class endpoint_health
{
public:
    explicit endpoint_health(endpoint_health_options opts) : options(opts)
    {
    }

    void set_max_ejected_percent(int percent)
    {
        this->options.max_ejected_percent = percent;
    }

    void succeeded(const std::string& endpoint, const std::string& kind);
    void failed(const std::string& endpoint, const std::string& kind,
                std::size_t listed_endpoints, support::instant now);
    /// Pauses an endpoint that refused a task. The pause grows with each
    /// further refusal.
    void refused(const std::string& endpoint, support::instant now);

    health_state state(const std::string& endpoint, support::instant now) const;
    /// Returns whether the endpoint is paused after a refusal.
    bool is_paused(const std::string& endpoint, support::instant now) const;

    void forget(const std::string& endpoint);

private:
    /// Outcome counts with exponential decay.
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
