// The settings of a chicorydrumd process and the operators' bundle.
//
// The YAML reader validates against the names, types and annotations here:
// "unit" appears in error messages, "min" and "max" bound numbers and the
// length of text and lists, and "pattern" names a text format.
// A field with a default value may be omitted; a "required" field may not.

namespace cpp chicorydrum.schema

/// Another entry host that this one may connect to.
struct peer_settings {
  1: required string name (min = "1", max = "32", pattern = "name")
  2: required string address (min = "7", max = "45", pattern = "ip")
  3: required i32 peer_port (min = "1", max = "65535")
  4: required string domain (min = "1", max = "32", pattern = "name")
}

/// The platform's service: its address, timing and rate limits.
struct platform_settings {
  1: required string address (min = "7", max = "45", pattern = "ip")
  2: required i32 port (min = "1", max = "65535")
  3: i64 request_timeout = 1000 (unit = "ms", min = "50", max = "30000")
  4: i64 poll_interval = 1000 (unit = "ms", min = "100", max = "60000")
  5: i32 writes_per_second = 50 (unit = "1/s", min = "1", max = "500")
  6: i32 reads_per_second = 100 (unit = "1/s", min = "1", max = "2000")
}

/// Limits of the HTTP listener for callers.
struct listener_settings {
  1: i32 max_body = 8388608 (unit = "bytes", min = "1024", max = "67108864")
  2: i32 max_connections = 2000 (min = "8", max = "20000")
  3: i64 receive_timeout = 10000 (unit = "ms", min = "100", max = "60000")
}

/// Timing of the links between entry hosts.
struct peer_link_settings {
  1: i64 heartbeat_interval = 500 (unit = "ms", min = "50", max = "5000")
  2: i64 silence_timeout = 1500 (unit = "ms", min = "150", max = "20000")
  3: i64 redial_interval = 300 (unit = "ms", min = "50", max = "10000")
  4: i64 claim_timeout = 500 (unit = "ms", min = "20", max = "10000")
}

/// Limits of the answers kept to recognise resubmissions, and of queued work.
struct retention_settings {
  1: i64 answer_age = 600000 (unit = "ms", min = "1000", max = "86400000")
  2: i64 answer_bytes = 67108864 (unit = "bytes", min = "65536", max = "1073741824")
  3: i64 queue_bytes = 67108864 (unit = "bytes", min = "65536", max = "1073741824")
}

/// All settings that a chicorydrumd process reads at startup.
struct settings {
  1: required string name (min = "1", max = "32", pattern = "name")
  2: required string domain (min = "1", max = "32", pattern = "name")
  3: required string address (min = "7", max = "45", pattern = "ip")
  4: required i32 http_port (min = "1", max = "65535")
  5: required i32 peer_port (min = "1", max = "65535")
  6: required platform_settings platform
  7: list<peer_settings> peers (min = "0", max = "500")
  8: listener_settings listener
  9: peer_link_settings peer_link
  10: retention_settings retention
  11: i64 stop_grace = 30000 (unit = "ms", min = "0", max = "600000")
  12: string log_level = "info" (pattern = "level")
}

/// The listeners of this host; callers and readiness are ADDRESS:PORT.
struct entry_listeners {
  1: required string callers (min = "9", max = "64", pattern = "socket")
  2: required string readiness (min = "9", max = "64", pattern = "socket")
  3: required i32 peer_port (min = "1", max = "65535")
  4: required i32 metrics_port (min = "1", max = "65535")
}

/// Limits set by the platform.
struct platform_bounds {
  1: i64 longest_lease = 1000 (unit = "ms", min = "200", max = "60000")
  2: double stop_grace = 6 (unit = "s", min = "0", max = "600")
  3: double far_factor = 2.0 (min = "1", max = "100")
}

/// Resource limits of this host.
struct host_limits {
  1: double processor_share = 0.25 (min = "0.01", max = "1024")
  2: i32 descriptors = 2048 (min = "256", max = "1048576")
  /// Rate of the host's link in Mbit/s.
  3: double link_rate = 1000 (unit = "Mbit/s", min = "0.1", max = "1000000")
}

/// Settings of an entry host of the platform.
struct entry_settings {
  1: required string name (min = "1", max = "64", pattern = "name")
  2: required string domain (min = "1", max = "64", pattern = "name")
  3: required string address (min = "7", max = "45", pattern = "ip")
  4: required entry_listeners listeners
  /// The platform's store, as ADDRESS:PORT.
  5: required string store (min = "9", max = "64", pattern = "socket")
  6: platform_bounds bounds
  7: host_limits limits
  8: string log_level = "info" (pattern = "level")
}

/// How submissions of one kind are admitted and scheduled.
struct kind_rule {
  1: required string name (min = "1", max = "64", pattern = "name")
  2: bool repeatable = true
  3: double share = 1.0 (min = "0.001", max = "1000")
  4: i64 default_deadline = 30000 (unit = "ms", min = "1", max = "3600000")
  5: i64 expected_run_time = 200 (unit = "ms", min = "1", max = "600000")
  6: i32 cores = 1000 (unit = "millicores", min = "1", max = "1024000")
  7: i32 memory = 256 (unit = "MB", min = "1", max = "4194304")
  8: i32 urgency = 0 (min = "0", max = "9")
  9: i32 reserved_slots = 0 (unit = "percent", min = "0", max = "50")
}

/// A team's share and quotas across all hosts.
struct team_rule {
  1: required string name (min = "1", max = "64", pattern = "name")
  2: double share = 1.0 (min = "0.001", max = "1000")
  3: i32 max_tasks_per_second = 100000 (unit = "1/s", min = "1", max = "1000000")
  4: i32 max_concurrent_tasks = 100000 (min = "1", max = "1000000")
}

/// Limits of routing, retries and ejection.
struct routing_rule {
  1: i32 max_ejected = 30 (unit = "percent", min = "0", max = "90")
  2: i32 retry_budget = 10 (unit = "percent", min = "0", max = "100")
  3: i64 slot_lease = 500 (unit = "ms", min = "50", max = "10000")
  4: i32 spill_budget = 50 (unit = "percent", min = "0", max = "100")
  5: i32 max_job_tasks = 1000 (min = "1", max = "10000")
  6: i64 attempt_timeout = 20000 (unit = "ms", min = "100", max = "600000")
}

/// The operators' versioned configuration.
struct bundle {
  1: required list<kind_rule> kinds (min = "1", max = "200")
  2: required list<team_rule> teams (min = "1", max = "500")
  3: routing_rule routing
}
