#include "chicorydrum/shard/cancellations.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace chicorydrum::shard
{

namespace
{

using support::instant;
using support::log_line;

} // namespace

cancellations::cancellations(cancellation_options opts,
                             cancellation_hooks callbacks)
    : options(std::move(opts)), hooks(std::move(callbacks))
{
}

void cancellations::begin(call_id call, const std::string& id, bool was_open,
                          instant now)
{
    cancellation& one = this->find_or_add(id, now);
    one.was_open = one.was_open || was_open;
    one.calls.push_back({.call = call, .since = now});
    this->open.insert(id);
    if (this->hooks.store)
        this->hooks.store(id);
    this->tell(id, now);
    this->answer_if_recorded(id);
}

void cancellations::keep(const std::string& id, instant now)
{
    this->find_or_add(id, now);
}

void cancellations::found(const std::string& id, instant now)
{
    this->find_or_add(id, now);
    this->open.insert(id);
}

void cancellations::kept(const std::string& id)
{
    this->answer_if_recorded(id);
}

cancellations::cancellation& cancellations::find_or_add(const std::string& id,
                                                        instant now)
{
    const auto [entry, is_new] = this->jobs.try_emplace(id);
    if (!is_new)
        return entry->second;
    this->by_age.push_back(id);
    entry->second.began = now;
    if (this->jobs.size() > this->options.max_jobs)
        this->forget_oldest();
    return entry->second;
}

void cancellations::forget_oldest()
{
    const std::string id = std::move(this->by_age.front());
    this->by_age.pop_front();
    this->answer_calls(id, answer_kind::not_run, "too_many_cancellations");
    this->open.erase(id);
    this->jobs.erase(id);
}

std::vector<shard_name> cancellations::homes_of(const std::string& id) const
{
    std::vector<shard_name> homes;
    for (const auto& [domain, count] : this->shards)
        homes.push_back({.domain = domain, .shard = shard_of(id, count)});
    return homes;
}

bool cancellations::has_recorded(const cancellation& one,
                                 const shard_name& home) const
{
    const auto found = one.recorded.find(home);
    const auto owner = this->owners.find(home);
    return found != one.recorded.end() && owner != this->owners.end() &&
           found->second >= owner->second.token;
}

void cancellations::tell(const std::string& id, instant now)
{
    cancellation& one = this->jobs.at(id);
    one.next_repeat = now + this->options.repeat_interval;
    for (const shard_name& home : this->homes_of(id))
    {
        const auto owner = this->owners.find(home);
        if (owner == this->owners.end() || !owner->second.is_reachable ||
            this->has_recorded(one, home))
            continue;
        schema::job_cancelled message;
        message.id = id;
        message.domain = home.domain;
        message.shard = home.shard;
        this->hooks.tell(owner->second.host, message);
    }
}

void cancellations::recorded(const schema::cancellation_recorded& record)
{
    const auto found = this->jobs.find(record.id);
    if (found == this->jobs.end())
        return;
    fencing_token& token =
        found->second
            .recorded[{.domain = record.domain, .shard = record.shard}];
    token = std::max(token, record.token);
    found->second.was_open = found->second.was_open || record.was_open;
    this->answer_if_recorded(record.id);
}

void cancellations::answer_if_recorded(const std::string& id)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end())
        return;
    bool has_own = false;
    for (const shard_name& home : this->homes_of(id))
    {
        const auto owner = this->owners.find(home);
        const bool is_recorded = this->has_recorded(found->second, home);
        const bool is_reachable =
            owner != this->owners.end() && owner->second.is_reachable;
        if (is_reachable && !is_recorded)
            return;
        has_own =
            has_own || (home.domain == this->options.domain && is_recorded);
    }
    if (!has_own || (this->hooks.is_kept && !this->hooks.is_kept(id)))
        return;
    this->open.erase(id);
    this->answer_calls(id,
                       found->second.was_open ? answer_kind::cancelled
                                              : answer_kind::unknown_job,
                       "recorded");
}

void cancellations::answer_calls(const std::string& id, answer_kind kind,
                                 const std::string& reason)
{
    const std::vector<waiting_call> calls =
        std::exchange(this->jobs.at(id).calls, {});
    for (const waiting_call& one : calls)
    {
        this->hooks.log(log_line("cancellation_answered")
                            .add("job", id)
                            .add("answer", name_of(kind))
                            .add("reason", reason));
        this->hooks.answer({.call = one.call,
                            .kind = kind,
                            .retry_after = this->options.repeat_interval});
    }
}

void cancellations::set_owners(const shard_owners& changed, int shard_count)
{
    std::map<std::string, int> counts = {{this->options.domain, shard_count}};
    for (const auto& [name, owner] : changed)
    {
        if (name.domain == this->options.domain)
            continue;
        // Some of a domain's shards may have no owner at the moment.
        int& count = counts[name.domain];
        const auto seen = static_cast<unsigned>(name.shard) + 1;
        count = std::max(count, static_cast<int>(std::bit_ceil(seen)));
    }
    const bool is_same = std::equal(
        changed.begin(), changed.end(), this->owners.begin(),
        this->owners.end(),
        [](const auto& one, const auto& other)
        {
            return one.first == other.first &&
                   one.second.token == other.second.token &&
                   one.second.is_reachable == other.second.is_reachable;
        });
    if (is_same && counts == this->shards)
        return;
    this->owners = changed;
    this->shards = std::move(counts);
    // The next tick tells the new owners.
    for (auto& [id, one] : this->jobs)
    {
        one.next_repeat = {};
        this->open.insert(id);
    }
}

void cancellations::tick(instant now)
{
    while (!this->by_age.empty() &&
           now - this->jobs.at(this->by_age.front()).began >=
               this->options.retention)
        this->forget_oldest();
    const std::set<std::string> pending = this->open;
    for (const std::string& id : pending)
    {
        const cancellation& one = this->jobs.at(id);
        if (now >= one.next_repeat)
        {
            this->tell(id, now);
            this->answer_if_recorded(id);
        }
        if (!one.calls.empty() &&
            now - one.calls.front().since >= this->options.timeout)
            this->answer_calls(id, answer_kind::not_run, "not_recorded");
    }
}

void cancellations::end_all(const std::string& reason)
{
    for (const std::string& id : this->by_age)
        this->answer_calls(id, answer_kind::not_run, reason);
}

std::size_t cancellations::waiting_calls() const
{
    std::size_t count = 0;
    for (const auto& [id, one] : this->jobs)
        count += one.calls.size();
    return count;
}

} // namespace chicorydrum::shard
