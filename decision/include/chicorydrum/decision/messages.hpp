/// \file
/// The typed messages that decisions take and give. Everything outside the
/// package reaches the decisions through these, and only through these.
#pragma once

#include "chicorydrum/schema/generated/messages_types.h"
#include "chicorydrum/support/clock.hpp"
#include "chicorydrum/support/log.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace chicorydrum::decision
{

/// One caller's request that waits for its answer at this host.
using call_id = std::uint64_t;
/// One try to run one task on one endpoint.
using attempt_id = std::uint64_t;
/// One request to the platform's service.
using ticket_id = std::uint64_t;

// Listings: what the platform says of machines.

enum class listing_state
{
    live,
    leaving,
};

struct endpoint_listing
{
    std::string name = {};
    std::string domain = {};
    std::string rack = {};
    std::string address = {};
    int port = 0;
    int slots = 0;
    int connections = 0;
    int millicores = 0;
    int memory_mb = 0;
    listing_state state = listing_state::live;
};

struct host_listing
{
    std::string name = {};
    std::string domain = {};
    std::string address = {};
    int peer_port = 0;
    listing_state state = listing_state::live;
};

// Events: what happened.

/// A caller's request or job. An empty id asks for one run without the
/// protection of an id.
struct caller_submitted
{
    call_id call = 0;
    schema::submission work;
};

struct caller_queried
{
    call_id call = 0;
    std::string id;
    bool cancel = false;
};

/// The caller's connection closed; its answer has no receiver any more.
struct caller_disconnected
{
    call_id call = 0;
};

struct peer_connected
{
    schema::incarnation who;
    std::string domain;
};

struct peer_disconnected
{
    std::string host;
};

struct peer_message_received
{
    std::string host;
    schema::peer_message message;
};

enum class attempt_outcome
{
    /// The endpoint ran the task and gave its whole result.
    succeeded,
    /// Certain: the endpoint did not start the task.
    refused,
    /// The endpoint says that the task ran and failed.
    failed,
    /// No whole answer: the task may have run.
    lost,
};

struct attempt_finished
{
    attempt_id attempt = 0;
    attempt_outcome outcome = attempt_outcome::lost;
    std::string result;
    /// What the task really used, if the endpoint reported it; else 0.
    int used_millicores = 0;
    int used_memory_mb = 0;
};

enum class attempt_check
{
    /// The endpoint still runs it: its connection may be fine.
    running,
    /// It ended, so its connection is dead; the result is given.
    succeeded,
    failed,
    /// The endpoint knows of no such attempt.
    unknown,
    /// A fresh connection gets no answer either.
    unreachable,
};

/// What an endpoint said of an attempt over a fresh connection.
struct attempt_checked
{
    attempt_id attempt = 0;
    attempt_check state = attempt_check::unreachable;
    std::string result;
};

struct host_list_read
{
    std::vector<host_listing> hosts;
    std::vector<endpoint_listing> endpoints;
};

/// The platform answered that its list is the one that was read last.
struct host_list_unchanged
{
};

struct host_list_unavailable
{
};

enum class store_outcome
{
    applied,
    /// A condition did not hold; nothing was written.
    condition_failed,
    /// Certain that nothing was written.
    unavailable,
    /// The write may have taken effect.
    unknown,
};

/// The answer to a claim_key or read_key action.
struct store_answered
{
    ticket_id ticket = 0;
    store_outcome outcome = store_outcome::unknown;
    /// The key's value, after condition_failed or a read.
    std::string value;
};

/// A bundle as the platform holds it.
struct bundle_read
{
    std::int64_t version = 0;
    std::string text;
};

/// SIGTERM, or an operator's drain.
struct stop_requested
{
};

/// The grace of a planned stop is over.
struct stop_forced
{
};

struct ticked
{
};

using event =
    std::variant<caller_submitted, caller_queried, caller_disconnected,
                 peer_connected, peer_disconnected, peer_message_received,
                 attempt_finished, attempt_checked, host_list_read,
                 host_list_unchanged, host_list_unavailable, store_answered,
                 bundle_read, stop_requested, stop_forced, ticked>;

// Actions: what to do about it.

struct answer_caller
{
    call_id call = 0;
    schema::answer result;
};

struct send_to_peer
{
    std::string host;
    schema::peer_message message;
};

/// Closes the link to a peer that fell silent or spoke out of turn.
struct drop_peer
{
    std::string host;
};

struct start_attempt
{
    attempt_id attempt = 0;
    std::string endpoint;
    std::string address;
    int port = 0;
    std::string kind;
    std::string payload;
    support::decision_clock::duration timeout{};
};

/// Asks an endpoint over a fresh connection what became of an attempt whose
/// own connection has been silent for longer than it should.
struct check_attempt
{
    attempt_id attempt = 0;
    std::string endpoint;
    std::string address;
    int port = 0;
};

/// Inserts \p value under \p key unless the key exists.
struct claim_key
{
    ticket_id ticket = 0;
    std::string key;
    std::string value;
};

/// Reads \p key, to settle a claim whose answer was lost.
struct read_key
{
    ticket_id ticket = 0;
    std::string key;
};

/// Everything is finished and handed over: the process may exit.
struct stop_finished
{
};

using action = std::variant<answer_caller, send_to_peer, drop_peer,
                            start_attempt, check_attempt, claim_key, read_key,
                            stop_finished, support::log_line>;

/// Collects the actions of one or more events in their order.
class action_queue
{
public:
    /// Without logs, logs() is false and no line should be built.
    explicit action_queue(bool keeps_logs) : with_logs(keeps_logs)
    {
    }

    template <typename T>
    void push(T pushed)
    {
        this->actions.emplace_back(std::move(pushed));
    }

    bool logs() const
    {
        return this->with_logs;
    }

    std::vector<action> take()
    {
        return std::exchange(this->actions, {});
    }

private:
    bool with_logs;
    std::vector<action> actions;
};

} // namespace chicorydrum::decision
