/// \file
/// Relays calls about submissions that other hosts own: to the owner or, if
/// the owner is unreachable, to its witness.
#pragma once

#include "chicorydrum/decision/membership.hpp"
#include "chicorydrum/decision/submission_record.hpp"
#include "chicorydrum/decision/witness_table.hpp"
#include "chicorydrum/support/ids.hpp"

#include <functional>
#include <map>
#include <string>

namespace chicorydrum::decision
{

struct call_relay_hooks
{
    std::function<void(const waiter&, const schema::answer&)> reply;
    std::function<void(const std::string& id, support::log_line)> log;
    /// Queries this host's own witness table.
    std::function<schema::answer(const support::submission_id& id,
                                 const std::string& digest,
                                 const std::string& kind)>
        query_own_witness;
};

/// Relays calls and ensures that each gets exactly one answer: the owner's,
/// the witness's, or `undetermined`.
class call_relay
{
public:
    call_relay(call_relay_hooks callbacks, const membership& peers,
               action_queue& actions);

    /// Starts a call about \p work, whose id is \p id. Unless the purpose is to
    /// submit, only the id of \p work is set.
    void start(const waiter& recipient, call_purpose purpose,
               const support::submission_id& id, schema::submission work,
               support::instant now);

    void answered(const std::string& from, const schema::forward_answer& reply);
    void on_peer_disconnected(const std::string& host, support::instant now);
    void tick(support::instant now);
    /// Answers all open calls as undetermined because this host stops.
    void end_all();

    std::size_t open_calls() const
    {
        return this->calls.size();
    }

private:
    struct relayed_call
    {
        waiter recipient;
        call_purpose purpose = call_purpose::submit;
        support::submission_id id;
        schema::submission work;
        /// The host that must answer next.
        std::string target;
        bool sent_to_witness = false;
        support::instant deadline;
        support::instant give_up_at;
    };

    void forward_to_owner(std::int64_t number, relayed_call& call,
                          support::instant now);
    void query_witness(std::int64_t number, relayed_call& call);
    void finish(std::int64_t number, const schema::answer& result);

    call_relay_hooks hooks;
    const membership& members;
    action_queue& out;
    std::map<std::int64_t, relayed_call> calls;
    std::int64_t next_call = 1;
};

} // namespace chicorydrum::decision
