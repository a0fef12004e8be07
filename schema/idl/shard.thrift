// Messages between the entry hosts that share the endpoints of failure
// domains, and the job types they contain. Times are durations in milliseconds
// or microseconds, never a time of day, since host clocks are not synchronised.

namespace cpp chicorydrum.schema

/// Resources that a task needs or an endpoint has.
struct resources {
  1: i64 millicores
  2: i64 memory_mb
  3: i64 accelerators
}

/// One incarnation of an endpoint, as registered by the endpoint.
struct endpoint_registration {
  1: string id
  2: string pool
  3: string address
  4: i32 port
  5: string domain
  /// Its kind, then its rack.
  6: list<string> labels
  7: resources capacity
  8: bool is_draining
  /// Distinguishes incarnations with the same id.
  9: i64 born_ms
}

/// Tasks of one job with the same requirements.
struct task_group {
  1: i32 count
  2: resources need
  /// Estimated run time of one task on an average endpoint.
  3: i64 estimate_ms
  /// Indexes of the groups whose tasks must all have finished before.
  4: list<i32> after
  /// The tasks make progress only while all tasks of one run are running.
  5: bool is_gang
  6: bool wants_one_rack
  7: string required_label
  /// The rack that holds the data; a task takes longer on another rack.
  8: string preferred_rack
  /// Maximum number of the group's tasks on one endpoint; 0 means no limit.
  9: i32 max_per_endpoint
  10: bool may_duplicate
}

/// Parallel tasks with a common id and answer.
struct job {
  1: string id
  2: string route
  3: string spec
  4: list<task_group> groups
}

/// How a job is run, from the route of the configuration that admitted it.
struct job_policy {
  /// The pool of endpoints that may run it.
  1: string pool
  /// Number of failed runs of one task after which the job fails.
  2: i32 max_attempts
  /// 0 is the most urgent.
  3: i32 priority
  /// The latency target is slack_ms plus stretch times the longest task.
  4: i64 slack_ms
  5: double stretch
  6: i64 config_version
}

/// How a job ended.
enum job_result {
  completed = 0
  failed = 1
  /// No task has been started.
  not_run = 2
  /// Tasks may have run and none is running; the caller may resubmit the job.
  interrupted = 3
  /// A caller has cancelled the job; none of its tasks starts any more.
  cancelled_by_caller = 4
}

/// The first message of each side on a new link.
struct shard_handshake {
  1: i32 protocol_version
  2: string host
  3: string domain
  /// Drawn anew at each start of the host's process.
  4: i64 nonce
  /// Processor share; stronger hosts are preferred as owners.
  5: double power
}

/// How many tasks the endpoints of a pool in one shard can start, beside what
/// waits there already.
struct pool_room {
  1: string pool
  /// The mean need of the tasks at the shard.
  2: i64 task_millicores
  /// For each of the agreed sizes of task, from the smallest: those that can
  /// start within each of the agreed spans of time, each number with those of
  /// the spans before it.
  3: list<i16> tasks
}

/// The room of a shard, as its owner knew it some time ago.
struct shard_room {
  1: string domain
  2: i32 shard
  3: i64 token
  4: i64 age_us
  5: list<pool_room> pools
}

/// The right to start and stop runs on the endpoints of one shard.
struct ownership {
  1: string domain
  /// Number of the shard within the domain.
  2: i32 shard
  /// Fencing token; the highest one is valid.
  3: i64 token
  /// Demand of running and waiting tasks, and the total capacity.
  4: i64 wanted_millicores
  5: i64 capacity_millicores
  /// The owner asks a much stronger host to claim the shard.
  6: bool is_offered
  /// Runs of earlier owners may be active that this owner does not know, or has
  /// not assigned to jobs. Unset by hosts of earlier versions.
  7: optional bool is_adopting
  /// Unset by hosts of earlier versions.
  8: optional list<pool_room> room
}

/// The owner of a shard of the sender's domain, of which the sender has heard
/// from the owner itself.
struct heard_owner {
  1: string host
  2: i32 shard
  3: i64 token
  4: bool is_offered
}

