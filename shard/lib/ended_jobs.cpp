#include "chicorydrum/shard/ended_jobs.hpp"

namespace chicorydrum::shard
{

void ended_jobs::add(const std::string& id, schema::job_result outcome,
                     support::instant now)
{
    if (!this->outcomes.try_emplace(id, outcome).second)
        return;
    this->by_age.push_back({.id = id, .ended = now});
    if (this->by_age.size() <= this->options.max_jobs)
        return;
    this->outcomes.erase(this->by_age.front().id);
    this->by_age.pop_front();
}

std::optional<schema::job_result> ended_jobs::find(const std::string& id) const
{
    const auto found = this->outcomes.find(id);
    return found == this->outcomes.end() ? std::nullopt
                                         : std::optional(found->second);
}

void ended_jobs::remove_expired(support::instant now)
{
    while (!this->by_age.empty() &&
           now - this->by_age.front().ended >= this->options.retention)
    {
        this->outcomes.erase(this->by_age.front().id);
        this->by_age.pop_front();
    }
}

} // namespace chicorydrum::shard
