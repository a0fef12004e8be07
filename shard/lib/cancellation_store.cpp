#include "chicorydrum/shard/cancellation_store.hpp"

#include <algorithm>
#include <utility>

namespace chicorydrum::shard
{

using support::instant;
using support::log_line;
using support::milliseconds;

cancellation_store::cancellation_store(cancellation_store_options opts,
                                       cancellation_store_hooks callbacks)
    : options(opts), hooks(std::move(callbacks)),
      random(static_cast<std::minstd_rand::result_type>(opts.seed))
{
}

void cancellation_store::add(const std::string& id, instant now)
{
    if (this->jobs.contains(id))
        return;
    if (this->jobs.size() >= this->options.max_jobs)
    {
        this->hooks.log(
            log_line("cancellation_not_stored", support::log_level::warning)
                .add("job", id)
                .add("reason", "too_many"));
        return;
    }
    this->jobs[id] = {.since = now};
    this->to_add.push_back(id);
    this->waiting.insert(id);
    this->write_if_due(now);
}

bool cancellation_store::is_kept(const std::string& id) const
{
    const auto found = this->jobs.find(id);
    return found == this->jobs.end() || found->second.is_kept;
}

void cancellation_store::rows_read(const cancelled_rows& rows, instant now)
{
    this->is_reading = false;
    if (!rows.is_read)
    {
        this->next_read = now + this->options.first_backoff;
        return;
    }
    std::uniform_int_distribution<std::int64_t> spread(
        0, this->options.removal_spread.count());
    std::int64_t found = 0;
    for (const std::string& id : rows.ids)
    {
        if (this->jobs.size() >= this->options.max_jobs ||
            !this->jobs
                 .try_emplace(
                     id,
                     entry{.since = now, .is_stored = true, .is_kept = true})
                 .second)
            continue;
        ++found;
        this->remove_after(
            id, this->options.retention + milliseconds(spread(this->random)),
            now);
        this->hooks.found(id);
    }
    this->is_complete = rows.next_key.empty();
    this->read_from = rows.next_key;
    if (found > 0 || rows.malformed > 0)
        this->hooks.log(
            log_line("cancellations_read")
                .add("found", found)
                .add("malformed", static_cast<std::int64_t>(rows.malformed)));
    this->read_if_due(now);
}

void cancellation_store::written(bool is_written, instant now)
{
    this->is_writing = false;
    const cancelled_write done = std::exchange(this->sent, {});
    if (!is_written)
    {
        this->to_add.insert(this->to_add.begin(), done.added.begin(),
                            done.added.end());
        for (const std::string& id : done.removed)
            this->to_remove.emplace(now, id);
        if (this->backoff.count() == 0)
            this->hooks.log(log_line("cancellations_not_written",
                                     support::log_level::warning)
                                .add("jobs", static_cast<std::int64_t>(
                                                 this->to_add.size())));
        this->backoff =
            std::clamp(this->backoff * 2, this->options.first_backoff,
                       this->options.longest_backoff);
        this->next_write = now + this->backoff;
        return;
    }
    this->backoff = milliseconds(0);
    for (const std::string& id : done.added)
    {
        entry& one = this->jobs.at(id);
        one.is_stored = one.is_kept = true;
        this->remove_after(id, this->options.retention, now);
        if (this->waiting.erase(id) > 0)
            this->hooks.kept(id);
    }
    for (const std::string& id : done.removed)
        this->jobs.erase(id);
}

void cancellation_store::tick(instant now)
{
    this->read_if_due(now);
    this->write_if_due(now);
    this->end_waits(now);
}

void cancellation_store::read_if_due(instant now)
{
    if (this->is_complete || this->is_reading || now < this->next_read)
        return;
    this->is_reading = true;
    this->hooks.read({.from = this->read_from});
}

void cancellation_store::write_if_due(instant now)
{
    if (this->is_writing || now < this->next_write)
        return;
    cancelled_write next;
    const auto room = [this, &next]
    {
        return next.added.size() + next.removed.size() <
               this->options.max_entries;
    };
    while (room() && !this->to_add.empty())
    {
        next.added.push_back(std::move(this->to_add.front()));
        this->to_add.pop_front();
    }
    while (room() && !this->to_remove.empty() &&
           this->to_remove.begin()->first <= now)
    {
        next.removed.push_back(std::move(this->to_remove.begin()->second));
        this->to_remove.erase(this->to_remove.begin());
    }
    if (next.added.empty() && next.removed.empty())
        return;
    this->is_writing = true;
    this->next_write = now + this->options.write_interval;
    this->sent = next;
    this->hooks.write(next);
}

void cancellation_store::end_waits(instant now)
{
    std::vector<std::string> ended;
    for (const std::string& id : this->waiting)
        if (now - this->jobs.at(id).since >= this->options.patience)
            ended.push_back(id);
    for (const std::string& id : ended)
    {
        this->waiting.erase(id);
        this->jobs.at(id).is_kept = true;
        this->hooks.log(
            log_line("cancellation_not_stored", support::log_level::warning)
                .add("job", id)
                .add("reason", "store_late"));
        this->hooks.kept(id);
    }
}

void cancellation_store::remove_after(const std::string& id, milliseconds delay,
                                      instant now)
{
    this->to_remove.emplace(now + delay, id);
}

} // namespace chicorydrum::shard
