/// \file
/// The state machine that makes all decisions of one entry host.
#pragma once

#include "chicorydrum/decision/bundle_view.hpp"
#include "chicorydrum/decision/call_relay.hpp"
#include "chicorydrum/decision/home_issuer.hpp"
#include "chicorydrum/decision/key_claims.hpp"
#include "chicorydrum/decision/membership.hpp"
#include "chicorydrum/decision/messages.hpp"
#include "chicorydrum/decision/submission_owner.hpp"
#include "chicorydrum/decision/trace_log.hpp"
#include "chicorydrum/decision/witness_table.hpp"

#include <set>
#include <string>
#include <vector>

namespace chicorydrum::decision
{

struct dispatcher_options
{
    membership_options members;
    submission_owner_options owner;
    witness_table_options witnessing;
    home_issuer_options homes;
    key_claims_options keys;
    trace_log_options traces;
    /// Whether decisions are logged and recorded for `explain`.
    bool keeps_logs = true;
    /// A longer gap between events means that the process was paused. No task
    /// starts then until the host list has been read again.
    support::milliseconds pause_threshold{1000};
    /// How long a stopping host still accepts work, so that the load balancer
    /// can stop sending callers first.
    support::milliseconds lame_duck{1000};
    support::milliseconds handover_timeout{2000};
};

/// The state machine of one entry host. handle() processes one event at the
/// given time; take_actions() returns the resulting actions.
class dispatcher
{
public:
    dispatcher(dispatcher_options opts, support::instant now);
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    void handle(const event& incoming, support::instant now);
    std::vector<action> take_actions()
    {
        return this->out.take();
    }

    /// Returns the home to advertise in each answer.
    const support::home& home() const
    {
        return this->homes.current();
    }
    /// Returns whether the load balancer should send new callers here.
    bool is_ready() const;
    bool is_stopping() const
    {
        return this->stop_state != stop_phase::none;
    }

    const bundle_view& bundle() const
    {
        return this->current_bundle;
    }
    const membership& members() const
    {
        return this->peers;
    }
    const submission_owner& owner() const
    {
        return this->submissions;
    }
    const witness_table& witness() const
    {
        return this->witnessed;
    }
    std::size_t relayed_calls() const
    {
        return this->relay.open_calls();
    }
    std::vector<trace_line> trace(const std::string& id) const
    {
        return this->traces.trace(id);
    }

private:
    enum class stop_phase
    {
        none,
        /// Accepts callers until the load balancer stops sending them.
        lame_duck,
        /// Continues unfinished work and refuses new work.
        draining,
        /// Waits for the witnesses to acknowledge the submission table.
        handing_over,
        done,
    };

    void on(const caller_submitted& submitted, support::instant now);
    void on(const caller_queried& queried, support::instant now);
    void on(const caller_disconnected& left, support::instant now);
    void on(const peer_connected& peer, support::instant now);
    void on(const peer_disconnected& peer, support::instant now);
    void on(const peer_message_received& received, support::instant now);
    void on(const attempt_finished& ended, support::instant now);
    void on(const attempt_checked& check, support::instant now);
    void on(const host_list_read& list, support::instant now);
    void on(const host_list_unchanged& unchanged, support::instant now);
    void on(const host_list_unavailable& missing, support::instant now);
    void resume_starts();
    void on(const store_answered& answer, support::instant now);
    void on(const bundle_read& bundle, support::instant now);
    void on(const stop_requested& stop, support::instant now);
    void on(const stop_forced& stop, support::instant now);
    void on(const ticked& tick, support::instant now);

    void on_message(const std::string& from,
                    const schema::peer_message& received, support::instant now);
    void on_heartbeat(const std::string& from,
                      const schema::heartbeat& heartbeat, support::instant now);
    // Each handles the messages of one topic; returns false for all others.
    bool on_call_message(const std::string& from,
                         const schema::peer_message& received,
                         support::instant now);
    bool on_witness_message(const std::string& from,
                            const schema::peer_message& received,
                            support::instant now);
    bool on_slot_message(const std::string& from,
                         const schema::peer_message& received,
                         support::instant now);
    void on_bundle_message(const std::string& from,
                           const schema::peer_message& received);
    void on_forward(const waiter& recipient, const schema::forward& forward,
                    support::instant now);
    void on_claim(const std::string& from, const schema::claim& claim,
                  support::instant now);
    void on_handover(const std::string& from, const schema::handover& table,
                     support::instant now);
    void on_witness_query(const std::string& from,
                          const schema::witness_query& query);

    void detect_pause(support::instant now);
    /// Passes a call about \p id to its owner: this host or a peer.
    void route(const waiter& recipient, call_purpose purpose,
               const support::submission_id& id, schema::submission work,
               support::instant now);
    void reply(const waiter& recipient, const schema::answer& result);
    schema::answer answer_as_witness(const support::submission_id& id,
                                     const std::string& digest,
                                     const std::string& kind);
    void adopt_bundle(std::int64_t version, const std::string& text,
                      const std::string& source);
    void on_peers_changed(support::instant now);
    void send_heartbeats(support::instant now);
    void send_speed_report(support::instant now);
    void advance_stop(support::instant now);
    void log(const std::string& id, support::log_line line);
    void send(const std::string& host, schema::peer_message message);

    dispatcher_options options;
    action_queue out;
    support::instant current_time;
    support::instant last_event;
    membership peers;
    bundle_view current_bundle;
    home_issuer homes;
    witness_table witnessed;
    trace_log traces;
    submission_owner submissions;
    call_relay relay;
    key_claims keys;
    support::instant next_heartbeat;
    support::instant next_speed_report;
    support::instant bundle_requested_at;
    stop_phase stop_state = stop_phase::none;
    support::instant stop_phase_since;
    std::set<std::string> handover_receivers;
};

} // namespace chicorydrum::decision
