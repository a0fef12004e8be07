/// \file
/// Admission control: decides whether a submission is accepted, and why not.
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
    /// Limit on the bytes held by unfinished submissions.
    std::size_t max_open_bytes = 64U << 20U;
    /// Whether submissions that are predicted to miss their deadline are
    /// refused.
    bool sheds_predicted_late = true;
};

/// Refuses submissions that cannot run, cannot finish in time or exceed a
/// quota. A refused submission is guaranteed not to have started.
class admission
{
public:
    admission(admission_options opts, const bundle_view& rules,
              const scheduler& tasks);

    /// Returns the refusal of \p work, or none if it is accepted. Unfinished
    /// submissions currently hold \p open_bytes.
    std::optional<schema::answer> find_refusal(const schema::submission& work,
                                               std::size_t open_bytes,
                                               support::instant now);

    /// Refuses all further submissions.
    void refuse_all()
    {
        this->is_refusing = true;
    }
    bool refuses_all() const
    {
        return this->is_refusing;
    }

    /// Sets the number of hosts that the platform lists; team quotas are split
    /// among them.
    void set_quota_hosts(std::size_t hosts);

private:
    std::optional<schema::answer>
    find_invalid(const schema::submission& work) const;
    std::optional<schema::answer>
    find_oversized_task(const schema::submission& work) const;
    std::optional<schema::answer> charge_quota(const schema::submission& work,
                                               support::instant now);

    admission_options options;
    const bundle_view& bundle;
    const scheduler& scheduling;
    std::unordered_map<std::string, rate_limiter> team_rates;
    std::size_t quota_hosts = 1;
    bool is_refusing = false;
};

} // namespace chicorydrum::decision
