/// \file
/// One endpoint under one fencing token: what may run there, how much room is
/// left, and until when its lease lasts.
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
    /// The start got no answer: it may have been carried out or may be later.
    unconfirmed,
    running,
    /// Told to stop; it holds its room until it is known to be gone.
    stopping,
};

struct endpoint_run
{
    std::int64_t run = 0;
    run_state state = run_state::ordered;
    /// None for a run that an earlier owner has started.
    std::optional<schema::resources> need = {};
    support::instant started_at = {};
    /// The last order that had been given when the endpoint confirmed the start
    /// or the stop. A list that was ordered later and lacks the run proves
    /// that it is gone.
    std::optional<order_id> confirmed_after = {};
    /// When an unconfirmed stop is sent again.
    support::instant next_stop = {};
    order_id last_order = 0;
    int percent = 0;
};

/// What became of a run that holds no room any more.
struct ended_run
{
    task_key task;
    std::int64_t run = 0;
    run_end how = run_end::lapsed;
    support::instant started_at = {};
};

struct lease_rules
{
    /// The longest lease that an endpoint grants, on its own clock.
    support::milliseconds longest{1000};
    /// What this host asks for at each extension; below the longest one, so
    /// that the endpoint never shortens it.
    support::milliseconds requested{900};
};

/// Whether \p endpoint carries \p label, which names its rack or its kind.
bool has_label(const schema::endpoint_registration& endpoint,
               const std::string& label);

class leased_endpoint
{
public:
    leased_endpoint(schema::endpoint_registration given, lease_rules rules);

    const schema::endpoint_registration& entry() const
    {
        return this->registered;
    }
    endpoint_address address() const;

    /// Takes over changed fields of the same life.
    void update_entry(schema::endpoint_registration changed);

    /// Whether a list under this owner's token has been received, so that the
    /// room is known.
    bool is_known() const
    {
        return this->known;
    }
    const std::map<task_key, endpoint_run>& runs() const
    {
        return this->active_runs;
    }
    /// The highest number of an end that this life has listed.
    std::int64_t last_end_number() const
    {
        return this->last_end;
    }

    /// Whether \p need fits beside all that may run. False if a run's needs
    /// are not known.
    bool has_capacity_for(const schema::resources& need) const;
    schema::resources free_capacity() const;
    int runs_of_group(const std::string& job, int group) const;

    /// The lease end to ask for, on the endpoint's clock; none while its
    /// clock is not known. Notes that the lease may last that long.
    std::optional<std::int64_t> extend_lease(support::instant now);

    /// When all runs are certainly dead if nothing extends the lease.
    std::optional<support::instant> lease_bound() const
    {
        return this->lapses_at;
    }

    void add_run(const task_key& task, endpoint_run run);
    /// \p last_order is the last order that has been given to anyone.
    void start_answered(const task_key& task, order_status status,
                        order_id last_order);
    void begin_stop(const task_key& task, support::instant repeat_at);
    /// Runs whose stop got no answer in time.
    std::vector<task_key> stops_due(support::instant now) const;
    /// An accepted stop means that a run that is not there never starts.
    void stop_answered(const task_key& task, order_id last_order);
    /// Gives a run of an earlier owner its needs.
    void adopt_run(const task_key& task, const schema::resources& need);

    /// Takes in a list; \p last_order is the last order given. Returns the runs
    /// that ended, also those that no start of this owner began.
    std::vector<ended_run> apply_list(const runs_listed& list,
                                      order_id last_order);

    /// Takes in the endpoint's clock as it was when an answer left.
    void record_clock(std::int64_t clock_ms, support::instant now);

    /// All runs are dead: the lease has lapsed, or the life is over.
    std::vector<ended_run> drop_runs();

private:
    struct clock_sample
    {
        std::int64_t clock_ms = 0;
        support::instant taken;
    };

    std::vector<ended_run> apply_ends(const runs_listed& list);
    std::vector<ended_run> drop_missing_runs(const runs_listed& list);

    schema::endpoint_registration registered;
    lease_rules rules;
    bool known = false;
    std::optional<clock_sample> clock;
    std::optional<support::instant> lapses_at;
    std::int64_t last_end = 0;
    /// The life that the last list came from; ends are numbered anew in each.
    std::int64_t listed_incarnation = 0;
    // Everything here holds its room.
    std::map<task_key, endpoint_run> active_runs;
};

} // namespace chicorydrum::shard