/// An endpoint that has told the store that it will leave.
struct leaving_endpoint {
  1: string id
  2: string domain
  3: i64 born_ms
  /// The version of its row in the store.
  4: i64 version
}

/// A job that the sender has open in another shard than the receiver's, where
/// copies of it arrive.
struct job_elsewhere {
  1: i64 call
  2: string id
  /// The receiver's shard.
  3: string domain
  4: i32 shard
  /// Time until the caller's deadline.
  5: i64 time_left_us
}

/// An endpoint where an owner may have runs.
struct held_endpoint {
  1: endpoint_registration entry
  /// The version at which the owner has first read this incarnation, or has
  /// last seen that its row was missing.
  2: i64 version
  /// The owner has read a row of it lately.
  3: bool is_listed
}

/// What a host must know to succeed the sender, to hosts of its domain.
struct succession_state {
  /// Endpoints of the sender's shards that the receiver may not find in the
  /// store, in the order in which the sender numbers them.
  1: optional list<held_endpoint> endpoints
  /// The sender has told this link of all endpoints up to this number.
  2: optional i64 told
  /// The last `told` that the sender has received on this link.
  3: optional i64 heard
  /// The sender's tokens, by shard, if it starts tasks only at endpoints of the
  /// shard that the receiver knows. Holds for a time after it was sent.
  4: optional map<i32, i64> vouched
  /// The shards of the domain that the sender's process has never known an
  /// owner of, nor of the shards that they come from.
  5: optional list<i32> never_owned
  /// The tokens, by shard, of the only claims that the sender's process has ever
  /// known of these shards and those that they come from, for some seconds
  /// after it first knew of them.
  6: optional map<i32, i64> first_tokens
}

/// The operator's request that no task starts in a failure domain, or the end
/// of one.
struct evacuation_change {
  1: string domain
  /// The version in the store of its row, of the row's removal, or of a read
  /// that lacked the row.
  2: i64 version
  3: bool is_requested
}

/// What a host knows of evacuations, as far as it has not told it on this link.
struct evacuation_news {
  1: list<evacuation_change> changes
}

/// Run times of a route's tasks at endpoints of one kind, against the callers'
/// estimates.
struct learned_run_time {
  1: string route
  /// As shard::kind_of() names it.
  2: string kind
  /// Mean of the ratios' logarithms, and their variance.
  3: double log_ratio
  4: double log_variance
  /// Number of runs, less those that count no more.
  5: double weight
  /// Time since the newest of them.
  6: i64 age_ms
}

/// How an incarnation of an endpoint differs from its kind.
struct learned_endpoint {
  1: string id
  2: i64 born_ms
  3: string kind
  /// Mean logarithm of the run time against what its kind takes.
  4: double log_deviation
  5: double weight
  6: i64 age_ms
}

struct learned_speeds_report {
  1: list<learned_run_time> run_times
  /// Of the sender's domain, to hosts of it only.
  2: list<learned_endpoint> endpoints
}

struct shard_heartbeat {
  1: bool is_ready
  2: bool is_stopping
  3: list<ownership> owned
  4: i64 config_version
  /// Number of jobs without a started task, by route.
  5: map<string, i32> waiting
  /// Number of shards into which the sender divides its domain.
  6: i32 shard_count
  /// Ids of the jobs that the sender has open at the receiver; set in the first
  /// heartbeat on a link. The receiver ends the sender's other jobs, whose
  /// withdrawals are lost.
  7: optional list<string> open_jobs
  /// To hosts of the sender's domain only.
  8: list<heard_owner> heard
  // 9 was a token across all shards, which do not compare.
  /// With open_jobs: the receiver's tokens that the sender knew of, by shard.
  10: optional map<i32, i64> known_tokens
  /// The sender does not follow the endpoints in the store at the moment.
  11: bool lacks_endpoints
  /// Leaving endpoints of the receiver's domain whose rows are later than its
  /// endpoints_version, each of them once on a link.
  12: list<leaving_endpoint> leaving
  /// With open_jobs: what the receiver's shards must not start a copy of.
  13: optional list<job_elsewhere> elsewhere
  /// The version of the store up to which the sender has read the endpoints; 0
  /// before its first read.
  14: i64 endpoints_version
  /// The longest time since the sender has heard an entry host whose jobs its
  /// shards have; unset if it owns none.
  15: optional i64 callers_silent_us
  /// The sender answers config_requested; false from hosts of earlier versions.
  16: bool sends_config_parts
  /// To hosts of the sender's domain only; unset by hosts of earlier versions.
  17: optional succession_state succession
  /// Unset if there is no news, and by hosts of earlier versions.
  18: optional evacuation_news evacuations
  /// Now and then, from owners and hosts that keep reports of earlier owners.
  19: optional learned_speeds_report speeds
}

