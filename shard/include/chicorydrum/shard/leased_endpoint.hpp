/// \file
/// One endpoint under one fencing token: the runs that may be active there, its
/// free capacity, and the end of its lease.
#pragma once

#include "chicorydrum/shard/messages.hpp"

#include <map>
#include <optional>
#include <vector>

namespace chicorydrum::shard
{

enum class run_state
{
    /// The start was sent and not answered yet.
    ordered,
    /// The start got no answer: it may have been executed, or may still be.
    unconfirmed,
    running,
    /// A stop was sent; the run occupies its capacity until it is known to have
    /// ended.
    stopping,
};

std::string_view name_of(run_state state);

struct endpoint_run
{
    std::int64_t run = 0;
    run_state state = run_state::ordered;
    /// Unknown for a run that an earlier owner has started.
    std::optional<schema::resources> need = {};
    support::instant started_at = {};
    /// The token of the start; 0 for a run that an earlier owner has started.
    fencing_token token = 0;
    /// The last order issued before the endpoint confirmed the start, by its
    /// answer or a list. A list that was requested later and lacks the run
    /// proves that it has ended. Without a value the start may be executed yet.
    std::optional<order_id> started_after = {};
    /// The same for the stop, by the incarnation that the last list came from.
    std::optional<order_id> stopped_after = {};
    /// Set when a list lacks a run that is being stopped: when the run has
    /// certainly ended, even if its end is not listed.
    std::optional<support::instant> gone_by = {};
    /// When its stop was first ordered.
    std::optional<support::instant> stopped_at = {};
    /// When an unconfirmed stop is sent again.
    support::instant next_stop = {};
    /// The order that started it; 0 if an earlier owner did.
    order_id last_order = 0;
    int percent = 0;
};

/// Why a run is known to have ended.
enum class end_evidence
{
    /// The endpoint listed its end.
    listed,
    /// A list that was requested after the start or the stop was confirmed
    /// lacks it.
    missing,
    /// A list under a higher token than its start's lacks it, so that the start
    /// was not executed and will be refused.
    fenced_off,
    /// Nothing extended the endpoint's lease until it had certainly expired.
    lease_lapsed,
    /// The endpoint's incarnation has ended.
    other_incarnation,
    /// The platform has not listed the endpoint for a long time.
    unlisted,
};

std::string_view name_of(end_evidence evidence);

/// A run that occupies no capacity any more, and how it ended.
struct ended_run
{
    task_key task;
    std::int64_t run = 0;
    run_end how = run_end::lapsed;
    support::instant started_at = {};
    end_evidence evidence = end_evidence::listed;
    /// The state that the run had at this owner; unset if it was not known.
    std::optional<run_state> last_state = {};
    /// When this owner first ordered its stop, if it did.
    std::optional<support::instant> stopped_at = {};
};

struct lease_rules
{
    /// The longest lease that an endpoint grants, on its own clock.
    support::milliseconds longest{1000};
    /// The lease requested at each extension; below the longest one, so that
    /// the endpoint never shortens it.
    support::milliseconds requested{900};
    /// The longest time that an endpoint takes to stop a run, on its own clock.
    support::milliseconds longest_stop{50};
    /// How old the last sample of an endpoint's clock may be when a lease is
    /// requested. Requests allow for the slowest clock, so that those by an
    /// older sample would be too short on an accurate one.
    support::milliseconds clock_age{10000};
};

/// Returns the time after which a lease that nobody extends has certainly
/// lapsed, or the stop of its runs has been executed.
support::milliseconds lapse_bound(const lease_rules& lease);

/// Returns whether \p endpoint has \p label, which names its rack or its kind.
bool has_label(const schema::endpoint_registration& endpoint,
               const std::string& label);

/// Returns the rack of \p endpoint, or an empty string if it names none.
std::string rack_of(const schema::endpoint_registration& endpoint);

class leased_endpoint
{
public:
    leased_endpoint(schema::endpoint_registration initial_entry,
                    lease_rules lease, fencing_token owner,
                    fencing_token first_raises = 0);

    const schema::endpoint_registration& entry() const
    {
        return this->registered;
    }
    endpoint_address address() const;

    /// Replaces the entry by a newer one of the same endpoint.
    void update_entry(schema::endpoint_registration changed);

    /// Returns the token for the next order.
    fencing_token token() const
    {
        return (this->owner_token << token_raise_bits) | this->raises;
    }
    /// Raises the token, so that the endpoint refuses all earlier orders once
    /// it has executed a later one.
    void raise_token();
    /// Returns how often the owner's token was raised for this endpoint.
    fencing_token raise_count() const
    {
        return this->raises;
    }
    /// Returns whether the token cannot be raised any more.
    bool is_token_exhausted() const
    {
        return this->raises == max_raises;
    }

    /// Notes that another incarnation answers from now on. Orders to an earlier
    /// one may still be executed there, so that nothing is known of it before
    /// it is listed under a raised token.
    void begin_incarnation();
    /// Returns whether a list under a raised token is due.
    bool awaits_incarnation() const
    {
        return this->is_awaiting;
    }

    /// Returns whether a list under this owner's token has been received, so
    /// that the free capacity is known.
    bool is_known() const
    {
        return this->known;
    }
    const std::map<task_key, endpoint_run>& runs() const
    {
        return this->active_runs;
    }
    /// Returns the highest number of an end that this incarnation has listed.
    std::int64_t last_end_number() const
    {
        return this->last_end;
    }

