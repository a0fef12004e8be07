/// \file
/// What an owner keeps of one endpoint beside its lease: whether it answers,
/// how it treats tasks, and which list is on its way.
#pragma once

#include "chicorydrum/shard/leased_endpoint.hpp"

namespace chicorydrum::shard
{

struct endpoint_record
{
    leased_endpoint lease;
    /// Whether the platform lists it. One that it does not list any more gets
    /// no new work.
    bool is_listed = true;
    /// Whether its last call was answered.
    bool is_responding = true;
    /// A list is wanted at once, whatever is known to run there.
    bool needs_list = false;
    /// The last list had ends that the endpoint still keeps.
    bool has_unacknowledged = false;
    /// The list request on its way, or 0.
    order_id list_order = 0;
    support::instant list_requested_at = {};
    /// The endpoint holds that request open until a run ends.
    bool list_is_long_poll = false;
    /// When its answer is overdue.
    support::instant list_due = {};
    /// Requests in a row whose answer was overdue.
    int overdue_lists = 0;
    /// When the last list that was answered had been asked for.
    support::instant listed_as_of = {};
    support::instant next_list = {};
    /// When a call got no answer last. Ends of runs that began before may have
    /// been seen late, so that their length tells nothing.
    support::instant last_unanswered = {};
    /// Gets no new tasks until then.
    support::instant quarantined_until = {};
    int consecutive_failures = 0;
    int quarantines = 0;

    void run_succeeded();
    /// Notes a run that failed there; several in a row take the endpoint out
    /// for a while, longer each time.
    void run_failed(support::instant now);
    void quarantine(support::instant now);
};

} // namespace chicorydrum::shard
