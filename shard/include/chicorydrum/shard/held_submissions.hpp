/// \file
/// Jobs of other hosts that wait here for the configuration under which they
/// were admitted. An order for such a job shows the new configuration to an
/// endpoint, and must not be followed by jobs that only the earlier one allows.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/clock.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace chicorydrum::shard
{

struct held_submission
{
    std::string host;
    schema::job_submitted job;
    /// When it was sent at the earliest, if that is known.
    std::optional<support::instant> sent;
    support::instant held_since;
};

struct held_options
{
    /// How long a job waits before it is refused: a peer sends a small
    /// configuration within some ticks, and most callers still have time then.
    support::milliseconds longest_wait{500};
    /// Jobs that wait at the same time; others are refused at once.
    std::size_t max_jobs = 256;
};

class held_submissions
{
public:
    explicit held_submissions(held_options opts) : options(opts)
    {
    }

    /// Holds a job of \p host, in place of an earlier submission of its call.
    /// Returns whether there is room.
    bool add(const std::string& host, const schema::job_submitted& job,
             std::optional<support::instant> sent, support::instant now);
    /// The call has ended at \p host.
    void remove(const std::string& host, std::int64_t call);
    /// The link to \p host is lost: it sends its open jobs again.
    void remove_host(const std::string& host);
    /// Removes and returns the jobs that need no configuration above
    /// \p version, in the order in which they came, with the times as of now.
    std::vector<held_submission> take_ready(std::int64_t version,
                                            support::instant now);
    /// Removes and returns the jobs that have waited for too long.
    std::vector<held_submission> take_expired(support::instant now);

private:
    held_options options;
    /// Oldest first.
    std::deque<held_submission> jobs;
};

} // namespace chicorydrum::shard