    /// Returns whether \p need fits beside all runs that may be active. False
    /// if a run's needs are not known.
    bool has_capacity_for(const schema::resources& need) const;
    schema::resources free_capacity() const;
    int runs_of_group(const std::string& job, int group) const;

    /// Returns the lease end for \p order to request, on the endpoint's clock,
    /// or none while that clock is not known, or was read too long ago. The
    /// order may extend the lease until it is answered or fenced off.
    std::optional<std::int64_t> extend_lease(order_id order,
                                             support::instant now);
    /// Returns the latest lease end that was requested of the present
    /// incarnation, for \p order to repeat without extending the lease, or
    /// none.
    std::optional<std::int64_t> keep_lease(order_id order);
    /// Returns how much is left of that lease, zero if nothing is known of it.
    support::milliseconds remaining_lease(support::instant now) const;
    /// Records that \p order was answered, if it extends the lease.
    void extension_answered(order_id order, bool was_executed,
                            std::optional<std::int64_t> clock_ms,
                            support::instant now);
    /// Returns when the lease was last known to be extended, if it was in the
    /// present incarnation.
    std::optional<support::instant> last_extension() const
    {
        return this->extended_at;
    }

    /// Returns when all runs whose start was confirmed have certainly ended if
    /// no further order extends the lease. Orders without answer may be
    /// executed one after the other, each just before the lease ends.
    std::optional<support::instant> lease_bound() const;

    void add_run(const task_key& task, endpoint_run run);
    /// \p last_order is the last order that was issued to any endpoint.
    void start_answered(const task_key& task, order_status status,
                        order_id last_order);
    void begin_stop(const task_key& task, support::instant now,
                    support::instant repeat_at);
    /// Returns the runs whose stop got no answer in time.
    std::vector<task_key> stops_due(support::instant now) const;
    /// Returns whether a run was told to stop and the endpoint has neither
    /// confirmed that nor listed itself without the run: nothing but the lease
    /// bounds how long it lasts.
    bool awaits_stop() const;
    /// Records an accepted stop: if the run is not there, it will never start.
    void stop_answered(const task_key& task, order_id last_order);
    /// Sets the needs of a run of an earlier owner.
    void adopt_run(const task_key& task, const schema::resources& need);

    /// Applies a list that was requested under \p token; \p last_order is the
    /// last order issued. Returns the runs that ended, including those that
    /// this owner did not start.
    std::vector<ended_run> apply_list(const runs_listed& list,
                                      fencing_token token, order_id last_order,
                                      support::instant now);

    /// Drops and returns the stopped runs that lists lack and whose stop has
    /// certainly been executed.
    std::vector<ended_run> drop_stopped_runs(support::instant now);

    /// Returns whether the endpoint's clock was read too long ago to request a
    /// lease.
    bool clock_is_old(support::instant now) const;
    /// Records the endpoint's clock as it was when it sent an answer.
    void record_clock(std::int64_t clock_ms, support::instant now);

    /// Returns the incarnation that the last list came from; 0 before the
    /// first list.
    std::int64_t last_listed_incarnation() const
    {
        return this->listed_incarnation;
    }

    /// Returns whether the entry is that of the incarnation that was listed
    /// last. Another one may have another capacity, pool or other labels.
    bool has_current_entry() const
    {
        return this->listed_incarnation == 0 || this->registered.born_ms == 0 ||
               this->listed_incarnation == this->registered.born_ms;
    }

    /// Returns whether a run is active whose start was confirmed.
    bool has_confirmed_runs() const;
    /// Drops and returns the runs that \p evidence proves to have ended. A
    /// lease that has lapsed proves nothing about a start that may be executed
    /// yet.
    std::vector<ended_run> drop_runs(end_evidence evidence);

private:
    static constexpr fencing_token max_raises =
        (fencing_token{1} << token_raise_bits) - 1;

    struct clock_sample
    {
        std::int64_t clock_ms = 0;
        support::instant taken;
    };
    struct open_extension
    {
        fencing_token token = 0;
        std::int64_t lease_end_ms = 0;
    };

    /// Extends the lease's bound for an order that was executed by \p now.
    void raise_bound(support::milliseconds granted, support::instant now);
    /// Returns the endpoint's clock, if it is known, as of an accurate one and
    /// of one that is as slow as the platform allows.
    std::optional<std::int64_t> clock_at(support::instant now) const;
    std::optional<std::int64_t> earliest_clock_at(support::instant now) const;
    /// Forgets the extensions that a list under \p token rules out.
    void fence_off_extensions(fencing_token token, support::instant now);

    std::vector<ended_run> apply_ends(const runs_listed& list);
    std::vector<ended_run> drop_missing_runs(const runs_listed& list,
                                             fencing_token token,
                                             support::instant now);

    schema::endpoint_registration registered;
    lease_rules rules;
    fencing_token owner_token = 0;
    fencing_token raises = 0;
    bool known = false;
    bool is_awaiting = false;
    std::optional<clock_sample> clock;
    /// When the lease ends if no open extension is executed any more.
    std::optional<support::instant> answered_bound;
    std::optional<support::instant> extended_at;
    std::map<order_id, open_extension> open_extensions;
    /// The latest lease end that was requested, on the present incarnation's
    /// clock.
    std::optional<std::int64_t> latest_lease_end_ms;
    /// The highest token under which this endpoint was listed.
    fencing_token listed_token = 0;
    std::int64_t last_end = 0;
    /// The incarnation that the last list came from; each numbers its ends
    /// anew.
    std::int64_t listed_incarnation = 0;
    // Each of these runs occupies its capacity.
    std::map<task_key, endpoint_run> active_runs;
};

} // namespace chicorydrum::shard
