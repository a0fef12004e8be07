/// \file
/// Jobs that callers of this host have cancelled. A cancellation is recorded by
/// the owner of the job's home shard in each domain that this host reaches,
/// since the job, or a copy of it, may have been sent to any host. Owners keep
/// no state beyond their process, so that their successors are told again.
#pragma once

#include "chicorydrum/shard/host_view.hpp"
#include "chicorydrum/shard/messages.hpp"
#include "chicorydrum/support/log.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

struct cancellation_hooks
{
    std::function<void(const caller_answer&)> answer;
    /// Tells the owner of a shard. May call recorded() before it returns.
    std::function<void(const std::string& owner, const schema::job_cancelled&)>
        tell;
    /// Begins to keep a cancellation in the store. May be empty.
    std::function<void(const std::string& id)> store = {};
    /// Whether the answer to a caller need not wait for the store. May be
    /// empty.
    std::function<bool(const std::string& id)> is_kept = {};
    std::function<void(const support::log_line&)> log;
};

struct cancellation_options
{
    std::string domain;
    /// How long the caller's answer waits for owners, before it is told to
    /// repeat its request: longer than a takeover takes.
    support::milliseconds timeout{2000};
    /// Interval at which an owner that has not answered is told again.
    support::milliseconds repeat_interval{250};
    /// How long owners are told. Requests that are repeated after an answer
    /// arrive within seconds.
    support::milliseconds retention{30000};
    /// The oldest cancellations are forgotten earlier when there are more.
    std::size_t max_jobs = 4096;
};

class cancellations
{
public:
    cancellations(cancellation_options opts, cancellation_hooks callbacks);

    /// Cancels job \p id for a caller, who is answered when all reachable
    /// owners have recorded it. \p was_open if the job waited at this host.
    void begin(call_id call, const std::string& id, bool was_open,
               support::instant now);
    /// Keeps a cancellation that another host has begun, to tell later owners
    /// if that host cannot.
    void keep(const std::string& id, support::instant now);
    /// A process that is gone has cancelled the job: owners are told.
    void found(const std::string& id, support::instant now);
    /// The answer to the job's caller need not wait for the store any more.
    void kept(const std::string& id);
    void recorded(const schema::cancellation_recorded& record);
    /// \p shard_count is the number of shards of this host's domain.
    void set_owners(const shard_owners& changed, int shard_count);
    void tick(support::instant now);
    /// Tells every waiting caller to repeat its request.
    void end_all(const std::string& reason);

    std::size_t waiting_calls() const;

private:
    struct waiting_call
    {
        call_id call = 0;
        support::instant since;
    };
    struct cancellation
    {
        support::instant began;
        support::instant next_repeat;
        bool was_open = false;
        std::vector<waiting_call> calls = {};
        /// The owners that have recorded it, by their tokens.
        std::map<shard_name, fencing_token> recorded = {};
    };

    /// Returns the job's home shard in each domain, if its owner is known.
    std::vector<shard_name> homes_of(const std::string& id) const;
    bool has_recorded(const cancellation& one, const shard_name& home) const;
    /// Tells the reachable owners that have not recorded it.
    void tell(const std::string& id, support::instant now);
    cancellation& find_or_add(const std::string& id, support::instant now);
    /// Answers the callers once the owners have recorded it and it is kept.
    void answer_if_recorded(const std::string& id);
    void answer_calls(const std::string& id, answer_kind kind,
                      const std::string& reason);
    void forget_oldest();

    cancellation_options options;
    cancellation_hooks hooks;
    shard_owners owners;
    /// By domain; a power of two.
    std::map<std::string, int> shards;
    std::map<std::string, cancellation> jobs;
    /// The ids of `jobs`, oldest first.
    std::deque<std::string> by_age;
    /// The ids that a reachable owner has not recorded, or whose callers wait.
    std::set<std::string> open;
};

} // namespace chicorydrum::shard
