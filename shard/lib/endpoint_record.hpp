/// \file
/// An owner's state of one endpoint beside its lease: whether it responds, how
/// reliably it runs tasks, and the pending list request.
#pragma once

#include "chicorydrum/shard/directory.hpp"
#include "chicorydrum/shard/leased_endpoint.hpp"

#include <optional>

namespace chicorydrum::shard
{

struct endpoint_record
{
    leased_endpoint lease;
    /// Whether the platform lists the endpoint. Otherwise it gets no new work.
    bool is_listed = true;
    support::instant unlisted_since = {};
    /// Of the entry, as long as the endpoint is listed.
    entry_doubt doubt = entry_doubt::none;
    /// Whether its domain is evacuated.
    bool is_evacuated = false;
    /// Whether its last call was answered.
    bool is_responding = true;
    /// A list must be requested at once, even if no run is known there.
    bool needs_list = false;
    /// The last list had ends that are not acknowledged yet.
    bool has_unacknowledged = false;
    /// The pending list request, or 0.
    order_id list_order = 0;
    support::instant list_requested_at = {};
    /// The pending request is answered only when a run ends.
    bool list_is_long_poll = false;
    /// When its answer becomes overdue.
    support::instant list_due = {};
    /// Consecutive list requests whose answer was overdue.
    int overdue_lists = 0;
    /// List requests that have failed, other than by being overdue.
    int failed_lists = 0;
    /// When the last answered list was requested.
    support::instant listed_as_of = {};
    /// Where the last list came from; unset before the first one. All runs that
    /// are known to be active are there.
    std::optional<endpoint_address> listed_at = {};
    support::instant next_list = {};
    /// When a call last got no answer. Ends of runs that started earlier may
    /// have been observed late, so that their run times are unreliable.
    support::instant last_unanswered = {};
    /// The endpoint gets no new tasks until then.
    support::instant quarantined_until = {};
    /// When the runs that an earlier owner was stopping at the first list,
    /// which may not show them, have ended.
    support::instant settled_at = {};
    int consecutive_failures = 0;
    int quarantines = 0;

    /// Returns whether the platform lists the endpoint for new work, and the
    /// operator leaves its domain in use.
    bool is_offered() const
    {
        return this->is_listed && this->doubt != entry_doubt::unusable &&
               !this->lease.entry().is_draining && !this->is_evacuated;
    }
    void run_succeeded();
    /// Records a failed run; several in a row quarantine the endpoint, longer
    /// each time.
    void run_failed(support::instant now);
    void quarantine(support::instant now);
};

} // namespace chicorydrum::shard
