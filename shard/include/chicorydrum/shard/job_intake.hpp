/// \file
/// The jobs whose callers wait at this entry host. Each is bound to one shard
/// until the shard refuses it, and is either at the shard's owner or waiting
/// for one. A job that changes owners is marked as possibly running.
#pragma once

#include "chicorydrum/shard/host_view.hpp"
#include "chicorydrum/shard/messages.hpp"
#include "chicorydrum/shard/room_table.hpp"
#include "chicorydrum/support/log.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chicorydrum::shard
{

/// Where a shard is that a job is offered to.
enum class offer_place
{
    /// The job's home shard.
    home,
    own_domain,
    other_domain,
};
inline constexpr std::size_t offer_places = 3;

std::string_view name_of(offer_place place);

/// Why a job was refused as not run.
enum class refusal_cause
{
    /// No shard is expected to have room in time.
    no_room,
    /// It was offered as often as allowed.
    offers_used,
    /// No owner was heard.
    no_owner,
    /// Too many jobs wait at this host.
    too_many_jobs,
    /// This host stops or was isolated before it could send the job.
    host_ends,
};
inline constexpr std::size_t refusal_causes = 5;

std::string_view name_of(refusal_cause cause);

/// What became of the jobs of this host's callers since its process started.
struct intake_counts
{
    struct offers
    {
        std::int64_t accepted = 0;
        std::int64_t refused = 0;
    };
    /// By offer_place.
    std::array<offers, offer_places> offered{};
    /// By refusal_cause.
    std::array<std::int64_t, refusal_causes> refused{};
};

struct intake_hooks
{
    std::function<void(const caller_answer&)> answer;
    /// May end the job before it returns.
    std::function<void(const std::string& owner, const schema::job_submitted&)>
        submit;
    std::function<void(const std::string& owner, const schema::job_withdrawn&)>
        withdraw;
    std::function<void(const support::log_line&)> log;
};

struct intake_options
{
    std::string domain;
    /// How long a job waits for an owner of its home shard before it is sent to
    /// another one. An earlier owner's runs have lapsed by then.
    support::milliseconds home_wait{1100};
    /// How long past the caller's deadline the owner's answer is awaited.
    support::milliseconds answer_slack{100};
    /// Maximum number of shards of the own domain that a job is offered to,
    /// its home included, and of all shards, one after the other: some offers
    /// are kept for other domains. An offer takes some milliseconds; eight take
    /// less than the shortest targets leave.
    int max_local_offers = 4;
    int max_offers = 8;
    /// Of the choices among shards that are nearly equal.
    std::uint64_t seed = 1;
    /// Maximum number of jobs that wait here; more are refused at once.
    std::size_t max_open_jobs = 2000;
};

class job_intake
{
public:
    job_intake(intake_options opts, intake_hooks callbacks);

    /// The caller waits for \p timeout since its request arrived, \p waited
    /// before it was read.
    void submit(call_id call, schema::job work, schema::job_policy terms,
                support::milliseconds timeout, support::milliseconds waited,
                support::instant now);
    /// Withdraws the job of a caller that disconnected.
    void caller_left(call_id call, support::instant now);
    /// Cancels a job that waits here. Returns false if there is none.
    bool cancel(const std::string& id, support::instant now);
    bool is_open(const std::string& id) const;
    /// Returns the ids of the jobs that wait for a result of \p host.
    std::vector<std::string> jobs_at(const std::string& host) const;
    /// Returns the jobs that another shard has and \p shard has refused, or
    /// would be sent if they came now, when this host's domain has
    /// \p shard_count shards. Jobs that were withdrawn lately count as well,
    /// until their runs have ended.
    std::vector<schema::job_elsewhere>
    jobs_elsewhere(const shard_name& shard, int shard_count,
                   support::instant now) const;
    /// Returns the hosts that may have a job of this host.
    std::set<std::string> holders() const;

    /// Handles the result of a job. A refusal counts only if it answers the
    /// newest submission.
    void ended(const std::string& host, const schema::job_ended& end,
               support::instant now);
    /// Takes over what came with a refusal that was sent at \p sent or later.
    void hear_rooms(const std::vector<schema::shard_room>& rooms,
                    support::instant sent);
    /// \p shard_count is the number of shards of this host's domain.
    void set_owners(shard_owners changed, int shard_count,
                    support::instant now);
    /// No task starts in \p domains: a job is offered to their shards only as
    /// its home.
    void set_evacuated(std::set<std::string> domains)
    {
        this->evacuated = std::move(domains);
    }
    /// What this host knows of the room of all shards.
    room_table& rooms()
    {
        return this->known_rooms;
    }
    const intake_counts& counts() const
    {
        return this->counted;
    }
    /// Submits the jobs at \p host again, since messages to or from it may be
    /// lost.
    void resubmit_to(const std::string& host, support::instant now);
    void tick(support::instant now);
    /// Gives every waiting caller its final answer and withdraws its job.
    void end_all(const std::string& reason, support::instant now);

    std::size_t open_jobs() const
    {
        return this->jobs.size();
    }

private:
    /// What was expected of a shard when it was offered a job.
    struct offer_basis
    {
        support::milliseconds wait{0};
        support::milliseconds age{0};
        support::milliseconds way{0};
        double risk = 0;
    };

    struct open_job
    {
        schema::job work;
        schema::job_policy terms;
        support::instant arrived;
        /// When this host read the request, maybe long after it had arrived.
        support::instant read;
        support::instant deadline;
        /// The shard that the job is bound to until the shard refuses it, and
        /// the owner that it was sent to; none before the first owner is known.
        std::optional<shard_name> shard = {};
        std::string sent_to = {};
        fencing_token token = 0;
        /// The number of the newest submission.
        std::int32_t submission = 0;
        /// The owners that may have the job, each with the newest submission
        /// that it was sent. Results of earlier ones, which cross it, say
        /// nothing about it.
        std::map<std::string, std::int32_t> holders = {};
        /// Whether another owner may have started tasks of it.
        bool may_run = false;
        /// The own domain's number of shards when it was first sent there; 0
        /// before.
        int first_shards = 0;
        /// Shards that have refused it.
        std::vector<shard_name> refused_by = {};
        /// What the last offer was decided by, for the log.
        offer_basis basis = {};
    };

    /// A job that was withdrawn while runs of it could be active.
    struct withdrawn_job
    {
        call_id call = 0;
        std::string id;
        shard_name shard;
        std::vector<shard_name> refused_by;
        support::instant at;
    };

    /// Returns whether copies of job \p id, which shard \p current has, arrive
    /// at \p shard.
    bool has_copies_at(const shard_name& shard, int shard_count,
                       const std::string& id, const shard_name& current,
                       const std::vector<shard_name>& refused_by) const;
    void keep_withdrawn(call_id call, const open_job& job,
                        support::instant now);
    /// Returns the job's home shard, which receives all copies of the job, or
    /// the least loaded shard of the domain if the home has had no owner for
    /// long.
    std::optional<shard_name> choose(const open_job& job,
                                     support::instant now) const;
    shard_name home_of(const std::string& id) const
    {
        return {.domain = this->options.domain,
                .shard = shard_of(id, this->shards)};
    }
    /// The next offer of a job that was refused.
    struct next_offer
    {
        /// None if the job is to be refused.
        std::optional<shard_name> shard = {};
        offer_basis basis = {};
        refusal_cause cause = refusal_cause::no_room;
        /// When room for the job is expected anywhere, if that is known.
        std::optional<support::milliseconds> soonest = {};
    };
    next_offer choose_next(const open_job& job, support::instant now);
    /// Returns whether a job that was refused may be offered to \p name.
    bool may_offer(const open_job& job, const shard_name& name,
                   const shard_owner_ref& owner) const;
    offer_place place_of(const open_job& job, const shard_name& name) const;
    /// Returns what to tell the caller of a job that no shard takes, so that
    /// those that return do not come together.
    support::milliseconds
    spread_retry(support::milliseconds owner_wait,
                 std::optional<support::milliseconds> soonest);
    void note_refusal(refusal_cause cause);
    void send(call_id call, open_job& job, support::instant now);
    /// Offers a job that a shard has certainly not run to another shard, or
    /// refuses it.
    void shard_refused(call_id call, open_job& job,
                       const schema::job_ended& refusal, support::instant now);
    void resend_all(const std::function<bool(const open_job&)>& is_concerned,
                    support::instant now);
    /// Withdraws a job from all owners that may have it.
    void withdraw(call_id call, const open_job& job);
    /// Withdraws a job that has ended, and tells its home shards, if another
    /// one had it, that it runs nowhere any more, and with which result.
    void withdraw_ended(call_id call, const open_job& job,
                        std::optional<schema::job_result> outcome);
    /// Withdraws a job wherever it may be, and answers its caller.
    void finish(call_id call, answer_kind kind,
                support::milliseconds retry_after, const std::string& reason,
                support::instant now);

    intake_options options;
    intake_hooks hooks;
    shard_owners owners;
    /// The domains in which no task starts.
    std::set<std::string> evacuated;
    room_table known_rooms;
    std::minstd_rand random;
    intake_counts counted;
    int shards = 1;
    std::map<call_id, open_job> jobs;
    /// Oldest first.
    std::deque<withdrawn_job> withdrawn;
};

} // namespace chicorydrum::shard
