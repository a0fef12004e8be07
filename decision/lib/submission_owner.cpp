#include "chicorydrum/decision/submission_owner.hpp"

#include "chicorydrum/decision/answers.hpp"

#include <algorithm>
#include <cassert>

namespace chicorydrum::decision
{

using support::error_kind;

submission_owner::submission_owner(submission_owner_options opts,
                                   submission_owner_hooks callbacks,
                                   const membership& peers,
                                   const bundle_view& rules,
                                   action_queue& actions)
    : options(std::move(opts)), hooks(std::move(callbacks)), members(peers),
      bundle(rules), out(actions), table(this->options.table),
      scheduling(this->options.scheduling,
                 {.on_started =
                      [this](const running_attempt& attempt)
                  {
                      ++attempt.record->running;
                      ++attempt.record->maybe_run;
                      ++this->totals.starts;
                  },
                  .on_late =
                      [this](const record_ptr& record)
                  {
                      const bool never_started = record->maybe_run == 0;
                      this->fail_unfinished(
                          record,
                          never_started ? error_kind::shed
                                        : error_kind::deadline_passed,
                          "it could not finish before its deadline",
                          record->deadline);
                  },
                  .on_decision = this->hooks.log},
                 peers, actions),
      admission_control(this->options.admission_control, rules,
                        this->scheduling),
      witness_batcher(peers, actions)
{
}

record_ptr submission_owner::make_record(schema::submission work,
                                         support::instant now)
{
    auto record = std::make_shared<submission_record>();
    record->arrived = now;
    record->deadline = now + support::milliseconds(work.deadline_ms);
    const std::size_t tasks = work.tasks.size();
    record->results.resize(tasks);
    record->waiting.reserve(tasks);
    for (std::size_t task = tasks; task > 0; --task)
        record->waiting.push_back(task - 1);
    const schema::kind_rule* const rule = this->bundle.kind(work.kind);
    record->repeatable = rule != nullptr && rule->repeatable;
    record->work = std::move(work);
    return record;
}

void submission_owner::refuse(const waiter& recipient,
                              const schema::answer& refusal)
{
    ++this->totals.refused;
    if (this->out.logs())
        this->hooks.log(
            refusal.id,
            support::log_line("refused")
                .add("error", support::get_error_info(refusal.error).name)
                .add("detail", refusal.detail));
    this->hooks.reply(recipient, refusal);
}

void submission_owner::submit(const waiter& recipient, schema::submission work,
                              const support::submission_id& id,
                              std::int64_t current_generation,
                              support::instant now)
{
    if (id.home->generation > current_generation)
    {
        this->hooks.reply(recipient,
                          status_answer(work.id, error_kind::bad_request,
                                        "this home was never issued"));
        return;
    }
    switch (this->table.look_up(id))
    {
    case id_status::recorded:
        this->answer_resubmission(recipient, this->table.find(work.id), work);
        return;
    case id_status::refused:
        this->hooks.reply(
            recipient, not_run_answer(work.id, this->table.refusal_of(work.id),
                                      "it was refused before; use a new "
                                      "id to try again"));
        return;
    case id_status::forgotten:
        this->hooks.reply(recipient,
                          status_answer(work.id, error_kind::undetermined,
                                        "its record may have been forgotten"));
        return;
    case id_status::fresh:
        break;
    }
    const auto refusal = this->admission_control.find_refusal(
        work, this->table.open_bytes(), now);
    if (refusal)
    {
        this->table.remember_refusal(id, refusal->error, now);
        this->refuse(recipient, *refusal);
        return;
    }
    const record_ptr record = this->make_record(std::move(work), now);
    record->waiters.push_back(recipient);
    this->accept(record, id, now);
}

void submission_owner::answer_resubmission(const waiter& recipient,
                                           const record_ptr& record,
                                           const schema::submission& work)
{
    if (record->work.digest != work.digest)
    {
        this->hooks.reply(recipient,
                          status_answer(work.id, error_kind::conflict,
                                        "the id belongs to another "
                                        "submission"));
        return;
    }
    if (this->out.logs())
        this->hooks.log(record->work.id,
                        support::log_line("resubmitted")
                            .add("finished", record->finished()));
    if (record->finished())
        this->hooks.reply(recipient, record->outcome);
    else
        record->waiters.push_back(recipient);
}

void submission_owner::accept(const record_ptr& record,
                              const support::submission_id& id,
                              support::instant now)
{
    ++this->totals.accepted;
    this->table.insert(record);
    const auto& witness = id.home->witness;
    if (this->out.logs())
        this->hooks.log(record->work.id,
                        support::log_line("accepted")
                            .add("kind", record->work.kind)
                            .add("team", record->work.team)
                            .add("tasks", static_cast<std::int64_t>(
                                              record->work.tasks.size()))
                            .add("witness", witness ? witness->host : "none"));
    if (record->repeatable || !witness)
    {
        this->activate(record);
        if (witness)
            this->witness_batcher.add(*record);
        return;
    }
    record->witnessed = true;
    this->send_claim(record, *witness, now);
}

void submission_owner::send_claim(const record_ptr& record,
                                  const schema::incarnation& witness,
                                  support::instant now)
{
    if (!this->members.is_up(witness))
    {
        this->fail_unfinished(record, error_kind::home_gone,
                              "the witness of this home is gone; use a new id",
                              now);
        return;
    }
    schema::claim claim;
    claim.record = make_witness_record(*record);
    schema::peer_message message;
    message.__set_claimed(claim);
    this->out.push(send_to_peer{.host = witness.host, .message = message});
    this->claims_sent[record->work.id] = now;
}

void submission_owner::claim_replied(const schema::claim_reply& reply,
                                     support::instant now)
{
    if (this->claims_sent.erase(reply.id) == 0)
        return;
    const record_ptr record = this->table.find(reply.id);
    if (record == nullptr || record->phase != submission_phase::unqueued)
        return;
    if (!reply.accepted)
    {
        this->fail_unfinished(record, error_kind::home_gone,
                              "the witness closed this id; use a new one", now);
        return;
    }
    this->activate(record);
}

void submission_owner::activate(const record_ptr& record)
{
    record->phase = submission_phase::active;
    this->scheduling.enqueue(record);
}

void submission_owner::submit_anonymous(const waiter& recipient,
                                        schema::submission work,
                                        support::instant now)
{
    const auto refusal = this->admission_control.find_refusal(
        work, this->table.open_bytes(), now);
    if (refusal)
    {
        this->refuse(recipient, *refusal);
        return;
    }
    work.id = "r" + std::to_string(this->next_anonymous++);
    const record_ptr record = this->make_record(std::move(work), now);
    record->anonymous = true;
    record->waiters.push_back(recipient);
    if (const auto* const local = std::get_if<local_waiter>(&recipient))
        this->anonymous_calls[local->call] = record;
    ++this->totals.accepted;
    this->table.insert(record);
    this->activate(record);
}

void submission_owner::handle_offer(const waiter& recipient,
                                    schema::submission work,
                                    support::instant now)
{
    const std::string offered_id = work.id;
    work.id = "o" + std::to_string(this->next_anonymous++);
    const bool is_usable = work.tasks.size() == 1 && work.deadline_ms > 0 &&
                           this->bundle.kind(work.kind) != nullptr &&
                           !this->admission_control.refuses_all();
    const record_ptr record = this->make_record(std::move(work), now);
    record->anonymous = true;
    // The offering host decides whether to retry.
    record->repeatable = false;
    record->waiters.push_back(recipient);
    this->table.insert(record);
    if (is_usable && this->scheduling.start_now(record, now))
    {
        record->phase = submission_phase::active;
        if (this->out.logs())
            this->hooks.log(
                offered_id,
                support::log_line("offer_taken").add("as", record->work.id));
        return;
    }
    this->finish(record,
                 not_run_answer(offered_id, error_kind::no_capacity,
                                "no slot is free at once"),
                 now);
}

void submission_owner::query(const waiter& recipient, const std::string& id,
                             bool cancel, support::instant now)
{
    const record_ptr record = this->table.find(id);
    if (record == nullptr)
    {
        this->hooks.reply(recipient,
                          status_answer(id, error_kind::not_found,
                                        "nothing is known of this id"));
        return;
    }
    if (cancel && !record->finished())
        this->fail_unfinished(record, error_kind::cancelled, "it was cancelled",
                              now);
    if (record->finished())
    {
        this->hooks.reply(recipient, record->outcome);
        return;
    }
    schema::answer progress = status_answer(
        id, error_kind::running,
        std::to_string(record->succeeded) + " of " +
            std::to_string(record->work.tasks.size()) + " tasks done");
    progress.tasks_maybe_run = static_cast<std::int32_t>(record->maybe_run);
    this->hooks.reply(recipient, progress);
}

void submission_owner::caller_disconnected(call_id call, support::instant now)
{
    const auto found = this->anonymous_calls.find(call);
    if (found == this->anonymous_calls.end())
        return;
    const record_ptr record = found->second.lock();
    this->anonymous_calls.erase(found);
    if (record != nullptr && !record->finished() && record->maybe_run == 0)
        this->fail_unfinished(record, error_kind::cancelled, "its caller left",
                              now);
}

void submission_owner::fail_unfinished(const record_ptr& record,
                                       error_kind kind,
                                       const std::string& detail,
                                       support::instant now)
{
    if (record->maybe_run == 0)
        this->finish(record, not_run_answer(record->work.id, kind, detail),
                     now);
    else
        this->finish(
            record,
            maybe_run_answer(record->work.id, kind, detail,
                             static_cast<std::int32_t>(record->maybe_run)),
            now);
}

void submission_owner::finish(const record_ptr& record, schema::answer outcome,
                              support::instant now)
{
    assert(!record->finished() &&
           "the outcome of a record must be set only once");
    const bool was_queued = record->phase == submission_phase::active;
    record->phase = submission_phase::finished;
    const bool is_complete = outcome.error == error_kind::none;
    ++(is_complete ? this->totals.completed : this->totals.failed);
    record->outcome = std::move(outcome);
    if (was_queued && !record->waiting.empty())
        this->scheduling.drop_waiting(record);
    record->waiting.clear();
    if (!is_complete)
        record->results.clear();
    std::vector<waiter> waiters = std::exchange(record->waiters, {});
    this->table.finished(record, now);
    if (record->anonymous)
    {
        // Callers do not know the internal id.
        record->outcome.id.clear();
        record->outcome.results = std::move(record->results);
    }
    else
        this->witness_batcher.add(*record);
    if (this->out.logs())
        this->hooks.log(
            record->work.id,
            support::log_line("finished")
                .add("error",
                     support::get_error_info(record->outcome.error).name)
                .add("not_run", record->outcome.not_run)
                .add("tasks_maybe_run", record->outcome.tasks_maybe_run)
                .add("ms", support::whole_ms(now - record->arrived)));
    for (const waiter& recipient : waiters)
    {
        if (const auto* const local = std::get_if<local_waiter>(&recipient))
            this->anonymous_calls.erase(local->call);
        this->hooks.reply(recipient, record->outcome);
    }
}

void submission_owner::on_peer_disconnected(const std::string& host,
                                            support::instant now)
{
    this->witness_batcher.on_peer_disconnected(host);
    this->scheduling.slot_leases().on_peer_disconnected(host, now);
    for (const attempt_id attempt : this->scheduling.attempts_on_peer(host))
    {
        attempt_finished ended;
        ended.attempt = attempt;
        ended.outcome = attempt_outcome::lost;
        this->attempt_ended(ended, now);
    }
    std::vector<std::string> failed_claims;
    for (const auto& [id, sent_at] : this->claims_sent)
    {
        const auto parsed = support::parse_submission_id(id);
        if (parsed->home->witness->host == host)
            failed_claims.push_back(id);
    }
    std::sort(failed_claims.begin(), failed_claims.end());
    for (const std::string& id : failed_claims)
        this->claim_replied(
            [&id]
            {
                schema::claim_reply refused;
                refused.id = id;
                refused.accepted = false;
                return refused;
            }(),
            now);
}

void submission_owner::tick(support::instant now)
{
    for (const record_ptr& record : this->table.take_expired(now))
        this->fail_unfinished(record, error_kind::deadline_passed,
                              "its deadline has passed", now);
    std::vector<std::string> timed_out;
    for (const auto& [id, sent_at] : this->claims_sent)
        if (now - sent_at > this->options.claim_timeout)
            timed_out.push_back(id);
    std::sort(timed_out.begin(), timed_out.end());
    for (const std::string& id : timed_out)
    {
        this->claims_sent.erase(id);
        const record_ptr record = this->table.find(id);
        if (record != nullptr && record->phase == submission_phase::unqueued)
            this->fail_unfinished(record, error_kind::home_gone,
                                  "the witness did not answer; use a new id",
                                  now);
    }
    this->witness_batcher.flush();
    this->table.purge(now);
    this->scheduling.tick(now);
}

void submission_owner::end_all(support::instant now)
{
    for (const record_ptr& record : this->table.unfinished_records())
        this->fail_unfinished(record, error_kind::stopping,
                              "the host had to stop", now);
}

std::set<std::string>
submission_owner::hand_over(const schema::incarnation& self)
{
    std::set<std::string> receivers;
    for (const auto& [text, witness] : this->issued_witnesses)
        if (this->members.is_up(witness))
            receivers.insert(witness.host);
    const std::vector<record_ptr> owned = this->table.all();
    for (const std::string& host : receivers)
    {
        for (const record_ptr& record : owned)
        {
            const auto id = support::parse_submission_id(record->work.id);
            if (id->home->witness && id->home->witness->host == host)
                this->witness_batcher.add(*record);
        }
    }
    this->witness_batcher.flush();
    schema::handover handover_message;
    handover_message.owner = self;
    handover_message.purged_generation = this->table.forgotten_generation();
    schema::peer_message message;
    message.__set_handed_over(handover_message);
    for (const std::string& host : receivers)
        this->out.push(send_to_peer{.host = host, .message = message});
    return receivers;
}

void submission_owner::home_issued(
    const std::optional<schema::incarnation>& witness)
{
    if (witness)
        this->issued_witnesses[support::to_text(*witness)] = *witness;
}

void submission_owner::set_quota_hosts(std::size_t hosts)
{
    this->admission_control.set_quota_hosts(hosts);
    this->scheduling.set_quota_hosts(hosts);
}

} // namespace chicorydrum::decision
