// Messages between chicorydrumd processes and what they carry.
//
// Every frame on a peer link is one peer_message. Unknown union members are
// rejected, so a new member needs a rolling replacement of all hosts.

namespace cpp chicorydrum.schema

/// The closed list of error kinds; support/error.hpp has the answer table.
enum error_kind {
  none = 0
  bad_request = 1
  conflict = 2
  over_quota = 3
  shed = 4
  no_capacity = 5
  never_fits = 6
  home_gone = 7
  undetermined = 8
  deadline_passed = 9
  endpoint_failed = 10
  cancelled = 11
  stopping = 12
  bundle_missing = 13
  store_unavailable = 14
  internal = 15
  not_found = 16
  running = 17
  method_not_allowed = 18
  too_large = 19
  too_slow = 20
  too_many_connections = 21
}

/// One run of one process on a host: a restart draws a new nonce.
struct incarnation {
  1: string host
  2: i64 nonce
}

/// One task of a submission, with the size that its caller declared.
struct task_spec {
  1: string payload
  2: i32 millicores
  3: i32 memory_mb
}

/// A caller's request or job, after parsing and validation.
struct submission {
  1: string id
  2: string kind
  3: string team
  4: string caller
  /// Time left until the caller's deadline when the message was sent.
  5: i64 deadline_ms
  6: list<task_spec> tasks
  /// SHA-256 over kind, team, caller and tasks; tells a resubmission from a
  /// conflicting one.
  7: string digest
  /// 0 to 9; orders work inside one team's share of one kind only.
  8: i32 urgency
}

/// The whole outcome of a submission.
struct answer {
  1: string id
  2: error_kind error
  /// True only if no task of the submission ever started, on any attempt.
  3: bool not_run
  4: i32 tasks_maybe_run
  /// One result per task in task order; empty unless error is none.
  5: list<string> results
  6: string detail
  7: i64 retry_after_ms
}

/// First message on each new peer link, in both directions.
struct peer_handshake {
  1: incarnation sender
  2: string domain
  3: i32 protocol_version
  /// Where the sender's HTTP listener answers operators.
  4: string address
  5: i32 http_port
}

/// Sent at a fixed interval; carries what peers need to know all the time.
struct heartbeat {
  1: i64 bundle_version
  2: bool stopping
  3: bool ready
  4: i32 idle_slots
}

/// Asks the owner of an id to run it, or to report or cancel it.
struct forward {
  1: i64 call
  2: submission work
}
struct forward_query {
  1: i64 call
  2: string id
  3: bool cancel
}
struct forward_answer {
  1: i64 call
  2: answer result
}

/// What a witness keeps of a submission that another host owns.
struct witness_record {
  1: string id
  2: string digest
  /// Set when the owner waited for the acknowledgement before starting.
  3: bool witnessed
  4: bool finished
  5: answer result
}

/// Asks the witness to record a claim before the first start.
struct claim {
  1: witness_record record
}
struct claim_reply {
  1: string id
  2: bool accepted
}

/// Claims and answers of repeatable kinds, off the path of the request.
struct record_batch {
  1: list<witness_record> records
}

/// Asks a host what it witnessed of an id whose owner cannot be reached.
struct witness_query {
  1: i64 call
  2: string id
  3: string digest
  /// The kind of a resubmission; empty for a query by id.
  4: string kind
}

/// The complete table of an owner that stops: an id that is not in it never
/// ran and never will.
struct handover {
  1: incarnation owner
  2: list<witness_record> records
  /// The owner forgot records of homes up to this generation.
  3: i64 purged_generation
}
struct handover_reply {
  1: incarnation owner
}

/// Slots of one endpoint that change hands for the length of a lease.
struct slot_count {
  1: string endpoint
  2: i32 slots
}
struct slot_request {
  1: i32 wanted
  /// Set if only slots of this endpoint serve, for a task that needs many.
  2: string endpoint
}
struct slot_grant {
  1: i64 lease
  2: list<slot_count> slots
  3: i64 lease_ms
}
struct slot_return {
  1: i64 lease
  2: list<slot_count> slots
}

/// Offers one task to a host of another domain, which starts it at once or
/// refuses it for certain.
struct offer {
  1: i64 call
  2: submission work
}
struct offer_reply {
  1: i64 call
  2: answer result
}

/// An accepted bundle on its way to every host.
struct bundle_push {
  1: i64 version
  2: string text
}
struct bundle_request {
  1: i64 known_version
}

/// What a host learned of endpoints since its last report: the logarithms of
/// run times, less the mean of their kind, summed up.
struct speed_sample {
  1: string endpoint
  2: double log_residual_sum
  3: i32 samples
}
struct speed_report {
  1: list<speed_sample> endpoints
}

union peer_message {
  1: peer_handshake greeting
  2: heartbeat beat
  3: forward forwarded
  4: forward_query queried
  5: forward_answer answered
  6: claim claimed
  7: claim_reply claim_replied
  8: record_batch recorded
  9: witness_query witness_queried
  10: handover handed_over
  11: handover_reply handover_replied
  12: slot_request slots_requested
  13: slot_grant slots_granted
  14: slot_return slots_returned
  15: offer offered
  16: offer_reply offer_replied
  17: bundle_push bundle_pushed
  18: bundle_request bundle_requested
  19: speed_report speeds_reported
}
