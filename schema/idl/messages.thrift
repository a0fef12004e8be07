// Messages between chicorydrumd processes, and the data types they contain.
//
// Every frame on a peer link is one peer_message. Hosts reject unknown union
// members, so all hosts must be upgraded before a new member is sent.

namespace cpp chicorydrum.schema

/// All error kinds; support/error.hpp maps each to its HTTP response.
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

/// One run of a host's process. Each restart draws a new nonce.
struct incarnation {
  1: string host
  2: i64 nonce
}

/// One task of a submission, with the resources that its caller declared.
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
  /// SHA-256 over kind, team, caller and tasks; distinguishes a resubmission
  /// from a different submission with the same id.
  7: string digest
  /// 0 to 9; only orders submissions of the same team and kind.
  8: i32 urgency
}

/// The final result of a submission.
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

/// The first message of each side on a new peer link.
struct peer_handshake {
  1: incarnation sender
  2: string domain
  3: i32 protocol_version
  /// Address of the sender's HTTP API for operators.
  4: string address
  5: i32 http_port
}

/// Sent at a fixed interval, with the state that peers need to be current.
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

/// A witness's copy of the state of a submission that another host owns.
struct witness_record {
  1: string id
  2: string digest
  /// Set if the owner waits for the acknowledgement before the first start.
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

/// Claims and answers of repeatable kinds, sent without delaying the request.
struct record_batch {
  1: list<witness_record> records
}

/// Asks a witness for its record of an id whose owner cannot be reached.
struct witness_query {
  1: i64 call
  2: string id
  3: string digest
  /// The kind of a resubmission; empty for a query by id.
  4: string kind
}

/// All records of an owner that is stopping. An id without a record has never
/// run and never will.
struct handover {
  1: incarnation owner
  2: list<witness_record> records
  /// The owner has deleted the records of homes up to this generation.
  3: i64 purged_generation
}
struct handover_reply {
  1: incarnation owner
}

/// A number of slots of one endpoint, lent for the duration of a lease.
struct slot_count {
  1: string endpoint
  2: i32 slots
}
struct slot_request {
  1: i32 wanted
  /// Set if a task needs many slots of this one endpoint.
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

/// Offers one task to a host of another domain. That host either starts it at
/// once or refuses it and never starts it.
struct offer {
  1: i64 call
  2: submission work
}
struct offer_reply {
  1: i64 call
  2: answer result
}

/// An accepted bundle, sent to every host.
struct bundle_push {
  1: i64 version
  2: string text
}
struct bundle_request {
  1: i64 known_version
}

/// A host's measurements of an endpoint since its last report: the sum over
/// all runs of the logarithm of the run time minus the mean of its kind.
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
