#include "chicorydrum/shard/config_spread.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace chicorydrum::shard
{

using support::instant;
using support::log_line;
using support::milliseconds;

int parts_for_link(double rate)
{
    // 16 KB in each tick of 25 ms are 5.2 Mbit/s.
    constexpr double mbit_per_part = 16;
    constexpr double most = 12;
    return static_cast<int>(std::clamp(rate / mbit_per_part, 1.0, most));
}

config_spread::config_spread(config_spread_options opts,
                             config_spread_hooks callbacks)
    : options(opts), hooks(std::move(callbacks)),
      random(static_cast<std::minstd_rand::result_type>(opts.seed)),
      parts_left(opts.parts_per_tick)
{
}

void config_spread::set_active(std::int64_t version,
                               std::shared_ptr<const std::string> document)
{
    this->active_version = version;
    this->active_document = std::move(document);
}

void config_spread::set_arrived(std::int64_t version)
{
    const bool is_news = version > this->arrived_version;
    this->arrived_version = version;
    if (!is_news)
        return;
    // A still newer one has its own time to arrive.
    this->behind_from.reset();
    if (this->partial.version > version)
        return;
    // What is under way is not needed any more.
    this->partial = {};
    this->asked.reset();
}

std::int64_t config_spread::newest_heard() const
{
    std::int64_t newest = 0;
    for (const auto& [peer, one] : this->sources)
        newest = std::max(newest, one.version);
    return newest;
}

void config_spread::heard(const std::string& peer, std::int64_t version,
                          bool is_near, instant now)
{
    source& one = this->sources[peer];
    one.version = version;
    one.is_near = is_near;
    // Most heartbeats say nothing new; the rest is left to the next tick.
    if (version > this->arrived_version && !this->behind_from)
        this->update_lag(now);
}

void config_spread::needed(const std::string& peer, std::int64_t version,
                           bool is_near, instant now)
{
    this->needed_version = std::max(this->needed_version, version);
    this->heard(peer, version, is_near, now);
    this->ask_if_due(now);
}

void config_spread::peer_lost(const std::string& peer)
{
    this->sources.erase(peer);
    this->receivers.erase(peer);
    if (this->asked == peer)
        this->asked.reset();
}

void config_spread::update_lag(instant now)
{
    const std::int64_t newest = this->newest_heard();
    if (newest <= this->arrived_version)
    {
        this->behind_from.reset();
        return;
    }
    if (this->behind_from)
        return;
    this->behind_from = now;
    this->hooks.log(log_line("config_behind")
                        .add("version", this->arrived_version)
                        .add("newest", newest)
                        .add("store_fails", this->store_fails));
}

void config_spread::tick(instant now)
{
    std::erase_if(this->receivers,
                  [this, now](const auto& entry) {
                      return now - entry.second.asked_at >
                             this->options.receiver_timeout;
                  });
    this->parts_left = this->options.parts_per_tick;
    this->send_waiting_parts();
    this->update_lag(now);
    if (this->asked && now - this->asked_at > this->options.part_timeout)
    {
        this->hooks.log(log_line("config_part_late")
                            .add("peer", *this->asked)
                            .add("version", this->partial.version)
                            .add("received", static_cast<std::int64_t>(
                                                 this->partial.bytes.size())));
        this->leave_source(this->options.late_pause, now);
    }
    this->ask_if_due(now);
}

void config_spread::ask_if_due(instant now)
{
    if (this->asked || !this->behind_from)
        return;
    const bool is_urgent =
        this->store_fails || this->needed_version > this->arrived_version;
    const milliseconds patience =
        is_urgent ? milliseconds(0) : this->options.store_patience;
    if (now - *this->behind_from < patience)
        return;
    const auto chosen = this->choose_source(now);
    if (chosen == this->sources.end())
        return;
    this->asked = chosen->first;
    this->request_next(now);
}

std::map<std::string, config_spread::source>::iterator
config_spread::choose_source(instant now)
{
    std::vector<std::map<std::string, source>::iterator> best;
    const auto rank = [](const auto& entry)
    {
        return std::tuple(entry->second.version, entry->second.is_near);
    };
    for (auto one = this->sources.begin(); one != this->sources.end(); ++one)
    {
        if (one->second.version <= this->arrived_version ||
            now < one->second.not_before)
            continue;
        if (!best.empty() && rank(one) < rank(best.front()))
            continue;
        if (!best.empty() && rank(one) > rank(best.front()))
            best.clear();
        best.push_back(one);
    }
    if (best.empty())
        return this->sources.end();
    // Hosts that are behind at the same time ask different peers.
    std::uniform_int_distribution<std::size_t> any(0, best.size() - 1);
    return best[any(this->random)];
}

void config_spread::request_next(instant now)
{
    this->asked_at = now;
    schema::config_requested request;
    request.known_version = this->arrived_version;
    request.version = this->partial.version;
    request.offset = static_cast<std::int64_t>(this->partial.bytes.size());
    this->hooks.request(*this->asked, request);
}

void config_spread::leave_source(milliseconds pause, instant now)
{
    const auto found = this->sources.find(*this->asked);
    if (found != this->sources.end())
        found->second.not_before = now + pause;
    this->asked.reset();
}

void config_spread::part_received(const std::string& peer,
                                  const schema::config_part& part, instant now)
{
    // A late part of a peer that is not asked any more.
    if (this->asked != peer)
        return;
    const auto total = static_cast<std::size_t>(part.total);
    if (total == 0)
    {
        this->leave_source(this->options.busy_pause, now);
        this->ask_if_due(now);
        return;
    }
    if (part.offset == 0 && part.version > this->arrived_version)
        this->partial = {.version = part.version, .total = total, .bytes = {}};
    partial_document& document = this->partial;
    const bool continues =
        part.version == document.version && total == document.total &&
        static_cast<std::size_t>(part.offset) == document.bytes.size() &&
        !part.bytes.empty() &&
        part.bytes.size() <= total - document.bytes.size() &&
        total <= this->options.max_document_bytes;
    if (!continues)
    {
        this->hooks.log(
            log_line("config_part_rejected", support::log_level::warning)
                .add("peer", peer)
                .add("version", part.version)
                .add("offset", part.offset)
                .add("total", part.total));
        this->partial = {};
        this->leave_source(this->options.late_pause, now);
        return;
    }
    document.bytes += part.bytes;
    if (document.bytes.size() < total)
    {
        this->request_next(now);
        return;
    }
    std::string whole = std::move(document.bytes);
    this->partial = {};
    this->leave_source(this->options.late_pause, now);
    this->hooks.received(std::move(whole), peer);
}

void config_spread::requested(const std::string& peer,
                              const schema::config_requested& request,
                              instant now)
{
    auto found = this->receivers.find(peer);
    const bool continues = found != this->receivers.end() &&
                           found->second.version == request.version &&
                           request.offset > 0;
    if (!continues)
    {
        const bool has_newer = this->active_document &&
                               this->active_version > request.known_version;
        const bool has_room =
            found != this->receivers.end() ||
            this->receivers.size() < this->options.max_receivers;
        if (!has_newer || !has_room)
        {
            this->receivers.erase(peer);
            this->decline(peer);
            return;
        }
        found = this->receivers
                    .insert_or_assign(
                        peer, receiver{.document = this->active_document,
                                       .version = this->active_version,
                                       .offset = 0,
                                       .waits = false,
                                       .asked_at = now})
                    .first;
    }
    receiver& one = found->second;
    const auto offset = static_cast<std::size_t>(request.offset);
    const bool is_inside =
        request.version == one.version && offset < one.document->size();
    one.offset = is_inside ? offset : 0;
    one.waits = true;
    one.asked_at = now;
    this->send_waiting_parts();
}

void config_spread::send_waiting_parts()
{
    const auto next_after = [this](const std::string& name)
    {
        const auto waits = [](const auto& entry)
        {
            return entry.second.waits;
        };
        auto found = std::find_if(this->receivers.upper_bound(name),
                                  this->receivers.end(), waits);
        if (found == this->receivers.end())
            found = std::find_if(this->receivers.begin(), this->receivers.end(),
                                 waits);
        return found;
    };
    while (this->parts_left > 0)
    {
        const auto next = next_after(this->last_served);
        if (next == this->receivers.end())
            return;
        --this->parts_left;
        this->last_served = next->first;
        receiver& one = next->second;
        one.waits = false;
        schema::config_part part;
        part.version = one.version;
        part.offset = static_cast<std::int64_t>(one.offset);
        part.total = static_cast<std::int64_t>(one.document->size());
        part.bytes = one.document->substr(one.offset, this->options.part_bytes);
        const bool is_last =
            one.offset + part.bytes.size() == one.document->size();
        const std::string peer = next->first;
        if (is_last)
            this->receivers.erase(next);
        this->hooks.send(peer, part);
    }
}

void config_spread::decline(const std::string& peer)
{
    schema::config_part none;
    none.version = this->active_version;
    this->hooks.send(peer, none);
}

} // namespace chicorydrum::shard
