/// \file
/// Decides which shard a job is offered to after another one has refused it:
/// where it is expected to end in time, by the room there, the way, and the
/// risk that it is lost. A pure function without I/O.
#pragma once

#include "chicorydrum/shard/shard_room.hpp"
#include "chicorydrum/support/clock.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace chicorydrum::shard
{

struct offer_options
{
    /// News of a shard that is older says nothing: three local heartbeats, or a
    /// remote one that is late by half its interval. Its owner or the way there
    /// may be lost.
    support::milliseconds stale_after{450};
    /// Another domain is preferred only if it saves more than this: one tick,
    /// below which expected times do not tell shards apart.
    support::milliseconds remote_cost{25};
    /// Shards whose costs differ by less are chosen at random by their room, so
    /// that hosts do not send their jobs to the same one.
    support::milliseconds near_equal{25};
    /// Share of a shard's room that the most urgent job of another domain must
    /// leave to the shard's own callers if it runs for reserve_run or longer;
    /// less for a shorter one, as only what arrives meanwhile finds the room
    /// taken, and more for a less urgent one, as in load shedding.
    double remote_reserve = 0.2;
    support::milliseconds reserve_run{500};
    /// A shard of another domain of whose room nothing is known gets offers
    /// only below this load.
    double remote_load_limit = 0.8;
};

/// What a job needs to be worth its capacity.
struct offer_need
{
    int tasks = 1;
    /// Of one task.
    std::int64_t millicores = 0;
    /// 0 is the most urgent.
    int priority = 0;
    /// The expected run time of the whole job once its tasks have started.
    support::milliseconds run{0};
    /// Time until it must have ended.
    support::milliseconds left{0};
};

/// A reachable shard that has not refused the job.
struct offer_candidate
{
    bool is_local = true;
    /// None if its owner tells of no room: it is of an earlier version.
    const pool_room* room = nullptr;
    /// Of the news of its room.
    support::milliseconds age{0};
    /// Room that the job must leave there, as a share of all that comes.
    double reserve = 0;
    /// Sent there by this host, and not included in its room.
    std::int64_t sent_millicores = 0;
    /// How long a message takes there and back.
    support::milliseconds way{0};
    /// The share of its domain's hosts that were lost lately.
    double risk = 0;
    /// Demand over capacity.
    double load = 1;
};

struct offer_choice
{
    /// The index of the candidate to offer the job to; none if no shard is
    /// expected to end it in time.
    std::optional<std::size_t> chosen;
    /// The expected wait there.
    support::milliseconds wait{0};
    /// When room for the job is expected anywhere, also if that is too late;
    /// none if nothing tells.
    std::optional<support::milliseconds> soonest;
};

/// Returns after how long the job is expected to start there as a whole, or to
/// end as if it did; none if that is beyond what the room tells of.
std::optional<support::milliseconds>
expected_wait(const offer_need& need, const offer_candidate& candidate);

/// \p draw, in [0, 1), selects among shards that are nearly equal.
offer_choice choose_offer(const offer_options& options, const offer_need& need,
                          const std::vector<offer_candidate>& candidates,
                          double draw);

} // namespace chicorydrum::shard
