#include "chicorydrum/decision/witness_table.hpp"

#include "chicorydrum/decision/answers.hpp"

#include <algorithm>

namespace chicorydrum::decision
{

namespace
{

using support::error_kind;

std::size_t bytes_of(const schema::witness_record& record)
{
    constexpr std::size_t fixed_bytes = 256;
    std::size_t bytes = fixed_bytes + record.id.size() * 3;
    bytes += record.digest.size();
    for (const std::string& result : record.result.results)
        bytes += result.size() + sizeof(std::string);
    return bytes;
}

} // namespace

witness_table::entry& witness_table::insert(const std::string& id,
                                            support::instant now)
{
    const auto [position, is_new] = this->entries.try_emplace(id);
    if (is_new)
    {
        position->second.stored = now;
        position->second.record.id = id;
        this->insertion_order.push_back(id);
    }
    return position->second;
}

void witness_table::update_bytes(entry& changed)
{
    this->bytes_used -= changed.bytes;
    changed.bytes = bytes_of(changed.record);
    this->bytes_used += changed.bytes;
}

witness_table::owner_state&
witness_table::owner_of(const support::submission_id& id)
{
    return this->owners[support::to_text(id.home->owner)];
}

bool witness_table::claim(const schema::witness_record& record,
                          support::instant now)
{
    const auto id = support::parse_submission_id(record.id);
    if (!id || !id->home)
        return false;
    const auto known = this->entries.find(record.id);
    if (known != this->entries.end())
        return !known->second.closed &&
               known->second.record.digest == record.digest;
    const owner_state& owner = this->owner_of(*id);
    if (owner.complete || id->home->generation <= owner.purged_generation)
        return false;
    entry& claimed = this->insert(record.id, now);
    claimed.record = record;
    this->update_bytes(claimed);
    return true;
}

void witness_table::record(const schema::witness_record& record,
                           support::instant now)
{
    const auto id = support::parse_submission_id(record.id);
    if (!id || !id->home)
        return;
    // The owner's record takes precedence over conclusions drawn without it.
    entry& recorded = this->insert(record.id, now);
    if (recorded.record.finished && !record.finished)
        return;
    recorded.record = record;
    this->update_bytes(recorded);
}

void witness_table::apply_handover(const schema::handover& table,
                                   support::instant now)
{
    for (const schema::witness_record& record : table.records)
        this->record(record, now);
    owner_state& owner = this->owners[support::to_text(table.owner)];
    owner.complete = true;
    owner.purged_generation =
        std::max(owner.purged_generation, table.purged_generation);
}

schema::answer witness_table::answer_from(const entry& known,
                                          const std::string& id,
                                          const std::string& digest) const
{
    if (!digest.empty() && !known.record.digest.empty() &&
        digest != known.record.digest)
        return status_answer(id, error_kind::conflict,
                             "the id belongs to another submission");
    if (known.record.finished)
        return known.record.result;
    if (known.closed)
        return not_run_answer(id, error_kind::home_gone,
                              "the owner is gone and never started it");
    return maybe_run_answer(id, error_kind::home_gone,
                            "the owner is gone and may have started it",
                            unknown_task_count);
}

schema::answer witness_table::answer_for(const support::submission_id& id,
                                         const std::string& digest,
                                         claim_guarantee guarantee,
                                         support::instant now)
{
    const std::string text = support::to_text(id);
    const auto known = this->entries.find(text);
    if (known != this->entries.end())
        return this->answer_from(known->second, text, digest);
    const owner_state& owner = this->owner_of(id);
    if (id.home->generation <= owner.purged_generation)
        return status_answer(text, error_kind::undetermined,
                             "its record may have been forgotten");
    if (guarantee == claim_guarantee::may_be_unclaimed && !owner.complete)
        return maybe_run_answer(text, error_kind::home_gone,
                                "the owner is gone and may have started it",
                                unknown_task_count);
    entry& closed = this->insert(text, now);
    closed.closed = true;
    closed.record.digest = digest;
    this->update_bytes(closed);
    return this->answer_from(closed, text, digest);
}

void witness_table::purge(support::instant now)
{
    while (!this->insertion_order.empty())
    {
        const auto oldest = this->entries.find(this->insertion_order.front());
        const bool is_old = now - oldest->second.stored > this->options.max_age;
        if (!is_old && this->bytes_used <= this->options.max_bytes)
            return;
        const auto id = support::parse_submission_id(oldest->first);
        owner_state& owner = this->owner_of(*id);
        owner.purged_generation =
            std::max(owner.purged_generation, id->home->generation);
        this->bytes_used -= oldest->second.bytes;
        this->entries.erase(oldest);
        this->insertion_order.pop_front();
    }
}

} // namespace chicorydrum::decision
