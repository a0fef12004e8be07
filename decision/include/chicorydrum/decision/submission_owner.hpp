/// \file
/// Runs the submissions that this host owns: accepts or refuses them, claims
/// them at the witness, and turns task outcomes into one answer.
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
    /// Gives a waiter its answer.
    std::function<void(const waiter&, const schema::answer&)> reply;
    /// Logs an event about a submission and adds it to its story.
    std::function<void(const std::string& id, support::log_line)> log;
};

/// Totals since the start, for metrics.
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
    submission_owner(submission_owner_options given,
                     submission_owner_hooks told, const membership& peers,
                     const bundle_view& rules, action_queue& actions);

    /// Runs \p work under \p id, whose home names this incarnation, or
    /// answers with what is known of it.
    void submit(const waiter& who, schema::submission work,
                const support::submission_id& id,
                std::int64_t current_generation, support::instant now);

    /// Runs one request that no id protects.
    void submit_anonymous(const waiter& who, schema::submission work,
                          support::instant now);

    /// Runs one task for a host of another domain, at once or not at all.
    void handle_offer(const waiter& who, schema::submission work,
                      support::instant now);

    void query(const waiter& who, const std::string& id, bool cancel,
               support::instant now);

    /// The caller's connection closed. A request that no id protects and
    /// that has not started is dropped; all else goes on.
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

    /// No new submission is accepted from here on.
    void refuse_new()
    {
        this->admission_control.refuse_all();
    }
    /// Ends everything that is unfinished, with true answers.
    void end_all(support::instant now);
    /// Sends the complete table to every witness that an id may name.
    /// Returns the witnesses that will acknowledge it.
    std::set<std::string> hand_over(const schema::incarnation& self);

    /// Notes that homes with \p witness have been issued.
    void home_issued(const std::optional<schema::incarnation>& witness);

    /// Hosts that the platform lists; quotas are split among them.
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
    void refuse(const waiter& who, const schema::answer& refusal);
    void accept(const record_ptr& record, const support::submission_id& id,
                support::instant now);
    void send_claim(const record_ptr& record,
                    const schema::incarnation& witness, support::instant now);
    void activate(const record_ptr& record);
    void answer_known(const waiter& who, const record_ptr& record,
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
    void fail_open(const record_ptr& record, support::error_kind kind,
                   const std::string& detail, support::instant now);

    submission_owner_options options;
    submission_owner_hooks hooks;
    const membership& members;
    const bundle_view& bundle;
    action_queue& out;
    submission_table table;
    scheduler scheduling;
    admission admission_control;
    witness_record_batcher notes;
    owner_counters totals;
    /// Claims in flight, by submission id.
    std::unordered_map<std::string, support::instant> claims_sent;
    std::map<std::string, schema::incarnation> issued_witnesses;
    double retry_tokens = 0;
    std::int64_t next_anonymous = 1;
    std::unordered_map<call_id, std::weak_ptr<submission_record>>
        anonymous_calls;
};

} // namespace chicorydrum::decision
