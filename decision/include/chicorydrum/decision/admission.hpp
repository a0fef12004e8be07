/// \file
/// Whether a submission is accepted, and if not, why.
#pragma once

#include "chicorydrum/decision/bundle_view.hpp"
#include "chicorydrum/decision/rate_limiter.hpp"
#include "chicorydrum/decision/scheduler.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace chicorydrum::decision
{

struct admission_options
{
    /// Bytes of unfinished submissions.
    std::size_t max_open_bytes = 64U << 20U;
    /// Whether submissions that would be late by prediction are refused.
    bool sheds_predicted_late = true;
};

/// Refuses early what cannot be run, or not in time, or is over a quota.
/// Every refusal is certain: nothing of the submission has started.
class admission
{
public:
    admission(admission_options given, const bundle_view& rules,
              const scheduler& tasks);

    /// The refusal of \p work, or none if it is accepted; \p open_bytes are
    /// held by unfinished submissions now.
    std::optional<schema::answer> find_refusal(const schema::submission& work,
                                               std::size_t open_bytes,
                                               support::instant now);

    /// No new submission is accepted from here on.
    void refuse_all()
    {
        this->is_refusing = true;
    }
    bool refuses_all() const
    {
        return this->is_refusing;
    }

    /// Hosts that the platform lists; quotas are split among them.
    void set_quota_hosts(std::size_t hosts);

private:
    std::optional<schema::answer>
    find_invalid(const schema::submission& work) const;
    std::optional<schema::answer>
    find_misfit(const schema::submission& work) const;
    std::optional<schema::answer> take_quota(const schema::submission& work,
                                             support::instant now);

    admission_options options;
    const bundle_view& bundle;
    const scheduler& scheduling;
    std::unordered_map<std::string, rate_limiter> team_rates;
    std::size_t quota_hosts = 1;
    bool is_refusing = false;
};

} // namespace chicorydrum::decision
