/// \file
/// The jobs whose callers wait at this entry host. Each is bound to one shard
/// until the shard refuses it, and is either at the shard's owner or waiting
/// for one. A job that changes owners is marked as possibly running.
#pragma once

#include "chicorydrum/shard/host_view.hpp"
#include "chicorydrum/shard/messages.hpp"
#include "chicorydrum/support/log.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

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
    /// Maximum number of shards that a job is offered to, one after the other.
    int max_offers = 3;
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
    /// \p shard_count is the number of shards of this host's domain.
    void set_owners(shard_owners changed, int shard_count,
                    support::instant now);
    /// No task starts in \p domains: a job is offered to their shards only as
    /// its home.
    void set_evacuated(std::set<std::string> domains)
    {
        this->evacuated = std::move(domains);
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
    /// Returns the job's home shard, which receives all copies of the job;
    /// after a refusal the least loaded shard that has not refused it, of this
    /// domain if one is left.
    std::optional<shard_name> choose(const open_job& job,
                                     support::instant now) const;
    /// Returns whether \p job may be offered to a shard of another domain with
    /// \p load.
    bool may_leave_domain(const open_job& job, double load) const;
    void send(call_id call, open_job& job, support::instant now);
    /// Offers a job that a shard has certainly not run to another shard.
    bool offer_elsewhere(call_id call, open_job& job, support::instant now);
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
    int shards = 1;
    std::map<call_id, open_job> jobs;
    /// Oldest first.
    std::deque<withdrawn_job> withdrawn;
};

} // namespace chicorydrum::shard
