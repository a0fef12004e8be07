/// \file
/// The jobs that a shard has refused and that may run in another one.
#pragma once

#include "chicorydrum/support/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

/// The runs of a job that is withdrawn, or whose deadline passes, end within
/// this time: a stop takes 50 ms, a lease that nobody extends lapses after
/// 919 ms. Callers that were refused come back after 1,000 ms at the earliest.
constexpr support::milliseconds withdrawal_time{1000};

/// A call as its entry host numbers it.
struct caller_call
{
    std::string host;
    std::int64_t call = 0;

    bool operator==(const caller_call& other) const = default;
};

/// Jobs that their home shard has refused. The entry host of such a job may
/// offer it to other shards, which know nothing of each other; a copy of the
/// job, which also goes to its home shard first, must not be offered meanwhile.
class refused_jobs
{
public:
    /// Records that \p call got a refusal of job \p id, whose runs in other
    /// shards are stopped at \p deadline.
    void add(const std::string& id, caller_call call, support::instant deadline,
             support::instant now);
    /// Returns whether a call of job \p id other than \p call may have runs in
    /// another shard.
    bool may_run_elsewhere(const std::string& id, const caller_call& call,
                           support::instant now) const;
    /// Records that \p call of job \p id has ended and withdrawn the job.
    void call_ended(const std::string& id, const caller_call& call,
                    support::instant now);
    /// Records that the owners end all jobs of entry host \p host, which they
    /// count as lost.
    void host_lost(const std::string& host, support::instant now);
    /// Returns the call of job \p id that may have it in another shard.
    std::optional<caller_call> call_of(const std::string& id) const;
    void remove_expired(support::instant now);
    /// Returns the entry hosts that have such jobs open.
    std::vector<std::string> hosts() const;

private:
    struct refused_job
    {
        caller_call call;
        /// When its runs in other shards have certainly ended.
        support::instant ended_by;
    };

    void remove(const std::string& id);
    void close(const std::string& id, const std::string& host);

    std::map<std::string, refused_job> jobs;
    /// By entry host, the jobs whose call has not ended. Each is in `jobs`, and
    /// no set is empty.
    std::map<std::string, std::set<std::string>> open;
};

} // namespace chicorydrum::shard
