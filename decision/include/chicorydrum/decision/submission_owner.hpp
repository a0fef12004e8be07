/// \file
/// Runs the submissions that this host owns: accepts or refuses them, claims
/// them at the witness and combines task outcomes into one answer.
#pragma once

#include "chicorydrum/decision/admission.hpp"
#include "chicorydrum/decision/bundle_view.hpp"
#include "chicorydrum/decision/membership.hpp"
#include "chicorydrum/decision/scheduler.hpp"
#include "chicorydrum/decision/submission_table.hpp"
#include "chicorydrum/decision/witness_record_batcher.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace chicorydrum::decision
{

struct submission_owner_options
{
    submission_table_options table;
    scheduler_options scheduling;
    admission_options admission_control;
    support::milliseconds claim_timeout{500};
};

struct submission_owner_hooks
{
    /// Sends an answer to a waiter.
    std::function<void(const waiter&, const schema::answer&)> reply;
    /// Logs an event about a submission and adds it to its trace.
    std::function<void(const std::string& id, support::log_line)> log;
};

/// Totals since the process started, for metrics.
struct owner_counters
{
    std::int64_t accepted = 0;
    std::int64_t refused = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;
    std::int64_t starts = 0;
    std::int64_t retries = 0;
};

class submission_owner
{
public:
    submission_owner(submission_owner_options opts,
                     submission_owner_hooks callbacks, const membership& peers,
                     const bundle_view& rules, action_queue& actions);

    /// Runs \p work under \p id, whose home names this incarnation of this
    /// host, or answers with the known state if it was submitted before.
    void submit(const waiter& recipient, schema::submission work,
                const support::submission_id& id,
                std::int64_t current_generation, support::instant now);

    /// Runs a request without an id.
    void submit_anonymous(const waiter& recipient, schema::submission work,
                          support::instant now);

    /// Runs one task offered by a host of another domain; refuses it if it
    /// cannot start at once.
    void handle_offer(const waiter& recipient, schema::submission work,
                      support::instant now);

    void query(const waiter& recipient, const std::string& id, bool cancel,
               support::instant now);

    /// Handles the close of a caller's connection: drops its request if it has
    /// no id and has not started.
    void caller_disconnected(call_id call, support::instant now);

    void claim_replied(const schema::claim_reply& reply, support::instant now);
    void attempt_ended(const attempt_finished& ended, support::instant now);
    void on_attempt_checked(const attempt_checked& check, support::instant now);
    void offer_replied(const std::string& from,
                       const schema::offer_reply& reply, support::instant now);
    void on_peer_disconnected(const std::string& host, support::instant now);

    void tick(support::instant now);
    void start_ready_tasks(support::instant now)
    {
        this->scheduling.start_ready_tasks(now);
    }
    void bundle_adopted()
    {
        this->scheduling.adopt(this->bundle);
    }

    /// Refuses all further submissions.
    void refuse_new()
    {
        this->admission_control.refuse_all();
    }
    /// Ends all unfinished submissions; each answer states whether tasks may
    /// have run.
    void end_all(support::instant now);
    /// Sends the complete table to every reachable witness that an issued home
    /// may name. Returns the hosts that will acknowledge it.
    std::set<std::string> hand_over(const schema::incarnation& self);

    /// Records that homes with \p witness have been issued.
    void home_issued(const std::optional<schema::incarnation>& witness);

    /// Sets the number of hosts that the platform lists; team quotas are split
    /// among them.
    void set_quota_hosts(std::size_t hosts);

    scheduler& tasks()
    {
        return this->scheduling;
    }
    const scheduler& tasks() const
    {
        return this->scheduling;
    }
    const submission_table& submissions() const
    {
        return this->table;
    }
    const owner_counters& counters() const
    {
        return this->totals;
    }

private:
    record_ptr make_record(schema::submission work, support::instant now);
    void refuse(const waiter& recipient, const schema::answer& refusal);
    void accept(const record_ptr& record, const support::submission_id& id,
                support::instant now);
    void send_claim(const record_ptr& record,
                    const schema::incarnation& witness, support::instant now);
    void activate(const record_ptr& record);
    void answer_resubmission(const waiter& recipient, const record_ptr& record,
                             const schema::submission& work);
    void end_attempt(const running_attempt& attempt,
                     const attempt_finished& ended, support::instant now);
    void task_succeeded(const running_attempt& attempt, std::string result,
                        support::instant now);
    void task_refused(const running_attempt& attempt, support::instant now);
    void task_failed(const running_attempt& attempt, attempt_outcome outcome,
                     support::instant now);
    bool may_retry(const submission_record& record);
    void finish(const record_ptr& record, schema::answer outcome,
                support::instant now);
    void fail_unfinished(const record_ptr& record, support::error_kind kind,
                         const std::string& detail, support::instant now);

    submission_owner_options options;
    submission_owner_hooks hooks;
    const membership& members;
    const bundle_view& bundle;
    action_queue& out;
    submission_table table;
    scheduler scheduling;
    admission admission_control;
    witness_record_batcher witness_batcher;
    owner_counters totals;
    /// Send times of unanswered claims, by submission id.
    std::unordered_map<std::string, support::instant> claims_sent;
    std::map<std::string, schema::incarnation> issued_witnesses;
    double retry_tokens = 0;
    std::int64_t next_anonymous = 1;
    std::unordered_map<call_id, std::weak_ptr<submission_record>>
        anonymous_calls;
};

} // namespace chicorydrum::decision
