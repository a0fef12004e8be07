// Messages between the entry hosts that share the endpoints of failure
// domains, and the jobs that they carry. Times are milliseconds or
// microseconds that have passed, never a time of day: hosts share no clock.

namespace cpp chicorydrum.schema

/// What a task needs of an endpoint, or an endpoint has.
struct resources {
  1: i64 millicores
  2: i64 memory_mb
  3: i64 accelerators
}

/// Tasks of one job that are alike.
struct task_group {
  1: i32 count
  2: resources need
  /// Rough run time of one task on an average endpoint.
  3: i64 estimate_ms
  /// Indexes of groups whose tasks must all be done first.
  4: list<i32> after
  /// The tasks work only while all of one run are present.
  5: bool is_gang
  6: bool wants_one_rack
  7: string required_label
  /// Where the data lies; elsewhere a task takes longer.
  8: string preferred_rack
  /// Most tasks of the group on one endpoint; 0 means any number.
  9: i32 max_per_endpoint
  10: bool may_duplicate
}

/// Parallel tasks under one id with one answer.
struct job {
  1: string id
  2: string route
  3: string spec
  4: list<task_group> groups
}

/// How the configuration that admitted a job wants it served.
struct job_policy {
  /// The pool of endpoints that may run it.
  1: string pool
  /// Failed runs of one task after which the job has failed.
  2: i32 max_attempts
  /// 0 is the most urgent.
  3: i32 priority
  /// The target is slack_ms plus stretch times the longest task.
  4: i64 slack_ms
  5: double stretch
  6: i64 config_version
}

/// How a job ended.
enum job_result {
  completed = 0
  failed = 1
  /// No task has ever been started.
  not_run = 2
  /// Tasks may have run and none runs any more; the caller may send it again.
  interrupted = 3
}

/// First message on a link, from both sides.
struct shard_handshake {
  1: i32 protocol_version
  2: string host
  3: string domain
  /// Differs for each process of a host.
  4: i64 nonce
  /// Processor share, to choose owners by.
  5: double power
}

/// The right to give orders to the endpoints of one shard.
struct ownership {
  1: string domain
  /// Which of the domain's shards.
  2: i32 shard
  /// Fencing token: the highest one counts.
  3: i64 token
  /// What runs and waits there, against all that could run.
  4: i64 wanted_millicores
  5: i64 capacity_millicores
  /// A much stronger host should claim it.
  6: bool is_offered
}

struct shard_heartbeat {
  1: bool is_ready
  2: bool is_stopping
  3: list<ownership> owned
  4: i64 config_version
  /// Jobs with no start yet, by route.
  5: map<string, i32> waiting
  /// Into how many shards the sender divides its domain.
  6: i32 shard_count
}

/// An entry host hands a caller's job to the owner.
struct job_submitted {
  1: i64 call
  2: job work
  3: job_policy terms
  /// Since the caller's whole request arrived.
  4: i64 age_us
  /// Until the caller gives up.
  5: i64 time_left_us
  /// An earlier owner may have started tasks of it.
  6: bool may_run
  7: string domain
  8: i32 shard
}

/// The caller left, or asked to cancel.
struct job_withdrawn {
  1: i64 call
  2: string id
  3: string domain
  4: i32 shard
}

struct job_ended {
  1: i64 call
  2: string id
  3: job_result outcome
  4: string reason
  5: i64 retry_after_ms
}

/// The receiver does not own the shard.
struct job_not_owned {
  1: i64 call
  2: string domain
  3: i32 shard
}

/// The newest configuration, in the platform's own encoding.
struct config_shared {
  1: i64 version
  2: string document
}

/// One life of an endpoint, as it registered itself.
struct endpoint_registration {
  1: string id
  2: string pool
  3: string address
  4: i32 port
  5: string domain
  6: list<string> labels
  7: resources capacity
  8: bool is_draining
  /// Distinguishes lives under the same id.
  9: i64 born_ms
}

/// A host's own row in the platform's table.
struct host_record {
  1: string domain
  2: string address
  3: i32 peer_port
  4: double power
  5: i64 nonce
}

/// Exactly one member is set.
union shard_message {
  1: shard_handshake hello
  2: shard_heartbeat beat
  3: job_submitted submitted
  4: job_withdrawn withdrawn
  5: job_ended ended
  6: job_not_owned not_owned
  7: config_shared config
}
