#include "chicorydrum/decision/call_relay.hpp"

#include "chicorydrum/decision/answers.hpp"

#include <algorithm>

namespace chicorydrum::decision
{

namespace
{

using support::error_kind;

/// Time that the owner's answer, sent at the deadline at the latest, may need
/// to arrive.
constexpr support::milliseconds answer_slack{2000};
/// Queries and cancellations do not wait for tasks, so they get a fixed
/// timeout.
constexpr support::milliseconds query_timeout{5000};

} // namespace

call_relay::call_relay(call_relay_hooks callbacks, const membership& peers,
                       action_queue& actions)
    : hooks(std::move(callbacks)), members(peers), out(actions)
{
}

void call_relay::start(const waiter& recipient, call_purpose purpose,
                       const support::submission_id& id,
                       schema::submission work, support::instant now)
{
    const std::int64_t number = this->next_call++;
    relayed_call& call = this->calls[number];
    call.recipient = recipient;
    call.purpose = purpose;
    call.id = id;
    call.deadline = now + support::milliseconds(work.deadline_ms);
    call.give_up_at = purpose == call_purpose::submit
                          ? call.deadline + answer_slack
                          : now + query_timeout;
    call.work = std::move(work);
    if (this->members.is_up(id.home->owner))
        this->forward_to_owner(number, call, now);
    else
        this->query_witness(number, call);
}

void call_relay::forward_to_owner(std::int64_t number, relayed_call& call,
                                  support::instant now)
{
    call.target = call.id.home->owner.host;
    schema::peer_message message;
    if (call.purpose == call_purpose::submit)
    {
        schema::forward forward;
        forward.call = number;
        forward.work = call.work;
        forward.work.deadline_ms = support::whole_ms(call.deadline - now);
        message.__set_forwarded(forward);
        // A query to the witness needs no payloads, and no other host is asked
        // to run the tasks.
        call.work.tasks.clear();
    }
    else
    {
        schema::forward_query query;
        query.call = number;
        query.id = call.work.id;
        query.cancel = call.purpose == call_purpose::cancel;
        message.__set_queried(query);
    }
    if (this->out.logs())
        this->hooks.log(call.work.id, support::log_line("forward")
                                          .add("host", call.target)
                                          .add("reason", "owner_named_by_id"));
    this->out.push(send_to_peer{.host = call.target, .message = message});
}

void call_relay::query_witness(std::int64_t number, relayed_call& call)
{
    call.sent_to_witness = true;
    const auto& witness = call.id.home->witness;
    if (this->out.logs())
        this->hooks.log(call.work.id,
                        support::log_line("ask_witness")
                            .add("host", witness ? witness->host : "none")
                            .add("reason", "owner_unreachable"));
    if (witness && *witness == this->members.self())
    {
        this->finish(number, this->hooks.query_own_witness(
                                 call.id, call.work.digest, call.work.kind));
        return;
    }
    if (!witness || !this->members.is_up(*witness))
    {
        this->finish(number,
                     maybe_run_answer(call.work.id, error_kind::undetermined,
                                      "neither its owner nor a witness can "
                                      "be reached",
                                      unknown_task_count));
        return;
    }
    call.target = witness->host;
    schema::witness_query query;
    query.call = number;
    query.id = call.work.id;
    query.digest = call.work.digest;
    query.kind = call.work.kind;
    schema::peer_message message;
    message.__set_witness_queried(query);
    this->out.push(send_to_peer{.host = call.target, .message = message});
}

void call_relay::answered(const std::string& from,
                          const schema::forward_answer& reply)
{
    const auto found = this->calls.find(reply.call);
    // A late answer: the call has ended or went to another host meanwhile.
    if (found == this->calls.end() || found->second.target != from)
        return;
    this->finish(reply.call, reply.result);
}

void call_relay::finish(std::int64_t number, const schema::answer& result)
{
    const auto found = this->calls.find(number);
    const waiter recipient = found->second.recipient;
    this->calls.erase(found);
    this->hooks.reply(recipient, result);
}

void call_relay::on_peer_disconnected(const std::string& host,
                                      support::instant /*now*/)
{
    std::vector<std::int64_t> affected;
    for (const auto& [number, call] : this->calls)
        if (call.target == host)
            affected.push_back(number);
    for (const std::int64_t number : affected)
    {
        relayed_call& call = this->calls.at(number);
        if (!call.sent_to_witness)
            this->query_witness(number, call);
        else
            this->finish(
                number, maybe_run_answer(call.work.id, error_kind::undetermined,
                                         "its owner and its witness are gone",
                                         unknown_task_count));
    }
}

void call_relay::tick(support::instant now)
{
    std::vector<std::int64_t> overdue;
    for (const auto& [number, call] : this->calls)
        if (now >= call.give_up_at)
            overdue.push_back(number);
    for (const std::int64_t number : overdue)
        this->finish(number,
                     maybe_run_answer(this->calls.at(number).work.id,
                                      error_kind::undetermined,
                                      "its owner did not answer in time",
                                      unknown_task_count));
}

void call_relay::end_all()
{
    while (!this->calls.empty())
    {
        const auto& [number, call] = *this->calls.begin();
        this->finish(number,
                     maybe_run_answer(call.work.id, error_kind::undetermined,
                                      "the host that relayed it stops",
                                      unknown_task_count));
    }
}

} // namespace chicorydrum::decision
