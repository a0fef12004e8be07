/// \file
/// The results of jobs that have ended, for requests that arrive once more.
#pragma once

#include "chicorydrum/schema/generated/shard_types.h"
#include "chicorydrum/support/clock.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace chicorydrum::shard
{

struct ended_jobs_options
{
    /// Callers repeat a request within seconds of its answer.
    support::milliseconds retention{30000};
    /// The oldest results are forgotten earlier when there are more.
    std::size_t max_jobs = 8192;
};

class ended_jobs
{
public:
    explicit ended_jobs(ended_jobs_options opts = {}) : options(opts)
    {
    }

    /// Records the result of job \p id, unless it has one already.
    void add(const std::string& id, schema::job_result outcome,
             support::instant now);
    std::optional<schema::job_result> find(const std::string& id) const;
    /// Forgets results whose retention is over.
    void remove_expired(support::instant now);

private:
    struct dated_id
    {
        std::string id;
        support::instant ended;
    };

    ended_jobs_options options;
    std::unordered_map<std::string, schema::job_result> outcomes;
    /// The ids of `outcomes`, oldest first.
    std::deque<dated_id> by_age;
};

} // namespace chicorydrum::shard
