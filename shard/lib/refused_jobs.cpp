#include "chicorydrum/shard/refused_jobs.hpp"

#include <algorithm>
#include <utility>

namespace chicorydrum::shard
{

namespace
{

using support::instant;

/// The same from when an entry host counts as lost, after at most 525 ms, even
/// if an owner falls silent before it has ended the host's jobs. Callers send
/// copies after 1,300 ms.
constexpr support::milliseconds host_loss_time{730};
/// Maximum number of jobs that are kept.
constexpr std::size_t max_refused = 8192;

} // namespace

void refused_jobs::add(const std::string& id, caller_call call,
                       instant deadline, instant now)
{
    this->remove(id);
    if (this->jobs.size() >= max_refused)
        this->remove_expired(now);
    if (this->jobs.size() >= max_refused)
        this->remove(std::string(this->jobs.begin()->first));
    this->open[call.host].insert(id);
    // Its owner stops the job at the deadline.
    this->jobs[id] = {.call = std::move(call),
                      .ended_by = deadline + withdrawal_time};
}

bool refused_jobs::may_run_elsewhere(const std::string& id,
                                     const caller_call& call, instant now) const
{
    const auto found = this->jobs.find(id);
    return found != this->jobs.end() && found->second.call != call &&
           now < found->second.ended_by;
}

void refused_jobs::call_ended(const std::string& id, const caller_call& call,
                              instant now)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end() || found->second.call != call)
        return;
    found->second.ended_by =
        std::min(found->second.ended_by, now + withdrawal_time);
    this->close(id, call.host);
}

void refused_jobs::host_lost(const std::string& host, instant now)
{
    const auto found = this->open.find(host);
    if (found == this->open.end())
        return;
    for (const std::string& id : found->second)
    {
        refused_job& job = this->jobs.at(id);
        job.ended_by = std::min(job.ended_by, now + host_loss_time);
    }
    this->open.erase(found);
}

std::optional<caller_call> refused_jobs::call_of(const std::string& id) const
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() ? std::nullopt
                                     : std::optional(found->second.call);
}

void refused_jobs::remove_expired(instant now)
{
    std::vector<std::string> expired;
    for (const auto& [id, job] : this->jobs)
        if (now >= job.ended_by)
            expired.push_back(id);
    for (const std::string& id : expired)
        this->remove(id);
}

std::vector<std::string> refused_jobs::hosts() const
{
    std::vector<std::string> hosts;
    for (const auto& [host, ids] : this->open)
        hosts.push_back(host);
    return hosts;
}

void refused_jobs::remove(const std::string& id)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end())
        return;
    this->close(id, found->second.call.host);
    this->jobs.erase(found);
}

void refused_jobs::close(const std::string& id, const std::string& host)
{
    const auto found = this->open.find(host);
    if (found == this->open.end())
        return;
    found->second.erase(id);
    if (found->second.empty())
        this->open.erase(found);
}

} // namespace chicorydrum::shard
