#include "chicorydrum/shard/held_submissions.hpp"

#include <utility>

namespace chicorydrum::shard
{

using support::instant;

bool held_submissions::add(const std::string& host,
                           const schema::job_submitted& job,
                           std::optional<instant> sent, instant now)
{
    this->remove(host, job.call);
    if (this->jobs.size() >= this->options.max_jobs)
        return false;
    this->jobs.push_back(
        {.host = host, .job = job, .sent = sent, .held_since = now});
    return true;
}

void held_submissions::remove(const std::string& host, std::int64_t call)
{
    std::erase_if(this->jobs, [&host, call](const held_submission& held)
                  { return held.host == host && held.job.call == call; });
}

void held_submissions::remove_host(const std::string& host)
{
    std::erase_if(this->jobs, [&host](const held_submission& held)
                  { return held.host == host; });
}

std::vector<held_submission> held_submissions::take_ready(std::int64_t version,
                                                          instant now)
{
    std::vector<held_submission> ready;
    std::deque<held_submission> rest;
    for (held_submission& held : this->jobs)
    {
        if (held.job.terms.config_version > version)
        {
            rest.push_back(std::move(held));
            continue;
        }
        const auto waited =
            support::duration_cast<support::microseconds>(now - held.held_since)
                .count();
        held.job.age_us += waited;
        held.job.time_left_us -= waited;
        ready.push_back(std::move(held));
    }
    this->jobs = std::move(rest);
    return ready;
}

std::vector<held_submission> held_submissions::take_expired(instant now)
{
    std::vector<held_submission> expired;
    while (!this->jobs.empty() &&
           now - this->jobs.front().held_since >= this->options.longest_wait)
    {
        expired.push_back(std::move(this->jobs.front()));
        this->jobs.pop_front();
    }
    return expired;
}

} // namespace chicorydrum::shard
