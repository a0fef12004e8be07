/// \file
/// The input events and output actions of the decision code, its only
/// interface to I/O.
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

/// Identifies a caller's request that awaits its answer at this host.
using call_id = std::uint64_t;
/// Identifies one attempt to run one task on one endpoint.
using attempt_id = std::uint64_t;
/// Identifies one request to the platform.
using ticket_id = std::uint64_t;

// Listings: machines as listed by the platform.

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

// Events.

/// A caller's request or job. An empty id requests a run without detection of
/// resubmissions.
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

/// The caller's connection closed; its answer can no longer be delivered.
struct caller_disconnected
{
    call_id call = 0;
};

struct peer_connected
{
    schema::incarnation incarnation;
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
    /// The endpoint ran the task and returned its complete result.
    succeeded,
    /// The endpoint certainly did not start the task.
    refused,
    /// The endpoint reported that the task ran and failed.
    failed,
    /// No complete answer arrived: the task may have run.
    lost,
};

struct attempt_finished
{
    attempt_id attempt = 0;
    attempt_outcome outcome = attempt_outcome::lost;
    std::string result;
    /// Resources the task used, or 0 if the endpoint did not report them.
    int used_millicores = 0;
    int used_memory_mb = 0;
};

enum class attempt_check
{
    /// The endpoint still runs it; the attempt's connection may be intact.
    running,
    /// It ended and its result is included; the attempt's connection is broken.
    succeeded,
    failed,
    /// The endpoint does not know the attempt.
    unknown,
    /// A new connection got no answer either.
    unreachable,
};

/// Result of a check_attempt action.
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

/// The platform's list has not changed since it was last read.
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
    /// Certainly nothing was written.
    unavailable,
    /// The write may have taken effect.
    unknown,
};

/// The result of a claim_key or read_key action.
struct store_answered
{
    ticket_id ticket = 0;
    store_outcome outcome = store_outcome::unknown;
    /// The key's value, after condition_failed or a read.
    std::string value;
};

/// A bundle version read from the platform.
struct bundle_read
{
    std::int64_t version = 0;
    std::string text;
};

/// SIGTERM or an operator's drain request.
struct stop_requested
{
};

/// The grace period of a planned stop has ended.
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

// Actions.

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

/// Closes the link to a peer that has been silent for too long.
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

/// Queries an endpoint over a new connection for the state of an attempt whose
/// own connection has been silent for too long.
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

/// Reads \p key, for a look-up or to find out whether a claim took effect.
struct read_key
{
    ticket_id ticket = 0;
    std::string key;
};

/// All work has ended and has been handed over: the process may exit.
struct stop_finished
{
};

using action = std::variant<answer_caller, send_to_peer, drop_peer,
                            start_attempt, check_attempt, claim_key, read_key,
                            stop_finished, support::log_line>;

/// Collects actions in order until they are taken.
class action_queue
{
public:
    /// If \p keeps_logs is not set, logs() returns false and callers should not
    /// build log lines.
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