/// Sends a caller's job from its entry host to the shard's owner.
struct job_submitted {
  1: i64 call
  2: job work
  3: job_policy terms
  /// Time since the caller's request was received completely.
  4: i64 age_us
  /// Time until the caller's deadline.
  5: i64 time_left_us
  /// A previous owner may have started tasks of the job.
  6: bool may_run
  7: string domain
  8: i32 shard
  /// Numbers the submissions of a call.
  9: optional i32 submission
  /// The number of shards that the domain had when an owner there may first
  /// have started tasks of the job; unset for jobs of another domain.
  10: optional i32 first_shards
}

/// The caller has disconnected or has cancelled the job.
struct job_withdrawn {
  1: i64 call
  2: string id
  3: string domain
  4: i32 shard
  /// How the job has ended in another shard: completed or failed, else unset.
  5: optional job_result outcome
}

struct job_ended {
  1: i64 call
  2: string id
  3: job_result outcome
  4: string reason
  5: i64 retry_after_ms
  /// The newest submission of the call that the owner had received.
  6: optional i32 submission
  /// With a refusal: the room of the owner's shards, and of others that it has
  /// heard from.
  7: optional list<shard_room> rooms
}

/// The receiver of a job does not own the shard.
struct job_not_owned {
  1: i64 call
  2: string domain
  3: i32 shard
}

/// A caller of the sender has cancelled the job, which any host may have sent to
/// the shard, or may still send.
struct job_cancelled {
  1: string id
  2: string domain
  3: i32 shard
}

/// The owner of a shard remembers the cancellation.
struct cancellation_recorded {
  1: string id
  2: string domain
  3: i32 shard
  /// Fencing token of the owner, whose successors do not know of it.
  4: i64 token
  /// The job was open there.
  5: bool was_open
}

/// The newest configuration, in the platform's encoding. Only hosts of earlier
/// versions send it.
struct config_shared {
  1: i64 version
  2: string document
}

/// Asks for the next part of the receiver's newest configuration.
struct config_requested {
  /// The newest version that has arrived at the sender.
  1: i64 known_version
  /// The version of the parts that the sender has; 0 without any.
  2: i64 version
  /// How many bytes of it the sender has.
  3: i64 offset
}

/// A part of a configuration, in the platform's encoding.
struct config_part {
  1: i64 version
  2: i64 offset
  /// The size of the whole document; 0 if the sender has no newer one or sends
  /// to enough others.
  3: i64 total
  4: binary bytes
}

/// The row that a host writes about itself to the platform's table.
struct host_record {
  1: string domain
  2: string address
  3: i32 peer_port
  4: double power
  5: i64 nonce
}

/// Lets the receiver bound a message's age by its own clock. Clocks of different
/// hosts have nothing in common but their rate.
struct message_times {
  /// The sender's clock when it sent the message.
  1: i64 sent_us
  /// At most this much is the sender's clock ahead of the receiver's: the
  /// sender's clock at the arrival of a message less the sent_us in it. Unset
  /// until a message of the receiver's process has arrived.
  2: optional i64 ahead_us
}

/// Exactly one of the members but times is set.
struct shard_message {
  1: optional shard_handshake hello
  2: optional shard_heartbeat beat
  3: optional job_submitted submitted
  4: optional job_withdrawn withdrawn
  5: optional job_ended ended
  6: optional job_not_owned not_owned
  7: optional config_shared config
  8: optional job_cancelled cancelled
  9: optional cancellation_recorded recorded
  /// Unset by hosts of earlier versions.
  10: optional message_times times
  11: optional config_requested config_request
  12: optional config_part config_bytes
}
