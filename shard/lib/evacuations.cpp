#include "chicorydrum/shard/evacuations.hpp"

#include <algorithm>
#include <utility>

namespace chicorydrum::shard
{

using support::instant;
using support::log_line;

evacuations::evacuations(evacuation_options opts, log_hook callback)
    : options(opts), log(std::move(callback))
{
}

void evacuations::rows_read(const evacuation_rows& read, instant now)
{
    // A read that shows the rows as they were before says nothing new.
    if (read.version < this->read_to)
        return;
    std::set<std::string> present;
    for (const evacuation_row& row : read.rows)
    {
        present.insert(row.domain);
        if (!row.is_requested)
        {
            this->unreadable.insert(row.domain);
            continue;
        }
        this->unreadable.erase(row.domain);
        schema::evacuation_change change;
        change.domain = row.domain;
        change.version = row.version;
        change.is_requested = *row.is_requested;
        this->apply(change, "store", now);
    }
    if (read.is_whole)
    {
        std::vector<std::string> gone;
        for (const auto& [domain, state] : this->domains)
            if (state.is_requested && state.version < read.version &&
                !present.contains(domain))
                gone.push_back(domain);
        for (const std::string& domain : gone)
        {
            schema::evacuation_change removal;
            removal.domain = domain;
            removal.version = read.version;
            removal.is_requested = false;
            this->apply(removal, "store", now);
        }
        std::erase_if(this->unreadable, [&present](const std::string& domain)
                      { return !present.contains(domain); });
    }
    this->read_to = read.version;
    this->heard_at = now;
}

void evacuations::heard(const std::string& peer,
                        const schema::evacuation_news& news, instant now)
{
    const std::int64_t known_to = std::max(this->read_to, this->forgotten_to);
    for (const schema::evacuation_change& change : news.changes)
        if (change.version > known_to ||
            this->unreadable.contains(change.domain))
            this->apply(change, peer, now);
    this->heard_at = now;
}

void evacuations::apply(const schema::evacuation_change& change,
                        const std::string& source, instant now)
{
    const auto known = this->domains.find(change.domain);
    const bool is_new = known == this->domains.end();
    if (!is_new && change.version <= known->second.version)
        return;
    const bool was_requested = !is_new && known->second.is_requested;
    if (is_new && !this->make_room())
        return;
    const std::int64_t in_force_ms =
        was_requested ? support::whole_ms(now - known->second.since) : -1;
    domain_state& state = this->domains[change.domain];
    state.version = change.version;
    state.change = ++this->changes;
    if (was_requested == change.is_requested)
        return;
    state.is_requested = change.is_requested;
    state.since = now;
    state.is_checked = false;
    // -1 where there is no such time.
    const std::int64_t unheard_ms =
        this->heard_at ? support::whole_ms(now - *this->heard_at) : -1;
    log_line line(change.is_requested ? "evacuation_requested"
                                      : "evacuation_removed",
                  support::log_level::warning);
    line.add("domain", change.domain)
        .add("version", change.version)
        .add("source", source)
        .add("age_ms", change.is_requested ? unheard_ms : in_force_ms);
    this->log(line);
}

bool evacuations::make_room()
{
    if (this->domains.size() < this->options.max_domains)
        return true;
    auto oldest = this->domains.end();
    for (auto one = this->domains.begin(); one != this->domains.end(); ++one)
        if (!one->second.is_requested &&
            (oldest == this->domains.end() ||
             one->second.version < oldest->second.version))
            oldest = one;
    if (oldest != this->domains.end())
    {
        // Peers may tell of the request that this removal has ended.
        this->forgotten_to =
            std::max(this->forgotten_to, oldest->second.version);
        this->domains.erase(oldest);
        return true;
    }
    if (!std::exchange(this->was_full, true))
        this->log(
            log_line("evacuations_full", support::log_level::error)
                .add("domains", static_cast<std::int64_t>(this->domains.size()))
                .add("outcome", "further requests have no effect"));
    return false;
}

bool evacuations::is_evacuated(const std::string& domain) const
{
    const auto found = this->domains.find(domain);
    return found != this->domains.end() && found->second.is_requested;
}

std::set<std::string> evacuations::evacuated_domains() const
{
    std::set<std::string> found;
    for (const auto& [domain, state] : this->domains)
        if (state.is_requested)
            found.insert(domain);
    return found;
}

void evacuations::link_opened(const std::string& peer)
{
    this->told.erase(peer);
}

void evacuations::link_closed(const std::string& peer)
{
    this->told.erase(peer);
}

std::optional<schema::evacuation_news>
evacuations::news_for(const std::string& peer)
{
    const auto before = this->told.find(peer);
    const std::int64_t after = before == this->told.end() ? 0 : before->second;
    if (after == this->changes)
        return std::nullopt;
    schema::evacuation_news news;
    for (const auto& [domain, state] : this->domains)
    {
        if (state.change <= after)
            continue;
        schema::evacuation_change& change = news.changes.emplace_back();
        change.domain = domain;
        change.version = state.version;
        change.is_requested = state.is_requested;
    }
    this->told[peer] = this->changes;
    return news;
}

void evacuations::log_unknown_domains(const std::set<std::string>& known)
{
    for (auto& [domain, state] : this->domains)
    {
        if (!state.is_requested || std::exchange(state.is_checked, true) ||
            known.contains(domain))
            continue;
        this->log(log_line("evacuation_unknown", support::log_level::warning)
                      .add("domain", domain)
                      .add("version", state.version)
                      .add("outcome", "no endpoint is there"));
    }
}

} // namespace chicorydrum::shard
