/// \file
/// The owner of a shard: it alone extends leases on the shard's endpoints and
/// starts tasks there, from one queue of jobs.
#pragma once

#include "chicorydrum/shard/directory.hpp"
#include "chicorydrum/shard/ended_jobs.hpp"
#include "chicorydrum/shard/learned_speeds.hpp"
#include "chicorydrum/shard/leased_endpoint.hpp"
#include "chicorydrum/shard/messages.hpp"
#include "chicorydrum/shard/owner_sightings.hpp"
#include "chicorydrum/shard/refused_jobs.hpp"
#include "chicorydrum/shard/shard_room.hpp"
#include "chicorydrum/support/line_limit.hpp"
#include "chicorydrum/support/log.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorydrum::shard
{

class owned_job;
class capacity_plan;
class place_bookings;
class round_trip;
struct owned_task;
struct endpoint_record;
struct planned_group;
struct pool_plan;
struct planned_job;
struct shed_job;
struct endpoint_forecast;

/// How the start of a task turned out for which a place near its data or its
/// group, or a faster one, was weighed.
enum class place_outcome
{
    /// It has waited, and starts where it is expected to end as soon as there.
    reached,
    /// It has waited, and starts elsewhere: the wait does not pay any more.
    given_up,
    /// It starts away from its data or group at once: no wait would pay.
    started_far,
};

std::string_view name_of(place_outcome outcome);

/// Why the lease of an endpoint is not extended, so that all its runs end.
enum class withheld_lease
{
    /// No job here accounts for a run: another owner may have its job, and
    /// counts on the end of the run with its owner's lease.
    run_unclaimed,
    /// A stop is not confirmed. A copy of the job may start elsewhere, and
    /// counts on the end of the run.
    stop_unconfirmed,
    /// The entry host of a run's job is silent, and its callers may have been
    /// lost with it. Their copies come sooner after the loss than a lease
    /// lapses that is extended until the host counts as lost.
    host_silent,
};

std::string_view name_of(withheld_lease reason);

struct shard_hooks
{
    /// Returns an order number that is unique in this process.
    std::function<order_id()> next_order;
    std::function<void(const start_order&)> start;
    std::function<void(const stop_order&)> stop;
    std::function<void(const list_request&)> list;
    /// Reports a job's result to its entry host \p host. Must not call the
    /// shard until the calling function has returned.
    std::function<void(const std::string& host, const schema::job_ended&)>
        report;
    /// Returns whether all live endpoints are listed.
    std::function<bool()> endpoints_are_complete;
    /// Returns whether tasks may start at an endpoint: the hosts that may
    /// succeed this owner know it. Without it they may start anywhere.
    std::function<bool(const schema::endpoint_registration&)> may_start_at = {};
    /// Returns whether this process has read the platform's endpoints.
    std::function<bool()> has_read_endpoints;
    /// Returns an owner of another shard that was lost and may have left runs
    /// of jobs that are new here, if any.
    std::function<std::optional<lost_owner>()> find_lost_owner;
    /// An endpoint refuses this owner's fencing token; \p had_accepted if it
    /// had accepted that token before.
    std::function<void(const std::string& endpoint, bool had_accepted)> fenced;
    std::function<void(const support::log_line&)> log;
    /// Returns whether an entry host is of another domain. Without it none is.
    std::function<bool(const std::string& host)> is_of_other_domain = {};
    /// Reports the time from the first order to stop a run until a list shows
    /// that it is over. May be empty.
    std::function<void(support::decision_clock::duration)> stop_took = {};
    /// Reports the start of a task for which places were weighed, and for how
    /// long it has waited for one. May be empty.
    std::function<void(place_outcome, support::decision_clock::duration)>
        placed = {};
};

struct shard_options
{
    std::string domain;
    /// The shard's number, and the number of shards of the domain.
    int shard = 0;
    int shards = 1;
    /// Tasks of a job from an earlier owner may run on endpoints of other
    /// shards, whose runs this owner cannot list.
    bool was_divided = false;
    /// This process knows all endpoints where earlier owners may have runs.
    bool knows_endpoints = false;
    fencing_token token = 0;
    lease_rules lease = {};
    /// Factor by which a task takes longer away from its data.
    double far_factor = 2;
    /// A lease is extended when the last extension is this old, so that two
    /// thirds of it are left when an answer is lost. List requests wait for an
    /// end until then.
    support::milliseconds extension_interval{300};
    /// Interval between list requests to an endpoint that does not respond.
    support::milliseconds retry_interval{200};
    /// How long a run of an earlier owner is kept for its job to be submitted
    /// again; with failure detection it stays below the callers' resend delay.
    support::milliseconds adoption_window{400};
    /// How long an endpoint that becomes known gets no task: runs that an
    /// earlier owner is stopping there may not be listed. The longest stop, on
    /// a clock 2% slow.
    support::milliseconds settling_time{51};
};

/// The room of a shard is told while it is less old: a few runs end meanwhile.
/// Bounds the work for refusals in series.
inline constexpr support::milliseconds max_room_age{10};

class shard_owner
{
public:
    /// \p learned is shared by the shards of a host; without it, the owner
    /// learns run times by itself.
    shard_owner(shard_options opts, shard_hooks callbacks, support::instant now,
                std::shared_ptr<learned_speeds> learned = nullptr);
    ~shard_owner();
    shard_owner(const shard_owner&) = delete;
    shard_owner& operator=(const shard_owner&) = delete;

    fencing_token token() const
    {
        return this->options.token;
    }

    int shard_count() const
    {
        return this->options.shards;
    }

    /// Applies the platform's current list of endpoints.
    void
    update_endpoints(const std::vector<schema::endpoint_registration>& listed,
                     support::instant now);

    /// Applies which of the listed endpoints are in doubt, from the next tick
    /// or update_endpoints() on.
    void update_doubts(std::map<std::string, entry_doubt> doubted);

    /// The shard's domain is evacuated from now on, or not any more. Then no
    /// task starts: running ones go on, and jobs with waiting tasks end, as not
    /// run if that is certain.
    void set_evacuated(bool is_evacuated, support::instant now);

    /// Lists endpoints that the platform does not list any more: tasks that an
    /// earlier owner has started may run there.
    void
    list_leftovers(const std::vector<schema::endpoint_registration>& dropped,
                   support::instant now);
    /// Accepts a job from an entry host, for the first time or again.
    void submit(const std::string& host, const schema::job_submitted& job,
                support::instant now);
    /// Refuses a job that this host's configuration does not allow, for
    /// \p reason, unless it is a copy of one that is known here.
    void decline(const std::string& host, const schema::job_submitted& job,
                 const std::string& reason, support::instant now);
    /// Stops and removes a job whose caller at \p host has left, unless a copy
    /// of it has arrived since.
    void withdraw(const std::string& host, const schema::job_withdrawn& job,
                  support::instant now);
    /// Ends job \p id, and every later submission of it, as cancelled. Returns
    /// whether it was open.
    bool cancel(const std::string& id, support::instant now);
    /// Returns whether job \p id is remembered as cancelled or as ended.
    bool has_result(const std::string& id) const
    {
        return this->results.find(id).has_value();
    }
    /// Withdraws the jobs of an entry host except those with ids in \p open.
    void withdraw_all(const std::string& host,
                      const std::vector<std::string>& open,
                      support::instant now);
    /// Entry host \p host has \p job open in another shard, as it did under an
    /// earlier owner: copies of it end as interrupted. The host is told if the
    /// job was cancelled here.
    void note_elsewhere(const std::string& host,
                        const schema::job_elsewhere& job, support::instant now);
    /// Sets the hosts that may be lost: no lease is extended beside the runs of
    /// their jobs.
    void set_silent_hosts(std::set<std::string> hosts)
    {
        this->silent_hosts = std::move(hosts);
    }
    /// Ends the jobs of an entry host that has failed, as its callers'
    /// connections are lost with it. If it is only late, it is told.
    void end_jobs_of(const std::string& host, support::instant now);

    void start_answered(const order_answered& answer, support::instant now);
    void stop_answered(const order_answered& answer, support::instant now);
    void listed(const runs_listed& list, support::instant now);
    /// An idle connection to \p address was closed: the endpoint there gets no
    /// start before it is listed again.
    void endpoint_disconnected(const std::string& address, int port,
                               support::instant now);

    /// Every live host has submitted what it has open in this shard: ends the
    /// adoption window.
    void end_adoption()
    {
        this->adoption_has_ended = true;
    }

    /// Returns since when no host may have been lost if this owner is to rely
    /// on their answers: its jobs may run on endpoints of another half, which
    /// this owner can't list. None if the shard was not divided lately.
    std::optional<support::instant> needs_all_hosts_since() const;
    /// Every host whose jobs are kept has named those that run in other shards
    /// and whose copies arrive here.
    void end_inquiry(support::instant now);

    /// Returns whether runs of earlier owners may be active that this one does
    /// not know, as far as its own new jobs wait for them, or that it has not
    /// assigned to jobs.
    bool is_adopting(support::instant now) const;

    /// Returns whether this process knows all endpoints where earlier owners
    /// may have runs; at the latest when their leases have lapsed.
    bool knows_endpoints(support::instant now) const
    {
        return this->options.knows_endpoints ||
               now >= this->predecessors_lapse();
    }
    /// This process has learned of all endpoints where earlier owners may have
    /// runs.
    void learned_endpoints()
    {
        this->options.knows_endpoints = true;
    }
    /// Returns the endpoints where this owner may have runs. Their versions are
    /// not set.
    std::vector<schema::held_endpoint> held_endpoints() const;

    /// Handles deadlines, leases and requests that are due.
    void tick(support::instant now);

    std::map<std::string, std::int32_t> waiting_by_route() const;
    /// Returns the millicores of active and waiting tasks, and those of the
    /// endpoints.
    schema::ownership load() const;
    /// Measures the room for new tasks, unless that was done less than
    /// max_room_age ago.
    void update_rooms(support::instant now);
    /// Returns the room for new tasks, as of rooms_as_of().
    const pool_rooms& rooms() const
    {
        return this->measured_rooms;
    }
    support::instant rooms_as_of() const
    {
        return this->rooms_measured_at;
    }
    /// Returns the entry hosts whose callers wait for a job here, or for one
    /// that was refused here and may run elsewhere.
    std::vector<std::string> caller_hosts() const;
    std::size_t open_jobs() const
    {
        return this->jobs.size();
    }
    std::size_t endpoint_count() const
    {
        return this->endpoints.size();
    }
    int running_tasks() const;
    /// Returns whether runs are active at endpoints that the platform does not
    /// list any more.
    bool has_unlisted_runs() const;

private:
    struct sent_order
    {
        endpoint_address to;
        task_key task;
        fencing_token token = 0;
        support::instant sent_at = {};
        /// The endpoint may hold its answer back.
        bool is_long_poll = false;
        /// It would do harm if it were executed later, so that the token is
        /// raised when it gets no answer.
        bool is_raising = false;
    };
    /// Core time that a route's tasks have used recently, as of a time.
    struct recent_use
    {
        double core_ms = 0;
        support::instant as_of;
    };

    // Jobs.
    void refuse(const std::string& host, const schema::job_submitted& job,
                const std::string& reason, support::milliseconds retry_after,
                support::instant now);
    /// Returns why no endpoint here could run \p work, or an empty string.
    std::string unplaceable_reason(const schema::job& work,
                                   const schema::job_policy& terms) const;
    bool reattach_caller(const std::string& host,
                         const schema::job_submitted& job,
                         support::instant now);
    void adopt_runs(owned_job& job);
    void remove(const std::string& id, support::instant now);
    void finish(const std::string& id, schema::job_result outcome,
                const std::string& reason, support::instant now);
    void stop_runs_of(const owned_job& job, support::instant now);
    /// Returns whether runs of \p job may be active, also of an earlier copy.
    bool has_runs_of(const std::string& job) const;
    /// Returns whether \p job cannot be answered as not run.
    bool may_have_run(const owned_job& job, support::instant now) const;
    /// The same of a job that is not open; \p was_sent_to_others if another
    /// owner has received it.
    bool may_have_run(const schema::job& work, bool was_sent_to_others,
                      support::instant now) const;
    void end_expired_jobs(support::instant now);
    /// Ends the jobs with tasks that can't start, once it is known what earlier
    /// owners have started of them.
    void end_evacuated_jobs(support::instant now);
    /// Tells the host of \p call that job \p id was cancelled.
    void report_cancelled(const std::string& id, const caller_call& call) const;
    /// Remembers that \p call was told that job \p id has not run.
    void record_refusal(const std::string& id, caller_call call,
                        support::instant deadline, support::instant now);

    // Overload.
    /// Returns \p use, decayed exponentially until \p now.
    static double decayed_use(const recent_use& use, support::instant now);
    void record_use(const std::string& route, double core_ms,
                    support::instant now);
    /// Returns what may run on the endpoints of a pool that can be given new
    /// tasks, and for how long it is expected to.
    std::vector<endpoint_forecast> forecast(const std::string& pool,
                                            support::instant now) const;
    /// Returns the plan of a pool with all jobs that wait.
    capacity_plan plan_queue(const std::string& pool,
                             support::instant now) const;
    /// Ends jobs that have not run and for which no capacity is free in time.
    void shed_overload(support::instant now);
    std::vector<shed_job> plan_shedding(const std::string& pool,
                                        const std::vector<owned_job*>& queue,
                                        support::instant now) const;
    planned_job plan_of(const owned_job& job, support::instant now) const;
    /// Returns the tasks of \p job that wait, by group.
    std::vector<planned_group> waiting_groups(const owned_job& job) const;

    // Overflow of other domains.
    /// Returns whether \p job, which is new here, comes from another domain
    /// while jobs wait that would share room with it: what these leave does not
    /// let it start as a whole.
    bool displaces_others(const std::string& host,
                          const schema::job_submitted& job,
                          support::instant now);

    // Placement.
    /// Returns jobs with waiting tasks, in the order in which they are served.
    std::vector<owned_job*> waiting_queue(support::instant now) const;
    void place(support::instant now);
    bool place_job(owned_job& job, support::instant now);
    /// Returns whether every known endpoint was listed in a request since
    /// \p since, and no longer stops runs that it did not list.
    bool has_listed_all_since(support::instant since,
                              support::instant now) const;
    /// Returns whether this owner knows what earlier owners of the shard have
    /// started, and what they have refused that may run in other shards.
    bool knows_runs_of_predecessors(support::instant now) const;
    /// Returns when the last lease of an earlier owner has lapsed.
    support::instant predecessors_lapse() const;
    /// Returns whether this owner knows what another one that was sent \p job
    /// has started of it.
    bool knows_runs_of_others(const owned_job& job, support::instant now) const;
    /// Holds \p job back if it may be a copy whose runs a lost owner of another
    /// shard has left.
    void hold_if_owner_is_lost(owned_job& job, support::instant now);
    /// Returns whether \p job is held back.
    bool is_held(const owned_job& job, support::instant now) const;
    /// Returns the endpoint where a task is expected to end first, or null. May
    /// return null although one is free if a faster one is worth the wait.
    endpoint_record* choose(owned_job& job, const task_key& task,
                            support::instant now);
    double expected_ms(const owned_job& job, int group,
                       const schema::endpoint_registration& endpoint) const;
    /// Returns whether tasks of \p group take longer on \p endpoint, since
    /// their data or the rest of the group is elsewhere.
    static bool is_far(const owned_job& job, int group,
                       const schema::endpoint_registration& endpoint);
    /// Chooses the rack where a group that wants one rack ends first, if that
    /// is sooner than on any endpoints.
    void choose_rack(owned_job& job, int group, support::instant now);
    /// Returns whether a task waits for an endpoint that is expected to be free
    /// later, rather than to start on \p best.
    bool waits_for_place(owned_job& job, const task_key& task,
                         const endpoint_record& best, double best_ms,
                         double fastest_ms, support::instant now);
    /// Reports the start of a task on \p where if places were weighed for it.
    void note_place(const owned_job& job, owned_task& state,
                    const task_key& task, const endpoint_record& where,
                    support::instant now);
    bool has_active_run(const task_key& task) const;
    /// Returns whether \p where has a lease that must not be extended and may
    /// lapse before a task that takes \p run_ms has ended.
    bool lapses_early(const endpoint_record& where, double run_ms,
                      support::instant now) const;
    void start(owned_job& job, const task_key& task, endpoint_record& where,
               support::instant now);
    /// Returns how long a job like \p job would wait for capacity behind those
    /// that wait now.
    support::milliseconds predicted_wait(const owned_job& job,
                                         support::instant now);
    /// Returns the least time that the waiting tasks of \p job can take.
    support::decision_clock::duration
    min_remaining_time(const owned_job& job) const;

    // Runs.
    void run_ended(endpoint_record& where, const ended_run& ended,
                   support::instant now);
    void stop_run(endpoint_record& where, const task_key& task,
                  support::instant now);
    void send_stop(endpoint_record& where, const task_key& task,
                   support::instant now);
    /// Reports how long the stop of a run took whose end a list shows.
    void note_stop(const endpoint_record& where, const ended_run& ended,
                   support::instant now);
    void start_refused(endpoint_record& where, const sent_order& start,
                       order_status status, support::instant now);
    void update_run_times(const owned_job& job, const ended_run& ended,
                          const endpoint_record& where, support::instant now);
    void stop_stalled(endpoint_record& where, support::instant now);

    // Endpoints.
    /// Returns an order that was answered or lost, if its endpoint is still
    /// known.
    std::optional<sent_order> settle_order(order_id order, order_status status,
                                           std::optional<std::int64_t> clock_ms,
                                           support::instant now);
    /// Returns whether another process answers where the endpoint was last
    /// listed, so that all runs there have ended. The same answer from any
    /// other address says nothing about them.
    static bool is_replaced(const endpoint_record& where,
                            const sent_order& order, order_status status);
    /// Reports that \p record refuses this owner's token.
    void report_fenced(const endpoint_record& record);
    /// Returns whether another owner has raised the endpoint's token.
    static bool is_superseded(const endpoint_record& where,
                              const sent_order& order, order_status status);
    endpoint_record* find_endpoint(const std::string& id);
    /// Returns whether an endpoint may yet list runs of earlier owners: it is
    /// neither listed, nor have its list requests failed, nor have earlier
    /// leases lapsed. It is kept then although the platform does not list it.
    bool awaits_first_list(const endpoint_record& record,
                           support::instant now) const;
    void remove_unlisted_endpoints(support::instant now);
    /// Returns whether an endpoint belongs to this shard.
    void update_doubt(endpoint_record& record);
    bool is_of_shard(const schema::endpoint_registration& entry) const;
    endpoint_record& add_endpoint(const schema::endpoint_registration& entry,
                                  support::instant now);
    void drop_endpoint_runs(endpoint_record& record, end_evidence evidence,
                            support::instant now);
    /// Returns after how long a call to an endpoint that does not respond is
    /// repeated.
    support::milliseconds retry_interval(const endpoint_record& record) const;
    void tick_endpoint(endpoint_record& record, support::instant now);
    /// Requests a new list if an answer is overdue.
    void detect_overdue_answers(endpoint_record& record, support::instant now);
    /// Requests a list under a raised token if the last one lacks starts
    /// without answer, so that these cannot be executed any more.
    void fence_off_starts(endpoint_record& record);
    void request_list(endpoint_record& record, support::instant now);
    /// Returns why \p record's lease must not be extended, if so.
    std::optional<withheld_lease>
    reason_to_withhold(const endpoint_record& record) const;
    void log_withheld_lease(const endpoint_record& record,
                            withheld_lease reason, support::instant now);
    /// Returns for how long \p record's lease need not be extended yet.
    support::milliseconds time_to_extension(const endpoint_record& record,
                                            support::instant now) const;
    /// Requests a list from the endpoints that were chosen for a task and whose
    /// clocks were read too long ago.
    void read_old_clocks(support::instant now);
    /// Requests a list from every endpoint at once.
    void request_all_lists(support::instant now);
    void stop_orphans(endpoint_record& record, support::instant now);
    void endpoint_became_known(endpoint_record& record, support::instant now);

    shard_options options;
    shard_hooks hooks;
    support::instant owned_since;
    std::map<std::string, std::unique_ptr<endpoint_record>> endpoints;
    std::map<std::string, std::unique_ptr<owned_job>> jobs;
    std::unordered_map<order_id, sent_order> orders;
    /// Completed, failed and cancelled jobs.
    ended_jobs results;
    /// Jobs whose home is this shard, and which their hosts may have offered to
    /// others.
    refused_jobs refused;
    /// Completed runs whose job has not been submitted to this owner yet.
    std::map<task_key, support::instant> unclaimed_completions;
    /// Raises of the token at endpoints that were removed: they refuse lower
    /// tokens if they are listed again.
    std::map<std::string, fencing_token> earlier_raises;
    /// Of all domains; the records hold those of this shard.
    std::map<std::string, entry_doubt> doubts;
    /// Of all shards of this host.
    std::shared_ptr<learned_speeds> speeds;
    /// Of the calls to all endpoints of the shard.
    std::unique_ptr<round_trip> answers;
    std::set<std::string> silent_hosts;
    std::map<std::string, recent_use> uses;
    /// Of the pass of place() that is under way; null between passes.
    std::unique_ptr<place_bookings> bookings;
    support::line_limit place_lines;
    /// Of the last prediction, as several jobs are often shed at a time.
    std::unique_ptr<pool_plan> last_plan;
    support::line_limit slow_stops;
    support::line_limit withheld_lines;
    pool_rooms measured_rooms;
    support::instant rooms_measured_at;
    bool needs_placing = false;
    /// A pass of place() has chosen idle endpoints whose clocks are old.
    bool has_old_clocks = false;
    /// As all records say.
    bool evacuated = false;
    bool adoption_has_ended = false;
    bool inquiry_has_ended = false;
};

} // namespace chicorydrum::shard
