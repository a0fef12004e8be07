#include "chicorydrum/decision/submission_table.hpp"

#include <algorithm>
#include <cassert>
#include <functional>

namespace chicorydrum::decision
{

namespace
{

std::size_t hash_of(const std::string& id)
{
    return std::hash<std::string>()(id);
}

} // namespace

id_status submission_table::look_up(const support::submission_id& id) const
{
    const std::string text = support::to_text(id);
    if (this->records.contains(text))
        return id_status::recorded;
    if (this->refusals.contains(hash_of(text)))
        return id_status::refused;
    if (id.home->generation <= this->purged_generation)
        return id_status::forgotten;
    return id_status::fresh;
}

record_ptr submission_table::find(const std::string& id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : found->second;
}

support::error_kind submission_table::refusal_of(const std::string& id) const
{
    const auto found = this->refusals.find(hash_of(id));
    assert(found != this->refusals.end() &&
           "refusal_of() requires a refused id");
    return found->second;
}

void submission_table::insert(const record_ptr& record)
{
    const bool is_new = this->records.emplace(record->work.id, record).second;
    assert(is_new && "a record with this id already exists");
    static_cast<void>(is_new);
    this->expiries.push({.deadline = record->deadline, .record = record});
    ++this->open_count;
    this->open_bytes_used += bytes_held(*record);
}

void submission_table::remember_refusal(const support::submission_id& id,
                                        support::error_kind kind,
                                        support::instant now)
{
    const std::size_t id_hash = hash_of(support::to_text(id));
    if (!this->refusals.try_emplace(id_hash, kind).second)
        return;
    this->refusals_by_age.push_back({.id_hash = id_hash,
                                     .generation = id.home->generation,
                                     .refused_at = now});
}

void submission_table::finished(const record_ptr& record, support::instant now)
{
    assert(record->finished() && "finished() requires a final outcome");
    --this->open_count;
    this->open_bytes_used -= bytes_held(*record);
    for (schema::task_spec& task : record->work.tasks)
        task.payload = std::string();
    if (record->anonymous)
    {
        this->records.erase(record->work.id);
        return;
    }
    record->outcome.results = std::move(record->results);
    const std::size_t bytes = bytes_held(*record);
    this->kept.push_back(
        {.finished_at = now, .id = record->work.id, .bytes = bytes});
    this->kept_bytes_used += bytes;
}

std::vector<record_ptr> submission_table::take_expired(support::instant now)
{
    std::vector<record_ptr> expired;
    while (!this->expiries.empty() && this->expiries.top().deadline <= now)
    {
        const record_ptr record = this->expiries.top().record.lock();
        this->expiries.pop();
        if (record && !record->finished())
            expired.push_back(record);
    }
    return expired;
}

void submission_table::forget_refusals(support::instant now)
{
    while (!this->refusals_by_age.empty())
    {
        const refusal& oldest = this->refusals_by_age.front();
        const bool is_old = now - oldest.refused_at > this->options.max_age;
        if (!is_old && this->refusals.size() <= this->options.max_refusals)
            return;
        this->purged_generation =
            std::max(this->purged_generation, oldest.generation);
        this->refusals.erase(oldest.id_hash);
        this->refusals_by_age.pop_front();
    }
}

void submission_table::purge(support::instant now)
{
    this->forget_refusals(now);
    while (!this->kept.empty())
    {
        const kept_answer& oldest = this->kept.front();
        const bool is_old = now - oldest.finished_at > this->options.max_age;
        if (!is_old && this->kept_bytes_used <= this->options.max_bytes)
            return;
        const auto id = support::parse_submission_id(oldest.id);
        this->purged_generation =
            std::max(this->purged_generation, id->home->generation);
        this->kept_bytes_used -= oldest.bytes;
        this->records.erase(oldest.id);
        this->kept.pop_front();
    }
}

std::vector<record_ptr> submission_table::all() const
{
    std::vector<record_ptr> owned;
    for (const auto& [id, record] : this->records)
        if (!record->anonymous)
            owned.push_back(record);
    return owned;
}

std::vector<record_ptr> submission_table::unfinished_records() const
{
    std::vector<record_ptr> open;
    for (const auto& [id, record] : this->records)
        if (!record->finished())
            open.push_back(record);
    std::sort(open.begin(), open.end(),
              [](const record_ptr& a, const record_ptr& b)
              { return a->work.id < b->work.id; });
    return open;
}

} // namespace chicorydrum::decision
